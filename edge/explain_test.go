package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
)

// Guards against an explanation that starts or reserves anything in a deployment, or names an owner without workers.
func TestExplainedJobIsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		daemon, job := d.daemons["edge-0-0"], testJob("00000000000000aa", 4, time.Second)
		e := daemon.Explain(job)
		require.True(t, e.Accepted)
		owners := make(map[string]bool)
		for _, o := range daemon.Owners(testBackend, 0) {
			owners[o.ID] = o.Slots > 0
		}
		for _, task := range e.Tasks {
			require.True(t, owners[task.Owner], task.Owner)
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, d.observer.started)
		require.Equal(t, batch.StateUnknown, daemon.JobState(job.ID))
		require.Empty(t, d.log.linesWith(job.ID))
	})
}
