package pool

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

// addressedCalls calls the worker that is at an address, which rejects the calls to another one.
type addressedCalls struct{ *hostCalls }

func (c addressedCalls) rejects(a link.HostAddress) bool {
	_, ok := c.hosts[a.Address]
	return ok && a.Address != a.Worker
}

func (c addressedCalls) Start(
	ctx context.Context, a link.HostAddress, s link.HostStart,
) (link.StartVerdict, link.HostReply, error) {
	if c.rejects(a) {
		return link.StartOtherWorker, link.HostReply{OtherWorker: true}, nil
	}
	return c.hostCalls.Start(ctx, a, s)
}

func (c addressedCalls) Stop(
	ctx context.Context, a link.HostAddress, k contract.RunKey, token uint64,
) (link.HostReply, error) {
	if c.rejects(a) {
		return link.HostReply{OtherWorker: true}, nil
	}
	return c.hostCalls.Stop(ctx, a, k, token)
}

func (c addressedCalls) Poll(ctx context.Context, a link.HostAddress, h link.HostPoll) (link.PollReply, error) {
	if c.rejects(a) {
		return link.PollReply{HostReply: link.HostReply{OtherWorker: true}}, nil
	}
	return c.hostCalls.Poll(ctx, a, h)
}

// Guards against a second run of a task: an entry of its worker names the address of another one for a while, which rejects
// the calls to it. That says nothing about runs that were started at the worker's own address.
func TestEntryWithAddressOfAnotherWorkerEndsNoRun(t *testing.T) {
	for _, laterStart := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(2)
			f.pool.Close()
			o := f.pool.o
			o.Calls = addressedCalls{f.calls}
			takeovers := make(chan contract.Takeover, 10)
			o.Takeover = func(takeover contract.Takeover) { takeovers <- takeover }
			f.pool = New(o)
			defer f.pool.Close()
			f.list[1].Draining = true
			f.pool.SetHosts(f.list)
			time.Sleep(100 * time.Millisecond)
			f.setRunTime("kept", 900*time.Millisecond)
			key := f.order("kept", 500, 0, time.Second, 10*time.Second)
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, "w0", f.observer.workerOfJob()["kept"])
			odd := f.list[0]
			odd.Address, odd.StartTime = "w1", odd.StartTime+laterStart.Milliseconds()
			f.pool.SetHosts([]machine.Listing{odd, f.list[1]})
			for range 20 {
				time.Sleep(10 * time.Millisecond)
				f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
				require.Equal(t, contract.RunLost, f.state(key))
			}
			require.NotContains(t, f.pool.Owned(), "w0")
			f.pool.SetHosts(f.list)
			time.Sleep(10 * time.Millisecond)
			require.Zero(t, f.observer.endOf("kept"))
			var last contract.Takeover
			for range len(takeovers) {
				last = <-takeovers
			}
			require.Equal(t, "w0", last.Worker)
			require.Equal(t, []contract.RunKey{key}, last.Runs)
		})
	}
}
