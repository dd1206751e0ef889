package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// queuedReports returns the reports of a run as queued.
func (f *fixture) queuedReports(key contract.RunKey) []contract.RunReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.reportLog), func(r contract.RunReport) bool {
		return r.Key != key || r.State != contract.RunQueued
	})
}

// Guards against a home that does not know where a start is under way when the owner of the worker is lost: it would order the
// next run at any worker. A start call is reported once.
func TestHomeHearsOfAStartWithoutAReply(t *testing.T) {
	withStartInDoubt(t, 3, func(f *fixture, key contract.RunKey, worker string, _ *standin.RunHost) {
		early := f.queuedReports(key)
		require.Len(t, early, 1)
		require.Equal(t, contract.RunReport{
			Key: key, State: contract.RunQueued, Worker: worker, MayHaveStarted: true, LateWorkers: []string{worker},
		}, early[0])
		time.Sleep(startTimeout - 50*time.Millisecond)
		require.Len(t, f.queuedReports(key), 1)
		f.refreshFor(300*time.Millisecond, key)
		require.Len(t, f.queuedReports(key), 1, "the repeated start has been answered")
	})
}

// Guards against a report, and so a message, for each start: workers answer within some milliseconds.
func TestAnsweredStartIsNotReportedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := f.order("task", 500, 0, time.Second, 5*time.Second)
		time.Sleep(10 * startReportDelay)
		require.Empty(t, f.queuedReports(key))
	})
}

// Guards against a home that orders the next run anywhere when an owner has given a worker up while a start was under way.
func TestReportOfALostRunNamesTheWorkerOfItsStart(t *testing.T) {
	withStartInDoubt(t, 2, func(f *fixture, key contract.RunKey, worker string, _ *standin.RunHost) {
		f.pool.SetHosts(nil)
		require.Equal(t, contract.RunLost, f.state(key))
		require.Equal(t, []string{worker}, f.report(key).LateWorkers)
		time.Sleep(startTimeout)
		require.Equal(t, []string{worker}, f.pool.o.LateStarts.Workers(key), "recorded although the worker is not owned any more")
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Len(t, f.lateStarts, 1, "announced")
	})
}
