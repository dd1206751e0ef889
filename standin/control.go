package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/link"
)

const (
	// throttledRate is the part of a slot's speed that a throttled task gets beside the slots.
	throttledRate = 0.25
	// endlessLease applies to starts without a lease.
	endlessLease = 24 * time.Hour
)

// taskControl is what the home may change about a running task. The worker's mutex guards it, but for changed.
type taskControl struct {
	lapses       time.Time
	stop         string
	throttled    bool
	checkpointed bool
	// changed wakes the goroutine that runs the task.
	changed chan struct{}
}

func newTaskControl(c *app.RequestContext) taskControl {
	return taskControl{lapses: time.Now().Add(leaseOf(c)), changed: make(chan struct{}, 1)}
}

func leaseOf(c *app.RequestContext) time.Duration {
	ms, err := strconv.ParseInt(string(c.GetHeader(link.HeaderLease)), 10, 64)
	if err != nil || ms <= 0 {
		return endlessLease
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *taskControl) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// freed reports whether the task has given up its slot.
func (t *taskControl) freed() bool { return t.throttled || t.checkpointed }

// serveControl registers the calls about running tasks.
func (w *Worker) serveControl() {
	w.server.POST("/v1/tasks/:id/lease", w.control(func(_ *workerLife, t *taskControl, lease time.Duration) {
		t.lapses = time.Now().Add(lease)
	}))
	w.server.POST("/v1/tasks/:id/throttle", w.control(func(l *workerLife, t *taskControl, _ time.Duration) {
		l.freeSlot(t)
		t.throttled = true
	}))
	w.server.POST("/v1/tasks/:id/checkpoint", w.control(func(l *workerLife, t *taskControl, _ time.Duration) {
		l.freeSlot(t)
		t.checkpointed = true
	}))
	w.server.POST("/v1/tasks/:id/stop", w.control(func(_ *workerLife, t *taskControl, _ time.Duration) {
		t.stop = link.StoppedByHome
	}))
}

// freeSlot expects the lock of the worker to be held.
func (l *workerLife) freeSlot(t *taskControl) {
	if !t.freed() {
		l.busy--
	}
}

// control returns a handler that changes a running task. The reply says whether the task runs and holds its slot.
func (w *Worker) control(change func(l *workerLife, t *taskControl, lease time.Duration)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if string(c.GetHeader(link.HeaderIncarnation)) != w.life.incarnation.String() {
			c.Header(link.HeaderOutcome, link.OutcomeRestarted)
			return
		}
		t, ok := w.life.tasks[c.Param("id")]
		switch {
		case !ok || t.fenced:
			c.Header(link.HeaderOutcome, link.OutcomeNever)
		case t.outcome != "":
			c.Header(link.HeaderOutcome, t.outcome)
		default:
			change(w.life, &t.control, leaseOf(c))
			t.control.wake()
			c.Header(link.HeaderOutcome, link.OutcomeRunning)
			c.Header(link.HeaderSlotFreed, strconv.FormatBool(t.control.freed()))
		}
	}
}

// work spends the run time of a task at the rate that the home and the free slots allow. It returns the reason if the
// task was stopped, and whether the process has ended.
func (w *Worker) work(t *workerTask, need time.Duration) (stopped string, over bool) {
	for {
		rate, lapses, stop := w.rate(t)
		now := time.Now()
		if stop == "" && !now.Before(lapses) {
			stop = link.StoppedLapsed
		}
		if stop != "" || need <= 0 {
			return stop, false
		}
		step := lapses.Sub(now)
		if rate > 0 {
			step = min(step, time.Duration(float64(need)/rate))
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-t.control.changed:
			timer.Stop()
		case <-t.life.over:
			timer.Stop()
			return "", true
		}
		need -= time.Duration(float64(time.Since(now)) * rate)
	}
}

// rate returns the speed of a task relative to a worker of speed 1. A checkpointed task goes on only while a slot is idle.
func (w *Worker) rate(t *workerTask) (rate float64, lapses time.Time, stop string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate = w.o.Speed / max(w.faults.Slowdown, 1)
	if t.control.throttled {
		rate *= throttledRate
	}
	if t.control.checkpointed && t.life.busy >= w.o.Slots {
		rate = 0
	}
	return rate, t.control.lapses, t.control.stop
}

// leaveSlot ends the use of a slot and lets checkpointed tasks go on. It expects the lock of the worker to be held.
func (l *workerLife) leaveSlot(t *workerTask) {
	if !t.control.freed() {
		l.busy--
	}
	l.wakeCheckpointed()
}

// wakeCheckpointed expects the lock of the worker to be held.
func (l *workerLife) wakeCheckpointed() {
	for _, t := range l.running {
		if t.control.checkpointed {
			t.control.wake()
		}
	}
}
