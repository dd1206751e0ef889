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
	// watchInterval spaces the looks at the running tasks.
	watchInterval = 100 * time.Millisecond
	// leaseRenewals is the number of renewals within a lease, so that two may be lost.
	leaseRenewals = 3
)

// ControlReply is a worker's reply to a call about a running task.
type ControlReply struct {
	// SlotFreed says that the worker has made the slot of the task available to another one.
	SlotFreed bool
}

// TaskControl acts on running tasks. The calls are idempotent, and a task that has ended is not affected.
type TaskControl interface {
	// Renew extends the lease of a running task.
	Renew(ctx context.Context, req StartRequest) error
	// Act throttles, checkpoints or stops a running task. A stopped task is reported as failed by its start.
	Act(ctx context.Context, req StartRequest, action backend.StragglerAction) (ControlReply, error)
}

// runningTask is a task whose start was sent. The lock of its shard guards the fields below it.
type runningTask struct {
	lane       *Lane
	assignment Assignment
	req        StartRequest
	started    time.Time

	renewed  time.Time
	renewing bool
	outgrown bool
	acted    bool
	// released says that the slot was given up before the end of the task.
	released bool
}

// runningTasks holds the tasks that this home has started, in shards by job.
type runningTasks struct {
	shards [runningShards]runningShard

	mu      sync.Mutex
	watched time.Time
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

func (r *runningTasks) add(l *Lane, a Assignment, req StartRequest, now time.Time) *runningTask {
	t := &runningTask{lane: l, assignment: a, req: req, started: now, renewed: now}
	s := r.shard(a.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks[a.Item.Task] = t
	return t
}

// remove ends the watch of a task and returns what had been done about it.
func (r *runningTasks) remove(t *runningTask) (outgrown, acted, released bool) {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tasks, t.assignment.Item.Task)
	return t.outgrown, t.acted, t.released
}

// markLong counts the slot of a task as held by long work. It returns false if the task has ended, has no slot or a slot
// for long work.
func (r *runningTasks) markLong(t *runningTask) bool {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.assignment.Item.Task] != t || t.released || t.assignment.Slot.Long {
		return false
	}
	// The lane is changed under the lock of the shard, so that the slot cannot be released in between.
	t.lane.outgrow(t.assignment.Slot)
	t.assignment.Slot.Long = true
	return true
}

// release marks the slot of a task as given up. It returns false if the task has ended or has no slot.
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

// due reports whether it is time for the next look.
func (r *runningTasks) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.watched) < watchInterval {
		return false
	}
	r.watched = now
	return true
}

// pendingAction is what has to be done about a running task, once the lock is released.
type pendingAction struct {
	task  *runningTask
	renew bool
	step  backend.Step
}

// pendingActions decides about all running tasks at now.
func (r *runningTasks) pendingActions(now time.Time, speed func(machine.WorkerID) float64) []pendingAction {
	var out []pendingAction
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, t := range s.tasks {
			if d := t.pendingAction(now, speed); d.renew || d.step != (backend.Step{}) {
				out = append(out, d)
			}
		}
		s.mu.Unlock()
	}
	return out
}

// pendingAction expects the shard lock to be held.
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
	d.step = item.Kind.Judge(backend.Progress{
		Elapsed: elapsed, Class: item.Class, Outgrown: t.outgrown, Acted: t.acted,
	}, speed(t.assignment.Slot.Worker))
	t.outgrown = t.outgrown || d.step.Outgrow
	t.acted = t.acted || d.step.Act != backend.StragglerWait
	return d
}

// renewed records the end of a renewal.
func (r *runningTasks) renewedAt(t *runningTask, ok bool, now time.Time) {
	s := r.shard(t.assignment.Item.Task)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.renewing = false
	if ok {
		t.renewed = now
	}
}

// watch renews leases and acts on tasks that have outgrown their class or become stragglers.
func (d *Dispatcher) watch(now time.Time) {
	if !d.tasks.due(now) {
		return
	}
	for _, x := range d.tasks.pendingActions(now, d.workerSpeed) {
		if x.step.Outgrow {
			d.outgrow(x.task)
		}
		if d.o.Control == nil {
			continue
		}
		if x.renew {
			d.running.Go(func() { d.renew(x.task) })
		}
		if x.step.Act != backend.StragglerWait {
			d.counters.stragglers.Inc(1)
			d.o.Timeline.Task(timeline.TaskStraggling, x.task.req.Ticket.Task, x.task.req.Worker, "straggler")
			d.running.Go(func() { d.act(x.task, x.step.Act) })
		}
	}
}

// outgrow counts a task as long from now on, for its kind and for the slots of its worker.
func (d *Dispatcher) outgrow(t *runningTask) {
	d.counters.outgrown.Inc(1)
	d.o.Timeline.Task(timeline.TaskStraggling, t.req.Ticket.Task, t.req.Worker, "outgrew its class")
	t.assignment.Item.Kind.Outgrow()
	if d.tasks.markLong(t) && d.o.SlotOutgrown != nil {
		d.o.SlotOutgrown(t.lane.service.Name(), t.req.Worker)
	}
}

func (d *Dispatcher) renew(t *runningTask) {
	err := d.o.Control.Renew(d.ctx, t.req)
	d.tasks.renewedAt(t, err == nil, d.o.Now())
}

func (d *Dispatcher) act(t *runningTask, action backend.StragglerAction) {
	reply, err := d.o.Control.Act(d.ctx, t.req, action)
	if err != nil {
		d.o.Logger.Debug("straggler action failed", "task", t.req.Ticket.Task, "worker", t.req.Worker, "error", err)
		return
	}
	if !reply.SlotFreed || action == backend.StragglerStop {
		return
	}
	if slot, ok := d.tasks.release(t); ok {
		d.carryOut(t.lane, t.lane.Leave(slot, d.accepts(slot.Worker), d.o.Now()))
	}
}
