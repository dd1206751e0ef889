package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/standin"
)

// hostCalls calls stand-ins of workers without a network.
type hostCalls struct {
	hosts map[string]*standin.RunHost
	// dropStops makes all stop calls time out without effect.
	dropStops atomic.Bool
	// spoilStarts makes all starts be rejected by answers that cannot be relied on.
	spoilStarts atomic.Bool
	// delayPolls makes polls take a round trip.
	delayPolls atomic.Bool
	// pollDelay is the time in nanoseconds for which the answers to polls are under way.
	pollDelay atomic.Int64
	// answerDelay is the time in nanoseconds for which the answers to starts are under way; the workers execute the starts at once.
	answerDelay atomic.Int64
	// writeDelay is the time from the decision on a start until it is written.
	writeDelay time.Duration
}

func (c *hostCalls) Start(
	ctx context.Context, a link.HostAddress, s link.HostStart,
) (link.StartVerdict, link.HostReply, error) {
	if c.spoilStarts.Load() {
		return 0, link.HostReply{}, fault.AnsweredInDoubt.New("rejection by worker %s is not whole", a.Worker)
	}
	if c.writeDelay > 0 {
		time.Sleep(c.writeDelay)
		if !s.Valid() {
			return 0, link.HostReply{}, fault.NotStarted.New("start at worker %s is not valid any more", a.Worker)
		}
		ctx = context.Background()
	}
	verdict, reply, err := c.hosts[a.Worker].Start(ctx, s)
	if d := time.Duration(c.answerDelay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return 0, link.HostReply{}, fault.InDoubt.New("worker %s does not answer in time", a.Worker)
		}
	}
	return verdict, reply, err
}

func (c *hostCalls) Stop(
	ctx context.Context, a link.HostAddress, k contract.RunKey, token uint64,
) (link.HostReply, error) {
	if c.dropStops.Load() {
		<-ctx.Done()
		return link.HostReply{}, ctx.Err()
	}
	return c.hosts[a.Worker].Stop(ctx, k, token)
}

func (c *hostCalls) Poll(ctx context.Context, a link.HostAddress, h link.HostPoll) (link.PollReply, error) {
	if c.delayPolls.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	reply, err := c.hosts[a.Worker].Poll(ctx, h)
	if d := time.Duration(c.pollDelay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return link.PollReply{}, fault.InDoubt.New("worker %s does not answer in time", a.Worker)
		}
	}
	return reply, err
}

func (c *hostCalls) CloseIdleConnections(link.HostAddress) {}
