package standin

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/platform"
)

// testClock is a clock that the test advances.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *testClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func startPlatform(t *testing.T, limits PlatformLimits) (*Platform, *platform.HTTPLog, *platform.HTTPVMList) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := NewPlatformWith(l, limits)
	t.Cleanup(func() { _ = p.Close() })
	log := platform.NewHTTPLog(p.URL())
	list := platform.NewHTTPVMList(p.URL())
	return p, log, list
}

// Guards against a log that accepts appends beyond its rate without limit: an append that would wait too long must be
// refused.
func TestAppendsAreLimited(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p, log, _ := startPlatform(t, PlatformLimits{AppendsPerSecond: 10, Sync: time.Millisecond, Now: clock.Now})
	for range 3 {
		_, err := log.Append(t.Context(), "s", []byte("x"))
		require.NoError(t, err)
	}
	_, err := log.Append(t.Context(), "s", []byte("x"))
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
	require.Equal(t, PlatformStats{Appends: 3, Throttled: 1}, p.Stats())
	clock.advance(time.Second)
	_, err = log.Append(t.Context(), "s", []byte("x"))
	require.NoError(t, err)
}

// Guards against injected faults that have no effect or the wrong one: a lost reply must not lose the append, records
// must expire by number and age, and the VM list must lag.
func TestPlatformFaults(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p, log, list := startPlatform(t, PlatformLimits{RetainRecords: 3, RetainFor: time.Hour, Now: clock.Now})
	put := func(body string) {
		req, err := http.NewRequestWithContext(
			t.Context(), http.MethodPut, p.URL()+"/control/faults", strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	put(`{"lose_replies":1,"lose_reads":1,"list_lag_ms":5000}`)
	_, err := log.Append(t.Context(), "s", []byte("0"))
	require.Error(t, err)
	_, err = log.Read(t.Context(), "s", 0, 10, 0)
	require.Error(t, err)
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	for n := range 4 {
		clock.advance(time.Second)
		_, err = log.Append(t.Context(), "s", fmt.Append(nil, n+1))
		require.NoError(t, err)
	}
	page, err = log.Read(t.Context(), "s", 0, 10, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), page.First)
	require.Equal(t, uint64(5), page.Next)
	// A record that is exactly as old as the retention period is kept, older ones are deleted.
	clock.advance(time.Hour)
	page, err = log.Read(t.Context(), "s", 0, 10, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(4), page.First)
	p.SetVM(platform.VM{ID: "v"})
	vms, err := list.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, vms)
	clock.advance(5 * time.Second)
	vms, err = list.List(t.Context())
	require.NoError(t, err)
	require.Len(t, vms, 1)
	put(`{"log_down":true}`)
	_, err = log.Append(t.Context(), "s", nil)
	require.Error(t, err)
}
