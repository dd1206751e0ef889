package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/link"
)

// ownedStartTime returns the start time of the first worker's incarnation that replied last; zero if it is not owned.
func (f *fixture) ownedStartTime() int64 {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	if h, ok := f.pool.hosts["w0"]; ok {
		return h.host.StartTime
	}
	return 0
}

// Guards against a worker that is never acquired again: it has been restarted, another VM has acquired it and left, and
// the listing known here is that of the earlier incarnation, as while the store is down.
func TestWorkerIsAcquiredUnderListingOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(time.Minute)
		host := f.calls.hosts["w0"]
		host.Crash()
		host.Restart()
		_, err := host.Poll(context.Background(), link.HostPoll{Token: newToken(host.StartTime(), 0)})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.NotZero(t, f.ownedToken())
	})
}

// Guards against a next owner that is fenced: the token under which a restarted worker was acquired is ahead of its clock.
func TestTokenOfWorkerWithEarlierListingIsNotAheadOfItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(time.Minute)
		host := f.calls.hosts["w0"]
		host.Crash()
		host.Restart()
		_, err := host.Poll(context.Background(), link.HostPoll{Token: newToken(host.StartTime(), 0)})
		require.NoError(t, err)
		for f.ownedToken() == 0 || f.ownedStartTime() != host.StartTime() {
			time.Sleep(time.Millisecond)
		}
		uptime := time.Since(time.UnixMilli(host.StartTime()))
		require.Less(t, f.ownedToken(), newToken(host.StartTime(), uptime+2*time.Millisecond))
	})
}

// Guards against a worker that is never acquired: all that is known here is the listing of an earlier incarnation.
func TestWorkerThatNeverRepliedIsAcquiredUnderEarlierListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.pool.SetHosts(nil)
		time.Sleep(time.Hour)
		host := f.calls.hosts["w0"]
		host.Crash()
		host.Restart()
		_, err := host.Poll(context.Background(), link.HostPoll{Token: newToken(host.StartTime(), 0)})
		require.NoError(t, err)
		f.pool.SetHosts(f.list)
		time.Sleep(10 * time.Second)
		require.NotZero(t, f.ownedToken())
	})
}
