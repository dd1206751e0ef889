package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// withStartInDoubt lets f act once the start of a run of "task", which takes 10 s, has been held by a worker, whose first reply
// is still awaited. The worker answers other calls.
func withStartInDoubt(t *testing.T, workers int, act func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(workers)
		defer f.pool.Close()
		time.Sleep(time.Second)
		for _, h := range f.calls.hosts {
			h.SetHoldingStarts(1)
		}
		f.setRunTime("task", 10*time.Second)
		key := f.orderRun(1)
		time.Sleep(20 * time.Millisecond)
		for _, h := range f.calls.hosts {
			h.SetHoldingStarts(0)
		}
		for id, h := range f.calls.hosts {
			if len(h.Held()) > 0 {
				act(f, key, id, h)
				return
			}
		}
		require.Fail(t, "no start was held")
	})
}

// Guards against a second run of a task: a start without a reply is followed by another run, and both are executed by the next
// incarnation of the worker. The start is repeated under its number, so that all copies are one run.
func TestUnansweredStartIsRepeatedAsTheSameRun(t *testing.T) {
	withStartInDoubt(t, 3, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
		f.refreshFor(300*time.Millisecond, key)
		require.Equal(t, contract.RunStarted, f.state(key))
		require.Equal(t, worker, f.observer.workerOfJob()["task"])
		require.Equal(t, []string{worker}, f.report(key).LateWorkers, "the first copy may still be executed")
		require.EqualValues(t, 1, f.pool.counter(metric.PoolStartsRepeated).Count())
		host.DeliverHeld()
		f.refreshFor(time.Second, key)
		require.Equal(t, []string{"task"}, f.observer.startedJobs())
		require.Equal(t, contract.RunStarted, f.state(key))
	})
}

// Guards against a run that is ended because its worker has been restarted while its start was in doubt, and whose earlier
// start is executed beside the next one: the start is repeated at the new incarnation.
func TestUnansweredStartIsRepeatedAfterRestart(t *testing.T) {
	for _, down := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
		withStartInDoubt(t, 3, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
			host.Crash()
			f.refreshFor(down, key)
			host.Restart()
			f.refreshFor(time.Second, key)
			require.Equal(t, contract.RunStarted, f.state(key), "down for %v", down)
			require.Equal(t, worker, f.observer.workerOfJob()["task"])
			host.DeliverHeld()
			f.refreshFor(time.Second, key)
			require.Equal(t, []string{"task"}, f.observer.startedJobs())
		})
	}
}

// Guards against the stop of a run that is wanted: the next incarnation of the worker executes the earlier start before it has
// been acquired, and so runs the task under the number that is to be repeated.
func TestLateCopyOfAStartInDoubtContinues(t *testing.T) {
	withStartInDoubt(t, 3, func(f *fixture, key contract.RunKey, _ string, host *standin.RunHost) {
		host.Crash()
		f.refreshFor(time.Second, key)
		host.Restart()
		require.Equal(t, 1, host.DeliverHeld())
		f.refreshFor(2*time.Second, key)
		require.Equal(t, contract.RunStarted, f.state(key))
		require.Equal(t, []string{"task"}, f.observer.startedJobs())
		require.True(t, f.observer.endOf("task").IsZero())
		require.Zero(t, f.pool.counter(metric.PoolStartsRepeated).Count())
	})
}

// Guards against copies that follow each other without a pause at a worker that is silent, loses each start, is full or
// unhealthy, and against a run that then leaves it.
func TestRepeatsArePaused(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(f *fixture, host *standin.RunHost)
		most       int64
	}{
		"silent": {
			func(_ *fixture, host *standin.RunHost) { host.SetDelay(time.Hour) },
			func(_ *fixture, host *standin.RunHost) { host.SetDelay(0) }, 1,
		},
		"loses starts": {
			func(_ *fixture, host *standin.RunHost) { host.SetHoldingStarts(1) },
			func(_ *fixture, host *standin.RunHost) { host.SetHoldingStarts(0) }, 20,
		},
		"full": {
			func(f *fixture, _ *standin.RunHost) { f.setSize("task", 5000) },
			func(f *fixture, _ *standin.RunHost) { f.setSize("task", 1000) }, 20,
		},
		"unhealthy": {
			func(_ *fixture, host *standin.RunHost) { host.SetRejecting(true) },
			func(_ *fixture, host *standin.RunHost) { host.SetRejecting(false) }, 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withStartInDoubt(t, 2, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
				c.begin(f, host)
				f.refreshFor(3*time.Second, key)
				require.Equal(t, contract.RunQueued, f.state(key))
				require.Empty(t, f.observer.startedJobs())
				require.LessOrEqual(t, f.pool.counter(metric.PoolStartsRepeated).Count(), c.most)
				c.end(f, host)
				f.refreshFor(time.Second, key)
				require.Equal(t, contract.RunStarted, f.state(key))
				require.Equal(t, worker, f.observer.workerOfJob()["task"])
			})
		})
	}
}

// Guards against a start that is repeated although its run is not wanted any more, and against a late copy that is executed then.
func TestUnwantedRunInDoubtIsStopped(t *testing.T) {
	for name, unwanted := range map[string]func(f *fixture, key contract.RunKey){
		"withdrawn": func(f *fixture, key contract.RunKey) {
			f.pool.Withdraw(testHome, []contract.RunKey{key})
			time.Sleep(200 * time.Millisecond)
		},
		"home unreachable": func(f *fixture, _ contract.RunKey) {
			f.pool.HomeUnreachable(testHome)
			time.Sleep(200 * time.Millisecond)
		},
		"not refreshed": func(*fixture, contract.RunKey) { time.Sleep(refreshTimeout + 2*sweepInterval + 100*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			withStartInDoubt(t, 1, func(f *fixture, key contract.RunKey, _ string, host *standin.RunHost) {
				host.SetRejecting(true)
				f.refreshFor(500*time.Millisecond, key)
				require.Equal(t, contract.RunQueued, f.state(key))
				repeats := f.pool.counter(metric.PoolStartsRepeated)
				unwanted(f, key)
				require.Equal(t, contract.RunEnded, f.state(key))
				host.SetRejecting(false)
				before := repeats.Count()
				require.Zero(t, host.DeliverHeld())
				time.Sleep(time.Second)
				require.Equal(t, before, repeats.Count())
				require.Empty(t, f.observer.startedJobs())
			})
		})
	}
}

// Guards against a run that stays in doubt for good: no copy of its start can be executed any more, as its worker has been
// silent, or full, for longer than a call may be under way.
func TestRunInDoubtIsOverOnceNoCopyIsLeft(t *testing.T) {
	for name, begin := range map[string]func(f *fixture, host *standin.RunHost){
		"silent": func(_ *fixture, host *standin.RunHost) { host.Crash() },
		"full":   func(f *fixture, _ *standin.RunHost) { f.setSize("task", 5000) },
	} {
		t.Run(name, func(t *testing.T) {
			withStartInDoubt(t, 2, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
				begin(f, host)
				f.refreshFor(contract.LateStartLimit, key)
				require.Equal(t, contract.RunQueued, f.state(key))
				f.refreshFor(2*time.Second, key)
				require.Equal(t, contract.RunEnded, f.state(key))
				f.setSize("task", 1000)
				f.refreshFor(time.Second, f.orderRun(2))
				require.Len(t, f.observer.startedJobs(), 1)
				if name == "silent" {
					require.NotEqual(t, worker, f.observer.workerOfJob()["task"])
				}
			})
		})
	}
}

// Guards against a run in doubt whose owner goes on with it after another VM has acquired its worker, or another worker
// answers at the address.
func TestRunInDoubtIsLeftWithItsWorker(t *testing.T) {
	for name, c := range map[string]struct {
		reply link.HostReply
		state contract.RunState
	}{
		"fenced":       {link.HostReply{Fenced: true}, contract.RunLost},
		"other worker": {link.HostReply{OtherWorker: true}, contract.RunEnded},
	} {
		t.Run(name, func(t *testing.T) {
			withStartInDoubt(t, 1, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
				host.SetRejecting(true)
				f.refreshFor(500*time.Millisecond, key)
				f.pool.mu.Lock()
				h, token := f.pool.hosts[worker], f.pool.hosts[worker].host.Token
				f.pool.mu.Unlock()
				repeats := f.pool.counter(metric.PoolStartsRepeated).Count()
				f.pool.handlePollReply(h, token, time.Now(), link.PollReply{HostReply: c.reply}, nil)
				require.Equal(t, c.state, f.state(key))
				time.Sleep(time.Second)
				require.Equal(t, repeats, f.pool.counter(metric.PoolStartsRepeated).Count())
			})
		})
	}
}

// Guards against a run whose repeated start is rejected as superseded, and that is taken for one that never started: it has
// ended on the worker, and the next list tells how.
func TestSupersededRepeatIsDecidedByTheNextList(t *testing.T) {
	for _, listed := range []bool{true, false} {
		withStartInDoubt(t, 1, func(f *fixture, key contract.RunKey, worker string, host *standin.RunHost) {
			host.SetRejecting(true)
			f.refreshFor(500*time.Millisecond, key)
			f.pool.mu.Lock()
			h, r := f.pool.hosts[worker], f.pool.runs[key]
			now := time.Now()
			var fx effects
			reply := link.HostReply{Clock: h.host.ClockAt(now), StartTime: h.host.StartTime}
			f.pool.handleRepeatReply(f.pool.repeatStart(r, now), link.StartSuperseded, reply, now, &fx)
			r.repeating = false
			require.Empty(t, fx.reports, "not over yet")
			list := link.PollReply{HostReply: reply}
			list.Clock += time.Millisecond
			if listed {
				list.Ended = []link.EndedRun{{Number: 1, Key: key, State: contract.RunDone}}
			}
			f.pool.recordOutcomes(h, list, now, &fx)
			f.pool.reconcileRuns(h, list, now.Add(time.Millisecond), now, &fx)
			f.pool.mu.Unlock()
			require.Len(t, fx.reports, 1)
			require.True(t, fx.reports[0].MayHaveStarted)
			if listed {
				require.Equal(t, contract.RunDone, fx.reports[0].State)
			} else {
				require.Equal(t, contract.RunEnded, fx.reports[0].State)
			}
		})
	}
}
