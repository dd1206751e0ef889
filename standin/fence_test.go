package standin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// Guards against a worker that accepts a start that was fenced before it arrived, and against a fence that also refuses
// later attempts: in a small failure domain every worker had fenced a start of a task that never arrived, so that the
// task waited until its deadline.
func TestFenceRefusesOnlyEarlierAttempts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	starts := 0
	w := NewWorker(l, WorkerOptions{
		ID: "w", Slots: 1, Started: func(string) { starts++ },
		Work: func(string, string, []byte) ([]byte, time.Duration, error) { return []byte("r"), 0, nil },
	})
	t.Cleanup(func() { _ = w.Close() })
	fleet := machine.NewFleet()
	known, _ := fleet.Upsert(machine.WorkerSpec{ID: "w", Address: w.Address(), Service: "s", Slots: 1})
	workers, err := link.NewWorkers(fleet, 7, 2, &timeline.Clock{})
	require.NoError(t, err)
	ctx := context.Background()
	_, err = workers.Poll(ctx, known, time.Now)
	require.NoError(t, err)
	request := func(attempt int) dispatch.StartRequest {
		return dispatch.StartRequest{
			Ticket: contract.StartTicket{
				Task: contract.TaskID{Job: contract.JobID{Domain: 1, Home: 7, Seq: 1}}, Service: "s", Kind: "k",
			},
			Worker: "w", Incarnation: known.Incarnation(), Attempt: attempt, StartBy: time.Now().Add(time.Minute),
			Lease: time.Minute,
		}
	}
	for attempt := range 3 {
		_, err = workers.Resolve(ctx, request(attempt+1))
		require.True(t, fault.IsProvenNotStarted(err))
	}
	for _, late := range []int{1, 3} {
		_, err = workers.Start(ctx, request(late))
		require.Equal(t, link.RejectFenced, fault.Reason(err))
	}
	reply, err := workers.Start(ctx, request(4))
	require.NoError(t, err)
	require.Equal(t, contract.OutcomeDone, reply.Outcome)
	_, err = workers.Start(ctx, request(2))
	require.False(t, fault.IsProvenNotStarted(err), "the task has run, so a repeated start must not prove that it has not")
	reply, err = workers.Resolve(ctx, request(5))
	require.NoError(t, err)
	require.Equal(t, []byte("r"), reply.Result)
	require.Equal(t, 1, starts)
}
