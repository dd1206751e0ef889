package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

func testMember(vm string, i machine.Incarnation) machine.Member {
	return machine.Member{VM: vm, Incarnation: i, Address: vm}
}

// membersInContact returns the members as known to a process that has just got a status of each of some VMs, and an
// acknowledgement of each.
func membersInContact(now time.Time, vms ...string) *Members {
	m := newUnconnectedMembers()
	for _, vm := range vms {
		info := testMember(vm, 1)
		m.Learn(info, true)
		m.RecordContact(info.ID(), vm, now)
		m.UpdateStatus(info.ID(), vm, false, false, 0, 1, now)
		m.RecordAck(info.ID(), vm, now)
	}
	return m
}

// setLeaving records that a process is about to leave.
func setLeaving(m *Members, vm string, now time.Time) {
	m.UpdateStatus(testMember(vm, 1).ID(), vm, true, true, 0, 2, now)
}

// Guards against a message about a run that echoes a later contact than the proof of the caller allows.
func TestContactKeepsToTheLimit(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a")
	defer m.Close()
	id := testMember("a", 1).ID()
	m.RecordTimestamp(id, "a", 101, now.Add(100*time.Millisecond))
	m.RecordTimestamp(id, "a", 201, now.Add(200*time.Millisecond))
	require.EqualValues(t, 201, m.LastContact(id, now.Add(time.Second)).Timestamp)
	require.Equal(t, batch.Contact{Timestamp: 101, ReceivedAt: now.Add(100 * time.Millisecond)},
		m.LastContact(id, now.Add(150*time.Millisecond)))
	require.Zero(t, m.LastContact(id, now.Add(-time.Millisecond)))
}

// Guards against a run that is kept alive by refreshes which echo an old contact, on this process's workers and on those of
// another one, and against one that is stopped although its refreshes echo a new contact.
func TestRefreshCountsFromItsEcho(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 6)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: time.Minute} }
		home := owners{d.daemons["edge-0-0"]}
		for _, vm := range []string{"edge-0-0", "edge-0-1"} {
			owner := d.daemons[vm].self
			key := contract.RunKey{Batch: vm, Run: 1}
			order := contract.TaskOrder{
				Key: key, Backend: testBackend, Spec: []byte("spec"), Need: machine.Resources{CPUMillis: taskCPU, MemoryMB: 64},
				Route: "r", Accepted: time.Now(), Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute),
			}
			refresh := func(limit func() time.Time) {
				for range 15 {
					time.Sleep(100 * time.Millisecond)
					home.Refresh(batch.PoolRef{Owner: owner, Backend: testBackend}, []contract.RunKey{key},
						home.LastContact(owner, limit()))
				}
			}
			home.Order(owner, order, home.LastContact(owner, time.Now()))
			refresh(time.Now)
			assert.Len(t, d.observer.runningTasks(), 1, "refreshed with new contacts at %s", vm)
			last := time.Now()
			refresh(func() time.Time { return last })
			assert.Empty(t, d.observer.runningTasks(), "refreshed with an old contact at %s", vm)
		}
		d.close()
	})
}

// Guards against a home that counts a member as in contact which receives nothing from it: only the other direction works.
func TestMessagesWithoutAcknowledgementsCountForAWhile(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a")
	defer m.Close()
	e := zone.NewElectorate([]string{"a"})
	for at := now; at.Sub(now) <= 2*oneWayLimit; at = at.Add(100 * time.Millisecond) {
		m.RecordContact(testMember("a", 1).ID(), "a", at)
		require.Equal(t, min(max(at.Sub(now)-transitTime, 0), oneWayLimit), m.MajorityContact(e, at).Sub(now))
	}
}

// Guards against a home that keeps its runs since it was in contact with the predecessor of a member, which has told the next
// process on its VM nothing of them, and against an echo to that process of its predecessor's timestamp.
func TestContactWithPreviousProcessDoesNotCountForTheNext(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a")
	defer m.Close()
	next := testMember("a", 2)
	m.Learn(next, true)
	later := now.Add(time.Second)
	m.RecordContact(next.ID(), "a", later)
	require.True(t, m.MajorityContact(zone.NewElectorate([]string{"a"}), later).Before(now))
	m.UpdateStatus(next.ID(), "a", false, false, 0, 1_000, later)
	require.Zero(t, m.LastContact(next.ID(), now.Add(100*time.Millisecond)))
}

// Guards against a job that starts too early after its earlier home was replaced or dropped, whose last messages are forgotten.
func TestLastMessageOfDepartedProcessIsRemembered(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a", "b")
	defer m.Close()
	m.Learn(testMember("a", 2), true)
	m.Expire(now.Add(time.Minute))
	m.Prune(nil)
	for _, vm := range []string{"a", "b"} {
		at, live := m.LastHeard(testMember(vm, 1).ID())
		require.Equal(t, now, at, vm)
		require.False(t, live, vm)
	}
}

// Guards against a stop of members that ends the jobs of a home which does not depend on them any more.
func TestMemberThatIsLeavingIsNoPartOfAMajority(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a", "b", "c")
	defer m.Close()
	setLeaving(m, "a", now)
	setLeaving(m, "b", now)
	later := now.Add(time.Second)
	m.RecordAck(testMember("c", 1).ID(), "c", later)
	require.Equal(t, later, m.MajorityContact(zone.NewElectorate([]string{"a", "b", "c"}), later))
	m.UpdateElectorate()
	require.Equal(t, zone.NewElectorate([]string{"c"}), m.Electorate())
}

// Guards against a start beside the runs of a home that has a majority without the members which are leaving: this process
// counts them as reached, and takes that for half of the members.
func TestMemberThatIsLeavingIsNotCountedAsReached(t *testing.T) {
	now := time.Now()
	m := membersInContact(now, "a", "b", "c")
	defer m.Close()
	silent := testMember("a", 1).ID()
	setLeaving(m, "c", now)
	later := now.Add(silenceTimeout + 100*time.Millisecond)
	m.RecordContact(testMember("c", 1).ID(), "c", later)
	m.RecordAck(testMember("c", 1).ID(), "c", later)
	m.Expire(later)
	require.True(t, m.CanHaveMajority(silent, false, later), "a and b are two of the three members that stay")
}
