package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a second run of a task: the worker forgets with its restart that the delayed start was barred.
func TestDelayedStartDoesNotRunAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		host := f.calls.hosts["w0"]
		time.Sleep(time.Minute)
		host.SetDelay(3 * time.Second)
		f.setRunTime("delayed", 5*time.Second)
		key := f.order("delayed", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(10 * time.Millisecond)
		host.SetDelay(0)
		f.pool.Withdraw(testHome, []contract.RunKey{key})
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(key))
		host.Crash()
		time.Sleep(500 * time.Millisecond)
		host.Restart()
		time.Sleep(5 * time.Second)
		require.NotContains(t, f.observer.startedJobs(), "delayed")
	})
}

// Guards against a second run of a task: the entry of an earlier incarnation, read after the newer one, names another
// address.
func TestEntryOfEarlierIncarnationEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("kept", 5*time.Second)
		key := f.order("kept", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, contract.RunStarted, f.state(key))
		stale := f.list[0]
		stale.Address, stale.StartTime = "earlier", stale.StartTime-time.Minute.Milliseconds()
		f.pool.SetHosts([]machine.Listing{stale})
		time.Sleep(100 * time.Millisecond)
		require.NotEqual(t, contract.RunEnded, f.state(key))
		f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		require.True(t, f.observer.endOf("kept").IsZero())
	})
}

// Guards against a second run of a task: a listing at a new address is taken for the end of a run that its worker goes on
// with.
func TestListingAtNewAddressEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("moved", 5*time.Second)
		key := f.order("moved", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		next := f.list[0]
		next.Address, next.StartTime = "next", next.StartTime+time.Minute.Milliseconds()
		f.pool.SetHosts([]machine.Listing{next})
		require.True(t, f.observer.endOf("moved").IsZero())
		require.Equal(t, contract.RunLost, f.state(key))
	})
}

// Guards against a restarted worker that gets no task for a second because one packet to it was lost.
func TestRestartedWorkerIsAcquiredAfterOneLostPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		host := f.calls.hosts["w0"]
		time.Sleep(time.Minute)
		host.Crash()
		host.Restart()
		for range 1000 {
			time.Sleep(time.Millisecond)
			f.pool.mu.Lock()
			restarted := f.pool.hosts["w0"].restarted
			f.pool.mu.Unlock()
			if restarted {
				break
			}
		}
		host.SetDelay(time.Hour)
		time.Sleep(acquireRetry)
		host.SetDelay(0)
		time.Sleep(callTimeout + 4*acquireRetry)
		require.NotZero(t, f.ownedToken())
	})
}

// Guards against a run in doubt that is reported as ended while its start may still be executed: the worker has been
// restarted, is then unreachable, and its new incarnation has not been acquired, so nothing rejects the start.
func TestUnreachableRestartedWorkerEndsNoRunInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		host := f.calls.hosts["w0"]
		time.Sleep(time.Minute)
		host.SetDelay(3500 * time.Millisecond)
		f.setRunTime("doubt", 5*time.Second)
		key := f.order("doubt", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(10 * time.Millisecond)
		host.Crash()
		time.Sleep(250 * time.Millisecond)
		host.SetDelay(0)
		host.Restart()
		// One reply shows the restart; then the worker is out of reach.
		for range 1000 {
			time.Sleep(time.Millisecond)
			f.pool.mu.Lock()
			restarted := f.pool.hosts["w0"].restarted
			f.pool.mu.Unlock()
			if restarted {
				break
			}
		}
		host.SetDelay(time.Hour)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
			if f.state(key) == contract.RunEnded {
				at := time.Now()
				time.Sleep(5 * time.Second)
				require.NotContains(t, f.observer.startedJobs(), "doubt", "reported as ended at %v", at)
				return
			}
		}
	})
}

// Guards against a worker that is never acquired again: its listing was ignored as that of an earlier incarnation, since
// its time of day was set back, and the list is not applied again while it does not change.
func TestListingIsAppliedOnceTheEarlierAddressIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		next := f.list[0]
		next.Address, next.StartTime = "next", next.StartTime-time.Minute.Milliseconds()
		f.calls.hosts["w0"].Crash()
		f.pool.SetHosts([]machine.Listing{next})
		time.Sleep(10 * time.Second)
		f.pool.mu.Lock()
		address := f.pool.hosts["w0"].address.Address
		f.pool.mu.Unlock()
		require.Equal(t, "next", address)
	})
}

// Guards against a task that is started on a draining worker: an entry of its earlier incarnation, at the same address,
// is read after the one that says that it drains.
func TestEntryOfEarlierIncarnationDoesNotEndDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		stale := f.list[0]
		stale.StartTime -= time.Minute.Milliseconds()
		f.order("before", 500, 0, time.Second, 5*time.Second)
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		f.pool.SetHosts([]machine.Listing{stale})
		f.order("after", 500, 0, time.Second, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.NotContains(t, f.observer.startedJobs(), "after")
	})
}

// Guards against a task that is started on a draining worker whose entry does not name its start time.
func TestListingWithoutStartTimeIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.list[0].Draining, f.list[0].StartTime = true, 0
		f.pool.SetHosts(f.list)
		f.order("after", 500, 0, time.Second, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.NotContains(t, f.observer.startedJobs(), "after")
	})
}

// Guards against a run beside a late one: the worker has been restarted, a start that was barred before is executed there,
// and the next run of the task, which ended with the earlier incarnation, is reported as ended meanwhile.
func TestRunEndsAfterEarlierRunOnRestartedWorker(t *testing.T) {
	const delay = 3 * time.Second
	for before := 5 * time.Millisecond; before < 100*time.Millisecond; before += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			host := f.calls.hosts["w0"]
			time.Sleep(time.Minute)
			host.SetDelay(delay)
			f.setRunTime("task", 20*time.Second)
			sent := time.Now()
			first := f.order("task", 1000, 0, time.Second, 30*time.Second)
			time.Sleep(10 * time.Millisecond)
			host.SetDelay(0)
			f.pool.Withdraw(testHome, []contract.RunKey{first})
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, contract.RunEnded, f.state(first))
			second := first
			second.Run = 2
			f.pool.Order(testHome, contract.TaskOrder{
				Key: second, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: time.Now(),
				Target: time.Now().Add(time.Second), Deadline: time.Now().Add(30 * time.Second), Expected: time.Second,
			}, time.Now())
			var crashed time.Time
			for time.Since(sent) < 2*delay && f.state(second) != contract.RunEnded && f.state(second) != contract.RunCrashed {
				time.Sleep(time.Millisecond)
				f.pool.Refresh(testHome, []contract.RunKey{second}, time.Now())
				if crashed.IsZero() && time.Since(sent) >= delay-before {
					crashed = time.Now()
					host.Crash()
					host.Restart()
				}
			}
			require.True(t, f.state(second).Final())
			if len(f.observer.startedJobs()) == 2 {
				require.True(t, f.observer.endOf("task").After(crashed), "the first run goes on, %v after the restart", before)
			}
		})
	}
}

// Guards against a second run of a task: a start that was barred and reported as over is executed by the next incarnation
// of its worker, whose owner leaves the run to be claimed.
func TestRunThatWasReportedAsOverIsStoppedAtAcquisition(t *testing.T) {
	const delay, before = 3 * time.Second, 10 * time.Millisecond
	for _, acknowledged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			host := f.calls.hosts["w0"]
			time.Sleep(time.Minute)
			host.SetDelay(delay)
			f.setRunTime("late", 5*time.Second)
			sent := time.Now()
			key := f.order("late", 1000, 0, time.Second, 10*time.Second)
			time.Sleep(10 * time.Millisecond)
			host.SetDelay(0)
			f.pool.Withdraw(testHome, []contract.RunKey{key})
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, contract.RunEnded, f.state(key))
			if acknowledged {
				f.pool.Acknowledge([]contract.RunKey{key})
			}
			time.Sleep(time.Until(sent.Add(delay - before)))
			host.Crash()
			host.Restart()
			for f.ownedStartTime() != host.StartTime() || f.ownedToken() == 0 {
				time.Sleep(time.Millisecond)
			}
			require.Equal(t, []string{"late"}, f.observer.startedJobs())
			time.Sleep(claimWindow / 2)
			require.False(t, f.observer.endOf("late").IsZero(), "acknowledged: %v", acknowledged)
		})
	}
}

// Guards against a start under the token of an earlier incarnation, which the next one accepts until it is acquired: the
// restart is noticed between the decision and the call.
func TestStartDecidedBeforeNoticedRestartIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(time.Minute)
		f.setSize("decided", 1000)
		now, host := time.Now(), f.calls.hosts["w0"]
		host.Crash()
		host.Restart()
		var fx effects
		f.pool.mu.Lock()
		f.pool.order(testHome, contract.TaskOrder{
			Key: contract.RunKey{Batch: "decided", Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now,
			Target: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Expected: time.Second,
		}, now, now, &fx)
		f.pool.match(now, &fx)
		reply := link.PollReply{HostReply: link.HostReply{StartTime: host.StartTime()}}
		f.pool.handleRestart(f.pool.hosts["w0"], reply, now, &fx)
		f.pool.mu.Unlock()
		require.Len(t, fx.starts, 1)
		f.pool.start(fx.starts[0])
		require.Empty(t, f.observer.startedJobs())
	})
}
