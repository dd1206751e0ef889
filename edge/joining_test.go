package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against a process that owns workers before it knows the other members or which domains are evacuated, and against one that waits for members that
// cannot be connected to.
func TestJoinWaitsOnlyForMembersThatMayAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		state joinState
		joins bool
	}{
		"the list is not read":               {joinState{evacuationsKnown: true, allAnswered: true, sinceStart: joinLimit}, false},
		"the evacuations are not known":      {joinState{membersRead: true, allAnswered: true, sinceStart: joinLimit}, false},
		"statuses may be on their way":       {joinState{membersRead: true, evacuationsKnown: true, allAnswered: true, sinceStart: joinDelay - 1}, false},
		"all have answered or failed":        {joinState{membersRead: true, evacuationsKnown: true, allAnswered: true, sinceStart: joinDelay}, true},
		"one is connected and sends nothing": {joinState{membersRead: true, evacuationsKnown: true, sinceStart: joinLimit - 1}, false},
		"the limit has passed":               {joinState{membersRead: true, evacuationsKnown: true, sinceStart: joinLimit}, true},
	} {
		require.Equal(t, c.joins, c.state.mayJoin(), name)
	}
}

// Guards against workers that stay without an owner because they are reserved for a member that does not come back: in a
// deployment that was running before, or after the time for the return.
func TestWorkersAreReservedOnlyWhileADeploymentReturns(t *testing.T) {
	require.True(t, reservesWorkers(joinLimit-1, false))
	require.False(t, reservesWorkers(joinLimit, false))
	require.False(t, reservesWorkers(joinDelay, true))
}

// Guards against a worker that two members own while they know different sets of members: one still reserves the workers of a
// member that the other has given up.
func TestReservationsMakeNoSecondOwner(t *testing.T) {
	all := make([]zone.Candidate, 5)
	for i := range all {
		vm := fmt.Sprintf("edge-0-%d", i)
		all[i] = zone.Candidate{ID: vm, VM: vm, Domain: zoneName(0), Weight: 1 + float64(i)}
	}
	waiting := ownershipState{candidates: all, reserved: all[3:]}
	decided := ownershipState{candidates: all[:3]}
	reserved := 0
	for w := range 500 {
		worker := fmt.Sprintf("worker-%d", w)
		owner, known := waiting.ownerOf(worker, zoneName(0))
		other, _ := decided.ownerOf(worker, zoneName(0))
		if !known {
			reserved++
			continue
		}
		require.Equal(t, owner, other, worker)
	}
	require.Positive(t, reserved)
}

// killAll ends all daemons at once and returns their VMs.
func (d *deployment) killAll() []string {
	var vms []string
	for vm := range d.daemons {
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		d.killDaemon(vm)
	}
	return vms
}

// zoneOf returns the failure domain of an edge daemon of a test.
func zoneOf(vm string) string {
	var z, n int
	if _, err := fmt.Sscanf(vm, "edge-%d-%d", &z, &n); err != nil {
		panic(err)
	}
	return zoneName(z)
}

// Guards against a deployment that serves nothing for joinLimit after the loss of all its daemons, since one that the store
// still lists does not come back, and against workers that change hands meanwhile.
func TestDeploymentServesWhileOneMemberStaysAway(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 4, 12)
		defer d.close()
		lost := d.killAll()
		time.Sleep(1600 * time.Millisecond)
		before := len(d.log.linesWith("lost ownership of worker"))
		for _, vm := range lost {
			if vm != "edge-0-3" {
				d.startDaemon(zoneOf(vm), vm)
			}
		}
		time.Sleep(joinDelay + 200*time.Millisecond)
		require.Equal(t, 12, ownedBy(d, 1))
		require.Positive(t, ownedBy(d, 0))
		require.Less(t, ownedBy(d, 0), 12, "workers of the member that is not back are reserved")
		answer := <-d.submit("edge-0-0", testJob("00000000000000aa", 4, 500*time.Millisecond))
		require.Equal(t, batch.Completed, answer.Outcome)
		time.Sleep(joinLimit)
		require.Equal(t, 12, ownedBy(d, 0))
		require.Equal(t, before, len(d.log.linesWith("lost ownership of worker")))
	})
}

// Guards against workers that the first half of the daemons acquires after a loss of all, and that change hands when the
// second half returns a moment later.
func TestWorkersAwaitTheSecondHalfOfTheDaemons(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 6, 24)
		defer d.close()
		owners := make(map[string]string)
		for id := range d.hosts {
			owners[id] = d.ownerOf(id)
		}
		d.killAll()
		time.Sleep(1600 * time.Millisecond)
		acquired := len(d.log.linesWith("worker acquired"))
		for i := range 6 {
			if i == 3 {
				time.Sleep(800 * time.Millisecond)
			}
			d.startDaemon(zoneName(0), fmt.Sprintf("edge-0-%d", i))
		}
		time.Sleep(joinLimit)
		for id, owner := range owners {
			require.Equal(t, owner, d.ownerOf(id), id)
		}
		require.Equal(t, acquired+24, len(d.log.linesWith("worker acquired")), "each worker is acquired once")
	})
}

// Guards against a restarted daemon that owns nothing for joinLimit because the store lists another one that is lost.
func TestRestartedDaemonOwnsWorkersWhileAnotherIsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 4, 16)
		defer d.close()
		d.killDaemon("edge-0-3")
		time.Sleep(2 * time.Second)
		d.killDaemon("edge-0-2")
		time.Sleep(2 * time.Second)
		d.startDaemon(zoneName(0), "edge-0-2")
		time.Sleep(joinDelay + 200*time.Millisecond)
		require.NotEmpty(t, d.daemons["edge-0-2"].pool(testBackend).Owned())
		time.Sleep(reacquireTime)
		require.Equal(t, 16, ownedBy(d, 0), "no worker is left to the lost daemon")
	})
}

// reacquireTime is enough for workers that change hands to have their next owner.
const reacquireTime = 600 * time.Millisecond

// Guards against second runs, and against jobs that no member serves, while the daemons return one after the other, some cut
// off from the others or from the store.
func TestReturnBesideOtherFaultsStartsNoTaskTwice(t *testing.T) {
	faults := map[string]func(d *deployment){
		"domain cut off": func(d *deployment) {
			d.net.setCut(func(a, b string) bool { return inZone(a, 1) != inZone(b, 1) })
		},
		"store away for one domain": func(d *deployment) {
			d.store.update(func() {
				for i := range 3 {
					d.store.unavailable[fmt.Sprintf("edge-1-%d", i)] = true
				}
			})
		},
		"store away": func(d *deployment) {
			d.store.update(func() {
				for z := range 2 {
					for i := range 3 {
						d.store.unavailable[fmt.Sprintf("edge-%d-%d", z, i)] = true
					}
				}
			})
		},
	}
	for name, begin := range faults {
		t.Run(name, func(t *testing.T) { inVirtualTime(t, func(t *testing.T) { testReturnBeside(t, begin) }) })
	}
}

func testReturnBeside(t *testing.T, begin func(d *deployment)) {
	d := newDeployment(t, 2, 3, 8)
	defer d.close()
	for i := range 10 {
		d.submit(fmt.Sprintf("edge-%d-%d", i%2, i%3), testJob(fmt.Sprintf("%016x", i), 3, 5*time.Second))
	}
	time.Sleep(50 * time.Millisecond)
	d.killAll()
	time.Sleep(600 * time.Millisecond)
	begin(d)
	for i := range 3 {
		for z := range 2 {
			vm := fmt.Sprintf("edge-%d-%d", z, i)
			d.startDaemon(zoneName(z), vm)
			d.submit(vm, testJob(fmt.Sprintf("%016x", 100+2*i+z), 3, 5*time.Second))
		}
		time.Sleep(300 * time.Millisecond)
	}
	// The clients of the lost jobs submit them again.
	for i := range 10 {
		d.submit(fmt.Sprintf("edge-%d-%d", (i+1)%2, i%3), testJob(fmt.Sprintf("%016x", i), 3, 5*time.Second))
	}
	time.Sleep(time.Second)
	d.net.setCut(func(string, string) bool { return false })
	d.store.update(func() { clear(d.store.unavailable) })
	time.Sleep(joinLimit + 2*time.Second)
	require.Equal(t, 8, ownedBy(d, 0))
	require.Equal(t, 8, ownedBy(d, 1))
	answer := <-d.submit("edge-1-0", testJob("00000000000000ff", 3, 2*time.Second))
	require.Equal(t, batch.Completed, answer.Outcome)
}

// Guards against a deployment that waits for the timeout of connections to a VM that has lost its power: nothing answers there.
func TestMembersJoinWhileAConnectionIsAttempted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 4, 12)
		defer d.close()
		d.killAll()
		d.net.listen("edge-0-3")
		d.net.setCut(func(a, b string) bool { return a == "edge-0-3" || b == "edge-0-3" })
		for i := range 3 {
			d.startDaemon(zoneName(0), fmt.Sprintf("edge-0-%d", i))
		}
		time.Sleep(joinDelay + tickInterval + reacquireTime)
		for _, line := range d.log.linesWith("joined the deployment")[4:] {
			require.Contains(t, line, fmt.Sprint("since_start=", joinDelay))
		}
		require.Positive(t, ownedBy(d, 0))
	})
}
