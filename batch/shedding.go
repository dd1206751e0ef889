package batch

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

// shedReason is why a job of which no task has started is refused before its deadline is at stake.
type shedReason uint8

const (
	keep shedReason = iota
	// shedOnArrival jobs would wait so long that their answer would be of no use, even if no other priority is served.
	shedOnArrival
	// shedTarget jobs cannot meet their target any more, and others wait that may.
	shedTarget
	// shedUseless jobs would be answered when it is of no use any more.
	shedUseless
)

// shedReasons holds the text of each reason in answers and logs, and its suffix in the names of counters.
var shedReasons = [...]struct{ text, counter string }{
	keep:          {"", ""},
	shedOnArrival: {"the expected wait is too long", "arrival"},
	shedTarget:    {"latency target missed while others wait", "target"},
	shedUseless:   {"too late to be of use", "useless"},
}

// String returns the text of the reason.
func (r shedReason) String() string { return shedReasons[r].text }

// sheddable is a job none of whose tasks has started, as the decision to refuse it sees it.
type sheddable struct {
	times contract.AnswerTimes
	// expected is the run time of the job on idle workers, work that of all its tasks.
	expected time.Duration
	work     time.Duration
	priority int
}

// attainable reports whether the job could have met its target if it had started at once. Otherwise the target says nothing about the
// value of an answer.
func (s sheddable) attainable() bool {
	return s.times.Expect(s.times.Accepted, s.expected) == contract.OnTime
}

// whileWaiting decides whether a waiting job is refused. While any owner has free capacity it is kept.
func (s sheddable) whileWaiting(now time.Time, backlog func() zone.Backlog) shedReason {
	if !s.attainable() {
		return keep
	}
	use := s.times.Expect(now, s.expected)
	if use == contract.OnTime {
		return keep
	}
	b := backlog()
	switch {
	case !b.Full():
		return keep
	case use >= contract.Useless:
		return shedUseless
	case b.Total() > s.work:
		return shedTarget
	default:
		return keep
	}
}

// onArrival decides whether a new job is refused. The wait is the shortest that is possible: an estimate of it must not refuse a job that
// could have been served.
func (s sheddable) onArrival(now time.Time, b zone.Backlog) shedReason {
	if s.attainable() && b.Full() && s.times.At(now.Add(b.LeastWait(s.priority)+s.expected)) >= contract.Useless {
		return shedOnArrival
	}
	return keep
}

// sheddable returns what decides whether a job is refused.
func (j *job) sheddable() sheddable {
	s := sheddable{times: j.times(j.batch.Deadline), expected: j.expected, priority: j.batch.Priority}
	for i, step := range j.batch.Steps {
		s.work += time.Duration(step.Count) * j.steps[i].expected
	}
	return s
}

// checkShedding refuses a waiting job whose answer would come too late to be worth the room that it takes. Its queued runs are
// recalled first, and the job is refused once all are back. If one has started meanwhile, the job goes on. The lock of the job's shard
// is held.
func (h *Home) checkShedding(j *job, now time.Time, out *outbox) {
	if !h.o.Overload.Shed || j.state != jobActive {
		return
	}
	if j.mayHaveRun || !j.queued() || (!h.o.LateStarts.Empty() && h.anyLateStart(&j.batch)) {
		h.keepStarted(j)
		if !j.queued() && j.times(j.batch.Deadline).Expect(now, j.expected) != contract.OnTime {
			// There may have been free capacity when the last report of a start came.
			h.announceStart(j, out)
		}
		return
	}
	if j.shedding == keep && !h.beginShedding(j, now) {
		return
	}
	h.recallAll(j, now, out)
	if j.noLiveRuns() {
		h.countShed(&j.batch, j.shedding)
		h.endJob(j, Refused, j.shedding.String(), now, out)
	}
}

// beginShedding decides whether a waiting job is refused, and logs it.
func (h *Home) beginShedding(j *job, now time.Time) bool {
	var backlog zone.Backlog
	j.shedding = j.sheddable().whileWaiting(now, func() zone.Backlog {
		backlog = h.o.Capacity.Backlog(j.batch.Backend)
		return backlog
	})
	if j.shedding == keep {
		return false
	}
	h.o.Logger.Info("refusing a job that waits; recalling its queued runs", "job", j.batch.ID, "route", j.batch.Route,
		"priority", j.batch.Priority, "reason", j.shedding.String(), "waited", now.Sub(j.batch.Accepted),
		"target", j.target.Sub(j.batch.Accepted), "expected", j.expected, "work_waiting", backlog.Total(), "slots", backlog.Slots)
	return true
}

// keepStarted gives up the refusal of a job of which a run has started meanwhile.
func (h *Home) keepStarted(j *job) {
	if j.shedding == keep {
		return
	}
	h.o.Logger.Info("job is not refused: a run may have started meanwhile", "job", j.batch.ID, "route", j.batch.Route,
		"reason", j.shedding.String())
	j.shedding = keep
}

// recallAll recalls the queued runs of a job, again if there was no answer for recallRetry.
func (h *Home) recallAll(j *job, now time.Time, out *outbox) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskPlaced && now.Sub(t.recalledAt) > recallRetry {
			t.recalledAt = now
			out.recall(j.poolRef(t), j.key(t))
		}
	}
}

// announceStart tells the owners of the queued runs of a job that a task of it has started, so that the work done is not wasted. That
// matters only while no owner has free capacity. The lock of the job's shard is held.
func (h *Home) announceStart(j *job, out *outbox) {
	if !h.o.Overload.Shed || j.announcedStart || j.state != jobActive {
		return
	}
	waiting := func(t task) bool { return t.state == taskPlaced && !t.started }
	if !slices.ContainsFunc(j.tasks, waiting) || !h.o.Capacity.Backlog(j.batch.Backend).Full() {
		return
	}
	j.announcedStart = true
	for i := range j.tasks {
		if t := &j.tasks[i]; waiting(*t) {
			out.jobStarted(j.poolRef(t), j.key(t))
		}
	}
}

// countShed counts a job that is refused before its deadline is at stake.
func (h *Home) countShed(b *contract.Batch, reason shedReason) {
	h.counter(metric.BatchJobsRefused).Inc(1)
	h.counter(metric.BatchJobsShed).Inc(1)
	h.counter(metric.BatchJobsShedFor(b.Priority, shedReasons[reason].counter)).Inc(1)
}

// refuseOnArrival refuses a new job that would wait for too long. It returns nil for a job that is not refused.
func (h *Home) refuseOnArrival(j *job, now time.Time) *Answer {
	if !h.o.Overload.Shed {
		return nil
	}
	b := h.o.Capacity.Backlog(j.batch.Backend)
	reason := j.sheddable().onArrival(now, b)
	if reason == keep {
		return nil
	}
	h.countShed(&j.batch, reason)
	h.o.Logger.Info("job refused at once", "job", j.batch.ID, "route", j.batch.Route, "priority", j.batch.Priority,
		"reason", reason.String(), "least_wait", b.LeastWait(j.batch.Priority), "expected", j.expected,
		"target_in", j.target.Sub(now))
	return &Answer{Outcome: h.refusedOutcome(&j.batch), Reason: reason.String(), RetryAfter: b.Drain(j.batch.Priority)}
}

// expectedWait returns the wait that the deadline of a new job is compared with. It returns false if no owner has workers.
func (h *Home) expectedWait(b *contract.Batch) (time.Duration, bool) {
	wait, known := h.o.Capacity.Wait(b.Backend, b.Priority)
	if known && h.o.Overload.Shed {
		// Routes of higher priority get only their share before it.
		wait = min(wait, h.o.Capacity.Backlog(b.Backend).LeastWait(b.Priority))
	}
	return wait, known
}

// retryAfter returns how long the work waits that is queued now and goes before a refused job; zero if nothing is known of it.
func (h *Home) retryAfter(b *contract.Batch) time.Duration {
	if h.o.Overload.Shed {
		return h.o.Capacity.Backlog(b.Backend).Drain(b.Priority)
	}
	wait, _ := h.o.Capacity.Wait(b.Backend, b.Priority)
	return wait
}
