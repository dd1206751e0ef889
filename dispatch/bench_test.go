package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	benchService = "bench.v1.Work"
	benchSelf    = "entry-0"
	benchWorkers = 187
	benchSlots   = 8  // per worker
	benchTasks   = 50 // per job
	benchJobs    = 16 // concurrent jobs
)

// localBroker grants the slots of all workers to this entry VM.
type localBroker struct {
	allocator  *zone.SlotAllocator
	dispatcher *dispatch.Dispatcher
}

func (b *localBroker) Allocator(machine.WorkerID) string { return benchSelf }
func (b *localBroker) Scarce(string) bool                { return false }

func (b *localBroker) Demand(d contract.SlotDemand) {
	b.deliver(b.allocator.Demand(benchSelf, zone.Need{Tasks: zone.Count{Short: d.Short, Long: d.Long}}, time.Now()))
}

func (b *localBroker) Return(returns []contract.SlotReturn) {
	held := make([]zone.Held, len(returns))
	for i, r := range returns {
		held[i] = zone.Held{Worker: r.Worker, Slots: zone.Count{Short: r.Short, Long: r.Long}}
	}
	b.deliver(b.allocator.Return(benchSelf, held, time.Now()))
}

func (b *localBroker) deliver(allocations []zone.Allocation) {
	if len(allocations) == 0 {
		return
	}
	grants := make([]contract.SlotGrant, len(allocations))
	for i, a := range allocations {
		grants[i] = contract.SlotGrant{
			Service: benchService, Worker: a.Worker, Short: a.Slots.Short, Long: a.Slots.Long, Epoch: a.Epoch,
			TTL: time.Hour,
		}
	}
	b.dispatcher.Grant(benchService, grants)
}

// immediateStarter replies to every start immediately.
type immediateStarter struct{}

func (immediateStarter) Start(context.Context, dispatch.StartRequest) (dispatch.StartReply, error) {
	return dispatch.StartReply{Outcome: contract.OutcomeDone, RunTime: time.Millisecond}, nil
}

func (immediateStarter) Resolve(context.Context, dispatch.StartRequest) (dispatch.StartReply, error) {
	return dispatch.StartReply{}, nil
}

type bench struct {
	table      *contract.JobTable
	dispatcher *dispatch.Dispatcher
}

// newBench builds a home node with the given workers. With zero slots the node cannot start any task.
func newBench(b *testing.B, fleet *machine.Fleet, home machine.Incarnation, starter dispatch.Starter, slots int) *bench {
	table := contract.NewJobTable(1, home)
	broker := &localBroker{allocator: zone.NewSlotAllocator(benchSelf, 1)}
	d := dispatch.New(dispatch.Options{
		Table: table, Starter: starter, Broker: broker, Self: benchSelf, Fleet: fleet, Now: time.Now,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Timeline: timeline.NewRing(timeline.Process{}, 1<<14, &timeline.Clock{}, time.Now),
		// The benchmark submits as fast as it can.
		MaxWaiting: math.MaxInt, MaxWaitingBytes: math.MaxInt,
	})
	broker.dispatcher = d
	d.AddService(backend.NewService(benchService, []backend.KindSpec{{Name: "Work", Expected: 100 * time.Millisecond}}))
	var offers []zone.Offer
	for _, w := range fleet.All() {
		offers = append(offers, zone.Offer{Worker: w.Spec().ID, Slots: slots, Speed: w.Speed()})
	}
	broker.allocator.Assign(offers, nil, nil, time.Now())
	b.Cleanup(d.Close)
	return &bench{table: table, dispatcher: d}
}

func (x *bench) submit(b *testing.B, tasks int) contract.JobID {
	id := x.table.Mint(1)[0]
	spec := contract.JobSpec{ID: id, Service: benchService, Customer: "customer", Tasks: make([]contract.TaskSpec, tasks)}
	for i := range spec.Tasks {
		spec.Tasks[i] = contract.TaskSpec{Kind: "Work", Payload: make([]byte, 32)}
	}
	if err := x.dispatcher.Submit(spec); err != nil {
		b.Error(err)
	}
	return id
}

// run submits jobs with b.N tasks in all and waits for the answers.
func (x *bench) run(b *testing.B) {
	b.ReportAllocs()
	b.ResetTimer()
	cpu := cpuTime(b)
	jobs := make(chan int, benchJobs)
	var wg sync.WaitGroup
	for range benchJobs {
		wg.Go(func() {
			for n := range jobs {
				a, err := x.dispatcher.Wait(context.Background(), x.submit(b, n))
				if err != nil || a.Verdict != contract.VerdictComplete {
					b.Errorf("answer %v: %v", a.Verdict, err)
				}
			}
		})
	}
	for left := b.N; left > 0; left -= benchTasks {
		jobs <- min(left, benchTasks)
	}
	close(jobs)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(b.N)/(cpuTime(b)-cpu).Seconds(), "starts/cpu-s")
}

// cpuTime returns the processor time of the process. On a shared machine it varies less than the elapsed time.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchFleet() *machine.Fleet {
	fleet := machine.NewFleet()
	for i := range benchWorkers {
		id := machine.WorkerID(fmt.Sprintf("worker-%d", i))
		w, _ := fleet.Upsert(machine.WorkerSpec{ID: id, Service: benchService, Slots: benchSlots})
		w.ObserveStatus(1, 0, time.Now())
	}
	return fleet
}

// BenchmarkStart measures the start path within the daemon. The target is 20,000 starts/s on one core: run it with
// -cpu 1.
func BenchmarkStart(b *testing.B) {
	newBench(b, benchFleet(), 1, immediateStarter{}, benchSlots).run(b)
}

// BenchmarkStartHTTP measures starts over HTTP, including the work of the stand-in workers in the same process.
func BenchmarkStartHTTP(b *testing.B) {
	fleet := machine.NewFleet()
	home := machine.NewIncarnation()
	clock := &timeline.Clock{}
	workers, err := link.NewWorkers(fleet, home, link.ConnectionsPerWorker, clock)
	require.NoError(b, err)
	var served []*standin.Worker
	b.Cleanup(func() {
		// Each server waits until its open connections are closed, so they are closed concurrently.
		var wg sync.WaitGroup
		for _, w := range served {
			wg.Go(func() { _ = w.Close() })
		}
		wg.Wait()
	})
	for i := range 16 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		id := machine.WorkerID(fmt.Sprintf("worker-%d", i))
		w := standin.NewWorker(l, standin.WorkerOptions{
			ID: id, Slots: benchSlots,
			Work: func(_, _ string, payload []byte) ([]byte, time.Duration, error) { return payload, 0, nil },
		})
		served = append(served, w)
		known, _ := fleet.Upsert(machine.WorkerSpec{ID: id, Address: w.Address(), Service: benchService, Slots: benchSlots})
		_, err = workers.Poll(context.Background(), known, time.Now)
		require.NoError(b, err)
	}
	newBench(b, fleet, home, workers, benchSlots).run(b)
}

// BenchmarkAcceptedMemory reports the memory per accepted, waiting task.
func BenchmarkAcceptedMemory(b *testing.B) {
	x := newBench(b, benchFleet(), 1, immediateStarter{}, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for left := b.N; left > 0; left -= benchTasks {
		x.submit(b, min(left, benchTasks))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "heap-B/task")
	runtime.KeepAlive(x)
}
