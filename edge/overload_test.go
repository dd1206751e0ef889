package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against jobs that wait until their deadline although they cannot be on time, and against refusals of jobs of which a run has
// started: two owners get three times the work that their workers can do in the latency target.
func TestDaemonsShedUnderOverload(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const jobs = 24
		d := newDeploymentWith(deploymentOptions{overload: contract.OverloadPolicy{Shed: true}}, t, 1, 2, 4)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 200 * time.Millisecond} }
		answers := make(map[string]<-chan batch.Answer)
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			answers[id] = d.submit(fmt.Sprintf("edge-0-%d", i%2), testJob(id, 4, 20*time.Second))
		}
		outcomes := make(map[batch.Outcome]int)
		for id, answer := range answers {
			a := <-answer
			outcomes[a.Outcome]++
			if a.Outcome == batch.Refused {
				require.Zero(t, d.observer.startsOf(id), "job %s was refused although a run has started", id)
			}
		}
		require.Positive(t, outcomes[batch.Completed])
		require.Positive(t, outcomes[batch.Refused])
		require.Equal(t, jobs, outcomes[batch.Completed]+outcomes[batch.Refused])
		require.EqualValues(t, outcomes[batch.Refused], d.sum(metric.BatchJobsShed))
		d.end()
		d.checkOverlaps()
	})
}
