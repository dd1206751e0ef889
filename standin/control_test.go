package standin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// startTask starts a task of one hour and returns its request and the channel of its reply.
func startTask(t *testing.T, lease time.Duration) (*link.Workers, dispatch.StartRequest, <-chan dispatch.StartReply) {
	t.Helper()
	_, workers, req, replies := startTaskOf(t, lease, time.Hour, WorkerFaults{})
	return workers, req, replies
}

// startTaskOf starts a task of the given length on a worker with faults.
func startTaskOf(
	t *testing.T, lease, length time.Duration, faults WorkerFaults,
) (*Worker, *link.Workers, dispatch.StartRequest, <-chan dispatch.StartReply) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := make(chan string, 1)
	w := NewWorker(l, WorkerOptions{
		ID: "w", Slots: 1, Started: func(task string) { started <- task },
		Work: func(string, string, []byte) ([]byte, time.Duration, error) { return nil, length, nil },
	})
	w.SetFaults(faults)
	t.Cleanup(func() { _ = w.Close() })
	fleet := machine.NewFleet()
	known, _ := fleet.Upsert(machine.WorkerSpec{ID: "w", Address: w.Address(), Service: "s", Slots: 1})
	workers, err := link.NewWorkers(fleet, 7, 2, &timeline.Clock{})
	require.NoError(t, err)
	_, err = workers.Poll(context.Background(), known, time.Now)
	require.NoError(t, err)
	req := dispatch.StartRequest{
		Ticket: contract.StartTicket{
			Task: contract.TaskID{Job: contract.JobID{Domain: 1, Home: 7, Seq: 1}}, Service: "s", Kind: "k",
		},
		Worker: "w", Incarnation: known.Incarnation(), StartBy: time.Now().Add(time.Minute), Lease: lease,
	}
	replies := make(chan dispatch.StartReply, 1)
	go func() {
		reply, err := workers.Start(context.Background(), req)
		if err == nil {
			replies <- reply
		}
		close(replies)
	}()
	<-started
	return w, workers, req, replies
}

// Guards against tasks that stay slow after the slowdown has ended: a soak run would wait for them longer than its
// bound, which counts from the end of all faults.
func TestSlownessEndsForRunningTasks(t *testing.T) {
	const slowdown = 3_600_000 // a task of 1 ms takes an hour
	w, _, _, replies := startTaskOf(t, time.Minute, time.Millisecond, WorkerFaults{Slowdown: slowdown})
	select {
	case <-replies:
		t.Fatal("the slow task has already ended")
	case <-time.After(10 * time.Millisecond):
	}
	w.SetFaults(WorkerFaults{})
	require.Equal(t, contract.OutcomeDone, (<-replies).Outcome)
}

// Guards against a stopped task that is reported as done or not run, and against control calls that take effect on
// another incarnation of the worker.
func TestStop(t *testing.T) {
	workers, req, replies := startTask(t, time.Minute)
	other := req
	other.Incarnation++
	_, err := workers.ApplyAction(context.Background(), other, backend.StragglerStop)
	require.Error(t, err)
	require.NoError(t, workers.Renew(context.Background(), req))
	reply, err := workers.ApplyAction(context.Background(), req, backend.StragglerStop)
	require.NoError(t, err)
	require.False(t, reply.SlotFreed)
	final := <-replies
	require.Equal(t, contract.OutcomeFailed, final.Outcome)
	require.Equal(t, link.StoppedByHome, final.Detail)
	require.Error(t, workers.Renew(context.Background(), req), "renewal of a task that has ended")
}

// Guards against a task that holds its slot after it was throttled or checkpointed, and against a slot that is freed
// twice.
func TestThrottleAndCheckpointFreeTheSlot(t *testing.T) {
	for _, action := range []backend.StragglerAction{backend.StragglerThrottle, backend.StragglerCheckpoint} {
		workers, req, replies := startTask(t, time.Minute)
		for range 2 {
			reply, err := workers.ApplyAction(context.Background(), req, action)
			require.NoError(t, err)
			require.True(t, reply.SlotFreed)
		}
		_, err := workers.ApplyAction(context.Background(), req, backend.StragglerStop)
		require.NoError(t, err)
		require.Equal(t, contract.OutcomeFailed, (<-replies).Outcome)
	}
}

// Guards against a task that keeps running although its home has stopped renewing the lease.
func TestExpiredLeaseStopsTheTask(t *testing.T) {
	_, _, replies := startTask(t, 20*time.Millisecond)
	final := <-replies
	require.Equal(t, contract.OutcomeFailed, final.Outcome)
	require.Equal(t, link.StoppedLeaseExpired, final.Detail)
}
