package pool

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// newSheddingFixture returns a fixture with one worker whose pool orders its queue by shares.
func newSheddingFixture() *fixture {
	f := newFixture(1)
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	f.pool.o.Overload.Shed = true
	return f
}

// orderOf orders a task of a route of 100 ms that fills half a worker.
func (f *fixture) orderOf(job, route string, priority int, change func(o *contract.TaskOrder)) contract.RunKey {
	now := time.Now()
	o := contract.TaskOrder{
		Key: contract.RunKey{Batch: job, Run: 1}, Backend: "s", Route: route, Priority: priority, Need: machine.Resources{CPUMillis: 1000},
		Accepted: now, Target: now.Add(time.Minute), Deadline: now.Add(time.Hour), Expected: 100 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	f.setSize(job, o.Need.CPUMillis)
	f.setDefaultRunTime(job, o.Expected)
	f.pool.Order(testHome, o, now)
	return o.Key
}

// Guards against runs that take room from others although their answer is late or of no use, and against the work of started jobs that
// is wasted. Each case has one worker, which is full for 100 ms if the case does not say otherwise; "first" and "second" fill it, and wait in the other order.
func TestOrderByUsefulness(t *testing.T) {
	target := func(d time.Duration) func(o *contract.TaskOrder) {
		return func(o *contract.TaskOrder) { o.Target = o.Accepted.Add(d) }
	}
	for name, c := range map[string]struct {
		first, second func(o *contract.TaskOrder)
		full          time.Duration
	}{
		"earlier target":            {first: target(time.Second), second: target(2 * time.Second)},
		"on time before late":       {first: target(2 * time.Second), second: target(150 * time.Millisecond)},
		"a margin for a longer run": {first: target(2 * time.Second), second: target(220 * time.Millisecond)},
		"late before of no use": {
			first: target(300 * time.Millisecond), second: target(130 * time.Millisecond), full: 400 * time.Millisecond,
		},
		"late job that has started": {
			first:  func(o *contract.TaskOrder) { target(150 * time.Millisecond)(o); o.JobStarted = true },
			second: target(2 * time.Second),
		},
		"started, of the same target": {first: func(o *contract.TaskOrder) { o.JobStarted = true }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSheddingFixture()
				defer f.pool.Close()
				fill := func(o *contract.TaskOrder) { o.Need.CPUMillis = 2000 }
				full := max(c.full, 100*time.Millisecond)
				f.setRunTime("full", full)
				f.orderOf("full", "r", 0, fill)
				f.orderOf("second", "r", 0, func(o *contract.TaskOrder) {
					fill(o)
					if c.second != nil {
						c.second(o)
					}
				})
				f.orderOf("first", "r", 0, func(o *contract.TaskOrder) { fill(o); c.first(o) })
				time.Sleep(full + 50*time.Millisecond)
				require.Equal(t, []string{"full", "first"}, f.observer.startedJobs())
			})
		})
	}
}

// Guards against a route that never starts while others wait, since it has no latency target or one that no run can meet: its jobs
// are judged by their deadlines alone, as their homes do.
func TestRouteWithoutAttainableTargetGetsItsShare(t *testing.T) {
	for name, target := range map[string]time.Duration{"none": 0, "out of reach": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSheddingFixture()
				defer f.pool.Close()
				fill := func(o *contract.TaskOrder) { o.Need.CPUMillis = 2000 }
				for i := range 6 {
					f.orderOf(fmt.Sprintf("with-%d", i), "with", 0, fill)
					f.orderOf(fmt.Sprintf("without-%d", i), "without", 0, func(o *contract.TaskOrder) {
						fill(o)
						o.Target = o.Accepted.Add(target)
					})
				}
				time.Sleep(550 * time.Millisecond)
				started := 0
				for _, job := range f.observer.startedJobs() {
					if strings.HasPrefix(job, "without") {
						started++
					}
				}
				require.GreaterOrEqual(t, started, 2)
			})
		})
	}
}

// Guards against a start whose answer is of no use while a run waits that does not fit yet, and against one that never starts although
// nothing else waits.
func TestUselessRunStartsOnlyAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSheddingFixture()
		defer f.pool.Close()
		f.orderOf("half", "r", 0, nil)
		large := f.orderOf("large", "r", 0, func(o *contract.TaskOrder) { o.Need.CPUMillis = 2000 })
		f.orderOf("useless", "r", 0, func(o *contract.TaskOrder) { o.Target = o.Accepted.Add(10 * time.Millisecond) })
		require.NotContains(t, f.observer.startedJobs(), "useless")
		f.pool.Withdraw(testHome, []contract.RunKey{large})
		synctest.Wait()
		require.Contains(t, f.observer.startedJobs(), "useless")
	})
}

// Guards against a started job that is known only at the owner of its first task.
func TestJobStartedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSheddingFixture()
		defer f.pool.Close()
		fill := func(o *contract.TaskOrder) { o.Need.CPUMillis = 2000 }
		f.orderOf("full", "r", 0, fill)
		f.orderOf("other", "r", 0, fill)
		key := f.orderOf("started", "r", 0, fill)
		f.pool.JobStarted([]contract.RunKey{key, {Batch: "unknown"}})
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, []string{"full", "started"}, f.observer.startedJobs())
	})
}

// Guards against a route that hardly runs because there is enough urgent work, and against an urgent route that gets no more than
// others. Two routes have more work than one worker with two slots can do.
func TestRoutesShareTheWorkersByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perRoute = 100
		f := newSheddingFixture()
		defer f.pool.Close()
		var keys []contract.RunKey
		for i := range perRoute {
			keys = append(keys, f.orderOf(fmt.Sprintf("urgent-%d", i), "urgent", 0, nil), f.orderOf(fmt.Sprintf("low-%d", i), "low", 1, nil))
		}
		f.refreshFor(4*time.Second, keys...)
		urgent, low := 0, 0
		for _, job := range f.observer.startedJobs() {
			if job[0] == 'u' {
				urgent++
			} else {
				low++
			}
		}
		require.InDelta(t, 2, float64(urgent)/float64(low), 0.3, "%d urgent, %d low", urgent, low)
	})
}

// Guards against an urgent route that waits behind a queue of another one, or of its own shares: it asks for less than its share.
func TestUrgentRouteHardlyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSheddingFixture()
		defer f.pool.Close()
		var keys []contract.RunKey
		for i := range 200 {
			keys = append(keys, f.orderOf(fmt.Sprintf("low-%d", i), "low", 2, nil))
		}
		for i := range 10 {
			job := fmt.Sprintf("urgent-%d", i)
			keys = append(keys, f.orderOf(job, "urgent", 0, nil))
			f.refreshFor(150*time.Millisecond, keys...)
			require.Contains(t, f.observer.startedJobs(), job)
		}
	})
}

// Guards against shares that count what a route has used long ago.
func TestSharesForgetEarlierWork(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newShares()
	s.add("a", time.Second, 16_000, now)
	require.InDelta(t, 16, s.used("a", 0, now), 0.01)
	require.InDelta(t, 64, s.used("a", 2, now), 0.01, "a quarter of the weight")
	require.InDelta(t, 5.9, s.used("a", 0, now.Add(time.Second)), 0.1)
	s.add("a", time.Second, 1000, now.Add(time.Second))
	require.InDelta(t, 6.9, s.used("a", 0, now.Add(time.Second)), 0.1)
	s.dropUnused(now.Add(time.Minute))
	require.Empty(t, s.routes)
}

// Guards against a worker that is kept free for large runs although these get their share, and against large runs that get none.
func TestLargeRunsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		largeOrdered, largeStarted, ordered, started int
		want                                         bool
	}{
		"nothing ordered":    {},
		"all start":          {10, 10, 100, 100, false},
		"as often as others": {10, 5, 100, 50, false},
		"somewhat less":      {20, 9, 100, 50, false},
		"much less":          {20, 7, 100, 50, true},
		"none":               {1, 0, 100, 50, true},
		"none, nor others":   {1, 0, 100, 0, false},
	} {
		now, s := time.Unix(1000, 0), newShares()
		for large, n := range map[bool][2]int{true: {c.largeOrdered, c.largeStarted}, false: {c.ordered, c.started}} {
			for range n[0] {
				s.count(large, false, now)
			}
			for range n[1] {
				s.count(large, true, now)
			}
		}
		require.Equal(t, c.want, s.largeBehind(now), name)
	}
}
