package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

const testInviter = "inviter/1"

// gapOf returns free capacity of that many thousandths of a core.
func gapOf(cpu int, speed float64, tasks int) contract.FreeGap {
	return contract.FreeGap{Free: machine.Resources{CPUMillis: cpu, MemoryMB: 1000}, Speed: speed, Tasks: tasks}
}

// Guards against runs that are given up in vain: ones that do not fit the free capacity, less urgent ones before others, more than
// were asked for, and ones that cannot end in time there. Each case has a queue of tasks of 100 ms.
func TestRunsChosenForAnInvitation(t *testing.T) {
	now := time.Now()
	waiting := func(job string, cpu int, target time.Duration, change func(o *contract.TaskOrder)) *run {
		o := contract.TaskOrder{
			Key: contract.RunKey{Batch: job}, Need: machine.Resources{CPUMillis: cpu, MemoryMB: 100}, Expected: 100 * time.Millisecond,
			Accepted: now, Target: now.Add(target), Deadline: now.Add(10 * time.Second),
		}
		if change != nil {
			change(&o)
		}
		return &run{order: o}
	}
	for name, c := range map[string]struct {
		queue []*run
		gaps  []contract.FreeGap
		want  []string
	}{
		"no gap": {queue: []*run{waiting("a", 1000, time.Second, nil)}},
		"the most urgent first": {
			queue: []*run{waiting("later", 1000, 2*time.Second, nil), waiting("sooner", 1000, time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(1500, 1, 2)}, want: []string{"sooner"},
		},
		"the next one if the most urgent does not fit": {
			queue: []*run{waiting("large", 3000, time.Second, nil), waiting("small", 1000, 2*time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(2000, 1, 2)}, want: []string{"small"},
		},
		"as many as fit": {
			queue: []*run{waiting("a", 1000, time.Second, nil), waiting("b", 1000, 2*time.Second, nil), waiting("c", 1000, 3*time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(2500, 1, 5)}, want: []string{"a", "b"},
		},
		"as many as offered": {
			queue: []*run{waiting("a", 100, time.Second, nil), waiting("b", 100, 2*time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(2500, 1, 1)}, want: []string{"a"},
		},
		"the most urgent for the fastest worker": {
			queue: []*run{waiting("a", 1000, time.Second, nil), waiting("b", 1000, 2*time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(1000, 0.5, 1), gapOf(1000, 2, 1)}, want: []string{"a", "b"},
		},
		"late runs after those that can be in time there": {
			queue: []*run{waiting("late", 1000, 50*time.Millisecond, nil), waiting("in time", 1000, time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(1000, 1, 1)}, want: []string{"in time"},
		},
		"a fast worker makes up for a late start": {
			queue: []*run{waiting("soon", 1000, 60*time.Millisecond, nil), waiting("in time", 1000, time.Second, nil)},
			gaps:  []contract.FreeGap{gapOf(1000, 2, 1)}, want: []string{"soon"},
		},
		"none that ends after its deadline there": {
			queue: []*run{waiting("a", 1000, time.Second, func(o *contract.TaskOrder) { o.Deadline = now.Add(150 * time.Millisecond) })},
			gaps:  []contract.FreeGap{gapOf(1000, 0.5, 1)},
		},
		"too little memory": {
			queue: []*run{waiting("a", 1000, time.Second, func(o *contract.TaskOrder) { o.Need.MemoryMB = 2000 })},
			gaps:  []contract.FreeGap{gapOf(2000, 1, 1)},
		},
		"a label that the worker lacks": {
			queue: []*run{waiting("a", 1000, time.Second, func(o *contract.TaskOrder) { o.RequiredLabel = "large" })},
			gaps:  []contract.FreeGap{gapOf(2000, 1, 1)},
		},
		"a label that the worker has": {
			queue: []*run{waiting("a", 1000, time.Second, func(o *contract.TaskOrder) { o.RequiredLabel = "large" })},
			gaps:  []contract.FreeGap{{Free: machine.Resources{CPUMillis: 2000, MemoryMB: 1000}, Speed: 1, Tasks: 1, Labels: []string{"large"}}},
			want:  []string{"a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := &queue{runs: c.queue}
			var chosen []string
			for _, r := range chooseRuns(q, c.gaps, now, func(*run) bool { return true }) {
				chosen = append(chosen, r.order.Key.Batch)
			}
			require.Equal(t, c.want, chosen)
			require.Len(t, q.runs, len(c.queue), "the choice removes nothing")
		})
	}
}

// Guards against runs that are given up although only this owner may start them, or although they may have started. One worker is
// full; the queue has one run of each kind, and a large gap is offered.
func TestBoundRunsAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		running := f.order("running", 2000, 0, time.Second, 5*time.Second)
		f.setRunTime("running", 400*time.Millisecond)
		queued := func(job string, change func(o *contract.TaskOrder)) contract.RunKey {
			f.setSize(job, 1000)
			now := time.Now()
			o := contract.TaskOrder{
				Key: contract.RunKey{Batch: job, Run: 5}, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now,
				Target: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Expected: 100 * time.Millisecond,
			}
			change(&o)
			f.pool.Order(testHome, o, now)
			return o.Key
		}
		free := queued("free", func(*contract.TaskOrder) {})
		bound := []contract.RunKey{
			queued("alone", func(o *contract.TaskOrder) { o.Alone = true }),
			queued("only worker", func(o *contract.TaskOrder) { o.OnlyWorker = "w0" }),
			queued("limited", func(o *contract.TaskOrder) { o.PerWorkerLimit = 1 }),
			queued("suggested", func(o *contract.TaskOrder) { o.Suggested = true }),
			queued("running", func(o *contract.TaskOrder) { o.Key.Run = 2 }),
			running,
		}
		late := contract.RunKey{Batch: "late", Run: 5}
		bound = append(bound, queued("late", func(*contract.TaskOrder) {}))
		f.pool.o.LateStarts.Record(contract.LateStart{Task: late.Task(), Worker: "w0", Until: time.Now().Add(time.Minute)})
		f.pool.GiveUp(testInviter, []contract.FreeGap{gapOf(100_000, 1, 100)})
		require.Equal(t, contract.RunEnded, f.state(free))
		for _, key := range bound {
			require.NotEqual(t, contract.RunEnded, f.state(key), key.String())
		}
		require.Equal(t, []string{testInviter}, f.suggestions())
		f.pool.GiveUp(testInviter, []contract.FreeGap{gapOf(100_000, 1, 100)})
		f.pool.Refresh(testHome, []contract.RunKey{free}, time.Now())
		f.pool.Recall(testHome, []contract.RunKey{free})
		require.Equal(t, []string{testInviter}, f.suggestions(), "repeated reports suggest nobody")
		time.Sleep(time.Second)
		require.NotContains(t, f.observer.startedJobs(), "free")
	})
}

// suggestions returns the next owners that the reports have named.
func (f *fixture) suggestions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var owners []string
	for _, r := range f.reportLog {
		if r.NextOwner != "" {
			owners = append(owners, r.NextOwner)
		}
	}
	return owners
}

// Guards against two runs of a task: an order that is repeated after the run was given up must not queue it again.
func TestRunThatWasGivenUpIsNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.order("first", 2000, 0, time.Second, 5*time.Second)
		key := f.order("second", 2000, 0, time.Second, 5*time.Second)
		f.pool.GiveUp(testInviter, []contract.FreeGap{gapOf(2000, 1, 1)})
		require.Equal(t, key, f.order("second", 2000, 0, time.Second, 5*time.Second))
		time.Sleep(time.Second)
		require.Equal(t, []string{"first"}, f.observer.startedJobs())
		require.Equal(t, contract.RunEnded, f.state(key))
	})
}

// roomCalls counts the calls of Options.Room of a fixture. The result returns their number.
func (f *fixture) roomCalls() func() int {
	n := 0
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	f.pool.o.Room = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		n++
	}
	return func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return n
	}
}

// Guards against invitations without free capacity, and against ones that are repeated for the same free capacity as fast as
// messages travel. Two idle workers of two cores get tasks of one and two cores.
func TestFreeCapacityIsOfferedAtOnceAndSeldomAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.roomCalls()
		offered := func() []int {
			var sizes []int
			for _, g := range f.pool.Offer() {
				sizes = append(sizes, g.Free.CPUMillis)
			}
			return sizes
		}
		require.Equal(t, []int{2000, 2000}, offered())
		require.Empty(t, offered(), "offered just now")
		time.Sleep(offerSpacing)
		require.Empty(t, offered(), "the same free capacity")
		time.Sleep(offerRepeat - offerSpacing)
		require.Equal(t, []int{2000, 2000}, offered(), "repeated")
		time.Sleep(offerRepeat)
		require.Empty(t, offered(), "repeated later each time")

		f.setRunTime("large", 30*time.Millisecond)
		f.order("large", 2000, 0, time.Second, 5*time.Second)
		f.setRunTime("small", 200*time.Millisecond)
		f.order("small", 1000, 0, time.Second, 5*time.Second)
		synctest.Wait()
		require.Empty(t, offered(), "one worker is full, the other has less than was offered")
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		require.NotEmpty(t, offered(), "free capacity that has grown is offered at once")
	})
}

// Guards against free capacity that is offered although the own queue needs it: a large task has waited so long that a worker is
// kept free for it.
func TestReservedWorkerIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.roomCalls()
		f.setRunTime("small", time.Second)
		f.order("small", 800, 0, 5*time.Second, 5*time.Second)
		f.order("large", 2000, 0, 5*time.Second, 5*time.Second)
		synctest.Wait()
		require.Len(t, f.pool.Offer(), 1, "a gap in which the large task does not fit")
		time.Sleep(stealingReserveDelay + maxOfferRepeat)
		require.Empty(t, f.pool.Offer(), "kept for the large task")
	})
}

// Guards against a pool that asks for offers without end, or not at all: Room is called when a run ends, and by the timer of an
// offer, which is set once for each.
func TestRoomIsCalledWhenThereIsSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		calls := f.roomCalls()
		f.setRunTime("job", 50*time.Millisecond)
		f.order("job", 2000, 0, time.Second, 5*time.Second)
		synctest.Wait()
		before := calls()
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, before, calls(), "the worker is full")
		time.Sleep(31 * time.Millisecond)
		synctest.Wait()
		require.Greater(t, calls(), before, "the run has ended")
		require.Len(t, f.pool.Offer(), 1)
		before = calls()
		time.Sleep(offerRepeat)
		synctest.Wait()
		require.Greater(t, calls(), before, "the offer may be repeated")
		require.Less(t, calls(), before+4)
	})
}

// Guards against gaps that are too small for a task, and against more of them in a message than its bound.
func TestOfferedGapsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(maxGaps + 2)
		defer f.pool.Close()
		f.roomCalls()
		f.setRunTime("a", time.Minute)
		f.order("a", 2000, 0, time.Second, time.Minute)
		for _, job := range []string{"b", "c"} {
			f.setRunTime(job, time.Minute)
			f.order(job, 1800, 0, time.Second, time.Minute)
		}
		synctest.Wait()
		gaps := f.pool.Offer()
		require.Len(t, gaps, maxGaps-1, "two workers have a tenth of a task left, one is full")
		require.False(t, slices.ContainsFunc(gaps, func(g contract.FreeGap) bool { return g.Free.CPUMillis < 2000 || g.Tasks != 2 }))
	})
}

// Guards against a message for each worker that has been idle for long while runs wait elsewhere that fit nowhere: their free
// capacity is offered at once once any of it is due. The offers to 3 idle workers of a pool are counted over 10 s; the third one
// becomes idle later.
func TestOffersOfIdleWorkersAreJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		defer f.pool.Close()
		f.roomCalls()
		f.setRunTime("job", 130*time.Millisecond)
		f.order("job", 2000, 0, time.Second, 5*time.Second)
		synctest.Wait()
		messages := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(offerSpacing) {
			if len(f.pool.Offer()) > 0 {
				messages++
			}
		}
		require.LessOrEqual(t, messages, int(10*time.Second/maxOfferRepeat)+5)
	})
}
