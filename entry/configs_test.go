package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
)

func newTestReplica(l platform.Log) *configReplica {
	return newConfigReplica(configReplicaOptions{
		Log: l, Budget: platform.NewBudget(75), Now: time.Now, Metrics: metrics.NewRegistry(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply:  func(contract.ConfigView) {}, Verdict: func(contract.ConfigVerdict) {},
	})
}

// followLog starts a replica that reads the log until the test ends.
func followLog(t *testing.T, l platform.Log) *configReplica {
	c := newTestReplica(l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.initialRead(ctx)
		c.tail(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func publishWeight(t testing.TB, l platform.Log, n int, base uint64) {
	t.Helper()
	data, err := config.EncodeRecord(contract.ConfigRecord{Change: &contract.ConfigChange{
		ID: fmt.Sprint("change-", n), Author: "operator", Base: base, Patch: contract.ConfigPatch{
			Customers: map[string]*contract.CustomerConfig{"c": {Weight: float64(n + 1)}},
		},
	}})
	require.NoError(t, err)
	_, err = l.Append(t.Context(), configStream, data)
	require.NoError(t, err)
}

// Guards against replicas that disagree after concurrent changes, and against a revision that is not applied at once.
func TestConcurrentConfigChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := followLog(t, l), followLog(t, l)
		publishWeight(t, l, 1, 0)
		publishWeight(t, l, 2, 0)
		synctest.Wait()
		require.Equal(t, a.state.View(), b.state.View())
		require.Equal(t, uint64(1), a.state.View().Revision)
		require.Equal(t, uint64(2), a.state.View().Next)
	})
}

// Guards against a new VM that takes a configuration as known during an outage of the log before a peer has sent one,
// and against one that goes back to an older revision: it adopts a peer's state, ignores a stale one, and continues
// from the log.
func TestNewVMDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		old := followLog(t, l)
		for n := range 40 {
			publishWeight(t, l, n, uint64(n))
			synctest.Wait()
		}
		stale, _ := old.state.Snapshot()
		publishWeight(t, l, 40, 40)
		synctest.Wait()
		l.set(func(l *fakeLog) { l.down = true })
		fresh := followLog(t, l)
		time.Sleep(10 * time.Second)
		require.False(t, fresh.state.View().Known)
		position, _ := fresh.position()
		fresh.applyFromPeer(old.recordsFor(position))
		require.Equal(t, old.state.View(), fresh.state.View())
		peer := newTestReplica(l)
		peer.state.Adopt(stale)
		require.Nil(t, peer.recordsFor(42))
		fresh.applyFromPeer(peer.recordsFor(0))
		require.Equal(t, uint64(41), fresh.state.View().Revision)
		l.set(func(l *fakeLog) { l.down = false })
		publishWeight(t, l, 41, 41)
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(42), fresh.state.View().Revision)
	})
}

// Guards against a member that stays behind: it must receive exactly the records that it lacks.
func TestPeerBehindReceivesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		ahead, behind := followLog(t, l), newTestReplica(l)
		publishWeight(t, l, 0, 0)
		synctest.Wait()
		behind.initialRead(t.Context())
		publishWeight(t, l, 1, 1)
		synctest.Wait()
		position, _ := behind.position()
		require.True(t, ahead.shouldSend("behind", position, true))
		records := ahead.recordsFor(position)
		require.Len(t, records.GetRecords(), 1)
		behind.applyFromPeer(records)
		require.Equal(t, ahead.state.View(), behind.state.View())
		position, _ = behind.position()
		require.False(t, ahead.shouldSend("behind", position, true))
	})
}

// Guards against loss of a needed record by truncation: with a retention of 100 records, a new VM always finds the
// current revision on the log. Members of later rank must not publish additional snapshots.
func TestSnapshotsPrecedeExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		members := []*configReplica{followLog(t, l), followLog(t, l), followLog(t, l)}
		revision := uint64(0)
		for range 40 {
			for range 10 {
				publishWeight(t, l, int(revision), revision)
				revision++
			}
			l.set(func(l *fakeLog) {
				if n := len(l.streams[configStream]); n > 100 {
					l.first[configStream] = uint64(n - 100)
				}
			})
			for range 20 {
				time.Sleep(time.Second)
				for rank, m := range members {
					m.publishSnapshot(t.Context(), rank)
				}
			}
			fresh := newTestReplica(l)
			fresh.initialRead(t.Context())
			require.Equal(t, members[0].state.View(), fresh.state.View())
			require.Equal(t, revision, fresh.state.View().Revision)
		}
		snapshots := uint64(len(l.streams[configStream])) - revision
		require.LessOrEqual(t, snapshots, uint64(40), "more snapshots than times that one was due")
	})
}

// Guards against a snapshot that is never published because the first member in rank cannot publish it.
func TestLaterRankPublishesSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		c := followLog(t, l)
		publishWeight(t, l, 0, 0)
		time.Sleep(7 * time.Hour) // a snapshot is due after 6 hours
		before := len(l.streams[configStream])
		for range 10 {
			time.Sleep(time.Second)
			c.publishSnapshot(t.Context(), 2)
		}
		synctest.Wait()
		require.Equal(t, before+1, len(l.streams[configStream]))
		require.Equal(t, uint64(1), c.state.View().Revision, "a snapshot does not change the revision")
	})
}
