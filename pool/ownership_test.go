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

// ownedToken returns the fencing token of the first worker; zero if it is not owned.
func (f *fixture) ownedToken() uint64 {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	if h, ok := f.pool.hosts["w0"]; ok {
		return h.host.Token
	}
	return 0
}

// token returns the fencing token in the last report of a run.
func (f *fixture) token(k contract.RunKey) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[k].Token
}

// otherOwner acquires a worker as another VM would, and extends its lease every 100 ms until it is fenced.
func otherOwner(t *testing.T, f *fixture, worker string) {
	t.Helper()
	f.pool.mu.Lock()
	token := f.pool.hosts[worker].host.Token + 1
	f.pool.mu.Unlock()
	host := f.calls.hosts[worker]
	extend := func() bool {
		reply, err := host.Poll(context.Background(), link.HostPoll{Token: token})
		require.NoError(t, err)
		if reply.Fenced {
			return false
		}
		reply, err = host.Poll(context.Background(), link.HostPoll{Token: token, LeaseEnd: reply.Clock + time.Second})
		require.NoError(t, err)
		return !reply.Fenced
	}
	require.True(t, extend())
	go func() {
		for extend() {
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// Guards against a run that is reported as ended while its worker runs it: the worker passes to another VM while a poll
// is in progress, and back half a second later. The reply to the poll was admitted under the old ownership, and lists a
// run that this VM no longer holds.
func TestReplyToPollOfEarlierOwnershipEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("kept", 10*time.Second)
		f.setSize("kept", 500)
		kept := contract.RunKey{Batch: "kept", Run: 1}
		order := contract.TaskOrder{
			Key: kept, Backend: "s", Need: machine.Resources{CPUMillis: 500}, Accepted: time.Now(),
			Target: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second), Expected: time.Second,
		}
		// An old order is not started while the previous owner's lease may last.
		time.Sleep(time.Second)
		// The order is old, so the lease that this VM knows of ends before it acquires the worker again.
		f.pool.Order(testHome, order, time.Now().Add(50*time.Millisecond-refreshTimeout))
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, contract.RunStarted, f.state(kept))
		otherOwner(t, f, "w0")
		// The start of this task finds that the worker has another owner, before the poll in progress returns.
		f.order("fenced", 500, 0, time.Second, 20*time.Second)
		order.Claim = true
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			order.ClaimToken = f.ownedToken()
			f.pool.Order(testHome, order, time.Now())
			if state := f.state(kept); state.Final() && state != contract.RunLost && f.observer.endOf("kept").IsZero() {
				require.Fail(t, "the worker runs a task that was reported as "+state.String())
			}
		}
	})
}

// Guards against an outcome that is dropped, so that its task is run again: the run ends while another VM owns the
// worker, and this VM learns of it when it acquires the worker again.
func TestOutcomeListedAtAcquisitionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := f.order("done", 500, 0, time.Second, 20*time.Second)
		f.pool.mu.Lock()
		host, r := f.pool.hosts["w0"], f.pool.runs[key]
		var fx effects
		f.pool.adopt(host, link.PollReply{Ended: []link.EndedRun{{Number: 1, Key: key, State: contract.RunDone}}},
			time.Now(), &fx)
		f.pool.mu.Unlock()
		require.Equal(t, contract.RunDone, r.outcome.State)
		require.Equal(t, contract.RunDone, fx.reports[0].State)
	})
}

// Guards against a home that never learns the outcome of a run that the next owner of its worker found.
func TestClaimOfFoundOutcomeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := contract.RunKey{Batch: "found", Run: 1}
		f.pool.mu.Lock()
		var fx effects
		f.pool.adopt(f.pool.hosts["w0"], link.PollReply{Ended: []link.EndedRun{{Number: 1, Key: key, State: contract.RunDone}}},
			time.Now(), &fx)
		f.pool.mu.Unlock()
		f.pool.Order(testHome, contract.TaskOrder{Key: key, Backend: "s", Claim: true, ClaimToken: f.ownedToken()}, time.Now())
		require.Equal(t, contract.RunDone, f.state(key))
	})
}

// Guards against a home that holds a run for 10 s, and then runs its task again, since its claim of the run was lost: the pool
// knew no home to which to report the outcome.
func TestOutcomeIsReportedToTheHomeThatAsksForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		refreshed, withdrawn := contract.RunKey{Batch: "refreshed", Run: 1}, contract.RunKey{Batch: "withdrawn", Run: 1}
		f.pool.mu.Lock()
		var fx effects
		f.pool.adopt(f.pool.hosts["w0"], link.PollReply{Ended: []link.EndedRun{
			{Number: 1, Key: refreshed, State: contract.RunDone}, {Number: 2, Key: withdrawn, State: contract.RunEnded},
		}}, time.Now(), &fx)
		f.pool.mu.Unlock()
		f.pool.Refresh(testHome, []contract.RunKey{refreshed}, time.Now())
		require.Equal(t, contract.RunDone, f.state(refreshed))
		f.pool.Withdraw(testHome, []contract.RunKey{withdrawn})
		require.Equal(t, contract.RunEnded, f.state(withdrawn))
	})
}

// Guards against a job that never ends: its home claims a run at the next acquisition, and ignores an end under the last one.
func TestEndOfEarlierOwnershipIsReportedUnderTheTokenOfTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := f.order("ended", 500, 0, time.Second, 20*time.Second)
		time.Sleep(50 * time.Millisecond)
		f.pool.Withdraw(testHome, []contract.RunKey{key})
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(key))
		claim := f.ownedToken() + 1
		f.pool.mu.Lock()
		var fx effects
		host := f.pool.hosts["w0"]
		found := f.pool.own(host, claim, link.PollReply{
			HostReply: link.HostReply{StartTime: host.host.StartTime, Clock: host.host.ClockAt(time.Now())},
			Ended:     []link.EndedRun{{Number: 1, Key: key, State: contract.RunEnded}},
		}, time.Now(), &fx)
		f.pool.mu.Unlock()
		require.Contains(t, found, key)
		f.pool.Order(testHome, contract.TaskOrder{Key: key, Backend: "s", Claim: true, ClaimToken: claim}, time.Now())
		require.Equal(t, claim, f.token(key), "answer to the claim")
		f.pool.Acknowledge([]contract.RunKey{key})
		f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		require.Equal(t, claim, f.token(key), "answer to a refresh after the acknowledgement")
	})
}

// Guards against a job that never ends: the pool has reported a run as over, finds its end at the next acquisition, and an
// acknowledgement of the first report arrives again before the claim.
func TestLateAcknowledgementLeavesNoEndOfEarlierOwnership(t *testing.T) {
	for _, listed := range []contract.RunState{contract.RunEnded, contract.RunDone} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			key := f.order("ended", 500, 0, time.Second, 20*time.Second)
			time.Sleep(50 * time.Millisecond)
			f.pool.Withdraw(testHome, []contract.RunKey{key})
			time.Sleep(50 * time.Millisecond)
			f.pool.Acknowledge([]contract.RunKey{key})
			claim := f.ownedToken() + 1
			f.pool.mu.Lock()
			var fx effects
			host := f.pool.hosts["w0"]
			f.pool.own(host, claim, link.PollReply{
				HostReply: link.HostReply{StartTime: host.host.StartTime, Clock: host.host.ClockAt(time.Now())},
				Ended:     []link.EndedRun{{Number: 1, Key: key, State: listed}},
			}, time.Now(), &fx)
			f.pool.mu.Unlock()
			f.pool.Acknowledge([]contract.RunKey{key})
			f.pool.Order(testHome, contract.TaskOrder{Key: key, Backend: "s", Claim: true, ClaimToken: claim}, time.Now())
			if f.state(key) != contract.RunLost {
				require.Equal(t, claim, f.token(key), "token of %s", f.state(key))
			}
		})
	}
}

// Guards against a lease that is extended for a claim that was made of an earlier ownership.
func TestClaimOfEarlierOwnershipExtendsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("found", 10*time.Second)
		key := f.order("found", 500, 0, time.Second, 20*time.Second)
		time.Sleep(20 * time.Millisecond)
		earlier := f.ownedToken()
		f.pool.SetHosts(nil)
		f.pool.SetHosts(f.list)
		time.Sleep(20 * time.Millisecond)
		require.Greater(t, f.ownedToken(), earlier)
		for range 10 {
			f.pool.Order(testHome, contract.TaskOrder{
				Key: key, Backend: "s", Need: machine.Resources{CPUMillis: 500}, Claim: true, ClaimToken: earlier,
			}, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		require.NotZero(t, f.observer.endOf("found"))
	})
}

// Guards against two runs of a task: an earlier run is found on an acquired worker while the pool holds a later one, or has
// ended it, and the earlier one goes on until nobody has claimed it.
func TestFoundRunBeforeALaterRunIsStoppedAtOnce(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(2)
			defer f.pool.Close()
			later := f.orderWith("task", func(o *contract.TaskOrder) { o.Key.Run = 5 })
			if ended {
				f.pool.Withdraw(testHome, []contract.RunKey{later})
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, contract.RunEnded, f.state(later))
				f.pool.Acknowledge([]contract.RunKey{later})
			}
			earlier := later
			earlier.Run = 4
			var fx effects
			f.pool.mu.Lock()
			f.pool.adopt(f.pool.hosts["w0"], link.PollReply{Running: []link.RunningRun{{Key: earlier}}}, time.Now(), &fx)
			f.pool.mu.Unlock()
			require.Len(t, fx.stops, 1, "later run ended: %v", ended)
			require.Equal(t, earlier, fx.stops[0].order.Key)
		})
	}
}

// Guards against a worker that is out of use for reconnectDelay after its owner is lost, since its first reply takes long on a slow VM.
func TestWorkerWithASlowReplyIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		require.Equal(t, []string{"w0"}, f.pool.Owned())
		f.pool.SetHosts(nil)
		f.calls.pollDelay.Store(int64(200 * time.Millisecond))
		time.Sleep(time.Second)
		f.pool.SetHosts(f.list)
		time.Sleep(reconnectDelay / 2)
		require.Equal(t, []string{"w0"}, f.pool.Owned())
	})
}
