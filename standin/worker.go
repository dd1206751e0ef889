package standin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// Work computes the result of a task and the time that it takes on a worker of speed 1.
type Work func(service, kind string, payload []byte) (result []byte, run time.Duration, err error)

// Start is a start that a worker has accepted.
type Start struct {
	Worker  machine.WorkerID
	Task    string
	Kind    string
	Home    string
	Payload []byte
	At      time.Time
}

// Observer is told what happens at workers. It is called without a lock held and by many goroutines.
type Observer interface {
	Started(Start)
	Ended(w machine.WorkerID, task string, at time.Time)
	Rejected(w machine.WorkerID, task, reason string)
	Fenced(w machine.WorkerID, task string)
	Polled(w machine.WorkerID)
}

// WorkerFaults are the failures that a worker shows.
type WorkerFaults struct {
	// Slowdown divides the speed; 0 counts as 1.
	Slowdown float64
	// FailAll makes every task fail at once.
	FailAll bool
}

// WorkerOptions describe a worker stand-in.
type WorkerOptions struct {
	ID    machine.WorkerID
	Slots int
	// Speed divides the run time of each task.
	Speed float64
	Work  Work
	// Started is told of every start, so that a test can count tasks started twice.
	Started func(task string)
	// Observer may be nil.
	Observer Observer
}

// Worker is a stand-in of a worker. mu guards the life, the faults and the tasks of the life.
type Worker struct {
	o       WorkerOptions
	server  *httpserve.Server
	clocked workerTimeline

	mu      sync.Mutex
	life    *workerLife
	faults  WorkerFaults
	leaving bool
}

// workerLife is what a worker process knows and loses when it restarts.
type workerLife struct {
	incarnation machine.Incarnation
	born        time.Time
	tasks       map[string]*workerTask
	running     map[string]*workerTask
	busy        int
	over        chan struct{}
}

func newWorkerLife() *workerLife {
	return &workerLife{
		incarnation: machine.NewIncarnation(), born: time.Now(), tasks: make(map[string]*workerTask),
		running: make(map[string]*workerTask), over: make(chan struct{}),
	}
}

func (l *workerLife) clock() time.Duration { return time.Since(l.born) }

// workerTask is a task that the worker knows: running, ended, or fenced before it started.
type workerTask struct {
	life   *workerLife
	fenced bool
	// attempt is the number of the start, or the highest one that the fence refuses.
	attempt int
	done    chan struct{}
	control taskControl
	outcome string
	reason  string
	result  []byte
	run     time.Duration
}

// NewWorker serves on l.
func NewWorker(l net.Listener, o WorkerOptions) *Worker {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	w := &Worker{o: o, server: httpserve.New(l, nil), life: newWorkerLife()}
	w.clocked = newWorkerTimeline(string(o.ID), w.life.incarnation)
	w.server.GET("/events", httpserve.Events(w.clocked.ring))
	w.server.POST("/v1/tasks/:id", w.start)
	w.server.POST("/v1/tasks/:id/fence", w.fence)
	w.serveControl()
	w.server.GET("/v1/status", w.status)
	w.server.Start()
	return w
}

// ID returns the worker's name.
func (w *Worker) ID() machine.WorkerID { return w.o.ID }

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.server.Address() }

// Close stops serving.
func (w *Worker) Close() error { return w.server.Stop() }

// SetFaults replaces the failures shown. A change of speed applies to the tasks that run.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	for _, t := range w.life.running {
		t.control.wake()
	}
}

// SetLeaving makes the worker reject all starts.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Restart ends the worker's process and begins another: all tasks are lost and the incarnation changes. Connections
// stay open; a caller that simulates a crash cuts them.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.life.over)
	w.life = newWorkerLife()
}

func (w *Worker) start(_ context.Context, c *app.RequestContext) {
	id, kind := c.Param("id"), string(c.GetHeader(link.HeaderKind))
	t, reject := w.admit(id, c)
	w.clocked.record(c, timeline.RunStarted, timeline.RunRejected, reject)
	if reject != "" {
		if w.o.Observer != nil {
			w.o.Observer.Rejected(w.o.ID, id, reject)
		}
		c.Header(link.HeaderOutcome, link.OutcomeRejected)
		c.Header(link.HeaderReason, reject)
		c.Status(409)
		return
	}
	payload := append([]byte(nil), c.Request.Body()...)
	w.announce(id, kind, string(c.GetHeader(link.HeaderHome)), payload)
	w.execute(id, t, string(c.GetHeader(link.HeaderService)), kind, payload)
	w.clocked.record(c, timeline.RunEnded, timeline.RunEnded, t.reason)
	if w.o.Observer != nil {
		w.o.Observer.Ended(w.o.ID, id, time.Now())
	}
	writeTask(c, t)
}

func (w *Worker) announce(id, kind, home string, payload []byte) {
	if w.o.Started != nil {
		w.o.Started(id)
	}
	if w.o.Observer != nil {
		w.o.Observer.Started(Start{
			Worker: w.o.ID, Task: id, Kind: kind, Home: home, Payload: payload, At: time.Now(),
		})
	}
}

// admit registers a start or returns the reason of its rejection.
func (w *Worker) admit(id string, c *app.RequestContext) (*workerTask, string) {
	startBy, _ := strconv.ParseInt(string(c.GetHeader(link.HeaderStartBy)), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.life
	if string(c.GetHeader(link.HeaderIncarnation)) != l.incarnation.String() {
		return nil, link.RejectIncarnation
	}
	attempt := attemptOf(c)
	if t, ok := l.tasks[id]; ok && t.fenced && attempt <= t.attempt {
		return nil, link.RejectFenced
	} else if ok && !t.fenced {
		return nil, link.RejectDuplicate
	}
	// Both sides count whole milliseconds, so that an equal count may already be late.
	if l.clock().Milliseconds() >= startBy {
		return nil, link.RejectLate
	}
	if w.leaving {
		return nil, link.RejectLeaving
	}
	if l.busy >= w.o.Slots {
		return nil, link.RejectFull
	}
	t := &workerTask{life: l, done: make(chan struct{}), control: newTaskControl(c), attempt: attempt}
	l.tasks[id], l.running[id] = t, t
	l.busy++
	l.wakeCheckpointed()
	return t, ""
}

// execute runs a task on the calling goroutine.
func (w *Worker) execute(id string, t *workerTask, service, kind string, payload []byte) {
	begin := time.Now()
	result, nominal, err := w.o.Work(service, kind, payload)
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	outcome, reason := link.OutcomeDone, ""
	if err != nil {
		outcome, reason, result = link.OutcomeFailed, err.Error(), nil
	}
	if f.FailAll {
		nominal, outcome, reason, result = 0, link.OutcomeFailed, "worker fails everything", nil
	}
	stopped, over := w.work(t, nominal)
	if stopped != "" {
		outcome, reason, result = link.OutcomeFailed, stopped, nil
	}
	if over {
		// The process that ran the task is gone, so that there is no outcome to report.
		outcome, reason, result = "", "", nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.run = time.Since(begin)
	t.outcome, t.reason, t.result = outcome, reason, result
	delete(t.life.running, id)
	t.life.leaveSlot(t)
	close(t.done)
}

func (w *Worker) fence(ctx context.Context, c *app.RequestContext) {
	id := c.Param("id")
	if w.o.Observer != nil {
		w.o.Observer.Fenced(w.o.ID, id)
	}
	waitMS, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	t := w.fenceTask(id, string(c.GetHeader(link.HeaderIncarnation)), attemptOf(c))
	if t == nil {
		c.Header(link.HeaderOutcome, link.OutcomeRestarted)
		return
	}
	w.clocked.record(c, timeline.RunFenced, timeline.RunFenced, "")
	if t.fenced {
		c.Header(link.HeaderOutcome, link.OutcomeNever)
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-t.done:
		writeTask(c, t)
	case <-timer.C:
		c.Header(link.HeaderOutcome, link.OutcomeRunning)
	case <-ctx.Done():
		c.Header(link.HeaderOutcome, link.OutcomeRunning)
	}
}

// fenceTask returns the task after making sure that it cannot start under this attempt or an earlier one, nil for another
// incarnation.
func (w *Worker) fenceTask(id, incarnation string, attempt int) *workerTask {
	w.mu.Lock()
	defer w.mu.Unlock()
	if incarnation != w.life.incarnation.String() {
		return nil
	}
	t, ok := w.life.tasks[id]
	if !ok {
		t = &workerTask{life: w.life, fenced: true, done: make(chan struct{})}
		w.life.tasks[id] = t
	}
	if t.fenced {
		t.attempt = max(t.attempt, attempt)
	}
	return t
}

// attemptOf returns the number of a start, 1 if the home gives none.
func attemptOf(c *app.RequestContext) int {
	n, err := strconv.Atoi(string(c.GetHeader(link.HeaderAttempt)))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

// writeTask writes the outcome of a task that has ended.
func writeTask(c *app.RequestContext, t *workerTask) {
	if t.outcome == "" {
		c.Status(503)
		return
	}
	c.Header(link.HeaderOutcome, t.outcome)
	c.Header(link.HeaderReason, t.reason)
	c.Header(link.HeaderRunTime, strconv.FormatInt(t.run.Microseconds(), 10))
	c.Data(200, "application/octet-stream", t.result)
}

func (w *Worker) status(_ context.Context, c *app.RequestContext) {
	if w.o.Observer != nil {
		w.o.Observer.Polled(w.o.ID)
	}
	w.mu.Lock()
	s := link.WorkerStatus{
		Incarnation: w.life.incarnation.String(), ClockMS: w.life.clock().Milliseconds(), Slots: w.o.Slots,
		Busy: w.life.busy, Leaving: w.leaving, Tasks: []string{},
	}
	for id := range w.life.running {
		s.Tasks = append(s.Tasks, id)
	}
	w.mu.Unlock()
	c.JSON(200, s)
}
