package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
)

// fakeWorkers simulates tasks with the run time and outcome that run returns. mu guards all fields.
type fakeWorkers struct {
	mu      sync.Mutex
	run     func(StartRequest) (time.Duration, contract.Outcome)
	starts  map[machine.WorkerID]int
	renewed map[contract.TaskID]int
	stops   map[contract.TaskID]chan struct{}
	actions []backend.StragglerAction
	reject  bool
}

func (f *fakeWorkers) Start(_ context.Context, r StartRequest) (StartReply, error) {
	f.mu.Lock()
	f.starts[r.Worker]++
	stop := make(chan struct{})
	f.stops[r.Ticket.Task] = stop
	reject := f.reject
	f.mu.Unlock()
	if reject {
		return StartReply{}, fault.With(fault.NotStarted, ReasonWorkerFull, "full")
	}
	run, outcome := f.run(r)
	begin := time.Now()
	select {
	case <-time.After(run):
		return StartReply{Outcome: outcome, RunTime: time.Since(begin), Result: []byte("r")}, nil
	case <-stop:
		return StartReply{Outcome: contract.OutcomeFailed, Detail: "stopped", RunTime: time.Since(begin)}, nil
	}
}

func (f *fakeWorkers) Resolve(context.Context, StartRequest) (StartReply, error) {
	return StartReply{}, fault.Unavailable.New("not expected")
}

func (f *fakeWorkers) Renew(_ context.Context, r StartRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed[r.Ticket.Task]++
	return nil
}

func (f *fakeWorkers) ApplyAction(_ context.Context, r StartRequest, a backend.StragglerAction) (ControlReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.actions = append(f.actions, a)
	if a == backend.StragglerStop {
		close(f.stops[r.Ticket.Task])
	}
	return ControlReply{SlotFreed: a != backend.StragglerStop}, nil
}

// fakeBroker grants every demand as far as the workers that accept tasks have slots.
type fakeBroker struct {
	d       *Dispatcher
	workers []machine.WorkerID
	slots   int

	mu   sync.Mutex
	held map[machine.WorkerID]int
}

func (b *fakeBroker) Allocator(machine.WorkerID) string { return "self" }
func (b *fakeBroker) Scarce(string) bool                { return true }
func (b *fakeBroker) Demand(dm contract.SlotDemand)     { go b.grant(dm) }
func (b *fakeBroker) Return(rs []contract.SlotReturn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rs {
		b.held[r.Worker] -= r.Short + r.Long
	}
}

func (b *fakeBroker) grant(dm contract.SlotDemand) {
	var grants []contract.SlotGrant
	b.mu.Lock()
	need := dm.Short + dm.Long
	for _, id := range b.workers {
		w, _ := b.d.o.Fleet.Get(id)
		n := min(need, w.UsableSlots(time.Now())-b.held[id])
		if n <= 0 {
			continue
		}
		need -= n
		b.held[id] += n
		grants = append(grants, contract.SlotGrant{Service: dm.Service, Worker: id, Short: n, TTL: time.Minute})
	}
	b.mu.Unlock()
	if len(grants) > 0 {
		b.d.Grant(dm.Service, grants)
	}
}

type fixture struct {
	d       *Dispatcher
	table   *contract.JobTable
	workers *fakeWorkers
	broker  *fakeBroker
	fleet   *machine.Fleet
}

// newFixture starts a dispatcher with n workers named a, b, ... It must be called in a synctest bubble.
func newFixture(
	n, slots int, kinds []backend.KindSpec, run func(StartRequest) (time.Duration, contract.Outcome),
) *fixture {
	b := &fixture{
		table: contract.NewJobTable(1, 7), fleet: machine.NewFleet(),
		workers: &fakeWorkers{
			run: run, starts: make(map[machine.WorkerID]int), renewed: make(map[contract.TaskID]int),
			stops: make(map[contract.TaskID]chan struct{}),
		},
		broker: &fakeBroker{slots: slots, held: make(map[machine.WorkerID]int)},
	}
	for i := range n {
		id := machine.WorkerID(string(rune('a' + i)))
		w, _ := b.fleet.Upsert(machine.WorkerSpec{ID: id, Service: "s", Slots: slots})
		w.ObserveStatus(9, 0, time.Now())
		b.broker.workers = append(b.broker.workers, id)
	}
	b.d = New(Options{
		Table: b.table, Starter: b.workers, Broker: b.broker, Self: "self", Fleet: b.fleet, Now: time.Now,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Control: b.workers,
		Capacity: func(service string) (float64, int) {
			workers, _, speed := b.fleet.Capacity(service, time.Now())
			return speed, workers
		},
	})
	b.broker.d = b.d
	b.d.AddService(backend.NewService("s", kinds))
	return b
}

func (b *fixture) submit(tasks int, kind string) (contract.JobID, error) {
	id := b.table.Mint(1)[0]
	spec := contract.JobSpec{ID: id, Service: "s", Customer: "c", Team: "t", Deadline: time.Now().Add(time.Minute)}
	for range tasks {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Kind: kind})
	}
	return id, b.d.Submit(spec)
}

// run advances the time of the bubble, with a tick every 10 ms.
func (b *fixture) run(d time.Duration) {
	for range int(d / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		b.d.Tick()
		synctest.Wait()
	}
}

func (b *fixture) answer(t require.TestingT, id contract.JobID) contract.Answer {
	a, _, err := b.table.Lookup(id)
	require.NoError(t, err)
	return a
}

var testKind = backend.KindSpec{Name: "k", Expected: 100 * time.Millisecond}

func runsFor(d time.Duration) func(StartRequest) (time.Duration, contract.Outcome) {
	return func(StartRequest) (time.Duration, contract.Outcome) { return d, contract.OutcomeDone }
}

// Guards against a worker that fails every task immediately and, as it is always free, attracts all the work.
func TestFailingWorkerGetsFewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(5, 4, []backend.KindSpec{testKind}, func(r StartRequest) (time.Duration, contract.Outcome) {
			if r.Worker == "a" {
				return time.Millisecond, contract.OutcomeFailed
			}
			return 100 * time.Millisecond, contract.OutcomeDone
		})
		defer b.d.Close()
		for range 100 {
			_, err := b.submit(4, "k")
			require.NoError(t, err)
		}
		b.run(3 * time.Second)
		w, _ := b.fleet.Get("a")
		require.NotEqual(t, machine.Healthy, w.HealthAt(time.Now()))
		// The worker may start tasks until three failures make it suspect, then one at a time until it is quarantined
		// (its failures count for that only after other workers have succeeded), and then only probes.
		require.LessOrEqual(t, b.workers.starts["a"], 16)
		for _, id := range b.broker.workers[1:] {
			w, _ := b.fleet.Get(id)
			require.Equal(t, machine.Healthy, w.HealthAt(time.Now()))
		}
	})
}

// Guards against a kind that fails on every worker and causes the workers to be quarantined, and against running all
// tasks of its jobs.
func TestFailingKindFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := backend.KindSpec{Name: "bad", Expected: 100 * time.Millisecond}
		b := newFixture(5, 4, []backend.KindSpec{testKind, bad}, func(r StartRequest) (time.Duration, contract.Outcome) {
			if r.Ticket.Kind == "bad" {
				return 10 * time.Millisecond, contract.OutcomeFailed
			}
			return 100 * time.Millisecond, contract.OutcomeDone
		})
		defer b.d.Close()
		id, err := b.submit(400, "bad")
		require.NoError(t, err)
		good, err := b.submit(40, "k")
		require.NoError(t, err)
		b.run(2 * time.Second)
		a := b.answer(t, id)
		require.Equal(t, contract.VerdictFailed, a.Verdict)
		notRun := 0
		for _, r := range a.Reports {
			if r.Outcome == contract.OutcomeNotRun {
				notRun++
			}
		}
		require.Greater(t, notRun, 300)
		require.Equal(t, contract.VerdictComplete, b.answer(t, good).Verdict)
		for _, id := range b.broker.workers {
			w, _ := b.fleet.Get(id)
			require.Equal(t, machine.Healthy, w.HealthAt(time.Now()))
		}
		_, first := b.submit(1, "bad")
		_, second := b.submit(1, "bad")
		require.NoError(t, first, "a trial job is accepted")
		require.True(t, fault.IsProvenNotStarted(second))
		b.run(time.Second)
	})
}

// Guards against a straggler that holds its slot until it ends although an action is declared for its kind, against a
// stopped straggler that is reported as not run, and against a lease that expires while its home node is alive.
func TestStragglers(t *testing.T) {
	for action, freed := range map[backend.StragglerAction]bool{
		backend.StragglerStop: true, backend.StragglerThrottle: true, backend.StragglerWait: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			kind := backend.KindSpec{Name: "k", Expected: 200 * time.Millisecond, Straggler: action}
			b := newFixture(1, 1, []backend.KindSpec{kind}, runsFor(20*time.Second))
			defer b.d.Close()
			id, err := b.submit(1, "k")
			require.NoError(t, err)
			next, err := b.submit(1, "k")
			require.NoError(t, err)
			b.run(8 * time.Second)
			require.Equal(t, freed, len(b.workers.actions) > 0)
			p, err := b.table.Progress(next)
			require.NoError(t, err)
			require.Equal(t, freed, p.Waiting == 0, "the next task starts if and only if the straggler has given up its slot")
			if action == backend.StragglerStop {
				require.Equal(t, contract.OutcomeFailed, b.answer(t, id).Reports[0].Outcome)
				require.Positive(t, b.answer(t, id).Reports[0].RunTime)
			} else {
				require.GreaterOrEqual(t, b.workers.renewed[contract.TaskID{Job: id}], 2)
			}
			b.run(40 * time.Second)
		})
	}
}

// Guards against demand for cancelled tasks, and against waiting tasks that keep their old priority.
func TestCancelAndReconfigureReachTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 1, []backend.KindSpec{testKind}, runsFor(100*time.Millisecond))
		defer b.d.Close()
		first, _ := b.submit(100, "k")
		synctest.Wait()
		second, _ := b.submit(5, "k")
		third, _ := b.submit(5, "k")
		b.run(50 * time.Millisecond)
		_, err := b.d.Reconfigure(third, time.Time{}, 5)
		require.NoError(t, err)
		require.NoError(t, b.d.Cancel(first))
		sched, _ := b.d.Scheduler("s")
		require.Equal(t, 10, sched.View().Depth.Waiting)
		b.run(600 * time.Millisecond)
		require.Equal(t, contract.VerdictComplete, b.answer(t, third).Verdict)
		require.Equal(t, contract.VerdictPending, b.answer(t, second).Verdict)
	})
}

// Guards against accepting jobs without a worker, beyond the queue limits, or with a wait beyond their deadline.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		none := newFixture(0, 1, []backend.KindSpec{testKind}, runsFor(time.Second))
		defer none.d.Close()
		_, err := none.submit(1, "k")
		require.Equal(t, "no worker", fault.Reason(err))
		b := newFixture(1, 1, []backend.KindSpec{testKind}, runsFor(100*time.Millisecond))
		defer b.d.Close()
		_, err = b.submit(500, "k")
		require.NoError(t, err)
		_, err = b.submit(100, "k")
		require.Equal(t, "overloaded", fault.Reason(err))
		require.Positive(t, fault.RetryAfter(err))
		require.True(t, fault.IsProvenNotStarted(err) && fault.IsRetriable(err))
		b.d.o.MaxWaiting = 500
		_, err = b.submit(5, "k")
		require.Equal(t, "queue full", fault.Reason(err))
		b.run(52 * time.Second)
	})
}

// Guards against a retry storm when every worker rejects starts, and against dropping an accepted task before its
// deadline.
func TestRejectedStartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 8, []backend.KindSpec{testKind}, runsFor(100*time.Millisecond))
		defer b.d.Close()
		b.workers.reject = true
		id, err := b.submit(20, "k")
		require.NoError(t, err)
		b.run(10 * time.Second)
		// The initial retry budget, then at most one attempt of each task per half second.
		require.LessOrEqual(t, b.workers.starts["a"], retryBurst+20+20*20)
		require.Equal(t, contract.VerdictPending, b.answer(t, id).Verdict)
		w, _ := b.fleet.Get("a")
		require.Equal(t, machine.Healthy, w.HealthAt(time.Now()), "a full worker is not at fault")
		b.workers.mu.Lock()
		b.workers.reject = false
		b.workers.mu.Unlock()
		b.run(40 * time.Second)
		require.Equal(t, contract.VerdictComplete, b.answer(t, id).Verdict)
	})
}

// Guards against fast retries beyond the budget.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		quick, starts := 0, 0
		for _, start := range rapid.SliceOf(rapid.Bool()).Draw(t, "starts and retries") {
			if start {
				b.Earn()
				starts++
				continue
			}
			d := b.Delay(rapid.IntRange(1, 40).Draw(t, "attempt"), rapid.Float64Range(0, 1).Draw(t, "jitter"))
			require.True(t, d >= retryDelay/2 && d <= retryLimit)
			if d < retryLimit/2 {
				quick++
			}
		}
		require.LessOrEqual(t, float64(quick), retryBurst+retryShare*float64(starts)+1)
	})
}

// Guards against more running tasks than the team's quota allows, and against quota that is not offered to waiting
// tasks after a task has ended or a share has grown.
func TestQuotaBoundsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 8, []backend.KindSpec{testKind}, runsFor(100*time.Millisecond))
		defer b.d.Close()
		require.NoError(t, b.d.ApplyCustomers(customer.Settings{Revision: 1, Customers: []customer.Spec{
			{Name: "c", Teams: []customer.TeamSpec{{Name: "t", Slots: 2}}},
		}}))
		id, err := b.submit(20, "k")
		require.NoError(t, err)
		b.run(50 * time.Millisecond)
		p, _ := b.table.Progress(id)
		require.Equal(t, 2, p.Running)
		b.d.SetQuotaShare(customer.TeamKey{Customer: "c", Team: "t"}, 4)
		b.run(20 * time.Millisecond)
		p, _ = b.table.Progress(id)
		require.Equal(t, 4, p.Running)
		b.run(2 * time.Second)
		require.Equal(t, contract.VerdictComplete, b.answer(t, id).Verdict)
	})
}
