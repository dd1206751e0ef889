package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Figures of a worker of the site glashaus-sched.
	workerCPU   = 64000
	workerMemMB = 131072
	workerSlots = 8
	stopGrace   = 20 * time.Millisecond
	maxListed   = 500
	maxPercent  = 100
)

// step is what the clients have asked for in one step of a job, and how long one of its tasks works.
type step struct {
	count    int
	cpu      int
	work     time.Duration
	requires string
	perNode  int
	depends  []int
}

// plans holds the jobs that clients have sent, and what runs now. mu guards the fields below it.
type plans struct {
	rec *record

	mu      sync.Mutex
	jobs    map[string][]step
	running map[string]map[string]bool // workers by task
	// starts holds the starts of each task.
	starts map[string][]start
	// ends holds the times at which runs of each task ended.
	ends map[string][]time.Time
	// overlaps holds the tasks that ran twice at the same time.
	overlaps []string
}

// start is a run that a worker has begun.
type start struct {
	worker string
	labels []string
	run    uint64
	at     time.Time
	// acquired is set if the worker had told the daemon of its present lifetime before the start: it had answered a hold
	// with a fencing token.
	acquired bool
}

func newPlans(rec *record) *plans {
	return &plans{
		rec: rec, jobs: make(map[string][]step), running: make(map[string]map[string]bool), starts: make(map[string][]start),
		ends: make(map[string][]time.Time),
	}
}

func (p *plans) add(job string, steps []step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[job] = steps
}

// find returns the step of a task.
func (p *plans) find(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	n, err := strconv.Atoi(parts[2])
	p.mu.Lock()
	defer p.mu.Unlock()
	steps := p.jobs[parts[0]]
	if err != nil || n < 0 || n >= len(steps) {
		return step{}, false
	}
	return steps[n], true
}

func (p *plans) started(task string, s start) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[task] == nil {
		p.running[task] = make(map[string]bool)
	}
	p.running[task][s.worker] = true
	p.starts[task] = append(p.starts[task], s)
	if len(p.running[task]) > 1 {
		p.overlaps = append(p.overlaps, task)
	}
}

func (p *plans) ended(task, worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running[task], worker)
	p.ends[task] = append(p.ends[task], time.Now())
}

// startsOf returns the starts of all tasks of a job.
func (p *plans) startsOf(job string) []start {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []start
	for task, starts := range p.starts {
		if strings.HasPrefix(task, job+".") {
			all = append(all, starts...)
		}
	}
	return all
}

// atWork reports whether a task of a job runs now.
func (p *plans) atWork(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for task, workers := range p.running {
		if strings.HasPrefix(task, job+".") && len(workers) > 0 {
			return true
		}
	}
	return false
}

// worker is a stand-in for a worker of the platform. mu guards the fields below it.
type worker struct {
	r       *rig
	id      string
	address string

	mu       sync.Mutex
	labels   []string
	listener net.Listener
	life     *life
	server   *http.Server
}

// life is one lifetime of a worker. The worker's lock guards it.
type life struct {
	born     time.Time
	sequence int
	fence    uint64
	leaseEnd time.Duration
	usedCPU  int
	running  map[string]*workerRun
	barred   map[string]uint64
	ended    [][]any
	count    uint64
	changed  chan struct{}
	over     chan struct{}
	acquired bool
}

type workerRun struct {
	task    string
	run     uint64
	step    step
	begun   time.Time
	stopped bool
}

func newWorker(r *rig, id, kind, rack string) (*worker, error) {
	w := &worker{r: r, id: id, labels: []string{kind, rack}}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.begin(l)
	return w, nil
}

// begin starts a lifetime: the worker registers itself in the store and serves calls.
func (w *worker) begin(l net.Listener) {
	born := &life{
		born: time.Now(), running: make(map[string]*workerRun), barred: make(map[string]uint64),
		changed: make(chan struct{}), over: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux}
	w.mu.Lock()
	w.life, w.listener, w.server = born, l, server
	w.mu.Unlock()
	w.report(born)
	go func() { _ = server.Serve(l) }()
	go w.beat(born)
	go w.expire(born)
}

// crash ends the lifetime at once, and begins another one of the given kind after a pause.
func (w *worker) crash(kind string, pause time.Duration) error {
	w.mu.Lock()
	old := w.life
	w.life = nil
	for _, run := range old.running {
		w.r.plans.ended(run.task, w.id)
	}
	old.running = make(map[string]*workerRun)
	close(old.over)
	server := w.server
	w.labels = []string{kind, w.labels[1]}
	w.mu.Unlock()
	_ = server.Close()
	w.r.rec.line("worker %s crashes; it starts again as kind %s after %v", w.id, kind, pause)
	time.Sleep(pause)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.begin(l)
	w.r.rec.line("worker %s has started again with labels %v", w.id, w.labels)
	return nil
}

// beat writes the worker's entry to the store until the lifetime ends.
func (w *worker) beat(l *life) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.report(l)
		case <-l.over:
			return
		}
	}
}

func (w *worker) report(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		return
	}
	l.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": serviceID, "address": w.address, "zone": zoneName, "version": "v1", "slots": workerSlots,
		"state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpus": 0},
		"labels": w.labels, "clock_ms": l.clock().Milliseconds(), "sequence": l.sequence, "born": l.born.UnixMilli(),
	})
	if err == nil && w.r.store.put("keyed.servers", w.id, entry) && l.sequence == 1 {
		w.r.rec.line("worker %s has written its entry: born %d, labels %v", w.id, l.born.UnixMilli(), w.labels)
	}
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// expire ends the runs when their lease is over.
func (w *worker) expire(l *life) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.over:
			return
		}
		w.mu.Lock()
		if l.clock() >= l.leaseEnd {
			for _, run := range l.running {
				w.end(l, run, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// call is the union of the bodies of all calls.
type call struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run_id"`
	Spec     string `json:"task_spec"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// handle decodes a call, and rejects one for another lifetime or with a lower fencing token.
func (w *worker) handle(f func(ctx context.Context, l *life, c call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Target-Instance") != w.id {
			writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var c call
		if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
			writeJSON(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		w.mu.Lock()
		l := w.life
		if l == nil {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if c.Token < l.fence {
			w.mu.Unlock()
			writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": l.clock().Milliseconds(), "reason": "fence"})
			return
		}
		l.fence = c.Token
		status, body := f(req.Context(), l, c)
		if w.life != l {
			// The lifetime has ended meanwhile: its channels end without an answer.
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		l.acquired = l.acquired || (req.URL.Path == "/-/hold" && c.Token > 0)
		w.mu.Unlock()
		body["clock_ms"], body["born"] = l.clock().Milliseconds(), l.born.UnixMilli()
		writeJSON(rw, status, body)
	}
}

// extend extends the lease of all runs.
func (l *life) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, l.clock()+maxHoldMs*time.Millisecond)
	l.leaseEnd = max(l.leaseEnd, until)
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// runStart expects w.mu to be held.
func (w *worker) runStart(_ context.Context, l *life, c call) (int, map[string]any) {
	if run := l.running[c.Task]; run != nil && run.run == c.Run {
		l.extend(c.Until)
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(c.Until)*time.Millisecond <= l.clock() {
		return conflict("late")
	}
	l.extend(c.Until)
	if c.Run <= l.barred[c.Task] || l.running[c.Task] != nil {
		return conflict("old")
	}
	s, ok := w.r.plans.find(c.Task)
	if !ok {
		w.r.rec.line("worker %s: start of a task that no client has sent: %s", w.id, c.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	if l.usedCPU+s.cpu > workerCPU {
		return conflict("room")
	}
	run := &workerRun{task: c.Task, run: c.Run, step: s, begun: time.Now()}
	l.usedCPU += s.cpu
	l.running[c.Task] = run
	w.r.plans.started(c.Task, start{worker: w.id, labels: slices.Clone(w.labels), run: c.Run, at: time.Now(), acquired: l.acquired})
	w.r.rec.line("worker %s %v: run of %s begins", w.id, w.labels, c.Task)
	time.AfterFunc(s.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !run.stopped {
			w.end(l, run, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// end lists the end of a run. w.mu is held.
func (w *worker) end(l *life, run *workerRun, how string) {
	if l.running[run.task] != run {
		return
	}
	delete(l.running, run.task)
	l.usedCPU -= run.step.cpu
	l.barred[run.task] = max(l.barred[run.task], run.run)
	l.count++
	l.ended = append(l.ended, []any{l.count, run.task, run.run, how, ""})
	w.r.plans.ended(run.task, w.id)
	w.r.rec.line("worker %s: run of %s ends: %s", w.id, run.task, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// runStop expects w.mu to be held.
func (w *worker) runStop(_ context.Context, l *life, c call) (int, map[string]any) {
	l.barred[c.Task] = max(l.barred[c.Task], c.Run)
	if run := l.running[c.Task]; run != nil && run.run == c.Run && !run.stopped {
		run.stopped = true
		time.AfterFunc(stopGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(l, run, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold expects w.mu to be held, and releases it while it waits for an end.
func (w *worker) hold(ctx context.Context, l *life, c call) (int, map[string]any) {
	if c.Until > 0 {
		l.extend(c.Until)
	}
	l.ended = slices.DeleteFunc(l.ended, func(row []any) bool { return row[0].(uint64) <= c.LastSeen })
	if len(l.ended) == 0 && c.Wait > 0 {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	running := make([][]any, 0, len(l.running))
	for _, run := range l.running {
		percent := int(maxPercent * time.Since(run.begun) / run.step.work)
		running = append(running, []any{run.task, run.run, "", min(percent, maxPercent), 0})
	}
	return http.StatusOK, map[string]any{
		"running": running, "ended_runs": slices.Clone(l.ended[:min(len(l.ended), maxListed)]),
	}
}

func (s start) String() string { return fmt.Sprintf("%s %v run %d", s.worker, s.labels, s.run) }
