package standin

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// lastEnd keeps the end of the last run. mu guards the fields below it.
type lastEnd struct {
	mu    sync.Mutex
	state contract.RunState
	at    time.Time
}

func (e *lastEnd) Started(string, contract.RunKey) {}

func (e *lastEnd) Ended(_ string, _ contract.RunKey, state contract.RunState, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.at = state, at
}

// Guards against a false report of two runs: the timer of a lease is late, and a run is completed, extended, stopped or crashes
// its worker after the end of its lease.
func TestRunEndsWithItsLeaseAlthoughTheTimerIsLate(t *testing.T) {
	const lease = 500 * time.Millisecond
	key, next := contract.RunKey{Batch: "a", Run: 1}, contract.RunKey{Batch: "b", Run: 1}
	ctx := context.Background()
	poll := func(h *RunHost) {
		_, err := h.Poll(ctx, link.HostPoll{Token: 1, LeaseEnd: time.Minute})
		require.NoError(t, err)
	}
	for name, c := range map[string]struct {
		plan RunPlan
		late func(h *RunHost)
	}{
		"completed": {RunPlan{Duration: time.Second}, func(*RunHost) { time.Sleep(time.Second) }},
		"crashes":   {RunPlan{Duration: time.Second, CrashesFor: time.Second}, func(*RunHost) { time.Sleep(time.Second) }},
		"extended":  {RunPlan{Stalls: true}, poll},
		"extended by a start": {RunPlan{Stalls: true}, func(h *RunHost) {
			_, _, err := h.Start(ctx, link.HostStart{Key: next, LeaseEnd: time.Minute, Token: 1})
			require.NoError(t, err)
		}},
		"stopped": {RunPlan{Stalls: true}, func(h *RunHost) {
			_, err := h.Stop(ctx, key, 1)
			require.NoError(t, err)
		}},
		"down": {RunPlan{Stalls: true}, (*RunHost).Crash},
		"listed after a wait": {RunPlan{Stalls: true}, func(h *RunHost) {
			reply, err := h.Poll(ctx, link.HostPoll{Token: 1, Wait: time.Second})
			require.NoError(t, err)
			require.Empty(t, reply.Running)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := &lastEnd{}
				h := NewRunHost(RunHostOptions{
					ID: "w", Capacity: machine.Resources{CPUMillis: 1000}, MaxLease: time.Minute, Observer: end,
					Plan: func(contract.RunKey) RunPlan { return c.plan },
					Need: func(contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: 100} },
				})
				start := time.Now()
				verdict, _, err := h.Start(ctx, link.HostStart{Key: key, LeaseEnd: lease, Token: 1})
				require.NoError(t, err)
				require.Equal(t, link.StartAccepted, verdict)
				h.leaseTimer.Stop()
				if name != "listed after a wait" {
					time.Sleep(lease + 100*time.Millisecond)
				}
				c.late(h)
				synctest.Wait()
				require.Equal(t, contract.RunEnded, end.state)
				require.Equal(t, start.Add(lease), end.at)
			})
		})
	}
}
