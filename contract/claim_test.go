package contract

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/machine"
)

// The seed is fixed, so that every run has the same result; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

type claimRecord struct {
	at    time.Time
	batch ClaimBatch
}

func drawClaimLog(t *rapid.T) []claimRecord {
	start := time.UnixMilli(1_000_000_000)
	at := start
	var log []claimRecord
	for range rapid.IntRange(1, 60).Draw(t, "records") {
		at = at.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Second)
		r := claimRecord{at: at}
		for range rapid.IntRange(0, 4).Draw(t, "claims") {
			key := CallerKey{
				Customer: "c", Text: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")),
				CreatedUnixMS: start.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "created")) * 20 * time.Minute).UnixMilli(),
			}
			home := machine.Incarnation(rapid.IntRange(1, 1000).Draw(t, "home"))
			r.batch.Claims = append(r.batch.Claims, Claim{Key: key, Job: JobID{Domain: 1, Home: home, Seq: 1}})
		}
		log = append(log, r)
	}
	return log
}

// readClaims reads a log from a random first record on, in pages of random sizes, some repeated and some lost, and
// returns the last decision on each claim.
func readClaims(t *rapid.T, log []claimRecord) map[string]ClaimDecision {
	out := make(map[string]ClaimDecision)
	table := NewClaimTable()
	first := rapid.IntRange(0, len(log)-1).Draw(t, "first")
	for table.Next() < uint64(len(log)) {
		if rapid.IntRange(0, 9).Draw(t, "truncation") == 0 {
			first = rapid.IntRange(first, len(log)-1).Draw(t, "later first")
		}
		table.SetOldestOffset(uint64(first))
		from := int(table.Next())
		if back := rapid.IntRange(0, 3).Draw(t, "repeated"); from-back >= first {
			from -= back
		}
		to := min(len(log), from+rapid.IntRange(1, 8).Draw(t, "page"))
		for i := from; i < to; i++ {
			for j, d := range table.Apply(uint64(i), log[i].at, log[i].batch) {
				out[fmt.Sprintf("%d/%d", i, j)] = d
			}
			table.Expire(log[i].at)
		}
	}
	return out
}

// Guards against two job ids for one key: whatever records readers miss or read again, all final decisions agree, and
// a reader without gaps decides every claim.
func TestClaimReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawClaimLog(t)
		full := NewClaimTable()
		want := make(map[string]ClaimDecision)
		winners := make(map[CallerKey]JobID)
		for i, r := range log {
			for j, d := range full.Apply(uint64(i), r.at, r.batch) {
				require.NotEqual(t, ClaimUndecided, d.Result)
				want[fmt.Sprintf("%d/%d", i, j)] = d
				if d.Result != ClaimBound {
					continue
				}
				if w, ok := winners[d.Claim.Key]; ok {
					require.Equal(t, w, d.Winner, "one winner for each key")
				}
				winners[d.Claim.Key] = d.Winner
			}
			full.Expire(r.at)
		}
		for range 3 {
			for at, d := range readClaims(t, log) {
				switch d.Result {
				case ClaimBound:
					// A reader that skipped records may still hold a binding that others have dropped by age; their decision is then
					// that the key is too old, and no other id can ever be bound to it.
					require.Equal(t, winners[d.Claim.Key], d.Winner)
					require.Contains(t, []ClaimResult{ClaimBound, ClaimTooOld}, want[at].Result)
				case ClaimTooNew:
					require.Equal(t, ClaimTooNew, want[at].Result)
				}
			}
		}
	})
}

// Guards against running a refused id: it must not run when it is submitted again, nor after its answer has expired.
func TestRefusedIDNeverRuns(t *testing.T) {
	table := NewJobTable(1, 7)
	id := table.Mint(1)[0]
	now := time.Now()
	require.True(t, table.Refuse(id, "log unreachable", "", now))
	fresh, err := table.Accept(JobSpec{ID: id, Tasks: make([]TaskSpec, 1)}, now)
	require.NoError(t, err)
	require.False(t, fresh)
	a, _, err := table.Lookup(id)
	require.NoError(t, err)
	require.Equal(t, VerdictRefused, a.Verdict)
	require.Equal(t, 1, table.Expire(now.Add(AnswerRetention)))
	_, err = table.Accept(JobSpec{ID: id, Tasks: make([]TaskSpec, 1)}, now)
	require.Error(t, err)
}

// Guards against a false "not run": an accepted job can no longer be refused.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	table, id := acceptedJob(t, 1)
	require.False(t, table.Refuse(id, "log unreachable", "", time.Now()))
}

// BenchmarkClaimTableMemory reports the memory per bound key.
func BenchmarkClaimTableMemory(b *testing.B) {
	const n = 300_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := NewClaimTable()
	at := time.UnixMilli(1_000_000_000)
	for i := range n {
		key := CallerKey{Customer: "customer", Text: fmt.Sprint("order-", i), CreatedUnixMS: at.UnixMilli()}
		table.Apply(uint64(i), at, ClaimBatch{Claims: []Claim{{Key: key, Job: JobID{Domain: 1, Home: 1, Seq: uint64(i + 1)}}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(table)
}
