package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/link"
)

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
