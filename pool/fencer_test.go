package pool

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// fencedWorker is a worker that a fencer watches.
type fencedWorker struct {
	*hostCalls
	host    *standin.RunHost
	address link.HostAddress
	fencer  *Fencer
	// fenced holds the start times of the incarnations that the fencer has fenced.
	fenced chan int64
	// beforeFence is called before each call that carries a token of the fencer; it may be nil.
	beforeFence func()
}

func (w *fencedWorker) Poll(ctx context.Context, a link.HostAddress, poll link.HostPoll) (link.PollReply, error) {
	if poll.Token != 0 && w.beforeFence != nil {
		w.beforeFence()
	}
	return w.hostCalls.Poll(ctx, a, poll)
}

func newFencedWorker(t *testing.T) *fencedWorker {
	// The clock of a test starts at the origin of the tokens.
	time.Sleep(time.Hour)
	h := standin.NewRunHost(standin.RunHostOptions{
		ID: "w", Capacity: machine.Resources{CPUMillis: 1000}, MaxLease: time.Second, Observer: noObserver{},
		Plan: func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: time.Minute} },
		Need: func(contract.RunKey) machine.Resources { return machine.Resources{} },
	})
	w := &fencedWorker{
		hostCalls: &hostCalls{hosts: map[string]*standin.RunHost{"w": h}}, host: h, address: link.HostAddress{Worker: "w", Address: "w"},
		fenced: make(chan int64, 10),
	}
	w.fencer = NewFencer(FencerOptions{
		Calls: w, Fenced: func(_ link.HostAddress, startTime int64) { w.fenced <- startTime },
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(w.fencer.Close)
	return w
}

// tokenNow returns the token under which a member acquires the present incarnation now.
func (w *fencedWorker) tokenNow() uint64 {
	return newToken(w.host.StartTime(), time.Duration(time.Now().UnixMilli()-w.host.StartTime())*time.Millisecond)
}

// start makes a start call under a token and returns its verdict.
func (w *fencedWorker) start(t *testing.T, token uint64) link.StartVerdict {
	verdict, _, err := w.host.Start(t.Context(), link.HostStart{
		Key: contract.RunKey{Batch: "a", Run: 1}, LeaseEnd: time.Hour, Token: token,
	})
	require.NoError(t, err)
	return verdict
}

// Guards against a start that the next incarnation of a worker executes before its next owner acquires it, also right after its
// restart, and against an owner that the fencer keeps out.
func TestFencedWorkerRejectsEarlierStartsAndNoOwner(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newFencedWorker(t)
			time.Sleep(5 * time.Second)
			earlier := w.tokenNow()
			_, err := w.host.Poll(t.Context(), link.HostPoll{Token: earlier})
			require.NoError(t, err)
			w.fencer.SetWorkers([]link.HostAddress{w.address})
			w.host.Crash()
			w.host.SetRefusing(!silent)
			time.Sleep(3333 * time.Millisecond)
			w.host.Restart()
			restarted := w.host.StartTime()
			owner := newToken(restarted, 0)
			time.Sleep(lateStartPollTimeout + lateStartPollPause + firstPollTimeout)
			require.Equal(t, []int64{restarted}, drain(w.fenced))
			require.Equal(t, link.StartFenced, w.start(t, earlier))
			reply, err := w.host.Poll(t.Context(), link.HostPoll{Token: owner})
			require.NoError(t, err)
			require.False(t, reply.Fenced, "the first owner, whose clock reading is zero")
			time.Sleep(time.Second)
			require.Equal(t, link.StartAccepted, w.start(t, owner), "the owner still owns the worker")
			require.Empty(t, drain(w.fenced))
		})
	}
}

func drain(c chan int64) []int64 {
	var all []int64
	for len(c) > 0 {
		all = append(all, <-c)
	}
	return all
}

// Guards against a fencer that takes a worker from the owner of its present incarnation.
func TestOwnedWorkerIsNotFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		owner := w.tokenNow()
		_, err := w.host.Poll(t.Context(), link.HostPoll{Token: owner})
		require.NoError(t, err)
		w.fencer.SetWorkers([]link.HostAddress{w.address})
		time.Sleep(time.Second)
		require.Empty(t, drain(w.fenced))
		require.Equal(t, link.StartAccepted, w.start(t, owner))
	})
}

// Guards against a late start that goes on after its worker has been fenced: it is executed between the probe and the fence.
func TestFencerStopsWhatAnUnownedWorkerRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		w.beforeFence = func() { require.Equal(t, link.StartAccepted, w.start(t, 1)) }
		w.fencer.SetWorkers([]link.HostAddress{w.address})
		time.Sleep(50 * time.Millisecond)
		require.Len(t, drain(w.fenced), 1)
		time.Sleep(100 * time.Millisecond)
		reply, err := w.host.Poll(t.Context(), link.HostPoll{Token: w.tokenNow()})
		require.NoError(t, err)
		require.Empty(t, reply.Running)
		require.Len(t, reply.Ended, 1)
	})
}

// Guards against a worker that is probed after its owner is known.
func TestFencerForgetsWorkersThatAreOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		w.host.Crash()
		w.fencer.SetWorkers([]link.HostAddress{w.address})
		w.fencer.SetWorkers(nil)
		w.host.Restart()
		time.Sleep(time.Second)
		require.Empty(t, drain(w.fenced))
	})
}

// Guards against probes that fill the processor of a small VM: the workers of a large failure domain that is down, and of all others
// from which this VM is cut off.
func TestProbesOfWorkersAreBounded(t *testing.T) {
	for _, cpu := range []int{144, 400, 1000} {
		for _, workers := range []int{1, 8, 187} {
			used := time.Duration(workers) * probeCost
			interval := probeInterval(workers, cpu)
			require.LessOrEqual(t, used.Seconds()/interval.Seconds(), probeShare*float64(cpu)/millisPerCore+1e-6)
			require.GreaterOrEqual(t, interval, lateStartPollPause)
		}
	}
	require.Equal(t, lateStartPollPause, probeInterval(1, 0), "a VM of unknown size")
	synctest.Test(t, func(t *testing.T) {
		w := newFencedWorker(t)
		w.host.Crash()
		w.fencer.SetWorkers(slices.Collect(func(yield func(link.HostAddress) bool) {
			for n := range 3 * maxFenced {
				a := w.address
				a.Address = time.Duration(n).String()
				if !yield(a) {
					return
				}
			}
		}))
		require.Len(t, w.fencer.watched, maxFenced)
	})
}
