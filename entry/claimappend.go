package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
)

// appendLoop appends what waits whenever no append is in flight and the budget allows one. Claims that arrive
// meanwhile form the next batch, so the window grows with the log's latency and is zero for an idle delegate.
func (c *claimDelegate) appendLoop(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for c.hasPending() {
			if !c.awaitCaughtUp(ctx) || c.o.Budget.Wait(ctx, claimStream, c.o.Now()) != nil {
				return
			}
			c.appendBatch(ctx, c.takeBatch())
		}
	}
}

func (c *claimDelegate) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

func (c *claimDelegate) awaitCaughtUp(ctx context.Context) bool {
	c.mu.Lock()
	caughtUp := c.caughtUp
	c.mu.Unlock()
	select {
	case <-caughtUp:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeBatch removes the oldest claims that still wait.
func (c *claimDelegate) takeBatch() []*claimWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*claimWaiter
	taken := 0
	for _, w := range c.pending {
		if len(batch) == maxClaimBatch {
			break
		}
		taken++
		if !w.ended {
			batch = append(batch, w)
		}
	}
	c.pending = append([]*claimWaiter(nil), c.pending[taken:]...)
	return batch
}

// appendBatch appends until the batch is seen in the stream, an append succeeds or nobody waits any more. A repeated
// batch changes nothing, since each of its keys is bound by the first one.
func (c *claimDelegate) appendBatch(ctx context.Context, waiters []*claimWaiter) {
	if len(waiters) == 0 {
		return
	}
	b, landed := c.newBatch(waiters)
	data, err := encodeBatch(b)
	if err != nil {
		c.o.Logger.Error("encode claims", "error", err)
		return
	}
	var backoff platform.Backoff
	for c.anyWaits(waiters) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := c.o.Log.Append(attempt, claimStream, data)
		cancel()
		if err == nil {
			return
		}
		c.countError()
		select {
		case <-landed:
			return
		case <-time.After(backoff.Next()):
		case <-ctx.Done():
			return
		}
		if c.o.Budget.Wait(ctx, claimStream, c.o.Now()) != nil {
			return
		}
	}
}

func (c *claimDelegate) newBatch(waiters []*claimWaiter) (contract.ClaimBatch, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batches++
	b := contract.ClaimBatch{ID: fmt.Sprintf("%s-%d", c.o.Self, c.batches)}
	for _, w := range waiters {
		b.Claims = append(b.Claims, w.claim)
	}
	c.inflight = b.ID
	c.landed = make(chan struct{})
	return b, c.landed
}

func (c *claimDelegate) anyWaits(waiters []*claimWaiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range waiters {
		if !w.ended {
			return true
		}
	}
	return false
}
