package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
)

func startDelegate(t *testing.T, l platform.Log, self machine.Incarnation) *claimDelegate {
	c := newClaimDelegate(claimDelegateOptions{
		Self: self, Log: l, Budget: platform.NewBudget(75), Now: time.Now, Metrics: metrics.NewRegistry(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	c.start()
	t.Cleanup(c.close)
	return c
}

func testClaim(text string, home machine.Incarnation, seq uint64) contract.Claim {
	return contract.Claim{
		Key: contract.CallerKey{Customer: "c", Text: text, CreatedUnixMS: time.Now().UnixMilli()},
		Job: contract.JobID{Domain: 1, Home: home, Seq: seq},
	}
}

// Guards against a second append or a wrong winner when the reply to an append is lost after it took effect.
func TestClaimSurvivesLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := startDelegate(t, l, 1)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.loseReplies = 1 })
		cl := testClaim("k", 1, 1)
		id, err := c.claim(t.Context(), cl)
		require.NoError(t, err)
		require.Equal(t, cl.Job, id)
		time.Sleep(time.Minute)
		require.Equal(t, 1, l.appends, "the batch is recognised in the stream by its id and not appended again")
	})
}

// Guards against two winners when members disagree on the delegate, also when a delegate's append is slow and its reply
// is lost.
func TestTwoDelegatesAgreeOnWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := startDelegate(t, l, 1), startDelegate(t, l, 2)
		for n := range 50 {
			l.set(func(l *fakeLog) { l.loseReplies = n % 3 })
			first := testClaim(fmt.Sprint(n), 1, uint64(n+1))
			second := first
			second.Job.Home = 2
			var ids [2]contract.JobID
			var errs [2]error
			done := make(chan struct{})
			go func() {
				ids[0], errs[0] = a.claim(t.Context(), first)
				close(done)
			}()
			ids[1], errs[1] = b.claim(t.Context(), second)
			<-done
			require.NoError(t, errs[0])
			require.NoError(t, errs[1])
			require.Equal(t, ids[0], ids[1])
		}
	})
}

// Guards against a claim that blocks for as long as an append takes, and against treating a slow append as failed: the
// claim stays undecided, and the late append still wins.
func TestSlowAppendLeavesClaimUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := startDelegate(t, l, 1)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.delay = 5 * time.Second })
		cl := testClaim("k", 1, 1)
		_, err := c.claim(t.Context(), cl)
		require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
		require.False(t, fault.IsProvenNotStarted(err))
		time.Sleep(10 * time.Second)
		id, found, err := c.lookup(t.Context(), cl.Key)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, cl.Job, id)
	})
}

// Guards against a burst of calls to the log after an outage of an hour, and against claims that fail after recovery.
func TestDelegateRecoversFromLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := startDelegate(t, l, 1)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.down = true })
		for n := range 1000 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, err := c.claim(ctx, testClaim(fmt.Sprint(n), 1, uint64(n+1)))
			cancel()
			require.Error(t, err)
		}
		time.Sleep(time.Hour)
		l.set(func(l *fakeLog) { l.down = false; l.appends = 0 })
		time.Sleep(2 * maxReaderBackoff)
		cl := testClaim("after", 1, 5000)
		id, err := c.claim(t.Context(), cl)
		require.NoError(t, err)
		require.Equal(t, cl.Job, id)
		require.Equal(t, 1, l.appends, "claims without a waiting caller are not appended")
	})
}

// maxReaderBackoff is the longest delay of a reader after a failed call.
const maxReaderBackoff = time.Second

// Guards against a delegate that answers before it has read the stream: the earlier claim must win.
func TestNewDelegateReadsBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		old := startDelegate(t, l, 1)
		cl := testClaim("k", 1, 1)
		_, err := old.claim(t.Context(), cl)
		require.NoError(t, err)
		old.close()
		again := cl
		again.Job.Home = 2
		id, err := startDelegate(t, l, 2).claim(t.Context(), again)
		require.NoError(t, err)
		require.Equal(t, cl.Job, id)
	})
}

// Guards against a second run of a key whose claim was in a truncated part of the stream.
func TestTruncatedStreamLeavesKeyUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		old := startDelegate(t, l, 1)
		cl := testClaim("k", 1, 1)
		_, err := old.claim(t.Context(), cl)
		require.NoError(t, err)
		l.set(func(l *fakeLog) { l.first[claimStream] = 1 })
		fresh := startDelegate(t, l, 2)
		again := cl
		again.Job.Home = 2
		_, err = fresh.claim(t.Context(), again)
		require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
		time.Sleep(2 * contract.KeySkew)
		_, err = fresh.claim(t.Context(), testClaim("new", 2, 2))
		require.NoError(t, err, "keys created after the gap are decided")
		_, err = fresh.claim(t.Context(), again)
		require.Error(t, err)
	})
}

// Guards against reporting a key as not claimed while its append is in flight and the log cannot be read.
func TestLookupInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := startDelegate(t, l, 1)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.down = true })
		cl := testClaim("k", 1, 1)
		_, _, err := c.lookup(t.Context(), cl.Key)
		require.Equal(t, reasonNotClaimed, fault.Reason(err))
		go func() { _, _ = c.claim(t.Context(), cl) }()
		synctest.Wait()
		_, _, err = c.lookup(t.Context(), cl.Key)
		require.Error(t, err)
		require.NotEqual(t, reasonNotClaimed, fault.Reason(err))
		time.Sleep(2 * claimTimeout)
		l.set(func(l *fakeLog) { l.down = false; l.delay = 500 * time.Millisecond })
		time.Sleep(2 * maxReaderBackoff)
		go func() { _, _ = c.claim(t.Context(), cl) }()
		synctest.Wait()
		_, _, err = c.lookup(t.Context(), cl.Key)
		require.Error(t, err, "a key with an append in flight is undecided even while the log can be read")
		time.Sleep(2 * claimTimeout)
	})
}

// Guards against a burst of lookups that uses up all connections to the log: lookups share reads.
func TestLookupsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := startDelegate(t, l, 1)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.readDelay = 10 * time.Millisecond; l.reads = 0 })
		var lookups sync.WaitGroup
		for n := range 200 {
			lookups.Go(func() {
				_, found, err := c.lookup(t.Context(), testClaim(fmt.Sprint(n), 1, 1).Key)
				if err != nil || found {
					t.Errorf("lookup %d: %t %v", n, found, err)
				}
			})
		}
		lookups.Wait()
		require.LessOrEqual(t, l.reads, 4, "one read in progress, one for all waiting lookups, and those of the tail loop")
	})
}

// FuzzClaimRecord guards against panics, against claims without a key or job id, and against a batch that changes when
// it is encoded and decoded again.
func FuzzClaimRecord(f *testing.F) {
	f.Add([]byte(`{"batch":"b","claims":[{"customer":"c","text":"t","created_unix_ms":1,"job":"j-1-00c0ffee00c0ffee-17"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeBatch(data)
		if err != nil {
			return
		}
		for _, c := range b.Claims {
			if c.Job.Home == 0 || c.Key.Customer == "" || c.Key.Text == "" {
				t.Fatalf("claim without key or job id: %+v", c)
			}
		}
		again, err := encodeBatch(b)
		require.NoError(t, err)
		back, err := decodeBatch(again)
		require.NoError(t, err)
		require.Equal(t, b, back)
	})
}
