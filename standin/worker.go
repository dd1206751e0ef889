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

// Work returns the result of a task and its run time on a worker of speed 1.
type Work func(service, kind string, payload []byte) (result []byte, run time.Duration, err error)

// Start is a start that a worker accepted.
type Start struct {
	Worker  machine.WorkerID
	Task    string
	Kind    string
	Home    string
	Payload []byte
	At      time.Time
}

// Observer is notified of events on workers. Its methods are called without a lock held and from many goroutines.
type Observer interface {
	Started(Start)
	Ended(w machine.WorkerID, task string, at time.Time)
	Rejected(w machine.WorkerID, task, reason string)
	Fenced(w machine.WorkerID, task string)
	Polled(w machine.WorkerID)
}

// WorkerFaults are the faults that a worker injects.
type WorkerFaults struct {
	// Slowdown divides the worker's speed; values below 1 count as 1.
	Slowdown float64
	// FailAll makes every task fail immediately.
	FailAll bool
}

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	ID    machine.WorkerID
	Slots int
	// Speed divides the run time of each task.
	Speed float64
	Work  Work
	// Started is called on every start, so that a test can count tasks that are started twice. It may be nil.
	Started func(task string)
	// Observer may be nil.
	Observer Observer
}

// Worker is a stand-in for a worker. mu guards the fields below it and the state of the process and its tasks.
type Worker struct {
	o      WorkerOptions
	server *httpserve.Server
	events workerTimeline

	mu      sync.Mutex
	process *workerProcess
	faults  WorkerFaults
	leaving bool
}

// workerProcess is the state of a worker's process, which is lost when it restarts.
type workerProcess struct {
	incarnation machine.Incarnation
	startTime   time.Time
	tasks       map[string]*workerTask
	running     map[string]*workerTask
	busy        int           // slots in use
	exited      chan struct{} // closed when the process ends
}

func newWorkerProcess() *workerProcess {
	return &workerProcess{
		incarnation: machine.NewIncarnation(), startTime: time.Now(), tasks: make(map[string]*workerTask),
		running: make(map[string]*workerTask), exited: make(chan struct{}),
	}
}

func (p *workerProcess) clock() time.Duration { return time.Since(p.startTime) }

// workerTask is a task that the worker knows: it is running, has ended, or was fenced before it started.
type workerTask struct {
	process *workerProcess
	fenced  bool
	// attempt is the attempt that started the task, or the highest attempt that the fence refuses.
	attempt int
	done    chan struct{}
	control taskControl
	outcome string
	reason  string
	result  []byte
	run     time.Duration
}

// NewWorker serves a worker on l.
func NewWorker(l net.Listener, o WorkerOptions) *Worker {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	w := &Worker{o: o, server: httpserve.New(l, nil), process: newWorkerProcess()}
	w.events = newWorkerTimeline(string(o.ID), w.process.incarnation)
	w.server.GET("/events", httpserve.Events(w.events.ring))
	w.server.POST("/v1/tasks/:id", w.start)
	w.server.POST("/v1/tasks/:id/fence", w.fence)
	w.serveControl()
	w.server.GET("/v1/status", w.status)
	w.server.Start()
	return w
}

// ID returns the worker's id.
func (w *Worker) ID() machine.WorkerID { return w.o.ID }

// Address returns the worker's listen address.
func (w *Worker) Address() string { return w.server.Address() }

// Close stops serving.
func (w *Worker) Close() error { return w.server.Stop() }

// SetFaults replaces the injected faults. A change of speed also applies to running tasks.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	for _, t := range w.process.running {
		t.control.wake()
	}
}

// SetLeaving makes the worker reject all starts.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Restart ends the worker's process and starts another: all tasks are lost and the incarnation changes. Connections
// stay open; a caller that simulates a crash must close them.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.process.exited)
	w.process = newWorkerProcess()
}

func (w *Worker) start(_ context.Context, c *app.RequestContext) {
	id, kind := c.Param("id"), string(c.GetHeader(link.HeaderKind))
	t, reject := w.admit(id, c)
	w.events.record(c, timeline.RunStarted, timeline.RunRejected, reject)
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
	w.notifyStarted(id, kind, string(c.GetHeader(link.HeaderHome)), payload)
	w.execute(id, t, string(c.GetHeader(link.HeaderService)), kind, payload)
	w.events.record(c, timeline.RunEnded, timeline.RunEnded, t.reason)
	if w.o.Observer != nil {
		w.o.Observer.Ended(w.o.ID, id, time.Now())
	}
	writeOutcome(c, t)
}

func (w *Worker) notifyStarted(id, kind, home string, payload []byte) {
	if w.o.Started != nil {
		w.o.Started(id)
	}
	if w.o.Observer != nil {
		w.o.Observer.Started(Start{
			Worker: w.o.ID, Task: id, Kind: kind, Home: home, Payload: payload, At: time.Now(),
		})
	}
}

// admit registers a start, or returns the reason for its rejection.
func (w *Worker) admit(id string, c *app.RequestContext) (*workerTask, string) {
	startBy, _ := strconv.ParseInt(string(c.GetHeader(link.HeaderStartBy)), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.process
	if string(c.GetHeader(link.HeaderIncarnation)) != p.incarnation.String() {
		return nil, link.RejectIncarnation
	}
	attempt := attemptOf(c)
	if t, ok := p.tasks[id]; ok && t.fenced && attempt <= t.attempt {
		return nil, link.RejectFenced
	} else if ok && !t.fenced {
		return nil, link.RejectDuplicate
	}
	// Both sides truncate to milliseconds, so a start with an equal time may already be late.
	if p.clock().Milliseconds() >= startBy {
		return nil, link.RejectLate
	}
	if w.leaving {
		return nil, link.RejectLeaving
	}
	if p.busy >= w.o.Slots {
		return nil, link.RejectFull
	}
	t := &workerTask{process: p, done: make(chan struct{}), control: newTaskControl(c), attempt: attempt}
	p.tasks[id], p.running[id] = t, t
	p.busy++
	p.wakeCheckpointed()
	return t, ""
}

// execute runs a task on the calling goroutine.
func (w *Worker) execute(id string, t *workerTask, service, kind string, payload []byte) {
	begin := time.Now()
	result, duration, err := w.o.Work(service, kind, payload)
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	outcome, reason := link.OutcomeDone, ""
	if err != nil {
		outcome, reason, result = link.OutcomeFailed, err.Error(), nil
	}
	if f.FailAll {
		duration, outcome, reason, result = 0, link.OutcomeFailed, "worker fails everything", nil
	}
	stopReason, exited := w.simulateRun(t, duration)
	if stopReason != "" {
		outcome, reason, result = link.OutcomeFailed, stopReason, nil
	}
	if exited {
		// The process that ran the task has ended, so there is no outcome to report.
		outcome, reason, result = "", "", nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.run = time.Since(begin)
	t.outcome, t.reason, t.result = outcome, reason, result
	delete(t.process.running, id)
	t.process.releaseSlot(t)
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
	w.events.record(c, timeline.RunFenced, timeline.RunFenced, "")
	if t.fenced {
		c.Header(link.HeaderOutcome, link.OutcomeNever)
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-t.done:
		writeOutcome(c, t)
	case <-timer.C:
		c.Header(link.HeaderOutcome, link.OutcomeRunning)
	case <-ctx.Done():
		c.Header(link.HeaderOutcome, link.OutcomeRunning)
	}
}

// fenceTask returns the task after ensuring that it cannot start under this attempt or an earlier one. It returns nil
// if incarnation is not the current one.
func (w *Worker) fenceTask(id, incarnation string, attempt int) *workerTask {
	w.mu.Lock()
	defer w.mu.Unlock()
	if incarnation != w.process.incarnation.String() {
		return nil
	}
	t, ok := w.process.tasks[id]
	if !ok {
		t = &workerTask{process: w.process, fenced: true, done: make(chan struct{})}
		w.process.tasks[id] = t
	}
	if t.fenced {
		t.attempt = max(t.attempt, attempt)
	}
	return t
}

// attemptOf returns the attempt number of a call, or 1 if it has none.
func attemptOf(c *app.RequestContext) int {
	n, err := strconv.Atoi(string(c.GetHeader(link.HeaderAttempt)))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

// writeOutcome writes the outcome of a task that has ended.
func writeOutcome(c *app.RequestContext, t *workerTask) {
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
		Incarnation: w.process.incarnation.String(), ClockMS: w.process.clock().Milliseconds(), Slots: w.o.Slots,
		Busy: w.process.busy, Leaving: w.leaving, Tasks: []string{},
	}
	for id := range w.process.running {
		s.Tasks = append(s.Tasks, id)
	}
	w.mu.Unlock()
	c.JSON(200, s)
}
