package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testProspects() prospects {
	start := time.Unix(1000, 0)
	return prospects{
		accepted: start, target: start.Add(300 * time.Millisecond), deadline: start.Add(2 * time.Second),
		expected: 150 * time.Millisecond,
	}
}

// Guards against jobs that are refused while an answer would still be worth having, and against jobs that are held until
// their time limit although they cannot be served.
func TestHopelessJobs(t *testing.T) {
	p := testProspects()
	at := func(ms int) time.Time { return p.accepted.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, p.hopeless(at(0)))
	require.False(t, p.hopeless(at(400)), "late, but worth having")
	require.False(t, p.hopeless(at(740)), "ends before three times the target")
	require.True(t, p.hopeless(at(760)), "ends after three times the target, 38% of the time limit are over")
	require.True(t, p.hopeless(at(1900)), "cannot end inside the time limit")
	p.deadline = at(5000)
	require.False(t, p.hopeless(at(1000)), "most of the time limit is left")
}

// Guards against jobs that are accepted although the expected wait is longer than their time limit.
func TestEndsInTime(t *testing.T) {
	p := testProspects()
	require.True(t, p.endsInTime(p.accepted, time.Second))
	require.False(t, p.endsInTime(p.accepted, 1900*time.Millisecond))
}
