package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

func testForecast() forecast {
	start := time.Unix(1000, 0)
	return forecast{
		AnswerTimes: contract.AnswerTimes{
			Accepted: start, Target: start.Add(300 * time.Millisecond), Deadline: start.Add(2 * time.Second),
		},
		expected: 150 * time.Millisecond,
	}
}

// Guards against refusing jobs whose answer would still be useful, and against holding jobs until their deadline
// although they cannot be served.
func TestShouldRefuse(t *testing.T) {
	f := testForecast()
	at := func(ms int) time.Time { return f.Accepted.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, f.shouldRefuse(at(0)))
	require.False(t, f.shouldRefuse(at(400)), "late, but still useful")
	require.False(t, f.shouldRefuse(at(740)), "ends before three times the target")
	require.True(t, f.shouldRefuse(at(760)), "ends after three times the target, with 38% of the time limit used")
	require.True(t, f.shouldRefuse(at(1900)), "cannot end before the deadline")
	f.Deadline = at(5000)
	require.False(t, f.shouldRefuse(at(1000)), "most of the time limit is left")
}

// Guards against accepting jobs whose expected wait exceeds their time limit.
func TestMeetsDeadline(t *testing.T) {
	f := testForecast()
	require.True(t, f.meetsDeadline(f.Accepted, time.Second))
	require.False(t, f.meetsDeadline(f.Accepted, 1900*time.Millisecond))
}
