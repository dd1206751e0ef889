package edge

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
)

// lateStartNewsTime is the time within which all members have to know of a start without a reply: a job is submitted again 1.3 s
// after its channel has broken, and the start may have been made 0.7 s later.
const lateStartNewsTime = 600 * time.Millisecond

var lateTask = contract.RunKey{Batch: "00000000000000aa", Step: 1, Index: 2}

func (d *deployment) lateWorkers(vm string) []string {
	return d.daemons[vm].lateStarts.Workers(lateTask)
}

// announceLate lets a daemon announce a start without a reply at the worker "w".
func (d *deployment) announceLate(vm string) {
	key := lateTask
	key.Run = 7
	d.daemons[vm].lateStart(contract.LateStart{
		Task: key, Worker: "w", Until: time.Now().Add(contract.LateStartRetention),
	})
}

// Guards against a record of a start without a reply that is lost with the owner of the worker: all members know of it before its
// job can be submitted to another home, also in a deployment in which most members are no contacts.
func TestLateStartsAreAnnouncedToAllMembersInTime(t *testing.T) {
	for _, daemons := range []int{2, maxFullMesh + 4} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, daemons, 1)
			defer d.close()
			time.Sleep(3 * time.Second)
			d.announceLate("edge-0-0")
			time.Sleep(lateStartNewsTime)
			for vm := range d.daemons {
				require.Equal(t, []string{"w"}, d.lateWorkers(vm), vm)
			}
			d.daemons["edge-0-0"].workerReplaced("w")
			time.Sleep(lateStartNewsTime)
			for vm := range d.daemons {
				require.Empty(t, d.lateWorkers(vm), vm)
			}
		})
	}
}

// Guards against a record that is lost with the message, that a member which joins or returns does not get, or that is kept for ever.
func TestLateStartsReachMembersThatMissedThem(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 1)
		defer d.close()
		d.net.setCut(betweenMembers(func(_, to string) bool { return to == "edge-1-1" }))
		d.announceLate("edge-0-0")
		time.Sleep(2 * time.Second)
		require.Empty(t, d.lateWorkers("edge-1-1"))
		d.killDaemon("edge-0-0")
		d.net.setCut(noCut)
		d.startDaemon(zoneName(0), "edge-0-2")
		time.Sleep(2 * time.Second)
		for _, vm := range []string{"edge-1-1", "edge-0-2"} {
			require.Equal(t, []string{"w"}, d.lateWorkers(vm), vm)
		}
		time.Sleep(contract.LateStartRetention)
		for vm := range d.daemons {
			require.Empty(t, d.lateWorkers(vm), vm)
		}
	})
}

// Guards against a record that a failure domain loses whose processes are all replaced one after the other.
func TestLateStartsReachDomainOfNewProcesses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 1)
		defer d.close()
		time.Sleep(3 * time.Second)
		d.announceLate("edge-0-1")
		time.Sleep(time.Second)
		d.killDaemon("edge-0-0")
		d.killDaemon("edge-0-1")
		time.Sleep(time.Second)
		d.startDaemon(zoneName(0), "edge-0-2")
		d.startDaemon(zoneName(0), "edge-0-3")
		time.Sleep(2 * time.Second)
		for vm := range d.daemons {
			require.Equal(t, []string{"w"}, d.lateWorkers(vm), vm)
		}
	})
}

// Guards against an announcement of a start that is settled at once, and one that is repeated although it does not hold any
// more: a worker has been replaced, or there is a start without a reply at a worker that has come back.
func TestLateStartsAreToldAndRepeatedWhileTheyHold(t *testing.T) {
	now, ledger := time.Now(), contract.NewLateStartLedger()
	record := func(worker string) contract.LateStart {
		s := contract.LateStart{Task: lateTask, Worker: worker, Until: now.Add(time.Second)}
		ledger.Record(s)
		return s
	}
	var a announcedLateStarts
	all := statusRecipients{all: true}
	a.add(lateStartNews{
		starts: []contract.LateStart{record("a"), record("b"), record("settled")}, replaced: []string{"c", "d"},
	}, now)
	ledger.Executed(lateTask, "settled")
	require.Empty(t, a.advance(now.Add(lateStartSettleTime-1), ledger))
	require.Nil(t, a.take(all, now).near)
	now = now.Add(lateStartSettleTime)
	require.Len(t, a.advance(now, ledger), 2)
	first := a.take(all, now).near.GetLateStarts()
	require.Len(t, first.GetStarts(), 2)
	require.Equal(t, []string{"c", "d"}, first.GetReplaced())
	require.NotNil(t, a.takeOthers(1, now))

	ledger.Replaced("a")
	record("c")
	require.Empty(t, a.advance(now.Add(announcementRepeat-1), ledger))
	require.Nil(t, a.take(all, now).near)
	now = now.Add(announcementRepeat)
	require.Empty(t, a.advance(now, ledger))
	again := a.take(all, now)
	require.Len(t, again.near.GetLateStarts().GetStarts(), 1)
	require.Equal(t, "b", again.near.GetLateStarts().GetStarts()[0].GetWorker())
	require.Equal(t, []string{"d"}, again.near.GetLateStarts().GetReplaced())
	require.NotNil(t, again.far)
	require.NotNil(t, a.takeOthers(1, now))
	a.advance(now.Add(time.Hour), ledger)
	require.Nil(t, a.take(all, now).near)
}

// Guards against a message without bound, and news that are dropped because they do not fit into one.
func TestLateStartMessagesAreBounded(t *testing.T) {
	now := time.Now()
	news := lateStartNews{replaced: []string{"r"}}
	for i := range 2*maxLateStartsInMessage + 1 {
		news.starts = append(news.starts, contract.LateStart{
			Task: contract.RunKey{Batch: fmt.Sprint(i)}, Worker: "w", Until: now.Add(time.Second),
		})
	}
	var received lateStartNews
	for messages := 0; !news.empty(); messages++ {
		require.Less(t, messages, 3)
		received.add(decodeLateStarts(news.take(now).GetLateStarts(), now))
	}
	require.Len(t, received.starts, 2*maxLateStartsInMessage+1)
	require.Equal(t, []string{"r"}, received.replaced)
	require.Equal(t, now.Add(time.Second), received.starts[0].Until)
}

// Guards against a malformed announcement or report that is recorded, or that leads to a record that never ends.
func TestMalformedLateStartsAreIgnored(t *testing.T) {
	now := time.Now()
	long := strings.Repeat("a", maxWorkerID+1)
	valid := &api.LateStart{Task: &api.TaskKey{Job: "a", Run: 5}, Worker: "w", LeftMs: math.MaxUint32}
	m := &api.LateStarts{Replaced: []string{"", long, "r"}, Starts: []*api.LateStart{
		nil, {}, {Task: valid.GetTask(), LeftMs: 1}, {Task: valid.GetTask(), Worker: long, LeftMs: 1}, {Worker: "w", LeftMs: 1},
		{Task: &api.TaskKey{Job: long}, Worker: "w", LeftMs: 1}, {Task: valid.GetTask(), Worker: "w"}, valid,
	}}
	news := decodeLateStarts(m, now)
	require.Equal(t, []contract.LateStart{
		{Task: contract.RunKey{Batch: "a"}, Worker: "w", Until: now.Add(contract.LateStartRetention)},
	}, news.starts)
	require.Equal(t, []string{"r"}, news.replaced)
	m.Starts = slices.Repeat([]*api.LateStart{valid}, maxLateStartsInMessage+1)
	require.Len(t, decodeLateStarts(m, now).starts, maxLateStartsInMessage)
	require.Len(t, decodeLateWorkers(append(slices.Repeat([]string{"w"}, maxLateWorkers), "x")), maxLateWorkers)
	require.Equal(t, []string{"w"}, decodeLateWorkers([]string{"", "w", long}))
}

// Guards against an order that loses the only worker on which its run may start, and a report that loses the workers.
func TestOrderAndReportNameWorkersOfLateStarts(t *testing.T) {
	now := time.Now()
	require.Equal(t, "w", decodeOrder(encodeOrder(contract.TaskOrder{OnlyWorker: "w"}, now), now).OnlyWorker)
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 1)
		defer d.close()
		d.daemons["edge-0-0"].report(d.daemons["edge-0-1"].self, testBackend, contract.RunReport{
			Key: lateTask, State: contract.RunQueued, LateWorkers: []string{"w"},
		})
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"w"}, d.lateWorkers("edge-0-1"))
	})
}

// Guards against an order at a member that does not own the worker: each member has to name the one that does, also after the
// failure domain of the worker has lost its members.
func TestOwnerOfIsTheMemberThatHasTheWorker(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		requireSame := func() {
			t.Helper()
			for worker := range d.hosts {
				owner := d.ownerOf(worker)
				require.NotEmpty(t, owner, worker)
				for vm, daemon := range d.daemons {
					id, ok := daemon.ownerOf(worker)
					require.True(t, ok)
					require.Equal(t, d.daemons[owner].self, id, "%s at %s", worker, vm)
				}
			}
			_, ok := d.daemons["edge-1-0"].ownerOf("unknown")
			require.False(t, ok)
		}
		requireSame()
		d.killDaemon("edge-0-0")
		time.Sleep(time.Second)
		requireSame()
		d.killDaemon("edge-0-1")
		time.Sleep(silenceTimeout + 100*time.Millisecond)
		for worker := range d.hosts {
			if strings.HasPrefix(worker, "worker-0") {
				_, ok := d.daemons["edge-1-0"].ownerOf(worker)
				require.False(t, ok, "worker without an owner")
			}
		}
	})
}

// Guards against a task that starts elsewhere, or never, because the owner of the only worker on which it may start is in another
// failure domain and no contact of the home.
func TestTaskStartsAtTheWorkerOfItsLateStartAnywhere(t *testing.T) {
	for _, daemons := range []int{2, maxFullMesh + 4} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, daemons, 2)
			defer d.close()
			time.Sleep(3 * time.Second)
			home := d.daemons["edge-0-0"]
			for i, worker := range []string{"worker-0-0", "worker-0-1", "worker-1-0", "worker-1-1"} {
				job := fmt.Sprintf("%016x", i)
				home.lateStarts.Record(contract.LateStart{
					Task: contract.RunKey{Batch: job}, Worker: worker, Until: time.Now().Add(contract.LateStartRetention),
				})
				require.Equal(t, batch.Completed, (<-d.submit("edge-0-0", testJob(job, 1, 5*time.Second))).Outcome)
				require.Equal(t, 1, d.observer.startsOf(job))
				d.observer.mu.Lock()
				require.Equal(t, worker, d.observer.started[len(d.observer.started)-1])
				d.observer.mu.Unlock()
			}
		})
	}
}
