package edge

import (
	"fmt"
	"testing"
	"time"


	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against two runs of a task whose home still depends on the members at acceptance, since one of them has left while others
// have joined.
func TestJobDependsOnMembersThatJoinWhileOthersLeave(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 1, 3)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 20 * time.Second} }
		d.submit("edge-0-0", testJob(secondHomeJob, 2, 40*time.Second))
		time.Sleep(time.Second)
		stopDaemon(d, "edge-2-0")
		d.addWorker(zoneName(3), "worker-3-0")
		for n := range 3 {
			d.startDaemon(zoneName(3), fmt.Sprintf("edge-3-%d", n))
		}
		time.Sleep(3 * time.Second)
		joined := inDomains("3")
		d.net.setCut(func(from, to string) bool { return joined(from) != joined(to) })
		time.Sleep(resendDelay)
		d.submit("edge-3-0", testJob(secondHomeJob, 2, 40*time.Second))
		time.Sleep(4 * time.Second)
		d.close()
	})
}

