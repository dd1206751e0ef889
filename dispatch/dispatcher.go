package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
)

// Options are the dependencies and limits of a dispatcher.
type Options struct {
	Table   *contract.JobTable
	Starter Starter
	Broker  SlotBroker
	// Self is the entry VM that the dispatcher runs on.
	Self string
	// MayStart reports whether this home node may start tasks, that is, whether no other entry VM can have answered
	// its jobs as lost; nil means always.
	MayStart func() bool
	// Placement chooses workers without grants; nil selects the default policy.
	Placement *Placement
	Fleet     *machine.Fleet
	Now       func() time.Time
	Logger    *slog.Logger
	Metrics   metrics.Registry
	// Control renews the leases of running tasks and acts on stragglers; nil disables both.
	Control TaskControl
	// Capacity returns the slots that serve a service's queue on this entry VM, each weighted by its worker's speed,
	// and the number of workers of the service. If it is nil, no job is refused for its expected wait.
	Capacity func(service string) (slots float64, workers int)
	// HealthChanged is called with the new state when the health of a worker has changed; it may be nil.
	HealthChanged func(machine.WorkerID, machine.HealthState)
	// SlotReclassified is called when a slot is reclassified as held by long work; it may be nil.
	SlotReclassified func(service string, worker machine.WorkerID)
	// MaxWaiting and MaxWaitingBytes bound the waiting tasks and their payloads; zero selects the defaults.
	MaxWaiting      int
	MaxWaitingBytes int
	// Timeline may be nil.
	Timeline *timeline.Ring
	// DistributedQuotas is set if the shares of the team quotas are assigned by SetQuotaShare; otherwise this
	// dispatcher holds the whole quotas.
	DistributedQuotas bool
}

// Dispatcher is the home of jobs, the member that answers for them: it accepts them, starts their tasks and keeps their
// answers. mu guards the fields below it; each service scheduler has its own lock.
type Dispatcher struct {
	o          Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	counters   counters
	teams      *customer.Teams
	tasks      *runningTasks
	retries    RetryBudget

	mu         sync.RWMutex
	schedulers map[string]*Scheduler
	draining   bool
}

type counters struct {
	accepted, resubmitted, complete, failed, refused, cancelled   metrics.Counter
	started, done, taskFailed, notRun, unknown, inDoubt, resolved metrics.Counter
	reclassified, stragglers, rejected, notSent                   metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counters{
		accepted: c(metric.JobsAccepted), resubmitted: c(metric.JobsResubmitted), complete: c(metric.JobsComplete),
		failed: c(metric.JobsFailed), refused: c(metric.JobsRefused), cancelled: c(metric.JobsCancelled),
		started: c(metric.TasksStarted), done: c(metric.TasksDone), taskFailed: c(metric.TasksFailed),
		notRun: c(metric.TasksNotRun), unknown: c(metric.TasksUnknown), inDoubt: c(metric.TasksInDoubt),
		resolved: c(metric.TasksResolved), reclassified: c(metric.TasksReclassified), stragglers: c(metric.TasksStraggling),
		rejected: c(metric.StartsRejected), notSent: c(metric.StartsNotSent),
	}
}

// New returns a dispatcher without services.
func New(o Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		o: o, ctx: ctx, cancel: cancel, counters: newCounters(o.Metrics), schedulers: make(map[string]*Scheduler),
		teams: customer.NewTeams(o.DistributedQuotas), tasks: newRunningTasks(),
	}
}

// AddService makes a service available.
func (d *Dispatcher) AddService(s *backend.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.schedulers[s.Name()]; ok {
		return
	}
	d.schedulers[s.Name()] = NewScheduler(s, customer.NewQueue(d.teams), SchedulerOptions{
		Speed: d.workerSpeed, Allocator: d.o.Broker.Allocator, Scarce: d.o.Broker.Scarce, Self: d.o.Self,
		Placement: d.o.Placement, Leaving: d.workerLeaving, MayStart: d.mayStart,
	})
}

func (d *Dispatcher) workerLeaving(id machine.WorkerID) bool {
	w, ok := d.o.Fleet.Get(id)
	return ok && w.Spec().Leaving
}

func (d *Dispatcher) workerSpeed(id machine.WorkerID) float64 {
	w, ok := d.o.Fleet.Get(id)
	if !ok {
		return 0
	}
	return w.Speed()
}

func (d *Dispatcher) workerIncarnation(id machine.WorkerID) machine.Incarnation {
	w, ok := d.o.Fleet.Get(id)
	if !ok {
		return 0
	}
	return w.Incarnation()
}

func (d *Dispatcher) scheduler(service string) (*Scheduler, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	sched, ok := d.schedulers[service]
	return sched, ok
}

// Schedulers returns the schedulers of all services.
func (d *Dispatcher) Schedulers() []*Scheduler {
	d.mu.RLock()
	defer d.mu.RUnlock()
	schedulers := make([]*Scheduler, 0, len(d.schedulers))
	for _, sched := range d.schedulers {
		schedulers = append(schedulers, sched)
	}
	return schedulers
}

// Submit accepts a job. It has no effect if a job with the same id was accepted before.
func (d *Dispatcher) Submit(spec contract.JobSpec) error {
	now := d.o.Now()
	if _, _, err := d.o.Table.Lookup(spec.ID); err == nil {
		d.counters.resubmitted.Inc(1)
		d.o.Timeline.Job(timeline.JobResubmitted, spec.ID, "", len(spec.Tasks))
		return nil
	}
	items, err := d.admit(&spec, now)
	if err != nil {
		return d.refuse(spec.ID, err, now)
	}
	fresh, err := d.o.Table.Accept(spec, now)
	if err != nil {
		return d.refuse(spec.ID, err, now)
	}
	if !fresh {
		d.counters.resubmitted.Inc(1)
		d.o.Timeline.Job(timeline.JobResubmitted, spec.ID, "", len(spec.Tasks))
		return nil
	}
	d.counters.accepted.Inc(1)
	d.o.Timeline.Job(timeline.JobAccepted, spec.ID, spec.Service, len(spec.Tasks))
	scheduler, _ := d.scheduler(spec.Service)
	d.execute(scheduler, scheduler.Push(items, now))
	return nil
}

// admit decides on a new job and turns its tasks into queue items.
func (d *Dispatcher) admit(spec *contract.JobSpec, now time.Time) ([]customer.Item, error) {
	if d.Draining() {
		return nil, fault.With(fault.Draining, fault.ReasonDraining, "this entry VM is stopping")
	}
	items, err := d.prepare(spec, now)
	if err != nil {
		return nil, err
	}
	scheduler, _ := d.scheduler(spec.Service)
	return items, d.admission(scheduler, spec, items, now)
}

// prepare validates a job and turns its tasks into queue items.
func (d *Dispatcher) prepare(spec *contract.JobSpec, now time.Time) ([]customer.Item, error) {
	scheduler, ok := d.scheduler(spec.Service)
	if !ok {
		return nil, fault.With(fault.Invalid, "unknown service", "service %q is not configured", spec.Service)
	}
	if err := checkSize(spec); err != nil {
		return nil, err
	}
	items := make([]customer.Item, len(spec.Tasks))
	for i, t := range spec.Tasks {
		kind, ok := scheduler.service.Kind(t.Kind)
		if !ok {
			return nil, fault.With(fault.Invalid, "unknown kind", "service %q has no request kind %q", spec.Service, t.Kind)
		}
		if spec.Deadline.IsZero() {
			spec.Deadline = now.Add(kindDeadline(kind))
		}
		items[i] = customer.Item{
			Task: contract.TaskID{Job: spec.ID, Index: i}, Kind: kind, Class: kind.Class(),
			Customer: spec.Customer, Team: spec.Team, Enqueued: now, Priority: spec.Priority,
			Expected: kind.Expected(), Bytes: len(t.Payload),
		}
	}
	for i := range items {
		items[i].Deadline = spec.Deadline
	}
	return items, nil
}

func kindDeadline(k *backend.RequestKind) time.Duration {
	if d := k.Spec().Deadline; d > 0 {
		return d
	}
	return defaultDeadline
}

func checkSize(spec *contract.JobSpec) error {
	if n := len(spec.Tasks); n == 0 || n > contract.MaxTasks {
		return fault.With(fault.Invalid, "task count", "a job has 1 to %d tasks, not %d", contract.MaxTasks, n)
	}
	total := 0
	for i, t := range spec.Tasks {
		if len(t.Payload) > contract.MaxPayloadBytes {
			return fault.With(fault.Invalid, "payload size", "task %d: payload of %d bytes exceeds %d", i,
				len(t.Payload), contract.MaxPayloadBytes)
		}
		total += len(t.Payload)
	}
	if total > contract.MaxJobBytes {
		return fault.With(fault.Invalid, "job size", "payloads of %d bytes exceed %d", total, contract.MaxJobBytes)
	}
	return nil
}

// Wait returns the answer of a job. The answer is pending if it is not final when ctx is cancelled.
func (d *Dispatcher) Wait(ctx context.Context, id contract.JobID) (contract.Answer, error) {
	a, done, err := d.o.Table.Lookup(id)
	if err != nil || a.Verdict != contract.VerdictPending {
		return a, err
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	a, _, err = d.o.Table.Lookup(id)
	return a, err
}

// Cancel withdraws the tasks of a job that have not started.
func (d *Dispatcher) Cancel(id contract.JobID) error {
	n, err := d.o.Table.Cancel(id, "cancelled", d.o.Now())
	if err != nil {
		return err
	}
	d.dequeue(id)
	d.counters.cancelled.Inc(1)
	d.o.Timeline.Job(timeline.JobCancelled, id, "", n)
	d.counters.notRun.Inc(int64(n))
	return nil
}

// Grant adds leased slots of a service and starts waiting tasks on them.
func (d *Dispatcher) Grant(service string, grants []contract.SlotGrant) {
	scheduler, ok := d.scheduler(service)
	if !ok {
		return
	}
	for _, g := range grants {
		d.o.Timeline.Record(timeline.Event{
			Kind: timeline.GrantReceived, Worker: g.Worker, Detail: service,
			Count: int64(g.Short + g.Long),
		})
	}
	d.execute(scheduler, scheduler.AddGrants(grants, d.o.Now()))
}

// Recall returns slots that an allocator needs for work that has waited longer than the work here.
func (d *Dispatcher) Recall(service, allocator string, slots int, wait time.Duration) {
	if scheduler, ok := d.scheduler(service); ok {
		d.execute(scheduler, scheduler.Recall(allocator, slots, wait, d.o.Now()))
	}
}

// Scheduler returns the scheduler of a service.
func (d *Dispatcher) Scheduler(service string) (*Scheduler, bool) { return d.scheduler(service) }

// execute carries out a plan. The lock of the scheduler must not be held.
func (d *Dispatcher) execute(sched *Scheduler, p Plan) {
	for _, a := range p.Assignments {
		d.goroutines.Add(1)
		go d.run(sched, a)
	}
	if len(p.Returns) > 0 {
		for _, r := range p.Returns {
			d.o.Timeline.Record(timeline.Event{
				Kind: timeline.GrantReturned, Worker: r.Worker, Detail: r.Service, Count: int64(r.Short + r.Long),
			})
		}
		d.o.Broker.Return(p.Returns)
	}
	if p.Demand != nil {
		d.o.Broker.Demand(*p.Demand)
	}
}

// send sends a start unless other members may have declared this home node gone, for example because the process was
// paused between the decision and the start.
func (d *Dispatcher) send(req StartRequest) (StartReply, error) {
	if !d.mayStart() {
		return StartReply{}, fault.NotStarted.New("this home may count as gone")
	}
	return d.o.Starter.Start(d.ctx, req)
}

// Drain makes the dispatcher refuse new jobs.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Draining reports whether new jobs are refused.
func (d *Dispatcher) Draining() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.draining
}

// Tick returns slots that have exceeded their idle timeout, reports unmet demand again and checks the running tasks. It
// has to be called periodically.
func (d *Dispatcher) Tick() {
	now := d.o.Now()
	for _, sched := range d.Schedulers() {
		d.execute(sched, sched.Tick(now))
	}
	d.checkRunning(now)
}

// Close cancels all pending calls and waits until every task goroutine has returned.
func (d *Dispatcher) Close() {
	d.cancel()
	d.goroutines.Wait()
}
