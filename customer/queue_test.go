package customer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

var epoch = time.Unix(1_000_000, 0)

func jobID(n int) contract.JobID { return contract.JobID{Domain: 1, Home: 7, Seq: uint64(n)} }

func tasks(job, n int, customer, team string, expected time.Duration) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{
			Task: contract.TaskID{Job: jobID(job), Index: i}, Customer: customer, Team: team, Enqueued: epoch,
			Deadline: epoch.Add(5 * time.Second), Expected: expected, Bytes: 10,
		}
	}
	return items
}

func quotaSettings(slots int, rate float64, teams ...string) Settings {
	s := Settings{Revision: 1}
	for _, t := range teams {
		s.Customers = append(s.Customers, Spec{Name: t, Teams: []TeamSpec{
			{Name: t, Slots: slots, StartsPerSecond: rate, Burst: 1},
		}})
	}
	return s
}

// Guards against tasks that are lost, popped twice or popped after their job was cancelled, and against a depth that
// differs from the waiting work.
func TestQueueConservesTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := NewTeams(false)
		teams.Apply(quotaSettings(2, 0, "a", "b"))
		q := NewQueue(teams)
		waiting := map[contract.TaskID]Item{}
		var running []Item
		jobs := 0
		pop := func() {
			it, ok := q.Pop(rapid.Bool().Draw(t, "long"))
			if !ok {
				return
			}
			_, known := waiting[it.Task]
			require.True(t, known, "task %s was popped twice or after its cancellation", it.Task)
			delete(waiting, it.Task)
			running = append(running, it)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				jobs++
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				items := tasks(jobs, rapid.IntRange(1, 5).Draw(t, "n"), customer, customer, 100*time.Millisecond)
				for i := range items {
					items[i].Class = backend.Class(rapid.IntRange(0, 1).Draw(t, "class"))
					waiting[items[i].Task] = items[i]
				}
				q.Push(items)
			},
			"pop": func(*rapid.T) { pop() },
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				it := running[0]
				running = running[1:]
				release := q.Refund
				if rapid.Bool().Draw(t, "started") {
					release = func(it Item) bool { return q.Finished(it, time.Second) }
				}
				if release(it) {
					q.Wake(it.teamKey())
				}
			},
			"cancel": func(t *rapid.T) {
				id := jobID(rapid.IntRange(1, max(1, jobs)).Draw(t, "job"))
				n := 0
				for task := range waiting {
					if task.Job == id {
						delete(waiting, task)
						n++
					}
				}
				require.Equal(t, n, q.Cancel(id))
			},
			"reconfigure": func(t *rapid.T) {
				id := jobID(rapid.IntRange(1, max(1, jobs)).Draw(t, "job"))
				q.Reconfigure(id, epoch.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s"))*time.Second), 1)
			},
			"": func(*rapid.T) {
				d := q.Depth()
				require.Equal(t, len(waiting), d.Waiting)
				require.Equal(t, 10*len(waiting), d.Bytes)
				require.LessOrEqual(t, d.Short+d.Long, d.Waiting)
			},
		})
		for len(running) > 0 {
			it := running[0]
			running = running[1:]
			q.Finished(it, 0)
			q.Wake(it.teamKey())
		}
		for len(waiting) > 0 {
			before := len(waiting)
			it, ok := q.Pop(true)
			require.True(t, ok, "%d tasks wait and none is popped", before)
			delete(waiting, it.Task)
			q.Finished(it, 0)
			q.Wake(it.teamKey())
		}
	})
}

// Guards against a customer with a flood of tasks that delays the few tasks of another one.
func TestFloodDoesNotDelayAnotherCustomer(t *testing.T) {
	q := NewQueue(NewTeams(false))
	for job := 1; job <= 20; job++ {
		q.Push(tasks(job, 500, "flood", "t", 100*time.Millisecond))
	}
	for range 100 {
		q.Pop(false)
	}
	q.Push(tasks(99, 10, "calm", "t", 100*time.Millisecond))
	last := 0
	for n := 1; n <= 30; n++ {
		if it, _ := q.Pop(false); it.Customer == "calm" {
			last = n
		}
	}
	require.LessOrEqual(t, last, 20, "equal weights serve ten tasks of each within twenty starts")
}

// Guards against weights that have no effect among customers or among teams.
func TestWeightsDivideService(t *testing.T) {
	teams := NewTeams(false)
	teams.Apply(Settings{Revision: 1, Customers: []Spec{
		{Name: "a", Weight: 3, Teams: []TeamSpec{{Name: "x", Weight: 2}, {Name: "y"}}}, {Name: "b", Weight: 1},
	}})
	q := NewQueue(teams)
	q.Push(tasks(1, 400, "a", "x", time.Second))
	q.Push(tasks(2, 400, "a", "y", time.Second))
	q.Push(tasks(3, 400, "b", "z", time.Second))
	got := map[string]int{}
	for range 400 {
		it, _ := q.Pop(false)
		got[it.Team]++
	}
	require.InDelta(t, 200, got["x"], 2)
	require.InDelta(t, 100, got["y"], 2)
	require.InDelta(t, 100, got["z"], 2)
}

// Guards against the last tasks of a nearly finished job waiting behind a new large job, and against that rule
// overriding priority or deadline.
func TestOrderWithinTeam(t *testing.T) {
	q := NewQueue(NewTeams(false))
	q.Push(tasks(1, 300, "a", "t", time.Second))
	q.Push(tasks(2, 2, "a", "t", time.Second))
	urgent := tasks(3, 1, "a", "t", time.Second)
	urgent[0].Deadline = epoch.Add(time.Second)
	q.Push(urgent)
	high := tasks(4, 1, "a", "t", time.Second)
	high[0].Priority = 1
	q.Push(high)
	var order []uint64
	for range 5 {
		it, _ := q.Pop(false)
		order = append(order, it.Task.Job.Seq)
	}
	require.Equal(t, []uint64{4, 3, 2, 2, 1}, order)
	q.Push(tasks(5, 400, "a", "t", time.Second))
	q.Reconfigure(jobID(5), time.Time{}, 2)
	it, _ := q.Pop(false)
	require.Equal(t, uint64(5), it.Task.Job.Seq)
}

// Guards against a team that exceeds its quota while others need theirs, and against unused quota that stays idle.
func TestQuotaIsLentAndReturned(t *testing.T) {
	teams := NewTeams(false)
	teams.Apply(quotaSettings(4, 0, "a", "b"))
	q := NewQueue(teams)
	q.Push(tasks(1, 20, "a", "a", time.Second))
	require.Equal(t, 4, q.Depth().Short)
	var running []Item
	for {
		it, ok := q.Pop(false)
		if !ok {
			break
		}
		running = append(running, it)
	}
	require.Len(t, running, 8, "a runs on its own quota and on that of b")
	q.Push(tasks(2, 20, "b", "b", time.Second))
	for _, it := range running[:4] {
		if q.Finished(it, time.Second) {
			q.Wake(it.teamKey())
		}
		next, ok := q.Pop(false)
		require.True(t, ok)
		require.Equal(t, "b", next.Customer, "the lender takes every slot that becomes free until it has its quota")
	}
	require.Zero(t, teams.Spare())
}

// Guards against starts beyond the rate, and against a team that is not served again once a token is available.
func TestStartRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := NewTeams(false)
		teams.Apply(quotaSettings(0, 10, "a"))
		q := NewQueue(teams)
		q.Push(tasks(1, 400, "a", "a", time.Millisecond))
		now, started := epoch, 0
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 500), 1, 40).Draw(t, "steps in ms") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			q.Advance(now)
			for {
				it, ok := q.Pop(false)
				if !ok {
					break
				}
				started++
				q.Finished(it, time.Millisecond)
			}
			require.LessOrEqual(t, float64(started), 1+now.Sub(epoch).Seconds()*10+1e-6)
		}
		q.Advance(now.Add(time.Second))
		_, ok := q.Pop(false)
		require.True(t, ok)
	})
}

// Guards against long work that is never served while short work waits, and against long work that gets more than its
// minimum share.
func TestLongWorkGetsMinimumShare(t *testing.T) {
	q := NewQueue(NewTeams(false))
	long := tasks(1, 100, "a", "t", time.Second)
	for i := range long {
		long[i].Class = backend.ClassLong
	}
	q.Push(long)
	q.Push(tasks(2, 400, "a", "t", time.Second))
	n := 0
	for range 100 {
		if it, _ := q.Pop(true); it.Class == backend.ClassLong {
			n++
		}
	}
	require.InDelta(t, 10, n, 1)
}

// Guards against flows that accumulate when callers invent names of customers and teams.
func TestIdleFlowsAreEvicted(t *testing.T) {
	q := NewQueue(NewTeams(false))
	for n := range 5000 {
		name := fmt.Sprint(n)
		q.Push(tasks(n+1, 1, name, name, time.Millisecond))
		_, ok := q.Pop(false)
		require.True(t, ok)
	}
	require.LessOrEqual(t, len(q.classes[0].customers), 2*evictionThreshold)
}

func BenchmarkPop490Teams(b *testing.B) {
	q := NewQueue(NewTeams(false))
	fill := func() {
		for n := range 490 {
			q.Push(tasks(n+1, 20, fmt.Sprint(n%40), fmt.Sprint(n), 100*time.Millisecond))
		}
	}
	for b.Loop() {
		if q.Depth().Waiting == 0 {
			b.StopTimer()
			fill()
			b.StartTimer()
		}
		it, _ := q.Pop(false)
		q.Finished(it, 90*time.Millisecond)
	}
}

func BenchmarkPush500(b *testing.B) {
	q := NewQueue(NewTeams(false))
	items := tasks(1, 500, "a", "t", 100*time.Millisecond)
	for b.Loop() {
		q.Push(items)
		b.StopTimer()
		q.Cancel(jobID(1))
		b.StartTimer()
	}
}

// Guards against a caller that monopolises the queue by using a new name for each job.
func TestUnknownNamesShareAFlow(t *testing.T) {
	teams := NewTeams(false)
	teams.Apply(Settings{Revision: 1, Customers: []Spec{{Name: "known", Teams: []TeamSpec{{Name: "t"}}}}})
	q := NewQueue(teams)
	q.Push(tasks(1, 50, "known", "t", time.Second))
	for n := range 200 {
		q.Push(tasks(2+n, 1, fmt.Sprint(n), "t", time.Second))
	}
	served := 0
	for range 100 {
		if it, _ := q.Pop(false); it.Customer == "known" {
			served++
		}
	}
	require.InDelta(t, 50, served, 1)
}
