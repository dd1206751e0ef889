package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/timeline"
)

const (
	// defaultDeadline applies to a job without a deadline whose first request kind declares none either.
	defaultDeadline = 10 * time.Second
	// shortLease and longLease are how long a task of a class continues to run after its home node has died. A start
	// without an answer for that long is in doubt, so they exceed the run time of most tasks of the class.
	shortLease = 10 * time.Second
	longLease  = 30 * time.Second
	// startWindow is the time after the decision within which the worker may start the task.
	startWindow = time.Second
	// resolveInterval is the time between queries to a worker about a start in doubt.
	resolveInterval = 250 * time.Millisecond
	// resolveTimeout is how long an unreachable worker is queried before the outcome counts as unknown.
	resolveTimeout = 5 * time.Second
)

func (d *Dispatcher) mayStart() bool { return d.o.MayStart == nil || d.o.MayStart() }

// run starts one task and records its outcome.
func (d *Dispatcher) run(sched *Scheduler, a Assignment) {
	defer d.goroutines.Done()
	ticket, ok := d.o.Table.Start(a.Item.Task, string(a.Slot.Worker))
	if !ok {
		// The job was cancelled while the task waited.
		d.wake(a.Item, sched.queue.Refund(a.Item))
		d.execute(sched, sched.Release(a.Slot, d.o.Now()))
		return
	}
	req := StartRequest{
		Ticket: ticket, Worker: a.Slot.Worker, Incarnation: d.workerIncarnation(a.Slot.Worker), Epoch: a.Slot.Epoch,
		Attempt: a.Item.Attempts + 1, StartBy: d.o.Now().Add(startWindow), Lease: leaseOf(a.Item.Class),
	}
	d.counters.started.Inc(1)
	d.retries.Earn()
	task := d.tasks.add(sched, a, req, d.o.Now())
	d.o.Timeline.Task(timeline.TaskStarted, ticket.Task, a.Slot.Worker, "")
	reply, err := d.send(req)
	if err != nil && !fault.IsProvenNotStarted(err) {
		d.counters.inDoubt.Inc(1)
		d.o.Timeline.Task(timeline.TaskInDoubt, ticket.Task, a.Slot.Worker, "")
		reply, err = d.resolve(req)
	}
	reclassified, actionTaken, released := d.tasks.remove(task)
	if reclassified {
		a.Item.Kind.RemoveReclassified()
	}
	// The slot may have been reclassified as held by long work, also while the start was in doubt.
	a.Slot = task.assignment.Slot
	if err != nil {
		d.notStarted(sched, a, released, err)
		return
	}
	sched.observeStart(a, false, d.o.Now())
	d.observeOutcome(a, reply, actionTaken)
	d.finish(a, reply)
	d.wake(a.Item, sched.queue.Finished(a.Item, reply.RunTime))
	if !released {
		d.execute(sched, sched.ReleaseOrReturn(a.Slot, d.accepts(a.Slot.Worker), d.o.Now()))
	}
}

func leaseOf(c backend.Class) time.Duration {
	if c == backend.ClassLong {
		return longLease
	}
	return shortLease
}

// resolve queries the worker about a start in doubt until it reports the outcome or counts as lost.
func (d *Dispatcher) resolve(req StartRequest) (StartReply, error) {
	until := d.o.Now().Add(resolveTimeout)
	for {
		reply, err := d.o.Starter.Resolve(d.ctx, req)
		if err == nil || fault.IsProvenNotStarted(err) {
			d.counters.resolved.Inc(1)
			d.o.Timeline.Task(timeline.TaskResolved, req.Ticket.Task, req.Worker, reply.Outcome.String())
			return reply, err
		}
		if fault.Reason(err) == fault.ReasonRunning {
			until = d.o.Now().Add(resolveTimeout)
		}
		if d.o.Now().After(until) {
			return StartReply{Outcome: contract.OutcomeUnknown, Detail: err.Error()}, nil
		}
		select {
		case <-time.After(resolveInterval):
		case <-d.ctx.Done():
			return StartReply{Outcome: contract.OutcomeUnknown, Detail: "entry VM stopped"}, nil
		}
	}
}

// notStarted requeues a task whose start is proven not to have happened. released is set if its slot was already given
// up.
func (d *Dispatcher) notStarted(sched *Scheduler, a Assignment, released bool, cause error) {
	d.counters.rejected.Inc(1)
	if fault.Reason(cause) == fault.ReasonNotSent {
		d.counters.notSent.Inc(1)
	}
	d.o.Timeline.Task(timeline.TaskRejected, a.Item.Task, a.Slot.Worker, fault.Reason(cause))
	now := d.o.Now()
	requeue := d.o.Table.NotStarted(a.Item.Task, now)
	d.wake(a.Item, sched.queue.Refund(a.Item))
	full := fault.Reason(cause) == ReasonWorkerFull
	if !released {
		d.execute(sched, sched.Reject(a.Slot, full, now))
	}
	if !full {
		// A full worker is healthy: two allocators have granted the same slots, which the allocators correct.
		d.observeRejection(sched, a, now)
	}
	if !requeue || d.failExpired(&a, now) {
		return
	}
	d.o.Logger.Debug("task was not started; it is queued again after a delay",
		"task", a.Item.Task, "worker", a.Slot.Worker, "error", cause)
	select {
	case <-time.After(d.retryPause(a.Item.Attempts, full)):
	case <-d.ctx.Done():
		return
	}
	d.execute(sched, sched.Push([]customer.Item{a.Item}, d.o.Now()))
}

// retryPause returns the delay before a rejected task is queued again. The retry budget does not apply to rejections by
// full workers under the baseline policies: they are expected, the policies avoid the worker for a while, and the
// budget would only delay the tasks.
func (d *Dispatcher) retryPause(attempt int, full bool) time.Duration {
	if full && d.o.Placement != nil {
		return retryDelay
	}
	return d.retries.Delay(attempt, jitter())
}

// finish records the outcome of a task that was started.
func (d *Dispatcher) finish(a Assignment, r StartReply) {
	switch r.Outcome {
	case contract.OutcomeDone:
		d.counters.done.Inc(1)
	case contract.OutcomeFailed:
		d.counters.taskFailed.Inc(1)
	default:
		d.counters.unknown.Inc(1)
	}
	d.o.Timeline.Task(outcomeKind(r.Outcome), a.Item.Task, a.Slot.Worker, r.Detail)
	report := contract.TaskReport{
		Outcome: r.Outcome, Detail: r.Detail, RunTime: r.RunTime, Worker: string(a.Slot.Worker),
	}
	answer, last := d.o.Table.Finish(a.Item.Task, report, r.Result, d.o.Now())
	if !last {
		return
	}
	if answer.Verdict == contract.VerdictComplete {
		d.counters.complete.Inc(1)
		d.o.Timeline.Job(timeline.JobComplete, a.Item.Task.Job, "", len(answer.Reports))
	} else {
		d.counters.failed.Inc(1)
		d.o.Timeline.Job(timeline.JobFailed, a.Item.Task.Job, answer.Reason, len(answer.Reports))
	}
}

// outcomeKind returns the event kind for the final outcome of a task.
func outcomeKind(o contract.Outcome) timeline.Kind {
	switch o {
	case contract.OutcomeDone:
		return timeline.TaskDone
	case contract.OutcomeFailed:
		return timeline.TaskFailed
	case contract.OutcomeNotRun:
		return timeline.TaskNotRun
	default:
		return timeline.TaskUnknown
	}
}
