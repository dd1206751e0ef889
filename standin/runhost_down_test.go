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

// countedStarts counts the started runs. mu guards the count.
type countedStarts struct {
	mu sync.Mutex
	n  int
}

func (c *countedStarts) Started(string, contract.RunKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *countedStarts) Ended(string, contract.RunKey, contract.RunState, time.Time) {}

// Guards against a false report of two runs: a delayed start is executed while its worker is down.
func TestDelayedStartIsNotExecutedWhileTheWorkerIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := &countedStarts{}
		h := NewRunHost(RunHostOptions{
			ID: "w", Capacity: machine.Resources{CPUMillis: 1000}, MaxLease: time.Second, Observer: starts,
			Plan: func(contract.RunKey) RunPlan { return RunPlan{Duration: time.Second} },
			Need: func(contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: 100} },
		})
		h.SetDelay(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, _, err := h.Start(ctx, link.HostStart{Key: contract.RunKey{Batch: "a", Run: 1}, LeaseEnd: time.Minute, Token: 1})
		require.Error(t, err)
		h.Crash()
		time.Sleep(2 * time.Second)
		require.Zero(t, starts.n)
	})
}
