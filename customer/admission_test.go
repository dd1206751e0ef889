package customer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// oneSecond is a job of five tasks.
func oneSecond(deadline time.Time) Load {
	const task = 200 * time.Millisecond
	return Load{Work: 5 * task, Typical: task, Longest: task, Deadline: deadline}
}

// crest runs admission and a fluid server with the given slots against steady demands, one for each customer, and
// returns the answered and the late work and the share of the time in which the slots were busy. It is a function of
// time without any clock.
func crest(demands []float64, slots int, deadline time.Duration) (served, late, busy float64) {
	const step, steps = 10 * time.Millisecond, 2000
	q := NewQueue(NewTeams(false))
	now, job := epoch, 0
	owed := make([]float64, len(demands))
	free := make([]time.Time, slots)
	for range steps {
		now = now.Add(step)
		q.Advance(now)
		for n, demand := range demands {
			who := string(rune('a' + n))
			for owed[n] += demand * float64(slots) * step.Seconds() / 0.2; owed[n] >= 5; owed[n] -= 5 {
				job++
				load := oneSecond(now.Add(deadline))
				if !Admit(q.Backlog(TeamKey{who, "t"}, 0), load, float64(slots), now).Admit {
					continue
				}
				items := tasks(job, 5, who, "t", 200*time.Millisecond)
				for i := range items {
					items[i].Enqueued, items[i].Deadline = now, now.Add(deadline)
				}
				q.Push(items)
			}
		}
		for i := range free {
			if free[i].After(now) {
				busy++
				continue
			}
			it, ok := q.Pop(false)
			if !ok {
				continue
			}
			busy++
			free[i] = now.Add(200 * time.Millisecond)
			if free[i].After(it.Deadline) {
				late++
			} else {
				served++
			}
		}
	}
	return served, late, busy / float64(steps*slots)
}

// Guards against work that is accepted and answered too late, and against refusals that leave slots idle at a crest,
// also when one customer has most of the demand. The bounds are those of section 1.3 of the design page.
func TestAdmissionAtTheCrest(t *testing.T) {
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
		served, late, busy := crest(demands, slots, deadline)
		require.GreaterOrEqual(t, busy, 0.95)
		require.GreaterOrEqual(t, served/(served+late), 0.97)
	})
}

// Guards against refusals below the capacity.
func TestNoRefusalBelowCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(10, 60).Draw(t, "slots")
		served, late, _ := crest([]float64{0.7}, slots, 3*time.Second)
		want := float64(int(0.7*float64(slots)*20/0.2/5)) * 5
		require.Zero(t, late)
		// Work of the last second may still run.
		require.GreaterOrEqual(t, served, want-0.7*float64(slots)*5-5)
	})
}

// Guards against a flood of one customer that has another's jobs refused.
func TestFloodDoesNotRefuseOthers(t *testing.T) {
	q := NewQueue(NewTeams(false))
	for job := 1; job <= 100; job++ {
		q.Push(tasks(job, 50, "flood", "t", 200*time.Millisecond))
	}
	load := oneSecond(epoch.Add(3 * time.Second))
	require.False(t, Admit(q.Backlog(TeamKey{"flood", "t"}, 0), load, 10, epoch).Admit)
	require.True(t, Admit(q.Backlog(TeamKey{"calm", "t"}, 0), load, 10, epoch).Admit)
}

// Guards against an urgent job that is refused although it would be served before the rest of its team's work, and
// against one that makes accepted jobs late.
func TestUrgentJobOvertakesWithinItsTeam(t *testing.T) {
	urgent := oneSecond(epoch.Add(time.Second))
	q := NewQueue(NewTeams(false))
	q.Push(tasks(1, 100, "a", "t", 200*time.Millisecond))
	require.True(t, Admit(q.Backlog(TeamKey{"a", "t"}, 0), urgent, 10, epoch).Admit)
	q.Push(tasks(2, 150, "a", "t", 200*time.Millisecond))
	v := Admit(q.Backlog(TeamKey{"a", "t"}, 0), urgent, 10, epoch)
	require.False(t, v.Admit)
	require.Positive(t, v.RetryAfter)
}

// Guards against shares that go back and forth or that exceed what the asker can use.
func TestQuotaToGiveSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) int { return rapid.IntRange(0, 100).Draw(t, label) }
		a, b := QuotaNeed{Held: draw("held a"), Demand: draw("a")}, QuotaNeed{Held: draw("held b"), Demand: draw("b")}
		total := a.Held + b.Held
		moves := 0
		for moves <= 40 {
			toB, toA := QuotaToGive(a, b), QuotaToGive(b, a)
			require.True(t, toA == 0 || toB == 0, "both would give")
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
