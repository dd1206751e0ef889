package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// declareGone records in the store that a VM is gone for good.
func (d *deployment) declareGone(vm string) {
	d.store.update(func() {
		delete(d.store.members, vm)
		d.store.gone[vm] = true
		d.store.listVersion++
	})
}

// requireSettled fails the test if several lists are in force at a member.
func (d *deployment) requireSettled() {
	d.t.Helper()
	for vm, daemon := range d.daemons {
		versions, _ := daemon.members.ListVersions()
		assert.Len(d.t, versions, 1, vm)
	}
}

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

// Guards against members that were removed from the list and count for ever, so that losses add up until nobody is a majority.
func TestRemovedMembersDoNotCountOnceTheRestHasReadTheList(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 5, 1, 1)
		defer d.close()
		d.requireSettled()
		d.killDaemon("edge-4-0")
		d.killDaemon("edge-3-0")
		time.Sleep(lossTimeout + 2*removalInterval)
		d.requireSettled()
		d.killDaemon("edge-2-0")
		time.Sleep(3 * time.Second)
		assert.True(t, d.inMajority("edge-0-0"), "two of three")
	})
}

// Guards against survivors of half of the members that stay without a majority after an operator has declared the others gone.
func TestMembersDeclaredGoneDoNotCount(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 4, 1, 1)
		defer d.close()
		d.killDaemon("edge-3-0")
		d.killDaemon("edge-2-0")
		time.Sleep(lossTimeout + 2*removalInterval)
		require.False(t, d.inMajority("edge-0-0"), "two of four")
		d.declareGone("edge-2-0")
		d.declareGone("edge-3-0")
		time.Sleep(time.Second)
		assert.True(t, d.inMajority("edge-0-0"))
		d.requireSettled()
		d.startDaemon(zoneName(2), "edge-2-0")
		time.Sleep(3 * time.Second)
		assert.Equal(t, 2, d.daemons["edge-0-0"].members.Electorate().Size(), "a VM that comes back counts")
	})
}

// Guards against a live member that an operator has declared gone by mistake, and that is not counted by those that hear it.
func TestLiveMemberDeclaredGoneCounts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 1, 1)
		defer d.close()
		d.setStoreAway(true, "edge-2-0")
		d.declareGone("edge-2-0")
		time.Sleep(time.Second)
		assert.Equal(t, 2, d.daemons["edge-0-0"].members.Electorate().Size())
		d.setStoreAway(false, "edge-2-0")
		time.Sleep(3 * time.Second)
		assert.Contains(t, d.store.members, "edge-2-0")
	})
}

// Guards against jobs of members that the store does not answer, and that end whenever a VM joins or leaves elsewhere.
func TestMembersWithoutStoreKeepTheirJobsWhileTheListChanges(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 3)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 12 * time.Second} }
		d.setStoreAway(true, "edge-0-0", "edge-0-1", "edge-1-0")
		answers := []<-chan batch.Answer{
			d.submit("edge-0-0", testJob(secondHomeJob, 1, 30*time.Second)), d.submit("edge-2-1", testJob("f"+secondHomeJob[1:], 1, 30*time.Second)),
		}
		time.Sleep(time.Second)
		d.startDaemon(zoneName(1), "edge-1-2")
		time.Sleep(2 * time.Second)
		stopDaemon(d, "edge-1-1")
		d.startDaemon(zoneName(1), "edge-1-1")
		time.Sleep(3 * time.Second)
		for _, answer := range answers {
			assert.Equal(t, batch.Completed, (<-answer).Outcome)
		}
		d.requireSettled()
		assert.Equal(t, 1, d.observer.startsOf(secondHomeJob))
	})
}

// Guards against jobs that end, or lists that stay in force, while the VMs of a large deployment are replaced one after the other.
func TestJobsOfLargeDeploymentLastWhileVMsAreReplaced(t *testing.T) {
	t.Parallel()
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 18, 3)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 10 * time.Second} }
		answers := []<-chan batch.Answer{d.submit("edge-0-0", testJob(secondHomeJob, 1, 40*time.Second))}
		for n := range 3 {
			vm := fmt.Sprintf("edge-1-%d", n)
			stopDaemon(d, vm)
			d.startDaemon(zoneName(1), vm)
			time.Sleep(300 * time.Millisecond)
			answers = append(answers, d.submit(vm, testJob(fmt.Sprintf("%016x", n), 1, 40*time.Second)))
			d.killDaemon("edge-2-" + fmt.Sprint(n))
		}
		for i, answer := range answers {
			assert.Equal(t, batch.Completed, (<-answer).Outcome, i)
		}
		time.Sleep(5 * time.Second)
		d.requireSettled()
	})
}

// Guards against a list in force for each VM of those that restart at the same time: all members would count by all of them.
func TestFewListsComeIntoForceWhileManyVMsRestart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 12, 1)
		defer d.close()
		most := 0
		watch := func(ticks int) {
			for range ticks {
				time.Sleep(tickInterval)
				for _, daemon := range d.daemons {
					versions, _ := daemon.members.ListVersions()
					most = max(most, len(versions))
				}
			}
		}
		for n := range 12 {
			vm := fmt.Sprintf("edge-1-%d", n)
			d.killDaemon(vm)
			d.startDaemon(zoneName(1), vm)
			watch(1)
		}
		watch(80)
		assert.LessOrEqual(t, most, maxInForce)
		d.requireSettled()
	})
}
