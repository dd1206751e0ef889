package bootclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a suspension that is not counted, and against a step of the wall clock that is.
func TestSuspensionsCountAndStepsDoNot(t *testing.T) {
	lag := time.Hour
	c := newClock(func() time.Duration { return lag })
	since := func(monotonic, wall time.Duration) time.Duration { return c.at(monotonic, wall).Sub(c.begin) }
	require.Equal(t, time.Second, since(time.Second, time.Second))
	lag += 4 * time.Second
	require.Equal(t, 6*time.Second, since(2*time.Second, 6*time.Second), "after a suspension of 4 s")
	require.Equal(t, 7*time.Second, since(3*time.Second, 4*time.Second), "after the wall clock has stepped back")
	require.Equal(t, 8*time.Second, since(4*time.Second, 8*time.Second), "after the wall clock has stepped forward")
}

// Guards against a clock that the operating system does not provide or that runs at another rate.
func TestNowFollowsTheMonotonicClock(t *testing.T) {
	c := New()
	first := c.Now()
	require.False(t, first.Before(c.begin))
	require.False(t, c.Now().Before(first))
	require.Less(t, c.Now().Sub(c.begin)-time.Since(c.begin), time.Minute)
}
