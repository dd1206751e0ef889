package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// twoStepJob returns a job whose second step starts after the first.
func twoStepJob(id string) contract.Batch {
	b := testJob(id, 1, 20*time.Second)
	second := b.Steps[0]
	second.DependsOn = []int{0}
	b.Steps = append(b.Steps, second)
	return b
}

// Guards against a job that runs on although its cancel was answered: the cancel arrived at another daemon than the job.
func TestCancelAtAnotherDaemonEndsTheJob(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 2)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 4 * time.Second} }
		const job = "00000000000000aa"
		answer := d.submit("edge-0-0", twoStepJob(job))
		time.Sleep(500 * time.Millisecond)
		require.True(t, d.daemons["edge-1-1"].Cancel(job))
		require.Equal(t, batch.Cancelled, (<-answer).Outcome)
		time.Sleep(200 * time.Millisecond)
		require.Empty(t, d.observer.runningTasks())
		time.Sleep(8 * time.Second)
		require.Equal(t, 1, d.observer.startsOf(job))
	})
}

// Guards against a late copy of a cancelled job that starts, at the daemon that got the cancel or at any other.
func TestLateCopyOfCancelledJobDoesNotStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 2)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 2 * time.Second} }
		const job = "00000000000000aa"
		first := d.submit("edge-0-0", testJob(job, 1, 10*time.Second))
		time.Sleep(100 * time.Millisecond)
		require.True(t, d.daemons["edge-0-0"].Cancel(job))
		require.Equal(t, batch.Cancelled, (<-first).Outcome)
		time.Sleep(3500 * time.Millisecond)
		for vm := range d.daemons {
			require.Equal(t, batch.Cancelled, (<-d.submit(vm, testJob(job, 1, 10*time.Second))).Outcome, vm)
		}
		require.Equal(t, 1, d.observer.startsOf(job))
	})
}

// Guards against a cancel that does not reach a member which was out of contact when it was announced.
func TestCancelReachesMemberAfterACut(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 2)
		defer d.close()
		d.net.setCut(func(from, to string) bool {
			return !strings.HasPrefix(to, "worker") && (from == "edge-1-0" || to == "edge-1-0")
		})
		time.Sleep(2 * time.Second)
		const job = "00000000000000aa"
		require.True(t, d.daemons["edge-0-0"].Cancel(job))
		time.Sleep(3 * time.Second)
		d.net.setCut(func(string, string) bool { return false })
		time.Sleep(3 * time.Second)
		require.Equal(t, batch.Cancelled, (<-d.submit("edge-1-0", testJob(job, 1, 10*time.Second))).Outcome)
		require.Zero(t, d.observer.startsOf(job))
	})
}
