package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against a job that arrives on an open channel after the last one has been answered, is started on workers and is
// cut when the process ends.
func TestJobAfterTheLastAnswerIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		daemon := d.daemons["edge-0-0"]
		daemon.Stop(ctx)
		daemon.Finish(ctx)
		require.Equal(t, batch.Refused, (<-d.submit("edge-0-0", testJob("00000000000000aa", 2, 6*time.Second))).Outcome)
		time.Sleep(time.Second)
		require.Zero(t, d.observer.startsOf("00000000000000aa"))
	})
}

// Guards against jobs without an answer at the end of a planned stop: they wait for room, and have more time than the grace
// period.
func TestWaitingJobsAreAnsweredWithinTheGracePeriod(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 2)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
		for i := range 2 {
			d.submit("edge-0-1", testJob(fmt.Sprintf("%016x", i), 2, 20*time.Second))
		}
		time.Sleep(200 * time.Millisecond)
		var waiting []<-chan batch.Answer
		for i := range 4 {
			waiting = append(waiting, d.submit("edge-0-0", testJob(fmt.Sprintf("%016x", 16+i), 1, 30*time.Second)))
		}
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		start := time.Now()
		d.daemons["edge-0-0"].Stop(ctx)
		d.daemons["edge-0-0"].Finish(ctx)
		require.Less(t, time.Since(start), testGrace)
		for i, answer := range waiting {
			require.Equal(t, batch.Refused, (<-answer).Outcome)
			require.Zero(t, d.observer.startsOf(fmt.Sprintf("%016x", 16+i)))
		}
	})
}
