package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/link"
)

const (
	// throttledRate is the fraction of a slot's speed at which a throttled task runs, without holding a slot.
	throttledRate = 0.25
	// defaultLease is the lease of starts that specify none.
	defaultLease = 24 * time.Hour
)

// taskControl is the state of a running task that its home, the entry VM that answers for the job, can change. The
// worker's mutex guards all fields but changed.
type taskControl struct {
	leaseEnd     time.Time
	stopReason   string
	throttled    bool
	checkpointed bool
	// changed wakes the goroutine of the task.
	changed chan struct{}
}

func newTaskControl(c *app.RequestContext) taskControl {
	return taskControl{leaseEnd: time.Now().Add(leaseOf(c)), changed: make(chan struct{}, 1)}
}

func leaseOf(c *app.RequestContext) time.Duration {
	ms, err := strconv.ParseInt(string(c.GetHeader(link.HeaderLease)), 10, 64)
	if err != nil || ms <= 0 {
		return defaultLease
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *taskControl) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// slotFreed reports whether the running task no longer holds a slot.
func (t *taskControl) slotFreed() bool { return t.throttled || t.checkpointed }

// serveControl registers the control calls for running tasks.
func (w *Worker) serveControl() {
	w.server.POST("/v1/tasks/:id/lease", w.control(func(_ *workerProcess, t *taskControl, lease time.Duration) {
		t.leaseEnd = time.Now().Add(lease)
	}))
	w.server.POST("/v1/tasks/:id/throttle", w.control(func(p *workerProcess, t *taskControl, _ time.Duration) {
		p.freeSlot(t)
		t.throttled = true
	}))
	w.server.POST("/v1/tasks/:id/checkpoint", w.control(func(p *workerProcess, t *taskControl, _ time.Duration) {
		p.freeSlot(t)
		t.checkpointed = true
	}))
	w.server.POST("/v1/tasks/:id/stop", w.control(func(_ *workerProcess, t *taskControl, _ time.Duration) {
		t.stopReason = link.StoppedByHome
	}))
}

// freeSlot takes the slot from a running task. The worker's mutex must be held.
func (p *workerProcess) freeSlot(t *taskControl) {
	if !t.slotFreed() {
		p.busy--
	}
}

// control returns a handler that changes a running task. The reply reports whether the task runs and whether it has
// freed its slot.
func (w *Worker) control(change func(p *workerProcess, t *taskControl, lease time.Duration)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if string(c.GetHeader(link.HeaderIncarnation)) != w.process.incarnation.String() {
			c.Header(link.HeaderOutcome, link.OutcomeRestarted)
			return
		}
		t, ok := w.process.tasks[c.Param("id")]
		switch {
		case !ok || t.fenced:
			c.Header(link.HeaderOutcome, link.OutcomeNever)
		case t.outcome != "":
			c.Header(link.HeaderOutcome, t.outcome)
		default:
			change(w.process, &t.control, leaseOf(c))
			t.control.wake()
			c.Header(link.HeaderOutcome, link.OutcomeRunning)
			c.Header(link.HeaderSlotFreed, strconv.FormatBool(t.control.slotFreed()))
		}
	}
}

// simulateRun waits for the remaining run time of a task, at the speed that the faults, the home and the idle slots
// allow. It returns the reason if the task was stopped early, and whether the worker's process has ended.
func (w *Worker) simulateRun(t *workerTask, remaining time.Duration) (stopReason string, exited bool) {
	for {
		rate, leaseEnd, reason := w.rate(t)
		now := time.Now()
		if reason == "" && !now.Before(leaseEnd) {
			reason = link.StoppedLeaseExpired
		}
		if reason != "" || remaining <= 0 {
			return reason, false
		}
		step := leaseEnd.Sub(now)
		if rate > 0 {
			step = min(step, time.Duration(float64(remaining)/rate))
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-t.control.changed:
			timer.Stop()
		case <-t.process.exited:
			timer.Stop()
			return "", true
		}
		remaining -= time.Duration(float64(time.Since(now)) * rate)
	}
}

// rate returns the current speed of a task relative to a worker of speed 1, the end of its lease, and the reason if the
// home has stopped it. A checkpointed task runs only while a slot is idle.
func (w *Worker) rate(t *workerTask) (rate float64, leaseEnd time.Time, stopReason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate = w.o.Speed / max(w.faults.Slowdown, 1)
	if t.control.throttled {
		rate *= throttledRate
	}
	if t.control.checkpointed && t.process.busy >= w.o.Slots {
		rate = 0
	}
	return rate, t.control.leaseEnd, t.control.stopReason
}

// releaseSlot frees the slot of a task that has ended, so that checkpointed tasks can continue. The worker's mutex must
// be held.
func (p *workerProcess) releaseSlot(t *workerTask) {
	if !t.control.slotFreed() {
		p.busy--
	}
	p.wakeCheckpointed()
}

// wakeCheckpointed makes checkpointed tasks check for an idle slot. The worker's mutex must be held.
func (p *workerProcess) wakeCheckpointed() {
	for _, t := range p.running {
		if t.control.checkpointed {
			t.control.wake()
		}
	}
}
