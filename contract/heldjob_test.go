package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that is forgotten while it may still run at its home, and against a ledger that grows for ever.
func TestHeldLedgerKeepsTheLatestHome(t *testing.T) {
	start := time.Now()
	l := NewHeldLedger()
	first := HeldJob{Job: "a", Home: "x", Accepted: start, HeardAt: start}
	l.Record(first)
	later := HeldJob{Job: "a", Home: "y", Accepted: start.Add(time.Second), HeardAt: start.Add(time.Second)}
	l.Record(later)
	l.Record(first)
	held, ok := l.Of("a")
	require.True(t, ok)
	require.Equal(t, later, held)
	l.Forget("a", "x")
	l.Expire(start.Add(HeldRetention + time.Millisecond))
	_, ok = l.Of("a")
	require.True(t, ok, "the second announcement still counts")
	l.Forget("a", "y")
	_, ok = l.Of("a")
	require.False(t, ok)
	for i := range maxHeldJobs + 10 {
		l.Record(HeldJob{Job: fmt.Sprint(i), Home: "x", HeardAt: start})
	}
	_, ok = l.Of("9")
	require.False(t, ok)
	_, ok = l.Of("10")
	require.True(t, ok)
	l.Expire(start.Add(HeldRetention + time.Second))
	require.Empty(t, l.byJob)
}
