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

// Guards against a record that ends with a list which was asked for while the start could still be executed, and against
// records of other workers that end with it.
func TestListEndsLateStartsThatAreOver(t *testing.T) {
	now := time.Now()
	first, second := RunKey{Batch: "a"}, RunKey{Batch: "b"}
	ledger := NewLateStartLedger()
	require.True(t, ledger.Empty())
	ledger.Record(LateStart{Task: first, Worker: "w1", Until: now.Add(LateStartRetention)})
	ledger.Record(LateStart{Task: first, Worker: "w2", Until: now.Add(LateStartRetention)})
	ledger.Record(LateStart{Task: second, Worker: "w1", Until: now.Add(time.Second + LateStartRetention)})
	ledger.Listed("w1", now.Add(LateStartLimit))
	require.Len(t, ledger.All(), 3)
	ledger.Listed("w1", now.Add(LateStartLimit+time.Millisecond))
	require.Equal(t, []string{"w2"}, ledger.Workers(first))
	require.True(t, ledger.Has(second))
	require.True(t, ledger.HasWorker("w1"))
	ledger.Listed("w1", now.Add(time.Second+LateStartLimit+time.Millisecond))
	require.False(t, ledger.Has(second))
	require.False(t, ledger.HasWorker("w1"))
	require.False(t, ledger.Empty())
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

// Guards against a start that counts as late although its worker has answered it, and against a record of another start of the
// task that ends with it.
func TestAnsweredStartEndsOnlyItsOwnRecord(t *testing.T) {
	first, second := RunKey{Batch: "a", Run: 1}, RunKey{Batch: "a", Run: 2}
	for _, c := range []struct {
		name     string
		recorded []RunKey
		kept     bool
	}{
		{"its start", []RunKey{first, first}, false},
		{"start of another run", []RunKey{second}, true},
		{"starts of two runs", []RunKey{first, second}, true},
		{"unknown start before it", []RunKey{first.Task(), first}, true},
		{"unknown start after it", []RunKey{first, first.Task(), first}, true},
		{"unknown start", []RunKey{first.Task()}, true},
	} {
		ledger := NewLateStartLedger()
		for i, run := range c.recorded {
			ledger.Record(LateStart{Task: run, Worker: "w", Until: time.Now().Add(time.Duration(-i) * time.Second)})
		}
		ledger.Answered(first, "x")
		ledger.Answered(first.Task(), "w")
		require.Len(t, ledger.All(), 1, c.name)
		ledger.Answered(first, "w")
		require.Equal(t, c.kept, ledger.Has(first), c.name)
	}
}

// Guards against a search through all records at each check, and against a record that is kept much longer for the sake of that.
func TestLateStartsExpireWithinThePause(t *testing.T) {
	now, ledger := time.Now(), NewLateStartLedger()
	record := func(worker string, d time.Duration) {
		ledger.Record(LateStart{Task: RunKey{Batch: "a"}, Worker: worker, Until: now.Add(d)})
	}
	record("w1", time.Second)
	record("w2", time.Second+time.Millisecond)
	record("w3", LateStartRetention+time.Hour)
	ledger.Expire(now.Add(time.Second))
	require.Equal(t, []string{"w2", "w3"}, ledger.Workers(RunKey{Batch: "a"}))
	ledger.Expire(now.Add(time.Second + expiryPause - 1))
	require.Len(t, ledger.All(), 2, "no search before the pause has passed")
	ledger.Expire(now.Add(time.Second + expiryPause))
	require.Equal(t, []string{"w3"}, ledger.Workers(RunKey{Batch: "a"}))
	record("w4", 2*time.Second)
	ledger.Expire(now.Add(2 * time.Second))
	require.Equal(t, []string{"w3"}, ledger.Workers(RunKey{Batch: "a"}), "a record that ends before the others")
	ledger.Expire(now.Add(LateStartRetention + 2*time.Hour))
	require.True(t, ledger.Empty())
}
