package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

const (
	runningShards = 16
	// checkInterval is the time between checks of the running tasks.
	checkInterval = 100 * time.Millisecond
	// leaseRenewals is the number of renewals per lease term, so that two of them may be lost.
	leaseRenewals = 3
)

// ControlReply is a worker's reply to a call about a running task.
type ControlReply struct {
	// SlotFreed is set if the worker has made the slot of the task available to another task.
	SlotFreed bool
}

// TaskControl renews and controls running tasks. The calls are idempotent and do not affect a task that has ended.
type TaskControl interface {
	// Renew extends the lease of a running task.
	Renew(ctx context.Context, req StartRequest) error
	// ApplyAction throttles, checkpoints or stops a running task. The start of a stopped task reports it as failed.
	ApplyAction(ctx context.Context, req StartRequest, action backend.StragglerAction) (ControlReply, error)
}

// runningTask is a task whose start was sent. The lock of its shard guards assignment.Slot and the fields from renewed
// on.
type runningTask struct {
	scheduler  *Scheduler
	assignment Assignment
	req        StartRequest
	started    time.Time

	renewed      time.Time
	renewing     bool
	reclassified bool
	actionTaken  bool
	// released is set if the slot was given up before the end of the task.
	released bool
}

// runningTasks holds the tasks that this home node has started, in shards by task. mu guards lastCheck.
type runningTasks struct {
	shards [runningShards]runningShard

	mu        sync.Mutex
	lastCheck time.Time
}

type runningShard struct {
	mu    sync.Mutex
	tasks map[contract.TaskID]*runningTask
}

func newRunningTasks() *runningTasks {
	r := &runningTasks{}
	for i := range r.shards {
		r.shards[i].tasks = make(map[contract.TaskID]*runningTask)
	}
	return r
}

func (r *runningTasks) shard(id contract.TaskID) *runningShard {
	return &r.shards[(id.Job.Seq+uint64(id.Index))%runningShards]
}

func (r *runningTasks) add(sched *Scheduler, a Assignment, req StartRequest, now time.Time) *runningTask {
	t := &runningTask{scheduler: sched, assignment: a, req: req, started: now, renewed: now}
	s := r.shard(a.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks[a.Item.Task] = t
	return t
}

// remove removes a task and returns whether it was reclassified, was subject to a straggler action and gave up its
// slot.
func (r *runningTasks) remove(t *runningTask) (reclassified, actionTaken, released bool) {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tasks, t.assignment.Item.Task)
	return t.reclassified, t.actionTaken, t.released
}

// markLong counts the slot of a task as held by long work. It returns false if the task has ended, has given up its
// slot or already has a slot for long work.
func (r *runningTasks) markLong(t *runningTask) bool {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.assignment.Item.Task] != t || t.released || t.assignment.Slot.Long {
		return false
	}
	// The scheduler is updated under the lock of the shard, so that the slot cannot be released in between.
	t.scheduler.reclassify(t.assignment.Slot)
	t.assignment.Slot.Long = true
	return true
}

// release marks the slot of a task as given up. It returns false if the task has ended or has already given it up.
func (r *runningTasks) release(t *runningTask) (contract.Slot, bool) {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.assignment.Item.Task] != t || t.released {
		return contract.Slot{}, false
	}
	t.released = true
	return t.assignment.Slot, true
}

// due reports whether the running tasks have to be checked again and records the check.
func (r *runningTasks) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastCheck) < checkInterval {
		return false
	}
	r.lastCheck = now
	return true
}

// pendingAction lists the actions for a running task. They are carried out after the lock is released.
type pendingAction struct {
	task     *runningTask
	renew    bool
	decision backend.Decision
}

// pendingActions returns the actions that are due at now for all running tasks.
func (r *runningTasks) pendingActions(now time.Time, speed func(machine.WorkerID) float64) []pendingAction {
	var out []pendingAction
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, t := range s.tasks {
			if d := t.pendingAction(now, speed); d.renew || d.decision != (backend.Decision{}) {
				out = append(out, d)
			}
		}
		s.mu.Unlock()
	}
	return out
}

// pendingAction returns the actions that are due for a task and marks them as taken. It expects the shard lock to be
// held.
func (t *runningTask) pendingAction(now time.Time, speed func(machine.WorkerID) float64) pendingAction {
	d := pendingAction{task: t}
	if !t.renewing && now.Sub(t.renewed) >= t.req.Lease/leaseRenewals {
		t.renewing, d.renew = true, true
	}
	elapsed := now.Sub(t.started)
	if elapsed <= backend.LongThreshold {
		return d
	}
	item := &t.assignment.Item
	d.decision = item.Kind.Evaluate(backend.Progress{
		Elapsed: elapsed, Class: item.Class, Reclassified: t.reclassified, ActionTaken: t.actionTaken,
	}, speed(t.assignment.Slot.Worker))
	t.reclassified = t.reclassified || d.decision.Reclassify
	t.actionTaken = t.actionTaken || d.decision.Straggler != backend.StragglerWait
	return d
}

// finishRenewal records the end of a renewal; ok is set if it succeeded.
func (r *runningTasks) finishRenewal(t *runningTask, ok bool, now time.Time) {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.renewing = false
	if ok {
		t.renewed = now
	}
}

// checkRunning renews leases, reclassifies tasks that exceed the short-task limit and acts on stragglers.
func (d *Dispatcher) checkRunning(now time.Time) {
	if !d.tasks.due(now) {
		return
	}
	for _, x := range d.tasks.pendingActions(now, d.workerSpeed) {
		if x.decision.Reclassify {
			d.reclassify(x.task)
		}
		if d.o.Control == nil {
			continue
		}
		if x.renew {
			d.goroutines.Go(func() { d.renew(x.task) })
		}
		if x.decision.Straggler != backend.StragglerWait {
			d.counters.stragglers.Inc(1)
			d.o.Timeline.Task(timeline.TaskStraggling, x.task.req.Ticket.Task, x.task.req.Worker, "straggler")
			d.goroutines.Go(func() { d.applyAction(x.task, x.decision.Straggler) })
		}
	}
}

// reclassify counts a running task as long work, for its kind and for the slots of its worker.
func (d *Dispatcher) reclassify(t *runningTask) {
	d.counters.reclassified.Inc(1)
	d.o.Timeline.Task(timeline.TaskStraggling, t.req.Ticket.Task, t.req.Worker, "outgrew its class")
	t.assignment.Item.Kind.AddReclassified()
	if d.tasks.markLong(t) && d.o.SlotReclassified != nil {
		d.o.SlotReclassified(t.scheduler.service.Name(), t.req.Worker)
	}
}

func (d *Dispatcher) renew(t *runningTask) {
	err := d.o.Control.Renew(d.ctx, t.req)
	d.tasks.finishRenewal(t, err == nil, d.o.Now())
}

func (d *Dispatcher) applyAction(t *runningTask, action backend.StragglerAction) {
	reply, err := d.o.Control.ApplyAction(d.ctx, t.req, action)
	if err != nil {
		d.o.Logger.Debug("straggler action failed and is not repeated",
			"task", t.req.Ticket.Task, "worker", t.req.Worker, "error", err)
		return
	}
	if !reply.SlotFreed || action == backend.StragglerStop {
		return
	}
	if slot, ok := d.tasks.release(t); ok {
		d.execute(t.scheduler, t.scheduler.ReleaseOrReturn(slot, d.accepts(slot.Worker), d.o.Now()))
	}
}
