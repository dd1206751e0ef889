package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cancel that is forgotten while copies of its job may arrive, and against a ledger that grows for ever.
func TestCancelLedgerKeepsCancelsForTheirRetention(t *testing.T) {
	start := time.Now()
	l := NewCancelLedger()
	require.True(t, l.Record(JobCancel{Job: "a", At: start}, start))
	require.False(t, l.Record(JobCancel{Job: "a", At: start.Add(time.Second)}, start.Add(time.Second)))
	require.False(t, l.Record(JobCancel{Job: "old", At: start.Add(-2 * CancelRetention)}, start))
	l.Expire(start.Add(CancelRetention))
	require.True(t, l.Cancelled("a"))
	require.False(t, l.Cancelled("old"))
	require.Len(t, l.Recent(start), 1)
	require.Empty(t, l.Recent(start.Add(time.Second)))
	l.Expire(start.Add(CancelRetention + time.Second))
	require.False(t, l.Cancelled("a"))
	for i := range maxCancels + 10 {
		l.Record(JobCancel{Job: fmt.Sprint(i), At: start}, start)
	}
	require.Len(t, l.Recent(start), maxCancels)
	require.False(t, l.Cancelled("9"))
	require.True(t, l.Cancelled("10"))
}
