package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	testJobID    = "00000000000000aa"
	earlierOwner = "other/1"
)

// heldBatch returns a batch that another member has accepted 1.5 s and announced 1.3 s before.
func heldBatch(h *Home) contract.Batch {
	b := testBatch(1, 5*time.Second)
	h.o.Held.Record(contract.HeldJob{
		Job: b.ID, Home: earlierOwner, Accepted: time.Now().Add(-1500 * time.Millisecond),
		HeardAt: time.Now().Add(-1300 * time.Millisecond),
	})
	return b
}

// atHome runs f with a home in virtual time, and a function that submits a job in the background.
func atHome(t *testing.T, f func(h *Home, out *recorder, submit func(contract.Batch) chan Answer)) {
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		f(h, out, func(b contract.Batch) chan Answer {
			done := make(chan Answer, 1)
			go func() { done <- h.Submit(context.Background(), b) }()
			synctest.Wait()
			return done
		})
	})
}

// Guards against a run beside that of the home which has announced the job, before that home has released it.
func TestJobHeldElsewhereStartsOnceReleased(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		submit(heldBatch(h))
		time.Sleep(time.Second)
		require.Empty(t, out.sentOrders())
		require.NotEmpty(t, out.requests())
		require.Equal(t, earlierOwner, out.requests()[0].Home)
		h.Released(contract.JobReleased{Job: testJobID, Home: "third/1", Wait: out.requests()[0].Wait})
		require.Empty(t, out.sentOrders(), "the answer of another member proves nothing")
		h.Released(contract.JobReleased{Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait + 1})
		require.Empty(t, out.sentOrders(), "the answer to another wait proves nothing")
		h.Released(contract.JobReleased{Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait})
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against a second run of a job that its earlier home has completed, whose answer was lost on the way.
func TestJobCompletedElsewhereIsAnswered(t *testing.T) {
	for outcome, released := range map[Outcome]contract.JobReleased{
		Completed: {Completed: true}, Failed: {Failed: true},
	} {
		atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
			out.heard = time.Now().Add(time.Hour)
			answer := submit(heldBatch(h))
			released.Job, released.Home, released.Wait = testJobID, earlierOwner, out.requests()[0].Wait
			h.Released(released)
			require.Equal(t, outcome, (<-answer).Outcome)
			require.Empty(t, out.sentOrders())
		})
	}
}

// Guards against a second run of a completed job in a chain of three homes: the result comes to the second one after the third
// one has ended its job.
func TestResultReachesTheThirdHome(t *testing.T) {
	for outcome, released := range map[Outcome]contract.JobReleased{
		Completed: {Completed: true}, Failed: {Failed: true},
	} {
		atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
			out.heard = time.Now().Add(time.Hour)
			answer := submit(heldBatch(h))
			third := contract.JobRelease{Job: testJobID, Home: "self/1", Requester: "third/1", Accepted: time.Now()}
			_, over := h.Release(third)
			require.False(t, over, "the runs of the first home may be alive")
			require.Equal(t, Superseded, (<-answer).Outcome)
			released.Job, released.Home, released.Wait = testJobID, earlierOwner, out.requests()[0].Wait
			h.Released(released)
			forwarded, over := h.Release(third)
			require.True(t, over)
			require.Equal(t, contract.JobReleased{
				Job: testJobID, Home: "self/1", Requester: "third/1", Completed: released.Completed, Failed: released.Failed,
			}, forwarded)
			require.Equal(t, outcome, (<-submit(testBatch(1, 5*time.Second))).Outcome, "submitted here again")
			require.Empty(t, out.sentOrders())
		})
	}
}

// Guards against a second run of a completed job whose caller has left and returned while its home waited for the earlier one.
func TestResultReachesACallerThatReturns(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		ctx, leave := context.WithCancel(context.Background())
		go h.Submit(ctx, heldBatch(h))
		synctest.Wait()
		leave()
		synctest.Wait()
		answer := submit(testBatch(1, 5*time.Second))
		h.Released(contract.JobReleased{
			Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait, Completed: true,
		})
		require.Equal(t, Completed, (<-answer).Outcome)
		require.Empty(t, out.sentOrders())
	})
}

// Guards against a result that replaces the answer to a job which a caller has cancelled meanwhile.
func TestResultOfEarlierHomeDoesNotUndoACancel(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		answer := submit(heldBatch(h))
		h.Cancel(testJobID)
		require.Equal(t, Cancelled, (<-answer).Outcome)
		h.Released(contract.JobReleased{
			Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait, Completed: true,
		})
		require.Equal(t, StateCancelled, h.State(testJobID))
	})
}

// Guards against a job that waits for ever for a home that is gone, or starts while the runs of a silent home may be alive.
func TestJobOfSilentHomeStartsWhenItsRunsAreOver(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(-1300 * time.Millisecond)
		submit(heldBatch(h))
		time.Sleep(250 * time.Millisecond)
		require.Empty(t, out.sentOrders())
		time.Sleep(250 * time.Millisecond)
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against a start beside the runs of a home that is silent only here, before the other members were asked to reach it.
func TestSilentHomeIsAskedThroughOthersFirst(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		b := testBatch(1, 5*time.Second)
		h.o.Held.Record(contract.HeldJob{Job: b.ID, Home: earlierOwner, HeardAt: time.Now().Add(-2 * homeExpiry)})
		submit(b)
		time.Sleep(releaseTimeout - 10*time.Millisecond)
		require.Empty(t, out.sentOrders())
		require.Greater(t, len(out.requests()), 1, "repeated requests go through other members")
		time.Sleep(2 * tickInterval)
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against a refusal of a job that may have run at its earlier home.
func TestJobHeldElsewhereIsNotRefused(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		require.Equal(t, Abandoned, (<-submit(heldBatch(h))).Outcome)
	})
}

// Guards against a release that is stated while a run may be alive, and against a job that is never released.
func TestReleaseWaitsForTheEndOfRuns(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		answer := submit(testBatch(1, 5*time.Second))
		key := out.sentOrders()[0].Key
		reportRun(h, key, contract.RunStarted, true)
		time.Sleep(time.Second)
		request := contract.JobRelease{Job: testJobID, Home: "self/1", Requester: "next/1", Accepted: time.Now()}
		_, over := h.Release(request)
		require.False(t, over)
		require.Equal(t, Superseded, (<-answer).Outcome)
		require.Contains(t, out.withdrawn(), key)
		reportRun(h, key, contract.RunEnded, true)
		released, over := h.Release(request)
		require.True(t, over)
		require.Equal(t, contract.JobReleased{Job: testJobID, Home: "self/1", Requester: "next/1"}, released)
		unknown, over := h.Release(contract.JobRelease{Job: "00000000000000bb", Requester: "next/1", Accepted: time.Now()})
		require.True(t, over)
		require.Equal(t, "00000000000000bb", unknown.Job)
	})
}

// Guards against an older request that ends a job whose caller has come back to its first home.
func TestReleaseForAnEarlierSubmissionIsIgnored(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		submit(testBatch(1, 5*time.Second))
		_, over := h.Release(contract.JobRelease{
			Job: testJobID, Requester: "next/1", Accepted: time.Now().Add(-time.Second),
		})
		require.False(t, over)
		require.Empty(t, out.withdrawn())
	})
}

// Guards against a request from before the caller came back, which ends the job that another call of the caller still awaits.
func TestReleaseForASubmissionBeforeTheCallersReturnIsIgnored(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		submit(testBatch(1, 5*time.Second))
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		time.Sleep(time.Second)
		elsewhere := time.Now()
		time.Sleep(time.Second)
		submit(testBatch(1, 5*time.Second))
		_, over := h.Release(contract.JobRelease{Job: testJobID, Requester: "next/1", Accepted: elsewhere})
		require.False(t, over)
		require.Empty(t, out.withdrawn())
		require.Equal(t, time.Now(), h.Held()[0].Accepted, "the time by which homes decide which one keeps the job")
	})
}

// Guards against a job that waits again for the home that has released it, because of an announcement that was under way.
func TestAnnouncementFromBeforeTheReleaseIsIgnored(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		b := heldBatch(h)
		held, _ := h.o.Held.Of(b.ID)
		b.Steps = append(b.Steps, b.Steps[0])
		b.Steps[1].DependsOn = []int{0}
		submit(b)
		h.Released(contract.JobReleased{Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait})
		requests := len(out.requests())
		h.HeldElsewhere(held)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Len(t, out.sentOrders(), 2, "the next step starts without another wait")
		require.Len(t, out.requests(), requests)
	})
}

// Guards against two homes that both keep a job, or both give it up, when they learn of each other.
func TestLaterHomeKeepsTheJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		home   string
		offset time.Duration
		keeps  bool
	}{
		{"accepted later elsewhere", "other/1", 1300 * time.Millisecond, false},
		{"accepted earlier elsewhere", "other/1", -1300 * time.Millisecond, true},
		{"accepted at once, lower id here", "zzz/1", 3 * time.Millisecond, false},
		{"accepted at once, higher id here", "aaa/1", 3 * time.Millisecond, true},
	} {
		atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
			out.heard = time.Now().Add(time.Hour)
			submit(testBatch(1, 5*time.Second))
			accepted := time.Now().Add(c.offset)
			h.HeldElsewhere(contract.HeldJob{Job: testJobID, Home: c.home, Accepted: accepted, HeardAt: time.Now()})
			require.Equal(t, !c.keeps, len(out.withdrawn()) > 0, c.name)
			require.Equal(t, c.keeps, len(out.requests()) > 0, c.name)
		})
	}
}

// Guards against a start beside the runs of a home that is only out of reach here, and keeps a majority elsewhere.
func TestJobOfHomeWithMajorityWaits(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard, out.othersMayHaveMajority = time.Now().Add(-time.Hour), true
		answer := submit(heldBatch(h))
		require.Equal(t, Abandoned, (<-answer).Outcome)
		require.Empty(t, out.sentOrders())
	})
}

// Guards against a start beside the runs of a silent home whose announcements another member passes on.
func TestPassedOnAnnouncementKeepsAJobWaiting(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(-time.Hour)
		b := heldBatch(h)
		submit(b)
		held, _ := h.o.Held.Of(b.ID)
		for range 6 {
			held.HeardAt = time.Now()
			h.HeldElsewhere(held)
			time.Sleep(announceRepeat)
		}
		require.Empty(t, out.sentOrders())
	})
}

// Guards against a start beside the run of a third home, which announces the job while another one is waited for.
func TestThirdHomeIsWaitedForToo(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		submit(heldBatch(h))
		third := contract.HeldJob{
			Job: testJobID, Home: "third/1", Accepted: time.Now().Add(-700 * time.Millisecond), HeardAt: time.Now(),
		}
		h.o.Held.Record(third)
		h.HeldElsewhere(third)
		h.Released(contract.JobReleased{Job: testJobID, Home: earlierOwner, Wait: out.requests()[0].Wait})
		require.Empty(t, out.sentOrders())
	})
}

// Guards against a cancelled job that asks for its release, and holds up a stop of the process, for ever.
func TestCancelledJobStopsWaiting(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		answer := submit(heldBatch(h))
		h.Cancel(testJobID)
		require.Equal(t, Cancelled, (<-answer).Outcome)
		require.Zero(t, h.Active())
		time.Sleep(contract.HeldRetention + time.Second)
		requests := len(out.requests())
		time.Sleep(time.Minute)
		require.Len(t, out.requests(), requests)
	})
}

// Guards against two homes that wait for each other: an ended job without runs of its own is over for the home it waits for.
func TestEndedJobIsOverForTheHomeItWaitsFor(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		out.heard = time.Now().Add(time.Hour)
		submit(heldBatch(h))
		h.Cancel(testJobID)
		_, over := h.Release(contract.JobRelease{Job: testJobID, Requester: earlierOwner})
		require.True(t, over)
		_, over = h.Release(contract.JobRelease{Job: testJobID, Requester: "next/1"})
		require.False(t, over, "the runs of the earlier home may be alive")
	})
}
