package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
)

// refreshUntilFinal refreshes a run until its state is final, for at most 3 s.
func (f *fixture) refreshUntilFinal(key contract.RunKey, each func()) {
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		if each != nil {
			each()
		}
		if f.state(key).Final() {
			return
		}
	}
}

// Guards against a second run of a task beside the first: the worker has restarted and accepted the start before its owner
// noticed, is then out of reach, and executes a poll late that was sent to the earlier incarnation. It extends the lease there
// to the longest one, as its end is a time on the earlier clock.
func TestLatePollOnRestartedWorkerEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(time.Minute)
		host, token := f.calls.hosts["w0"], f.ownedToken()
		host.Crash()
		host.Restart()
		f.calls.delayPolls.Store(true)
		f.setRunTime("kept", 10*time.Second)
		key := f.order("kept", 500, 0, time.Second, 20*time.Second)
		for f.ownedToken() == token {
			time.Sleep(time.Millisecond)
		}
		host.SetDelay(time.Hour)
		require.Equal(t, []string{"kept"}, f.observer.startedJobs())
		noticed, late := time.Now(), false
		f.refreshUntilFinal(key, func() {
			if late || time.Since(noticed) < 700*time.Millisecond {
				return
			}
			late = true
			host.SetDelay(0)
			_, err := host.Poll(t.Context(), link.HostPoll{Token: token, LeaseEnd: time.Minute})
			host.SetDelay(time.Hour)
			require.NoError(t, err)
		})
		if f.state(key).Final() {
			require.NotZero(t, f.observer.endOf("kept"), "the run goes on and is reported as %s", f.state(key))
		}
	})
}

// Guards against a second run of a task beside the first: an idle worker has restarted unnoticed, executes a start, and is out
// of reach from then on. Its new incarnation grants the longest lease, as the end of the lease is a time on the earlier clock.
// The run ends with that lease if it is withdrawn, and not at all while its start is going to be repeated.
func TestStartInDoubtOnUnnoticedRestartIsNotOverBeforeTheLongestLease(t *testing.T) {
	for i := range 2 * sweepInterval / (10 * time.Millisecond) {
		phase, withdrawn := i/2*10*time.Millisecond, i%2 == 0
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			time.Sleep(time.Minute + idlePollInterval/2 + phase)
			host := f.calls.hosts["w0"]
			host.Crash()
			host.Restart()
			host.SetDelay(time.Millisecond)
			f.setRunTime("doubt", 10*time.Second)
			key := f.order("doubt", 500, 0, time.Second, 20*time.Second)
			time.Sleep(10 * time.Millisecond)
			host.SetDelay(time.Hour)
			require.Equal(t, []string{"doubt"}, f.observer.startedJobs())
			if withdrawn {
				f.pool.Withdraw(testHome, []contract.RunKey{key})
			}
			f.refreshUntilFinal(key, nil)
			if !withdrawn {
				require.False(t, f.state(key).Final())
				return
			}
			require.Equal(t, contract.RunEnded, f.state(key))
			require.NotZero(t, f.observer.endOf("doubt"), "the run goes on, %v after a sweep", phase)
		})
	}
}
