package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against jobs that do not complete, or run a task more than once, without any faults.
func TestJobsComplete(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		var answers []<-chan batch.Answer
		for i := range 20 {
			vm := fmt.Sprintf("edge-%d-%d", i%2, i/2%2)
			answers = append(answers, d.submit(vm, testJob(fmt.Sprintf("%016x", i), 4, 10*time.Second)))
		}
		for i, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
			require.Equal(t, 4, d.observer.startsOf(fmt.Sprintf("%016x", i)))
		}
	})
}

// Guards against members that disagree on the owners of workers although all know each other.
func TestEveryWorkerHasOneOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 6)
		defer d.close()
		require.Equal(t, 6, ownedBy(d, 0))
		require.Equal(t, 6, ownedBy(d, 1))
		require.Equal(t, 6, ownedBy(d, 2))
	})
}

// Guards against a second run of a task while the previous owner's run is alive: a failure domain that was cut off
// must not acquire the workers of the others when the cut heals, and claims of runs must not start them again.
func TestPartitionedDomainStartsNoTaskTwice(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		stop := make(chan struct{})
		d.wg.Go(func() {
			for i := 0; ; i++ {
				for z := range 3 {
					d.submit(fmt.Sprintf("edge-%d-%d", z, i%2), testJob(fmt.Sprintf("%08x%08x", i, z), 3, 3*time.Second))
				}
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
			}
		})
		for range 3 {
			time.Sleep(time.Second)
			d.net.setCut(func(a, b string) bool { return inZone(a, 2) != inZone(b, 2) })
			time.Sleep(5 * time.Second)
			before := ownedBy(d, 2)
			d.net.setCut(func(string, string) bool { return false })
			time.Sleep(2 * time.Second)
			require.Equal(t, 4, ownedBy(d, 2),
				"workers owned by the failure domain after the partition has healed; %d before", before)
		}
		close(stop)
		time.Sleep(5 * time.Second)
	})
}

func inZone(machine string, z int) bool {
	var kind string
	var zone, n int
	if _, err := fmt.Sscanf(machine, "edge-%d-%d", &zone, &n); err == nil {
		return zone == z
	}
	if _, err := fmt.Sscanf(machine, "worker-%d-%d", &zone, &n); err == nil {
		return zone == z
	}
	panic("unknown machine " + machine + kind)
}

func ownedBy(d *deployment, z int) int {
	n := 0
	for vm, daemon := range d.daemons {
		if inZone(vm, z) {
			n += len(daemon.pool(testBackend).Owned())
		}
	}
	return n
}

// Guards against tasks that are lost, or run twice, when the owner of their worker dies.
func TestTasksSurviveOwnerFailure(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 6)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 600 * time.Millisecond} }
		answer := d.submit("edge-0-0", testJob("00000000000000aa", 10, 8*time.Second))
		time.Sleep(100 * time.Millisecond)
		d.killDaemon("edge-0-1")
		require.Equal(t, batch.Completed, (<-answer).Outcome)
	})
}

// Guards against runs that continue after their home has died and overlap with the resubmitted job.
func TestRunsEndWhenTheirHomeDies(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 6)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 5 * time.Second} }
		d.submit("edge-0-0", testJob("00000000000000aa", 8, 20*time.Second))
		time.Sleep(500 * time.Millisecond)
		d.killDaemon("edge-0-0")
		// Clients submit a job again 1.3 s after their connection has ended.
		time.Sleep(1300 * time.Millisecond)
		for id := range d.hosts {
			reply, err := d.hosts[id].Poll(context.Background(), topTokenPoll)
			require.NoError(t, err)
			require.Empty(t, reply.Running, "runs of the dead home on %s", id)
		}
	})
}

// Guards against runs that outlive a home that has lost power: the next owner of its workers must not keep them alive
// until the clients submit their jobs again.
func TestRunsEndWhenTheirHomeLosesPower(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		for _, vm := range []string{"edge-0-0", "edge-0-1", "edge-0-2"} {
			d := newDeployment(t, 1, 3, 6)
			d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 5 * time.Second} }
			d.submit(vm, testJob("00000000000000aa", 10, 20*time.Second))
			time.Sleep(500 * time.Millisecond)
			d.net.setCut(func(a, b string) bool { return a == vm || b == vm })
			time.Sleep(1250 * time.Millisecond)
			for id := range d.hosts {
				reply, err := d.hosts[id].Poll(context.Background(), link.HostPoll{Token: 1 << 62})
				require.NoError(t, err)
				require.Empty(t, reply.Running, "runs of %s on %s", vm, id)
			}
			d.close()
		}
	})
}

// Guards against a graceful stop that loses or repeats the jobs of the process.
func TestStopAnswersAllJobs(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 700 * time.Millisecond} }
		var answers []<-chan batch.Answer
		for i := range 4 {
			answers = append(answers, d.submit("edge-0-0", testJob(fmt.Sprintf("%016x", i), 3, 6*time.Second)))
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		d.daemons["edge-0-0"].Stop(ctx)
		for i, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
			require.Equal(t, 3, d.observer.startsOf(fmt.Sprintf("%016x", i)), "starts of job %d", i)
		}
	})
}

// Guards against closing a connection without an answer: a job arrives on an open connection after the last one has
// been answered, while the process ends.
func TestJobDuringShutdownIsAnswered(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		d.daemons["edge-0-0"].Stop(ctx)
		answer := d.submit("edge-0-0", testJob("00000000000000aa", 2, 6*time.Second))
		time.Sleep(time.Millisecond)
		d.daemons["edge-0-0"].Finish(ctx)
		time.Sleep(time.Millisecond)
		select {
		case a := <-answer:
			require.Equal(t, batch.Completed, a.Outcome)
		default:
			t.Fatal("the process would have ended without an answer")
		}
	})
}

// Guards against a start that got no reply and is executed late, beside the run that has replaced it.
func TestLateStartCallsStartNoTask(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 300 * time.Millisecond} }
		d.hosts["worker-0-0"].SetDelay(2 * time.Second)
		var answers []<-chan batch.Answer
		for i := range 4 {
			answers = append(answers, d.submit("edge-0-0", testJob(fmt.Sprintf("%016x", i), 2, 6*time.Second)))
		}
		time.Sleep(time.Second)
		d.hosts["worker-0-0"].SetDelay(0)
		for _, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a second run beside one whose start was executed but got no reply.
func TestLostRepliesStartNoTaskTwice(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 300 * time.Millisecond} }
		for _, h := range d.hosts {
			h.SetLosingReplies(true)
		}
		answer := d.submit("edge-0-0", testJob("00000000000000aa", 6, 6*time.Second))
		require.Equal(t, batch.Completed, (<-answer).Outcome)
		require.Equal(t, 6, d.observer.startsOf("00000000000000aa"))
	})
}

// Guards against an order that is delivered after its home has declared the run lost: it must not start beside the run
// that replaces it.
func TestDelayedOrdersStartNoTask(t *testing.T) {
	for name, delayed := range map[string]func(from, to string) bool{
		"to one owner": func(from, to string) bool { return from == "edge-0-0" && to == "edge-0-1" },
		"to all":       func(from, _ string) bool { return from == "edge-0-0" },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := newDeployment(t, 1, 3, 6)
				defer d.close()
				d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 700 * time.Millisecond} }
				for i := range 8 {
					d.net.setDelayed(delayed)
					answer := d.submitUntilAnswered("edge-0-0", testJob(fmt.Sprintf("%016x", i), 10, 8*time.Second))
					time.Sleep(1600*time.Millisecond + time.Duration(i)*100*time.Millisecond)
					d.net.setDelayed(nil)
					require.Equal(t, batch.Completed, (<-answer).Outcome)
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// Guards against a slow restart after all machines have lost power: the balancer checks once a second, so a process
// must be ready before it owns workers, and jobs that arrive then must wait for owners.
func TestReadyBeforeWorkersAreOwned(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 4)
		defer d.close()
		for z := range 2 {
			for i := range 2 {
				d.killDaemon(fmt.Sprintf("edge-%d-%d", z, i))
			}
		}
		time.Sleep(time.Second)
		for z := range 2 {
			for i := range 2 {
				d.startDaemon(zoneName(z), fmt.Sprintf("edge-%d-%d", z, i))
			}
		}
		time.Sleep(100 * time.Millisecond)
		var answers []<-chan batch.Answer
		for vm, daemon := range d.daemons {
			require.True(t, daemon.Ready(), vm)
			answers = append(answers, d.submit(vm, testJob("0000000000000"+vm[5:6]+vm[7:8]+"0", 2, 2*time.Second)))
		}
		for _, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
		}
	})
}

// Guards against workers that get no tasks for long after a single lost reply, so that callers would wait for seconds.
// The load is two thirds of the capacity. Every twelfth call to a worker gets no reply, and a start among them is
// executed seconds later.
func TestUnansweredCallsCostLittleCapacity(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 8)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 150 * time.Millisecond} }
		for _, h := range d.hosts {
			h.SetDelayEveryNth(12, 4*time.Second)
		}
		const jobs = 150
		took := make(chan time.Duration, jobs)
		for i := range jobs {
			vm := fmt.Sprintf("edge-0-%d", i%2)
			d.wg.Go(func() {
				start := time.Now()
				answer := d.daemons[vm].Submit(context.Background(), testJob(fmt.Sprintf("%016x", i), 2, 4*time.Second))
				if answer.Outcome == batch.Completed {
					took <- time.Since(start)
				}
			})
			time.Sleep(28 * time.Millisecond)
		}
		d.wg.Wait()
		close(took)
		inTime := 0
		for x := range took {
			if x < time.Second {
				inTime++
			}
		}
		require.Greater(t, inTime, jobs*9/10, "jobs that ended within a second")
	})
}

// Guards against jobs that wait for a crashed worker, and against runs of its previous incarnation that are treated as
// alive.
func TestCrashedWorkerIsReplaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 500 * time.Millisecond} }
		answer := d.submit("edge-0-0", testJob("00000000000000aa", 8, 6*time.Second))
		time.Sleep(100 * time.Millisecond)
		d.hosts["worker-0-1"].Crash()
		require.Equal(t, batch.Completed, (<-answer).Outcome)
		d.hosts["worker-0-1"].Restart()
	})
}

// topTokenPoll lists the runs of a worker. Its token is higher than that of any owner, so no owner is accepted
// afterwards.
var topTokenPoll = link.HostPoll{Token: 1 << 62}

// Guards against capacity that is lost or gained when a worker changes its owner while tasks run: the new owner learns
// the size of a run only when its home claims it.
func TestCapacityIsExactAfterTakeover(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 4)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		// The first tasks are larger, so that the typical size differs from that of the tasks that change their owner.
		large := testJob("00000000000000aa", 8, 5*time.Second)
		large.Steps[0].Need.CPUMillis = taskCPU + 4000
		require.Equal(t, batch.Completed, (<-d.submit("edge-0-0", large)).Outcome)
		small := d.submit("edge-0-0", testJob("00000000000000bb", 8, 8*time.Second))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), testGrace)
		defer cancel()
		d.daemons["edge-0-2"].Stop(ctx)
		require.Equal(t, batch.Completed, (<-small).Outcome)
		time.Sleep(2 * time.Second)
		for _, daemon := range d.daemons {
			require.Equal(t, map[string]int{}, daemon.pool(testBackend).ReservedCPU(), "CPU reserved on idle workers")
		}
	})
}

// Guards against accepting messages to a previous process of a VM as recent: the runs that they refresh would never be
// treated as abandoned by their home.
func TestTimestampOfPreviousProcessIsIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		defer d.close()
		now := time.Now()
		timestamp := d.daemons["edge-0-0"].timestamp(now)
		require.WithinDuration(t, now, d.daemons["edge-0-0"].sentAt(timestamp), time.Millisecond)
		d.killDaemon("edge-0-0")
		daemon := d.startDaemon(zoneName(0), "edge-0-0")
		require.Zero(t, daemon.sentAt(timestamp))
		require.Zero(t, daemon.sentAt(0))
	})
}
