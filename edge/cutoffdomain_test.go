package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// cutOff returns a cut that separates the daemons and workers of the first failure domain from all others.
func cutOff(from, to string) bool {
	inside := func(name string) bool { return strings.Contains(name, "-0-") }
	return inside(from) != inside(to)
}

// Guards against two runs of a task whose job was accepted by a failure domain that is cut off, and is submitted to another one.
func TestJobOfCutOffDomainGetsNoSecondRun(t *testing.T) {
	for daemons := 1; daemons <= 3; daemons++ {
		for _, workersToo := range []bool{false, true} {
			for _, breakAfter := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
				name := fmt.Sprintf("%d daemons, workers too: %v, break after %v", daemons, workersToo, breakAfter)
				t.Run(name, func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) { submitToCutOffDomain(t, daemons, workersToo, breakAfter) })
				})
			}
		}
	}
}

func submitToCutOffDomain(t *testing.T, daemons int, workersToo bool, breakAfter time.Duration) {
	d := newDeployment(t, 3, daemons, 3)
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
	if workersToo {
		d.net.setCut(cutOff)
	} else {
		d.net.setCut(betweenMembers(cutOff))
	}
	time.Sleep(1500 * time.Millisecond)
	d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
	time.Sleep(breakAfter + resendDelay)
	d.submit("edge-1-0", testJob(secondHomeJob, 4, 12*time.Second))
	time.Sleep(4 * time.Second)
	d.close()
}

// Guards against the same in deployments in which a home exchanges statuses with all members of its own failure domain, but with few
// of the others.
func TestJobOfCutOffDomainOfLargeDeploymentGetsNoSecondRun(t *testing.T) {
	t.Parallel()
	for _, age := range []time.Duration{-500 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		withSecondHome(t, 3, 18, 8*time.Second, func(t *testing.T, d *deployment) {
			before := max(-age, 0)
			if before > 0 {
				d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
				time.Sleep(before)
			}
			d.net.setCut(cutOff)
			if before == 0 {
				time.Sleep(age)
				d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
			}
			time.Sleep(resendDelay)
			d.submit("edge-1-0", testJob(secondHomeJob, 4, 12*time.Second))
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against workers that change hands again and again between the two sides of a cut which both reach them.
func TestWorkersChangeHandsOnceInACut(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const workers = 3
		d := newDeployment(t, 3, 2, workers)
		defer d.close()
		acquired := d.sum(metric.PoolWorkersAcquired)
		d.net.setCut(betweenMembers(cutOff))
		time.Sleep(8 * time.Second)
		require.LessOrEqual(t, d.sum(metric.PoolWorkersAcquired)-acquired, int64(workers), "the other side takes over those of the first")
	})
}

// Guards against a cut-off failure domain that serves nothing, or loses the workers that only it reaches.
func TestCutOffDomainServesShortTasks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 3)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 300 * time.Millisecond} }
		d.net.setCut(cutOff)
		time.Sleep(5 * time.Second)
		for i := range 10 {
			answer := <-d.submit("edge-0-0", testJob(fmt.Sprintf("%016x", i), 4, 3*time.Second))
			assert.Equal(t, batch.Completed, answer.Outcome)
		}
	})
}

// Guards against workers that nobody owns after most failure domains have lost all their members: the survivors are no majority.
func TestSurvivorsOfMostMembersUseAllWorkers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 3)
		defer d.close()
		for zone := 1; zone < 3; zone++ {
			for n := range 2 {
				d.killDaemon(fmt.Sprintf("edge-%d-%d", zone, n))
			}
		}
		time.Sleep(cutOffOrphanDelay + 2*time.Second)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 300 * time.Millisecond} }
		// One failure domain runs 6 tasks at a time.
		answer := <-d.submit("edge-0-0", testJob(secondHomeJob, 18, 3*time.Second))
		assert.Equal(t, batch.Completed, answer.Outcome)
	})
}

// Guards against a list in which VMs that are gone for good add up until those that are left are no majority of it, and against
// a VM that stays unlisted although it was only silent.
func TestSilentMemberIsRemovedFromTheListAndListedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 3)
		defer d.close()
		listed := func() int {
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			return len(d.store.members)
		}
		d.killDaemon("edge-2-1")
		d.store.update(func() { d.store.unavailable["edge-0-0"] = true })
		d.net.setCut(betweenMembers(func(from, _ string) bool { return from == "edge-0-0" }))
		time.Sleep(lossTimeout - removalInterval)
		require.Equal(t, 6, listed())
		time.Sleep(3 * removalInterval)
		require.Equal(t, 4, listed())
		require.Equal(t, 3, d.daemons["edge-1-0"].members.Electorate().Size())

		d.net.setCut(noCut)
		d.store.update(func() { d.store.unavailable["edge-0-0"] = false })
		time.Sleep(removalInterval)
		require.Equal(t, 5, listed())
		require.Equal(t, 4, d.daemons["edge-1-0"].members.Electorate().Size())
	})
}

// Guards against two sides of an even cut that remove each other from the list, and are each a majority of what is left.
func TestMembersWithoutMajorityRemoveNobody(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 3)
		defer d.close()
		d.net.setCut(betweenMembers(cutOff))
		time.Sleep(lossTimeout + 3*removalInterval)
		require.Empty(t, d.log.linesWith("removing it from the list"))
	})
}

// Guards against a process that starts on a cut-off side without the store, and takes the few members that it hears for all.
func TestProcessWithoutListOfMembersIsNoMajority(t *testing.T) {
	withSecondHome(t, 3, 2, 8*time.Second, func(t *testing.T, d *deployment) {
		d.net.setCut(cutOff)
		d.store.update(func() { d.store.unavailable["edge-0-0"], d.store.unavailable["edge-0-1"] = true, true })
		time.Sleep(500 * time.Millisecond)
		d.killDaemon("edge-0-0")
		d.startDaemon(zoneName(0), "edge-0-0")
		time.Sleep(3 * time.Second)
		d.submit("edge-0-0", testJob(secondHomeJob, 2, 12*time.Second))
		time.Sleep(resendDelay)
		require.Equal(t, 2, d.observer.startsOf(secondHomeJob))
		d.submit("edge-1-0", testJob(secondHomeJob, 2, 12*time.Second))
		time.Sleep(4 * time.Second)
	})
}

// Guards against a process that knows no other member yet, and takes itself for the only one.
func TestProcessThatKnowsNoMemberIsNoMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 1, 1)
		defer d.close()
		d.net.setCut(cutOff)
		d.killDaemon("edge-0-0")
		d.store.update(func() { d.store.unavailable["edge-0-0"] = true })
		alone := membership{d.startDaemon(zoneName(0), "edge-0-0")}
		time.Sleep(time.Second)
		require.Zero(t, alone.MajorityContact(alone.Electorate()))
	})
}
