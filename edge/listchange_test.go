package edge

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// inDomains returns whether a machine is in one of some failure domains.
func inDomains(domains ...string) func(name string) bool {
	return func(name string) bool {
		for _, domain := range domains {
			if strings.Contains(name, "-"+domain+"-") {
				return true
			}
		}
		return false
	}
}

// setStoreAway makes the store available or unavailable for some members.
func (d *deployment) setStoreAway(away bool, vms ...string) {
	d.store.update(func() {
		for _, vm := range vms {
			d.store.unavailable[vm], d.store.unavailableSince[vm] = away, time.Now()
		}
	})
}

// cutParts separates the members of a side from all others.
func (d *deployment) cutParts(side func(name string) bool) {
	d.net.setCut(betweenMembers(func(from, to string) bool { return side(from) != side(to) }))
}

// inMajority reports whether a member is in contact with a majority of the members.
func (d *deployment) inMajority(vm string) bool {
	s := membership{d.daemons[vm]}
	return time.Since(s.MajorityContact(s.Electorate())) <= majorityLoss
}

// requireOneMajority fails the test if members of both sides of a cut count themselves as part of a majority.
func (d *deployment) requireOneMajority(side func(name string) bool) {
	d.t.Helper()
	var with [2][]string
	for vm := range d.daemons {
		if d.inMajority(vm) {
			of := 0
			if side(vm) {
				of = 1
			}
			with[of] = append(with[of], vm)
		}
	}
	assert.False(d.t, len(with[0]) > 0 && len(with[1]) > 0, "two majorities: %v and %v", with[0], with[1])
}

// removedUnread removes four silent members of ten from the list, of which two others do not read the shorter list, and cuts these
// six off from the other four.
func removedUnread(t *testing.T) (d *deployment, outside func(name string) bool) {
	d = newDeployment(t, 5, 2, 3)
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
	d.setStoreAway(true, "edge-3-0", "edge-3-1", "edge-4-0", "edge-4-1")
	d.cutParts(inDomains("3", "4"))
	time.Sleep(lossTimeout - removalInterval)
	d.setStoreAway(true, "edge-2-0", "edge-2-1")
	time.Sleep(2*removalInterval + time.Second)
	require.NotEmpty(t, d.log.linesWith("removing it from the list"))
	outside = inDomains("2", "3", "4")
	d.cutParts(outside)
	return d, outside
}

// Guards against two sides of a cut that are both a majority: one of the list before silent members were removed, one of the list
// after that.
func TestRemovalOfSilentMembersLeavesOneMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d, outside := removedUnread(t)
		defer d.close()
		time.Sleep(3 * time.Second)
		d.requireOneMajority(outside)
	})
}

// Guards against two runs of a task whose job moves between two such sides.
func TestJobOfMembersThatRemovedOthersGetsNoSecondRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d, _ := removedUnread(t)
		time.Sleep(1500 * time.Millisecond)
		d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(resendDelay)
		d.submit("edge-2-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(4 * time.Second)
		d.close()
	})
}

// Guards against the same two majorities after an operator has removed members that were alive.
func TestRemovalByAnOperatorLeavesOneMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 5, 1, 1)
		defer d.close()
		d.setStoreAway(true, "edge-2-0", "edge-3-0", "edge-4-0")
		outside := inDomains("2", "3", "4")
		d.cutParts(outside)
		time.Sleep(2 * time.Second)
		for _, vm := range []string{"edge-3-0", "edge-4-0"} {
			require.NoError(t, storeView{d.store, "edge-0-0"}.RemoveMember(t.Context(), vm))
		}
		time.Sleep(3 * time.Second)
		d.requireOneMajority(outside)
	})
}

// Guards against a majority of a list that has grown beside one of the list before.
func TestMembersThatJoinLeaveOneMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 1, 1)
		defer d.close()
		d.setStoreAway(true, "edge-0-0", "edge-1-0")
		outside := inDomains("2", "3", "4")
		d.net.setCut(betweenMembers(func(from, to string) bool {
			joined := inDomains("3", "4")
			old := inDomains("0", "1")
			return (joined(from) && old(to)) || (old(from) && joined(to))
		}))
		d.startDaemon(zoneName(3), "edge-3-0")
		d.startDaemon(zoneName(4), "edge-4-0")
		time.Sleep(time.Second)
		d.cutParts(outside)
		time.Sleep(3 * time.Second)
		d.requireOneMajority(outside)
	})
}

// Guards against members that are about to leave and are each a majority with one of the two that stay.
func TestMembersThatLeaveAreNoMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 4, 1, 1)
		for _, vm := range []string{"edge-1-0", "edge-3-0"} {
			leaving := d.daemons[vm]
			d.wg.Go(func() { stopWithin(leaving, testGrace) })
		}
		time.Sleep(500 * time.Millisecond)
		outside := inDomains("2", "3")
		d.cutParts(outside)
		time.Sleep(1500 * time.Millisecond)
		d.requireOneMajority(outside)
		time.Sleep(testGrace)
		d.close()
	})
}

// stopWithin ends a daemon as planned.
func stopWithin(daemon *Daemon, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	daemon.Stop(ctx)
}

// Guards against a member without a majority that starts a job whose home it has dropped from the list, but that has one.
func TestJobOfHomeThatWasRemovedFromTheListGetsNoSecondRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 1, 3)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 15 * time.Second} }
		d.submit("edge-0-0", testJob(secondHomeJob, 2, 20*time.Second))
		time.Sleep(time.Second)
		d.setStoreAway(true, "edge-0-0", "edge-2-0")
		side := inDomains("1")
		d.net.setCut(func(from, to string) bool { return side(from) != side(to) })
		time.Sleep(time.Second)
		require.NoError(t, storeView{d.store, "edge-2-0"}.RemoveMember(t.Context(), "edge-0-0"))
		time.Sleep(resendDelay)
		d.submit("edge-1-0", testJob(secondHomeJob, 2, 20*time.Second))
		time.Sleep(4 * time.Second)
		d.close()
	})
}

// Guards against the same while nobody reads the list without them.
func TestMembersThatLeaveUnlistedAreNoMajority(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 4, 1, 1)
		d.setStoreAway(true, "edge-0-0", "edge-1-0", "edge-2-0", "edge-3-0")
		for _, vm := range []string{"edge-1-0", "edge-3-0"} {
			leaving := d.daemons[vm]
			d.wg.Go(func() { stopWithin(leaving, testGrace) })
		}
		time.Sleep(500 * time.Millisecond)
		outside := inDomains("2", "3")
		d.cutParts(outside)
		time.Sleep(1500 * time.Millisecond)
		d.requireOneMajority(outside)
		time.Sleep(testGrace)
		d.close()
	})
}
