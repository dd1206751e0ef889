package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

// full is the capacity of an owner with ten slots, all busy, and waiting work of priority 0.
func full(waiting time.Duration) *zone.BackendCapacity {
	return &zone.BackendCapacity{Slots: 10, Waiting: [zone.Priorities]time.Duration{waiting}}
}

func backlogOf(c *zone.BackendCapacity) zone.Backlog {
	v := zone.NewCapacityView("self/1", "z")
	v.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": c})
	return v.Backlog("s")
}

// testSheddable is a job of 100 ms with a target of 200 ms, whose answer is of no use after 600 ms.
func testSheddable() sheddable {
	start := time.Unix(1000, 0)
	return sheddable{
		times: contract.AnswerTimes{
			Accepted: start, Target: start.Add(200 * time.Millisecond), Deadline: start.Add(3 * time.Second),
		},
		expected: 100 * time.Millisecond, work: 200 * time.Millisecond,
	}
}

// Guards against refusing a waiting job that could be on time, or while there is room or nobody else waits, and against keeping one whose
// answer would be of no use.
func TestSheddingOfWaitingJobs(t *testing.T) {
	othersWait, room := full(10*time.Second), &zone.BackendCapacity{Slots: 10, Free: 1, Waiting: [zone.Priorities]time.Duration{time.Second}}
	for name, c := range map[string]struct {
		afterMs  int
		capacity *zone.BackendCapacity
		change   func(s *sheddable)
		want     shedReason
	}{
		"at once":                        {0, othersWait, nil, keep},
		"on time with a longer run":      {75, othersWait, nil, keep},
		"on time with no longer run":     {76, othersWait, nil, shedTarget},
		"late, free capacity":            {300, room, nil, keep},
		"late, waits alone":              {300, full(150 * time.Millisecond), nil, keep},
		"late, nothing known":            {300, nil, nil, keep},
		"of no use":                      {501, othersWait, nil, shedUseless},
		"of no use, waits alone":         {501, full(150 * time.Millisecond), nil, shedUseless},
		"of no use, free capacity":       {501, room, nil, keep},
		"target that was out of reach":   {501, othersWait, func(s *sheddable) { s.expected = time.Second }, keep},
		"job without a target":           {501, othersWait, func(s *sheddable) { s.times.Target = s.times.Accepted }, keep},
		"cannot end before its deadline": {2950, othersWait, nil, shedUseless},
	} {
		s, backlog := testSheddable(), zone.Backlog{}
		if c.capacity != nil {
			backlog = backlogOf(c.capacity)
		}
		if c.change != nil {
			c.change(&s)
		}
		now := s.times.Accepted.Add(time.Duration(c.afterMs) * time.Millisecond)
		require.Equal(t, c.want, s.whileWaiting(now, func() zone.Backlog { return backlog }), name)
	}
}

// Guards against refusing a new job by an estimate although it could be served: only the work of its own priority counts.
func TestSheddingOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  time.Duration
		priority int
		want     shedReason
	}{
		"late at best":             {4 * time.Second, 0, keep},
		"at the limit":             {5 * time.Second, 0, keep},
		"of no use at best":        {5100 * time.Millisecond, 0, shedOnArrival},
		"work of another priority": {time.Minute, 1, keep},
		"nothing waits":            {0, 0, keep},
	} {
		s := testSheddable()
		s.priority = c.priority
		require.Equal(t, c.want, s.onArrival(s.times.Accepted, backlogOf(full(c.waiting))), name)
	}
}

// shedHome returns a home that sheds, whose only owner is full.
func shedHome(shed bool) (*Home, *recorder) {
	h, out := newTestHome()
	h.o.Overload.Shed = shed
	h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": full(3 * time.Second)})
	return h, out
}

// submitTo submits a job of two tasks of 80 ms with a target of about 145 ms.
func submitTo(h *Home) chan Answer {
	done := make(chan Answer, 1)
	go func() { done <- h.Submit(context.Background(), testBatch(2, 3*time.Second)) }()
	synctest.Wait()
	return done
}

// Guards against a refusal that comes late, that leaves runs in the queue of an owner, or that is given before all are back.
func TestJobThatMissesItsTargetIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := shedHome(true)
		defer h.Close()
		done := submitTo(h)
		time.Sleep(120 * time.Millisecond)
		require.Len(t, out.recalled(), 2)
		keys := out.recalled()
		reportRun(h, keys[0], contract.RunEnded, false)
		require.Empty(t, done, "a run may still start")
		reportRun(h, keys[1], contract.RunEnded, false)
		synctest.Wait()
		answer := <-done
		require.Equal(t, Refused, answer.Outcome)
		require.Equal(t, shedTarget.String(), answer.Reason)
		require.Equal(t, 316*time.Millisecond, answer.RetryAfter.Round(time.Millisecond),
			"3 s of work in 10 slots, and that of the job until the next report of the owner")
		require.Len(t, out.sentOrders(), 2, "no task is ordered again")
		require.Empty(t, out.withdrawn())
		require.EqualValues(t, 1, h.counter(metric.BatchJobsShed).Count())
		require.EqualValues(t, 1, h.counter(metric.BatchJobsShedFor(0, "target")).Count())
	})
}

// Guards against a refusal although a run has started meanwhile, and against a job that hangs then: the recalled task is ordered again,
// as one of a started job.
func TestJobGoesOnIfARunHasStartedMeanwhile(t *testing.T) {
	for name, started := range map[string]contract.RunReport{
		"started":          {State: contract.RunStarted, MayHaveStarted: true, Token: 1},
		"start under way":  {State: contract.RunQueued, MayHaveStarted: true},
		"ended after that": {State: contract.RunDone, MayHaveStarted: true, Token: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, out := shedHome(true)
				defer h.Close()
				done := submitTo(h)
				time.Sleep(120 * time.Millisecond)
				keys := out.recalled()
				reportRun(h, keys[0], contract.RunEnded, false)
				require.Len(t, out.sentOrders(), 2)
				started.Key = keys[1]
				h.Report(PoolRef{Owner: testOwner, Backend: "s"}, started)
				require.Len(t, out.sentOrders(), 3)
				again := out.sentOrders()[2]
				reportRun(h, again.Key, contract.RunDone, true)
				reportRun(h, keys[1], contract.RunDone, true)
				require.Equal(t, Completed, (<-done).Outcome)
			})
		})
	}
}

// Guards against a refusal of a job of which a run may have started: its owner is lost while its runs are being recalled.
func TestLostOwnerPreventsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := shedHome(true)
		defer h.Close()
		done := submitTo(h)
		time.Sleep(120 * time.Millisecond)
		reportRun(h, out.recalled()[0], contract.RunEnded, false)
		h.OwnerUnreachable(testOwner)
		h.o.Capacity.Remove(testOwner)
		answer := <-done
		require.Equal(t, Abandoned, answer.Outcome)
	})
}

// Guards against an answer that never comes since a recall was lost.
func TestRecallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := shedHome(true)
		defer h.Close()
		submitTo(h)
		time.Sleep(450 * time.Millisecond)
		require.Len(t, out.recalled(), 4)
	})
}

// Guards against an effect without the setting.
func TestNothingIsShedWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := shedHome(false)
		defer h.Close()
		done := submitTo(h)
		time.Sleep(900 * time.Millisecond)
		require.Empty(t, out.recalled())
		require.Empty(t, done)
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		require.Empty(t, out.urgent)
	})
}

// Guards against work that is wasted since the other tasks of a started job wait behind new jobs at other owners, and against messages
// that nobody needs while there is room.
func TestOwnersHearThatAJobHasStarted(t *testing.T) {
	for name, c := range map[string]struct {
		capacity *zone.BackendCapacity
		want     int
	}{
		"full": {full(3 * time.Second), 1},
		"room": {&zone.BackendCapacity{Slots: 10, Free: 5}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, out := shedHome(true)
			defer h.Close()
			h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": c.capacity})
			submitTo(h)
			orders := out.sentOrders()
			reportRun(h, orders[0].Key, contract.RunStarted, true)
			reportRun(h, orders[0].Key, contract.RunStarted, true)
			require.Len(t, out.urgent, c.want, name)
			if c.want > 0 {
				require.Equal(t, orders[1].Key, out.urgent[0])
			}
		})
	}
}
