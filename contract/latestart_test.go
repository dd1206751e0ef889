package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a record of a start without a reply that is lost, shortened or kept for another worker.
func TestLateStartLedger(t *testing.T) {
	now := time.Now()
	task := RunKey{Batch: "00000000000000aa", Index: 3}
	ledger := NewLateStartLedger()
	record := func(worker string, d time.Duration) {
		key := task
		key.Run = uint64(d)
		ledger.Record(LateStart{Task: key, Worker: worker, Until: now.Add(d)})
	}
	record("w1", 10*time.Second)
	record("w2", 4*time.Second)
	record("w1", 5*time.Second)
	require.Equal(t, []string{"w1", "w2"}, ledger.Workers(task))
	require.Len(t, ledger.All(), 2)

	ledger.Expire(now.Add(5 * time.Second))
	require.Equal(t, []string{"w1"}, ledger.Workers(task), "the later end is kept")
	ledger.Executed(task, "w2")
	ledger.Replaced("w2")
	require.Equal(t, []string{"w1"}, ledger.Workers(task))
	ledger.Replaced("w1")
	require.Empty(t, ledger.Workers(task))
	require.Empty(t, ledger.All())

	record("w1", time.Second)
	ledger.Executed(task, "w1")
	require.Empty(t, ledger.Workers(task))
}

// Guards against a ledger that grows without bound when a member floods it.
func TestLateStartLedgerIsBounded(t *testing.T) {
	now := time.Now()
	ledger := NewLateStartLedger()
	for i := range maxLateStarts + 5 {
		ledger.Record(LateStart{Task: RunKey{Batch: fmt.Sprint(i)}, Worker: "w", Until: now.Add(time.Duration(i))})
	}
	require.Len(t, ledger.All(), maxLateStarts)
	require.Empty(t, ledger.Workers(RunKey{Batch: "0"}), "the first to end is dropped")
	require.NotEmpty(t, ledger.Workers(RunKey{Batch: "5"}))
}
