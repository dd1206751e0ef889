package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// entrustLate lets edge-0-0 report a start without a reply so far to a home.
func (d *deployment) entrustLate(home string) contract.RunReport {
	key := lateTask
	key.Run = 7
	r := contract.RunReport{Key: key, State: contract.RunQueued, Worker: "w", MayHaveStarted: true, LateWorkers: []string{"w"}}
	d.daemons["edge-0-0"].report(d.daemons[home].self, testBackend, r)
	return r
}

// keeperOf returns the daemon that keeps a start of another one, empty if there is none.
func (d *deployment) keeperOf(owner string) string {
	id := d.daemons[owner].self
	for vm, daemon := range d.daemons {
		daemon.entrusted.mu.Lock()
		kept := len(daemon.entrusted.byMember[id])
		daemon.entrusted.mu.Unlock()
		if kept > 0 {
			return vm
		}
	}
	return ""
}

// Guards against a start without a reply that is lost with the member to which it was entrusted: that one announces it as soon as
// it counts its owner as lost, and is lost itself right after that.
func TestEntrustedStartsAreAnnouncedBeforeTheNextStatus(t *testing.T) {
	unknown := make(map[time.Duration]int)
	for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 20 * time.Millisecond {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, 2, 1)
			defer d.close()
			time.Sleep(3*time.Second + phase)
			d.entrustLate("edge-0-0")
			time.Sleep(10 * time.Millisecond)
			keeper := d.keeperOf("edge-0-0")
			require.NotEmpty(t, keeper)
			d.killDaemon("edge-0-0")
			for n := 0; n < 2000 && d.daemons[keeper].lateStarts.Empty(); n++ {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			d.killDaemon(keeper)
			for _, m := range d.daemons {
				if m.lateStarts.Empty() {
					unknown[phase]++
				}
			}
		})
	}
	require.Empty(t, unknown, "members without the record, by phase")
}

// Guards against a start that only members of one failure domain know, which may all be lost at once: its owner and its home are in
// the same domain, or one process.
func TestStartsAreEntrustedToAnotherFailureDomain(t *testing.T) {
	for _, home := range []string{"edge-0-0", "edge-0-1", "edge-1-0"} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 1)
			defer d.close()
			time.Sleep(3 * time.Second)
			d.entrustLate(home)
			time.Sleep(10 * time.Millisecond)
			keeper := d.keeperOf("edge-0-0")
			require.NotContains(t, []string{"", "edge-0-0", "edge-0-1", home}, keeper)
		})
	}
}

// Guards against a start that nobody else keeps since there is only one failure domain, or one member.
func TestStartsAreEntrustedWithinASoleFailureDomain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 1)
		defer d.close()
		d.entrustLate("edge-0-0")
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "edge-0-1", d.keeperOf("edge-0-0"))
		d.killDaemon("edge-0-1")
		time.Sleep(time.Second)
		d.entrustLate("edge-0-0")
	})
}

// Guards against a task that is bound to a worker which has answered its start: the owner is lost after the answer, and the member
// that keeps the start must not announce it.
func TestAnsweredStartIsNotAnnouncedByItsKeeper(t *testing.T) {
	for _, answered := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, 2, 1)
			defer d.close()
			time.Sleep(3 * time.Second)
			r := d.entrustLate("edge-0-1")
			time.Sleep(20 * time.Millisecond)
			if answered {
				r.State, r.LateWorkers = contract.RunStarted, nil
				d.daemons["edge-0-0"].report(d.daemons["edge-0-1"].self, testBackend, r)
				time.Sleep(2 * tickInterval)
			}
			d.killDaemon("edge-0-0")
			d.killDaemon("edge-0-1")
			time.Sleep(resendDelay)
			for vm, m := range d.daemons {
				require.Equal(t, answered, m.lateStarts.Empty(), vm)
			}
		})
	}
}

// Guards against a record of a start that ends with the answer to another start of the task or at another worker, and against answers
// to starts that are not kept.
func TestAnswerEndsOnlyItsOwnEntrustedStart(t *testing.T) {
	now, kept := time.Now(), newEntrustedStarts()
	start := func(run uint64, worker string) contract.LateStart {
		key := lateTask
		key.Run = run
		return contract.LateStart{Task: key, Worker: worker, Until: now}
	}
	starts := []contract.LateStart{start(1, "w"), start(2, "w"), start(2, "x")}
	for _, s := range starts {
		kept.add("m", lateStartNews{starts: []contract.LateStart{s}}, now)
	}
	kept.answered("other", starts)
	kept.answered("m", []contract.LateStart{start(2, "w"), start(3, "w")})
	n := kept.take("m")
	require.Equal(t, []contract.LateStart{starts[0], starts[2]}, n.starts)
}

// Guards against starts that stay entrusted without end, and against more copies of a start than may be entrusted.
func TestOwnEntrustedStartsAreBounded(t *testing.T) {
	now, own := time.Now(), newOwnEntrusted()
	key := lateTask
	key.Run = 7
	own.add(key, "w", "a", now)
	own.add(key, "w", "b", now.Add(time.Second))
	require.Equal(t, []string{"a", "b"}, own.members(key))
	unanswered := contract.RunReport{Key: key, State: contract.RunStarted, Worker: "w", LateWorkers: []string{"w"}}
	own.settle(unanswered)
	require.Empty(t, own.takeAnswered(), "another copy of the start may still be executed")
	own.expire(now.Add(entrustedFor))
	require.NotEmpty(t, own.members(key))
	own.expire(now.Add(time.Second + entrustedFor))
	require.Empty(t, own.members(key))
}
