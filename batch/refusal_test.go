package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testForecast() forecast {
	start := time.Unix(1000, 0)
	return forecast{
		accepted: start, target: start.Add(300 * time.Millisecond), deadline: start.Add(2 * time.Second),
		expected: 150 * time.Millisecond,
	}
}

// Guards against refusing jobs whose answer would still be useful, and against holding jobs until their deadline
// although they cannot be served.
func TestShouldRefuse(t *testing.T) {
	p := testForecast()
	at := func(ms int) time.Time { return p.accepted.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, p.shouldRefuse(at(0)))
	require.False(t, p.shouldRefuse(at(400)), "late, but still useful")
	require.False(t, p.shouldRefuse(at(740)), "ends before three times the target")
	require.True(t, p.shouldRefuse(at(760)), "ends after three times the target, with 38% of the time limit used")
	require.True(t, p.shouldRefuse(at(1900)), "cannot end before the deadline")
	p.deadline = at(5000)
	require.False(t, p.shouldRefuse(at(1000)), "most of the time limit is left")
}

// Guards against accepting jobs whose expected wait exceeds their time limit.
func TestMeetsDeadline(t *testing.T) {
	p := testForecast()
	require.True(t, p.meetsDeadline(p.accepted, time.Second))
	require.False(t, p.meetsDeadline(p.accepted, 1900*time.Millisecond))
}
