package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// instantStarter completes each task immediately, so that only the work of the dispatcher is measured.
type instantStarter struct{}

func (instantStarter) Start(context.Context, StartRequest) (StartReply, error) {
	return StartReply{Outcome: contract.OutcomeDone, RunTime: time.Millisecond}, nil
}

func (instantStarter) Resolve(context.Context, StartRequest) (StartReply, error) {
	return StartReply{Outcome: contract.OutcomeDone}, nil
}

// BenchmarkStartPath compares the start path with and without the timeline in alternating runs.
func BenchmarkStartPath(b *testing.B) {
	for _, on := range []bool{true, false, true, false} {
		name := "timeline-off"
		if on {
			name = "timeline-on"
		}
		b.Run(name, func(b *testing.B) { benchmarkStarts(b, on) })
	}
}

func benchmarkStarts(b *testing.B, on bool) {
	const tasks = 100
	home := machine.NewIncarnation()
	ring := timeline.NewRing(timeline.Process{VM: "entry-1", Incarnation: home}, timeline.DefaultEvents, &timeline.Clock{}, time.Now)
	ring.SetEnabled(on)
	table := contract.NewJobTable(1, home)
	fleet := machine.NewFleet()
	w, _ := fleet.Upsert(machine.WorkerSpec{ID: "worker-1", Service: "s", Slots: tasks})
	w.ObserveStatus(machine.NewIncarnation(), 0, time.Now())
	broker := &instantBroker{}
	d := New(Options{
		Table: table, Starter: instantStarter{}, Broker: broker, Self: "entry-1", Fleet: fleet, Now: time.Now,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Timeline: ring,
	})
	defer d.Close()
	broker.d = d
	d.AddService(backend.NewService("s", []backend.KindSpec{{Name: "k", Expected: time.Millisecond, Deadline: time.Hour}}))
	spec := contract.JobSpec{Service: "s", Tasks: make([]contract.TaskSpec, tasks)}
	for i := range spec.Tasks {
		spec.Tasks[i].Kind = "k"
	}
	b.ReportAllocs()
	started := 0
	for b.Loop() {
		spec.ID = table.Mint(1)[0]
		require.NoError(b, d.Submit(spec))
		a, err := d.Wait(context.Background(), spec.ID)
		require.NoError(b, err)
		require.Equal(b, contract.VerdictComplete, a.Verdict)
		started += tasks
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(started), "ns/start")
}

// instantBroker grants every demand in full.
type instantBroker struct {
	d *Dispatcher
}

func (s *instantBroker) Demand(dm contract.SlotDemand) {
	if dm.Short+dm.Long > 0 {
		s.d.Grant(dm.Service, []contract.SlotGrant{{
			Worker: "worker-1", Short: dm.Short, Long: dm.Long, Epoch: 1, TTL: time.Hour,
		}})
	}
}

func (s *instantBroker) Return([]contract.SlotReturn) {}

func (s *instantBroker) Allocator(machine.WorkerID) string { return "entry-1" }

func (s *instantBroker) Scarce(string) bool { return false }
