package customer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fiveTaskJob returns the load of a job with five tasks and one second of work in all.
func fiveTaskJob(deadline time.Time) Load {
	const task = 200 * time.Millisecond
	return Load{Work: 5 * task, Typical: task, Longest: task, Deadline: deadline}
}

func constantDemand(time.Duration) float64 { return 1 }

// simResult holds the numbers of tasks that ended before and after their deadline, the share of the time in
// which the slots were busy, and the time of the last refusal.
type simResult struct {
	served, late, busy float64
	refused            time.Duration
}

// simulate runs admission and a server with the given slots against the demands of several customers for 20 s of
// simulated time. The demands are relative to the capacity and are multiplied by factor over time.
func simulate(demands []float64, slots int, deadline time.Duration, factor func(time.Duration) float64) simResult {
	const step, steps = 10 * time.Millisecond, 2000
	var f simResult
	q := NewQueue(NewTeams(false))
	now, job := epoch, 0
	due := make([]float64, len(demands))
	free := make([]time.Time, slots)
	for range steps {
		now = now.Add(step)
		q.Advance(now)
		for n, demand := range demands {
			customer := string(rune('a' + n))
			for due[n] += demand * factor(now.Sub(epoch)) * float64(slots) * step.Seconds() / 0.2; due[n] >= 5; due[n] -= 5 {
				job++
				load := fiveTaskJob(now.Add(deadline))
				if !Admit(q.Backlog(TeamKey{customer, "t"}, 0), load, float64(slots), now).Admit {
					f.refused = now.Sub(epoch)
					continue
				}
				items := tasks(job, 5, customer, "t", 200*time.Millisecond)
				for i := range items {
					items[i].Enqueued, items[i].Deadline = now, now.Add(deadline)
				}
				q.Push(items)
			}
		}
		for i := range free {
			if free[i].After(now) {
				f.busy++
				continue
			}
			it, ok := q.Pop(false)
			if !ok {
				continue
			}
			f.busy++
			free[i] = now.Add(200 * time.Millisecond)
			if free[i].After(it.Deadline) {
				f.late++
			} else {
				f.served++
			}
		}
	}
	f.busy /= float64(steps * slots)
	return f
}

// Guards against work that is accepted and then completed after its deadline, and against refusals that leave slots
// idle at peak load, also when one customer has most of the demand. The bounds are those of section 1.3 of the design
// page.
func TestAdmissionAtPeakLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// An entry VM has about 50 slots today and 187 at the target scale.
		slots := rapid.IntRange(20, 187).Draw(t, "slots")
		deadline := time.Duration(rapid.IntRange(1500, 5000).Draw(t, "deadline in ms")) * time.Millisecond
		others := rapid.IntRange(0, 3).Draw(t, "other customers")
		demands := []float64{1.5}
		for range others {
			part := 0.25 * rapid.Float64Range(0.1, 1).Draw(t, "demand")
			demands[0] -= part
			demands = append(demands, part)
		}
		f := simulate(demands, slots, deadline, constantDemand)
		require.GreaterOrEqual(t, f.busy, 0.95)
		require.GreaterOrEqual(t, f.served/(f.served+f.late), 0.97)
	})
}

// Guards against refusals below the capacity.
func TestNoRefusalBelowCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(10, 60).Draw(t, "slots")
		f := simulate([]float64{0.7}, slots, 3*time.Second, constantDemand)
		want := float64(int(0.7*float64(slots)*20/0.2/5)) * 5
		require.Zero(t, f.late)
		require.Zero(t, f.refused)
		// Work of the last second may still run.
		require.GreaterOrEqual(t, f.served, want-0.7*float64(slots)*5-5)
	})
}

// Guards against refusals that continue or recur after a load peak. The bound is from section 1.3 of the design page.
func TestRecoveryAfterPeakLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(20, 187).Draw(t, "slots")
		height := rapid.Float64Range(1.2, 4).Draw(t, "peak")
		const end = 10 * time.Second
		f := simulate([]float64{1}, slots, 3*time.Second, func(at time.Duration) float64 {
			if at < end {
				return height
			}
			return 0.7
		})
		require.LessOrEqual(t, f.refused, end+2*time.Second)
	})
}

// Guards against refusing the jobs of one customer because another one floods the queue.
func TestFloodDoesNotRefuseOthers(t *testing.T) {
	q := NewQueue(NewTeams(false))
	for job := 1; job <= 100; job++ {
		q.Push(tasks(job, 50, "flood", "t", 200*time.Millisecond))
	}
	load := fiveTaskJob(epoch.Add(3 * time.Second))
	require.False(t, Admit(q.Backlog(TeamKey{"flood", "t"}, 0), load, 10, epoch).Admit)
	require.True(t, Admit(q.Backlog(TeamKey{"calm", "t"}, 0), load, 10, epoch).Admit)
}

// Guards against refusing jobs of a kind with a few very long runs although nothing waits, and against accepting jobs
// whose typical run time exceeds the deadline.
func TestLongTailIsNotRefused(t *testing.T) {
	q := NewQueue(NewTeams(false))
	l := fiveTaskJob(epoch.Add(3 * time.Second))
	l.Longest = 10 * time.Second
	require.True(t, Admit(q.Backlog(TeamKey{"a", "t"}, 0), l, 10, epoch).Admit)
	l.Typical = 4 * time.Second
	require.False(t, Admit(q.Backlog(TeamKey{"a", "t"}, 0), l, 10, epoch).Admit)
}

// Guards against refusing an urgent job that would be served before the rest of its team's work, and against accepting
// one that makes accepted jobs miss their deadlines.
func TestUrgentJobOvertakesWithinItsTeam(t *testing.T) {
	urgent := fiveTaskJob(epoch.Add(time.Second))
	q := NewQueue(NewTeams(false))
	q.Push(tasks(1, 100, "a", "t", 200*time.Millisecond))
	require.True(t, Admit(q.Backlog(TeamKey{"a", "t"}, 0), urgent, 10, epoch).Admit)
	q.Push(tasks(2, 150, "a", "t", 200*time.Millisecond))
	v := Admit(q.Backlog(TeamKey{"a", "t"}, 0), urgent, 10, epoch)
	require.False(t, v.Admit)
	require.Positive(t, v.RetryAfter)
}

// Guards against quota shares that oscillate, become negative or leave a demand unmet that the quota covers.
func TestTransferAmountConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) int { return rapid.IntRange(0, 100).Draw(t, label) }
		a, b := QuotaNeed{Held: draw("held a"), Demand: draw("a")}, QuotaNeed{Held: draw("held b"), Demand: draw("b")}
		total := a.Held + b.Held
		moves := 0
		for moves <= 40 {
			toB, toA := TransferAmount(a, b), TransferAmount(b, a)
			require.True(t, toA == 0 || toB == 0, "both sides would transfer quota")
			if toA+toB == 0 {
				break
			}
			moves++
			a.Held, b.Held = a.Held-toB+toA, b.Held-toA+toB
			require.True(t, a.Held >= 0 && b.Held >= 0)
		}
		require.LessOrEqual(t, moves, 40)
		if a.Demand+b.Demand <= total {
			require.True(t, a.Held >= a.Demand && b.Held >= b.Demand, "the quota covers both demands: %v %v", a, b)
		}
	})
}

func BenchmarkAdmit490Customers(b *testing.B) {
	q := NewQueue(NewTeams(false))
	for n := range 490 {
		q.Push(tasks(n+1, 20, fmt.Sprint(n), "t", 200*time.Millisecond))
		q.Pop(false)
	}
	for b.Loop() {
		Admit(q.Backlog(TeamKey{"0", "t"}, 0), fiveTaskJob(epoch.Add(time.Second)), 187, epoch)
	}
}
