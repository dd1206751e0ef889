package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// restartedWith crashes a worker that has left a start without an answer, and restarts it.
func restartedWith(t *testing.T, fault func(h *RunHost)) (*RunHost, *countedStarts) {
	starts := &countedStarts{}
	h := NewRunHost(RunHostOptions{
		ID: "w", Capacity: machine.Resources{CPUMillis: 1000}, MaxLease: time.Second, Observer: starts,
		Plan: func(contract.RunKey) RunPlan { return RunPlan{Duration: time.Second} },
		Need: func(contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: 100} },
	})
	fault(h)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, _, err := h.Start(ctx, link.HostStart{Key: contract.RunKey{Batch: "a", Run: 1}, LeaseEnd: time.Minute, Token: 1})
	require.Error(t, err)
	_, err = h.Stop(context.Background(), contract.RunKey{Batch: "a", Run: 1}, 1)
	require.NoError(t, err)
	h.Crash()
	time.Sleep(10 * time.Millisecond)
	h.Restart()
	return h, starts
}

// Guards against tests that miss starts which survive the restart of their worker: a held start is dropped, or takes the
// stop on the earlier incarnation into account.
func TestHeldStartIsExecutedByTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, starts := restartedWith(t, func(h *RunHost) { h.SetHoldingStarts(1) })
		require.Len(t, h.Held(), 1)
		require.Equal(t, 1, h.DeliverHeld())
		require.Equal(t, 1, starts.n)
		require.Empty(t, h.Held())
		require.Zero(t, h.DeliverHeld())
		time.Sleep(2 * time.Second)
	})
}

// Guards against the same for calls that are delayed.
func TestDelayedStartIsExecutedByTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, starts := restartedWith(t, func(h *RunHost) { h.SetDelayEveryNth(2, time.Second); h.calls = 1 })
		require.Zero(t, starts.n)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, starts.n)
	})
}
