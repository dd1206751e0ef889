package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against two runs of a task: a home that is told of a start without a reply by the owner's report releases its job to
// another home, which has not heard of that start, and orders the next run anywhere.
func TestReleasedJobIsBoundToTheWorkerOfItsLateStart(t *testing.T) {
	elsewhere := make(map[string]string)
	for _, worker := range []string{"worker-0-0", "worker-0-1", "worker-1-0", "worker-1-1"} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, 3, 6)
			defer d.close()
			d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 4 * time.Second} }
			time.Sleep(3 * time.Second)
			job := fmt.Sprintf("%016x", 7)
			ctx, leave := context.WithCancel(context.Background())
			d.wg.Go(func() { d.daemons["edge-0-0"].Submit(ctx, testJob(job, 1, 20*time.Second)) })
			time.Sleep(1300 * time.Millisecond)
			key := contract.RunKey{Batch: job}
			d.daemons["edge-1-1"].report(d.daemons["edge-0-0"].self, testBackend, contract.RunReport{
				Key: key, State: contract.RunLost, LateWorkers: []string{worker},
			})
			time.Sleep(20 * time.Millisecond)
			answer := d.submit("edge-1-0", testJob(job, 1, 20*time.Second))
			time.Sleep(20 * time.Millisecond)
			leave()
			<-answer
			d.observer.mu.Lock()
			last := d.observer.started[len(d.observer.started)-1]
			d.observer.mu.Unlock()
			require.Equal(t, 2, d.observer.startsOf(job))
			if last != worker {
				elsewhere[worker] = last
			}
		})
	}
	require.Empty(t, elsewhere, "workers of the next run, by the worker that may still execute an earlier start")
}

// Guards against a record that is lost with a VM which is the home of a job and the owner of the worker: no other member has heard of a
// start without a reply when the job is submitted again 1.3 s later.
func TestRecordSurvivesTheLossOfAVMThatIsHomeAndOwner(t *testing.T) {
	lost := make(map[time.Duration]int)
	for after := time.Duration(0); after < lateStartNewsTime; after += 50 * time.Millisecond {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, 2, 1)
			defer d.close()
			time.Sleep(3 * time.Second)
			home := d.daemons["edge-0-0"]
			key := lateTask
			key.Run = 7
			home.report(home.self, testBackend, contract.RunReport{
				Key: key, State: contract.RunQueued, Worker: "w", MayHaveStarted: true, LateWorkers: []string{"w"},
			})
			time.Sleep(140 * time.Millisecond)
			d.announceLate("edge-0-0")
			time.Sleep(after)
			d.killDaemon("edge-0-0")
			time.Sleep(resendDelay)
			for vm := range d.daemons {
				if len(d.lateWorkers(vm)) == 0 {
					lost[after]++
				}
			}
		})
	}
	require.Empty(t, lost, "members without the record, by the time from the record to the loss of the VM")
}
