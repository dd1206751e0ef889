package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
)

// appendLoop appends pending claims whenever no append is in flight and the budget allows one. Claims that arrive
// meanwhile form the next batch, so the batching window grows with the log's latency and is zero for an idle delegate.
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

// takeBatch removes the oldest unresolved claims from the queue.
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
		if !w.resolved {
			batch = append(batch, w)
		}
	}
	c.pending = append([]*claimWaiter(nil), c.pending[taken:]...)
	return batch
}

// appendBatch appends the claims as one batch. It retries until an append succeeds, the batch is seen in the stream or
// no caller is waiting. A repeated batch has no effect, because its first copy binds every key.
func (c *claimDelegate) appendBatch(ctx context.Context, waiters []*claimWaiter) {
	if len(waiters) == 0 {
		return
	}
	b, seen := c.newBatch(waiters)
	data, err := encodeBatch(b)
	if err != nil {
		c.o.Logger.Error("failed to encode a batch of claims; the claims stay undecided until their callers time out",
			"error", err)
		return
	}
	var backoff platform.Backoff
	for c.anyWaiting(waiters) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := c.o.Log.Append(attempt, claimStream, data)
		cancel()
		if err == nil {
			return
		}
		c.countError()
		select {
		case <-seen:
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
	c.inflightSeen = make(chan struct{})
	return b, c.inflightSeen
}

func (c *claimDelegate) anyWaiting(waiters []*claimWaiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range waiters {
		if !w.resolved {
			return true
		}
	}
	return false
}
