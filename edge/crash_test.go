package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	// crashAfter is how long a deadly task runs until its worker crashes, crashDowntime how long the worker is down.
	crashAfter    = 40 * time.Millisecond
	crashDowntime = 3300 * time.Millisecond
	// patientLimit is a time limit within which a task that nothing stops crashes many workers.
	patientLimit = 15 * time.Second
	// maxDeadlyStarts is the number of starts of a task that crashes each worker: on a shared worker, alone on another, and
	// one more if what was known of the first crash is lost.
	maxDeadlyStarts = 3
)

// deadlyPlan lets the tasks of jobs whose id starts with "d" crash their workers. Other tasks take a second.
func deadlyPlan(k contract.RunKey) standin.RunPlan {
	if strings.HasPrefix(k.Batch, "d") {
		return standin.RunPlan{Duration: crashAfter, CrashesFor: crashDowntime}
	}
	return standin.RunPlan{Duration: time.Second}
}

// ownerOfStarted returns the daemon that owns the worker on which the last run has started.
func (d *deployment) ownerOfStarted() string {
	d.observer.mu.Lock()
	worker := d.observer.started[len(d.observer.started)-1]
	d.observer.mu.Unlock()
	for vm, daemon := range d.daemons {
		for _, p := range daemon.allPools() {
			for _, id := range p.Owned() {
				if id == worker {
					return vm
				}
			}
		}
	}
	return ""
}

// awaitStarts waits until a job has had n starts.
func (d *deployment) awaitStarts(job string, n int) {
	for range 2000 {
		if d.observer.startsOf(job) >= n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Fail(d.t, "job has not started", job)
}

// Guards against a task that crashes worker after worker, and against its caller being told only at the deadline.
func TestTaskThatCrashesEachWorkerIsGivenUp(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 6)
		defer d.close()
		d.plan = deadlyPlan
		asked := time.Now()
		answer := <-d.submit("edge-0-0", testJob("deadly", 1, patientLimit))
		require.LessOrEqual(t, d.observer.startsOf("deadly"), 2)
		require.Equal(t, batch.Failed, answer.Outcome, answer.Reason)
		require.Less(t, time.Since(asked), 3*time.Second)
		time.Sleep(crashDowntime)
		again := <-d.submit("edge-0-1", testJob("deadly", 1, patientLimit))
		require.Equal(t, batch.Failed, again.Outcome, again.Reason)
		require.LessOrEqual(t, d.observer.startsOf("deadly"), 2)
	})
}

// Guards against an uncounted crash of a worker that comes back under another id, at the same address.
func TestCrashOfAReplacedWorkerCounts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 6)
		defer d.close()
		d.plan = func(k contract.RunKey) standin.RunPlan {
			p := deadlyPlan(k)
			p.CrashesFor, p.Replaced = 100*time.Millisecond, p.CrashesFor > 0
			return p
		}
		answer := <-d.submit("edge-0-0", testJob("deadly", 1, patientLimit))
		require.Equal(t, batch.Failed, answer.Outcome, answer.Reason)
		require.LessOrEqual(t, d.observer.startsOf("deadly"), 2)
	})
}

// Guards against an innocent task that is given up because its worker crashed under another one.
func TestNeighboursOfADeadlyTaskComplete(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 6)
		defer d.close()
		d.plan = deadlyPlan
		var innocents []<-chan batch.Answer
		for i := range 10 {
			innocents = append(innocents, d.submit("edge-0-1", testJob(fmt.Sprintf("innocent-%d", i), 1, patientLimit)))
		}
		time.Sleep(100 * time.Millisecond)
		first := d.submit("edge-0-0", testJob("deadly-1", 1, patientLimit))
		second := d.submit("edge-0-1", testJob("deadly-2", 1, patientLimit))
		for i, answer := range innocents {
			a := <-answer
			require.Equal(t, batch.Completed, a.Outcome, "innocent-%d: %s", i, a.Reason)
		}
		require.Equal(t, batch.Failed, (<-first).Outcome)
		require.Equal(t, batch.Failed, (<-second).Outcome)
		require.LessOrEqual(t, d.observer.startsOf("deadly-1"), maxDeadlyStarts)
		require.LessOrEqual(t, d.observer.startsOf("deadly-2"), maxDeadlyStarts)
	})
}

// Guards against a count of crashes that dies with the home of the job, whose client submits it again elsewhere.
func TestCrashesCountAfterTheHomeHasDied(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 400, 900, 1200} {
		t.Run(fmt.Sprintf("%d ms", after), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := newDeployment(t, 1, 3, 8)
				defer d.close()
				d.plan = deadlyPlan
				d.submit("edge-0-0", testJob("deadly", 1, patientLimit))
				d.awaitStarts("deadly", 1)
				time.Sleep(crashAfter + after*time.Millisecond)
				d.killDaemon("edge-0-0")
				time.Sleep(resendDelay)
				answer := <-d.submit("edge-0-2", testJob("deadly", 1, patientLimit))
				require.Equal(t, batch.Failed, answer.Outcome, answer.Reason)
				require.LessOrEqual(t, d.observer.startsOf("deadly"), maxDeadlyStarts)
			})
		})
	}
}

// Guards against a crash that is not counted because another VM takes the worker over before its runs are over.
func TestCrashCountsIfTheWorkerIsTakenOver(t *testing.T) {
	for _, after := range []time.Duration{200, 400, 900} {
		t.Run(fmt.Sprintf("%d ms", after), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := newDeployment(t, 1, 4, 12)
				defer d.close()
				d.plan = deadlyPlan
				answer := d.submit("edge-0-0", testJob("deadly", 1, patientLimit))
				d.awaitStarts("deadly", 1)
				owner := d.ownerOfStarted()
				time.Sleep(crashAfter + after*time.Millisecond)
				if owner != "edge-0-0" && owner != "" {
					d.killDaemon(owner)
				}
				require.Equal(t, batch.Failed, (<-answer).Outcome)
				require.LessOrEqual(t, d.observer.startsOf("deadly"), maxDeadlyStarts)
			})
		})
	}
}

// Guards against a crash that is not counted because its announcement does not reach the home.
func TestCrashCountsIfItsReportIsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 6)
		defer d.close()
		d.plan = deadlyPlan
		answer := d.submit("edge-0-0", testJob("deadly", 1, patientLimit))
		d.awaitStarts("deadly", 1)
		owner := d.ownerOfStarted()
		d.net.setCut(func(a, b string) bool {
			return (a == owner && b == "edge-0-0") || (b == owner && a == "edge-0-0")
		})
		time.Sleep(600 * time.Millisecond)
		d.net.setCut(func(string, string) bool { return false })
		require.Equal(t, batch.Failed, (<-answer).Outcome)
		require.LessOrEqual(t, d.observer.startsOf("deadly"), maxDeadlyStarts)
	})
}

// Guards against tasks that are given up because the workers of a failure domain lose power twice, or fall silent.
func TestPowerLossIsNoCrashOfATask(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		d.plan = deadlyPlan
		var answers []<-chan batch.Answer
		for i := range 6 {
			answers = append(answers, d.submit("edge-0-0", testJob(fmt.Sprintf("innocent-%d", i), 1, patientLimit)))
		}
		for range 2 {
			time.Sleep(300 * time.Millisecond)
			for _, h := range d.hosts {
				h.Crash()
			}
			time.Sleep(2 * time.Second)
			for _, h := range d.hosts {
				h.Restart()
			}
			time.Sleep(time.Second)
		}
		for i, answer := range answers {
			a := <-answer
			require.Equal(t, batch.Completed, a.Outcome, "innocent-%d: %s", i, a.Reason)
		}
		require.Empty(t, d.log.linesWith("worker has crashed"))
	})
}

// Guards against jobs that are answered as failed because the workers of their tasks exit in waves. Part of the workers is
// idle, and the rest has tasks of other jobs.
func TestWavesOfExitsFailNoJob(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const waves, exits = 10, 4
		rng := rand.New(rand.NewPCG(1, 0))
		d := newDeployment(t, 1, 2, 12)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 1200 * time.Millisecond} }
		var answers []<-chan batch.Answer
		for i := range 16 {
			answers = append(answers, d.submit("edge-0-0", testJob(fmt.Sprintf("innocent-%d", i), 1, patientLimit)))
		}
		workers := slices.Sorted(maps.Keys(d.hosts))
		for range waves {
			var down []*standin.RunHost
			for _, n := range rng.Perm(len(workers))[:exits] {
				down = append(down, d.hosts[workers[n]])
			}
			for _, h := range down {
				h.Crash()
				h.SetRefusing(true)
			}
			time.Sleep(500 * time.Millisecond)
			for _, h := range down {
				h.Restart()
			}
			time.Sleep(450 * time.Millisecond)
		}
		for i, answer := range answers {
			a := <-answer
			require.Equal(t, batch.Completed, a.Outcome, "innocent-%d: %s", i, a.Reason)
		}
		require.NotEmpty(t, d.log.linesWith("worker has crashed"))
	})
}
