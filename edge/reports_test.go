package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// The tests in this file play what operators of similar systems have reported; docs/incidents.md lists all reports.

const (
	// silence is a pause that a worker or a member survives with its runs: shorter than a lease less the time between
	// two polls, and than silenceTimeout.
	silence = 500 * time.Millisecond
	longRun = 1500 * time.Millisecond
)

// withLongRuns runs f while each daemon of two failure domains has a job of long tasks, and requires that each task is
// started once and all jobs complete.
func withLongRuns(t *testing.T, f func(d *deployment)) {
	t.Helper()
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: longRun} }
		const tasks = 3
		var answers []<-chan batch.Answer
		for i := range 4 {
			vm := fmt.Sprintf("edge-%d-%d", i%2, i/2)
			answers = append(answers, d.submit(vm, testJob(fmt.Sprintf("%016x", i), tasks, 10*time.Second)))
		}
		time.Sleep(300 * time.Millisecond)
		f(d)
		for i, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
			require.Equal(t, tasks, d.observer.startsOf(fmt.Sprintf("%016x", i)), "starts of job %d", i)
		}
	})
}

// Guards against work that is given up, or started again elsewhere, because its worker was silent for a moment.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	withLongRuns(t, func(d *deployment) {
		d.net.setCut(func(_, to string) bool { return to[:6] == "worker" })
		time.Sleep(silence)
		d.net.setCut(func(string, string) bool { return false })
	})
}

// Guards against the same for a member whose messages are late: neither the runs that it owns nor those of its jobs end.
func TestSlowMemberKeepsItsRuns(t *testing.T) {
	withLongRuns(t, func(d *deployment) {
		d.net.setDelayed(func(from, _ string) bool { return from == "edge-0-0" })
		time.Sleep(silence)
		d.net.setDelayed(nil)
	})
}

// Guards against orders that two owners carry out, or that neither does, while workers pass from one to the other.
func TestHandOverStartsNoTaskTwice(t *testing.T) {
	withLongRuns(t, func(d *deployment) {
		stopping := d.daemons["edge-1-1"]
		d.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testGrace)
			defer cancel()
			stopping.Stop(ctx)
		})
	})
}

// Guards against a restarted member that uses a worker that has left, although the worker still answers.
func TestRestartedMemberUsesNoWorkerThatLeft(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		const left = "worker-0-0"
		d.killDaemon("edge-0-0")
		d.store.update(func() {
			d.store.workers = slices.DeleteFunc(d.store.workers, func(l machine.Listing) bool { return l.Worker == left })
		})
		time.Sleep(missingGrace + time.Second)
		d.startDaemon(zoneName(0), "edge-0-0")
		time.Sleep(2 * time.Second)
		d.observer.mu.Lock()
		d.observer.started = nil
		d.observer.mu.Unlock()
		for i := range 12 {
			answer := <-d.submit(fmt.Sprintf("edge-0-%d", i%2), testJob(fmt.Sprintf("%016x", i), 6, 5*time.Second))
			require.Equal(t, batch.Completed, answer.Outcome)
		}
		d.observer.mu.Lock()
		defer d.observer.mu.Unlock()
		require.NotContains(t, d.observer.started, left, "workers on which tasks have started")
	})
}

// Guards against a restarted member that serves a route that was withdrawn while it was down: the store turns it away, so
// that it learns the desired state from a member.
func TestRestartedMemberServesNoWithdrawnRoute(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 4)
		defer d.close()
		d.killDaemon("edge-0-0")
		d.store.update(func() {
			d.store.desired.Version, d.store.desired.Document, d.store.desired.Routes = 2, []byte("2"), nil
		})
		time.Sleep(time.Second)
		restarted := d.startDaemon(zoneName(0), "edge-0-0")
		d.store.update(func() { d.store.unavailable["edge-0-0"] = true })
		time.Sleep(3 * time.Second)
		_, found, known := restarted.Route("h", "/q/0000000000000001")
		require.True(t, known)
		require.False(t, found, "the withdrawn route")
	})
}
