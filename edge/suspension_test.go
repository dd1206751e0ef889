package edge

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against a home that continues after a suspension and starts a task again whose client has submitted the job to
// another daemon in the meantime, before the home learns that the client's channel is broken.
func TestResumedHomeStartsNoRunBesideTheNextHome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newWorkerNetwork(1, false)
		d := newDeploymentOver(w, t, 3, 1, 2)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
		o := &overlap{chaos: newChaos(d), net: w, waiting: make(chan struct{}, 1)}
		const job = "0123456789abcdef"
		ctx, breakChannel := context.WithCancel(context.Background())
		d.wg.Go(func() { d.daemons["edge-0-0"].Submit(ctx, testJob(job, 2, 12*time.Second)) })
		time.Sleep(500 * time.Millisecond)
		resume := o.suspend("edge-0-0")
		time.Sleep(200 * time.Millisecond)
		// The channel breaks now. The client submits the job again after resendDelay, and the home learns of the end of the
		// channel soon after it continues.
		time.Sleep(resendDelay)
		next := d.submit("edge-1-0", testJob(job, 2, 12*time.Second))
		time.Sleep(700 * time.Millisecond)
		resume()
		time.Sleep(5 * time.Millisecond)
		breakChannel()
		synctest.Wait()
		assert.Equal(t, batch.Completed, (<-next).Outcome)
		d.close()
	})
}

// Guards against a home that keeps extending the runs on its own workers while it is cut off from its clients, which submit
// their jobs to another daemon.
func TestIsolatedHomeKeepsNoRunBesideTheNextHome(t *testing.T) {
	for _, c := range []struct {
		domains int
		run     time.Duration
	}{
		{domains: 3, run: 8 * time.Second},
		// Neither of two members is a majority without the other.
		{domains: 2, run: 400 * time.Millisecond},
	} {
		inVirtualTime(t, func(t *testing.T) { submitBesideIsolatedHome(t, c.domains, c.run) })
	}
}

func submitBesideIsolatedHome(t *testing.T, domains int, run time.Duration) {
	d := newDeployment(t, domains, 1, 2)
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
	const job = "0123456789abcdef"
	d.submit("edge-0-0", testJob(job, 2, 12*time.Second))
	time.Sleep(500 * time.Millisecond)
	d.net.setCut(func(from, to string) bool {
		return !strings.HasPrefix(to, "worker-0") && (from == "edge-0-0" || to == "edge-0-0")
	})
	time.Sleep(resendDelay - 100*time.Millisecond)
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: run} }
	time.Sleep(100 * time.Millisecond)
	next := d.submit("edge-1-0", testJob(job, 2, 12*time.Second))
	assert.Equal(t, batch.Completed, (<-next).Outcome, "%d failure domains", domains)
	d.close()
}
