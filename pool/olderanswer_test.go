package pool

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// firstHost returns the first worker and its token.
func (f *fixture) firstHost() (*ownedHost, uint64) {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	h := f.pool.hosts["w0"]
	return h, h.host.Token
}

// runsOf returns the runs that the pool holds on a worker.
func (f *fixture) runsOf(h *ownedHost) []contract.RunKey {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	return slices.Collect(maps.Keys(h.runs))
}

// Guards against an outcome that is replaced, so that a home which has not received it runs the task again: the answer to
// another poll, which the worker has written before the run ended, arrives after the one that lists the end.
func TestAnswerOlderThanAnEndReplacesNoOutcome(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.setRunTime("ended", 30*time.Millisecond)
			key := f.order("ended", 500, 0, time.Second, 5*time.Second)
			time.Sleep(10 * time.Millisecond)
			h, token := f.firstHost()
			older, err := f.calls.hosts["w0"].Poll(t.Context(), link.HostPoll{Token: token})
			require.NoError(t, err)
			require.Len(t, older.Running, 1)
			sent := time.Now()
			time.Sleep(40 * time.Millisecond)
			require.Equal(t, contract.RunDone, f.state(key))
			if acknowledged {
				f.pool.Acknowledge([]contract.RunKey{key})
			}
			f.pool.handlePollReply(h, token, sent, older, nil)
			require.Empty(t, f.runsOf(h), "acknowledged: %v", acknowledged)
			if !acknowledged {
				f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
				require.Equal(t, contract.RunDone, f.state(key))
			}
		})
	}
}

// Guards against a late run that is never stopped: an answer to a poll that was sent after the end of the run is news, also
// on a worker on which other runs end all the time.
func TestRunExecutedAfterItsEndIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := f.order("late", 500, 0, time.Second, 5*time.Second)
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, contract.RunDone, f.state(key))
		for range 5 {
			f.order("other", 500, 0, time.Second, 5*time.Second)
			time.Sleep(time.Millisecond)
		}
		h, token := f.firstHost()
		f.pool.mu.Lock()
		reply := link.HostReply{Clock: h.host.ClockAt(time.Now()), StartTime: h.host.StartTime}
		f.pool.mu.Unlock()
		f.pool.handlePollReply(h, token, time.Now(), link.PollReply{
			HostReply: reply,
			Running:   []link.RunningRun{{Key: key}},
		}, nil)
		require.Contains(t, f.runsOf(h), key)
	})
}

// runningOn orders a task that runs for 5 s and returns its run once it has been confirmed.
func (f *fixture) runningOn(t *testing.T, job string) *run {
	t.Helper()
	f.setRunTime(job, 5*time.Second)
	key := f.order(job, 500, 0, time.Second, 20*time.Second)
	time.Sleep(10 * time.Millisecond)
	require.Equal(t, contract.RunStarted, f.state(key))
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	return f.pool.runs[key]
}

// Guards against a run that is never stopped: the answer to its stop is that of another worker at the address, or to a stop
// under an earlier token, which an earlier incarnation of the worker may have given.
func TestStopIsAnsweredOnlyByTheOwnedIncarnation(t *testing.T) {
	for name, answer := range map[string]struct {
		reply      link.HostReply
		underToken func(present uint64) uint64
	}{
		"another worker":   {link.HostReply{OtherWorker: true}, func(present uint64) uint64 { return present }},
		"an earlier token": {link.HostReply{Clock: time.Second}, func(present uint64) uint64 { return present - 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				defer f.pool.Close()
				r := f.runningOn(t, "stopped")
				h, token := f.firstHost()
				require.False(t, f.pool.handleStopReply(r, h, answer.underToken(token), answer.reply, nil), "stop counts as answered")
				f.pool.mu.Lock()
				stopped := r.stopAnswered
				f.pool.mu.Unlock()
				require.False(t, stopped)
			})
		})
	}
}

// Guards against starts that a worker rejects as expired, and a worker that counts as confirmed: the answer to a call names no
// clock, or comes from another worker at the address.
func TestAnswerWithoutClockSetsNone(t *testing.T) {
	for name, reply := range map[string]link.HostReply{
		"no clock": {}, "another worker": {OtherWorker: true, Clock: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				defer f.pool.Close()
				time.Sleep(time.Minute)
				h, token := f.firstHost()
				now := time.Now()
				f.pool.mu.Lock()
				clock, contacted := h.host.ClockAt(now), h.host.Contacted()
				h.recordReading(token, reply, now.Add(time.Millisecond))
				clockAfter, contactedAfter := h.host.ClockAt(now), h.host.Contacted()
				f.pool.mu.Unlock()
				require.Equal(t, clock, clockAfter)
				require.Equal(t, contacted, contactedAfter)
			})
		})
	}
}

// Guards against a run that outlives the time at which its home treats it as ended: the poll that is to confirm the incarnation
// of its worker gets no answer, and an older answer arrives meanwhile.
func TestOlderAnswerConfirmsNoIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(3*idlePollInterval + idlePollInterval/2)
		h, token := f.firstHost()
		host := f.calls.hosts["w0"]
		older, err := host.Poll(t.Context(), link.HostPoll{Token: token})
		require.NoError(t, err)
		sent := time.Now()
		host.SetDelay(time.Hour)
		f.setSize("old", 500)
		f.setRunTime("old", 5*time.Second)
		ordered := time.Now().Add(-600 * time.Millisecond)
		f.pool.Order(testHome, contract.TaskOrder{
			Key: contract.RunKey{Batch: "old", Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500}, Accepted: ordered,
			Target: ordered.Add(time.Second), Deadline: ordered.Add(20 * time.Second), Expected: time.Second,
		}, ordered)
		time.Sleep(startTimeout / 2)
		f.pool.handlePollReply(h, token, sent, older, nil)
		host.Crash()
		host.Restart()
		host.SetDelay(0)
		for start := time.Now(); time.Since(start) < time.Second && len(f.observer.startedJobs()) == 0; {
			time.Sleep(time.Millisecond)
		}
		if len(f.observer.startedJobs()) > 0 {
			require.Equal(t, host.StartTime(), f.ownedStartTime(), "known incarnation at the start")
		}
	})
}

// Guards against a run that is reported as ended while it goes on: a list from before its start is taken for the answer to a
// poll that was sent after it, as when a worker answers twice. The worker's clock shows that the list may be older.
func TestListOfEarlierClockEndsNoRun(t *testing.T) {
	for name, confirm := range map[string]func(f *fixture, r *run, h *ownedHost, reply link.HostReply){
		"start answered": func(*fixture, *run, *ownedHost, link.HostReply) {},
		"listed": func(f *fixture, r *run, h *ownedHost, reply link.HostReply) {
			f.pool.handlePollReply(h, r.token, time.Now(), link.PollReply{
				HostReply: reply, Running: []link.RunningRun{{Key: r.order.Key}},
			}, nil)
		},
		"stop answered": func(f *fixture, r *run, h *ownedHost, reply link.HostReply) {
			f.pool.handleStopReply(r, h, r.token, reply, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				defer f.pool.Close()
				h, token := f.firstHost()
				early, err := f.calls.hosts["w0"].Poll(t.Context(), link.HostPoll{Token: token})
				require.NoError(t, err)
				r := f.runningOn(t, "kept")
				if name != "start answered" {
					time.Sleep(time.Millisecond)
					early.Clock += 11 * time.Millisecond
					confirm(f, r, h, early.HostReply)
					time.Sleep(time.Millisecond)
				}
				f.pool.handlePollReply(h, token, time.Now(), early, nil)
				require.Contains(t, f.runsOf(h), r.order.Key)
			})
		})
	}
}
