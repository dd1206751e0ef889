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

// WorkerOptions describe a worker stand-in.
type WorkerOptions struct {
	ID    machine.WorkerID
	Slots int
	// Speed divides the run time of each task.
	Speed float64
	Work  Work
	// Started is told of every start, so that a test can count tasks started twice.
	Started func(task string)
}

// Worker is a stand-in of a worker. mu guards the tasks and flags.
type Worker struct {
	o           WorkerOptions
	incarnation machine.Incarnation
	born        time.Time
	server      *httpserve.Server
	clocked     workerTimeline

	mu      sync.Mutex
	tasks   map[string]*workerTask
	running map[string]*workerTask
	busy    int
	leaving bool
}

// workerTask is a task that the worker knows: running, ended, or fenced before it started.
type workerTask struct {
	fenced  bool
	done    chan struct{}
	outcome string
	reason  string
	result  []byte
	run     time.Duration
	control taskControl
}

// NewWorker serves on l.
func NewWorker(l net.Listener, o WorkerOptions) *Worker {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	w := &Worker{
		o: o, incarnation: machine.NewIncarnation(), born: time.Now(), server: httpserve.New(l, nil),
		tasks: make(map[string]*workerTask), running: make(map[string]*workerTask),
	}
	w.clocked = newWorkerTimeline(string(o.ID), w.incarnation)
	w.server.GET("/events", httpserve.Events(w.clocked.ring))
	w.server.POST("/v1/tasks/:id", w.start)
	w.server.POST("/v1/tasks/:id/fence", w.fence)
	w.serveControl()
	w.server.GET("/v1/status", w.status)
	w.server.Start()
	return w
}

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.server.Address() }

// Close stops serving.
func (w *Worker) Close() error { return w.server.Stop() }

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

func (w *Worker) start(_ context.Context, c *app.RequestContext) {
	id := c.Param("id")
	service, kind := string(c.GetHeader(link.HeaderService)), string(c.GetHeader(link.HeaderKind))
	t, reject := w.admit(id, c)
	w.clocked.record(c, timeline.RunStarted, timeline.RunRejected, reject)
	if reject != "" {
		c.Header(link.HeaderOutcome, link.OutcomeRejected)
		c.Header(link.HeaderReason, reject)
		c.Status(409)
		return
	}
	if w.o.Started != nil {
		w.o.Started(id)
	}
	w.execute(id, t, service, kind, append([]byte(nil), c.Request.Body()...))
	w.clocked.record(c, timeline.RunEnded, timeline.RunEnded, t.reason)
	writeTask(c, t)
}

// admit registers a start or returns the reason of its rejection.
func (w *Worker) admit(id string, c *app.RequestContext) (*workerTask, string) {
	startBy, _ := strconv.ParseInt(string(c.GetHeader(link.HeaderStartBy)), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	if string(c.GetHeader(link.HeaderIncarnation)) != w.incarnation.String() {
		return nil, link.RejectIncarnation
	}
	if t, ok := w.tasks[id]; ok && t.fenced {
		return nil, link.RejectFenced
	} else if ok {
		return nil, link.RejectDuplicate
	}
	if w.clock().Milliseconds() > startBy {
		return nil, link.RejectLate
	}
	if w.leaving {
		return nil, link.RejectLeaving
	}
	if w.busy >= w.o.Slots {
		return nil, link.RejectFull
	}
	t := &workerTask{done: make(chan struct{}), control: newTaskControl(c)}
	w.tasks[id], w.running[id] = t, t
	w.busy++
	w.wakeCheckpointed()
	return t, ""
}

// execute runs a task on the calling goroutine.
func (w *Worker) execute(id string, t *workerTask, service, kind string, payload []byte) {
	begin := time.Now()
	result, nominal, err := w.o.Work(service, kind, payload)
	stopped := w.work(t, time.Duration(float64(nominal)/w.o.Speed))
	w.mu.Lock()
	defer w.mu.Unlock()
	t.run = time.Since(begin)
	t.outcome, t.result = link.OutcomeDone, result
	if err != nil {
		t.outcome, t.reason, t.result = link.OutcomeFailed, err.Error(), nil
	}
	if stopped != "" {
		t.outcome, t.reason, t.result = link.OutcomeFailed, stopped, nil
	}
	delete(w.running, id)
	w.leaveSlot(t)
	close(t.done)
}

func (w *Worker) fence(ctx context.Context, c *app.RequestContext) {
	if string(c.GetHeader(link.HeaderIncarnation)) != w.incarnation.String() {
		c.Header(link.HeaderOutcome, link.OutcomeRestarted)
		return
	}
	waitMS, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	id := c.Param("id")
	w.mu.Lock()
	t, ok := w.tasks[id]
	if !ok {
		t = &workerTask{fenced: true, done: make(chan struct{})}
		w.tasks[id] = t
	}
	w.mu.Unlock()
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

// writeTask writes the outcome of a task that has ended.
func writeTask(c *app.RequestContext, t *workerTask) {
	c.Header(link.HeaderOutcome, t.outcome)
	c.Header(link.HeaderReason, t.reason)
	c.Header(link.HeaderRunTime, strconv.FormatInt(t.run.Microseconds(), 10))
	c.Data(200, "application/octet-stream", t.result)
}

func (w *Worker) status(_ context.Context, c *app.RequestContext) {
	w.mu.Lock()
	s := link.WorkerStatus{
		Incarnation: w.incarnation.String(), ClockMS: w.clock().Milliseconds(), Slots: w.o.Slots, Busy: w.busy,
		Leaving: w.leaving,
	}
	w.mu.Unlock()
	c.JSON(200, s)
}
