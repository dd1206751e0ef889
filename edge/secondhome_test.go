package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// secondHomeJob is the job of the tests below.
const secondHomeJob = "0123456789abcdef"

// withSecondHome runs a test in a deployment whose runs take that long.
func withSecondHome(t *testing.T, zones, daemons int, run time.Duration, f func(t *testing.T, d *deployment)) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, zones, daemons, 3)
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: run} }
		f(t, d)
		d.close()
	})
}

// Guards against a member that has not heard of a job since its home has no reason to exchange statuses with it.
func TestAllMembersOfLargeDeploymentsLearnOfHeldJobs(t *testing.T) {
	withSecondHome(t, 3, 18, 8*time.Second, func(t *testing.T, d *deployment) {
		for i := range 6 {
			d.submit("edge-0-0", testJob(fmt.Sprintf("0123456789abcde%d", i), 1, 12*time.Second))
		}
		time.Sleep(500*time.Millisecond + resendDelay)
		for i := range 6 {
			d.submit(fmt.Sprintf("edge-1-%d", i), testJob(fmt.Sprintf("0123456789abcde%d", i), 1, 12*time.Second))
		}
		time.Sleep(2 * time.Second)
	})
}

// Guards against a restarted member that has never heard the home of a job, and asks no other member for its jobs.
func TestRestartedMemberCutOffFromHomeLearnsOfHeldJobs(t *testing.T) {
	withSecondHome(t, 2, 2, 8*time.Second, func(t *testing.T, d *deployment) {
		d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(500 * time.Millisecond)
		d.net.setCut(betweenMembers(func(from, to string) bool { return from == "edge-0-0" && to == "edge-1-0" }))
		time.Sleep(400 * time.Millisecond)
		d.killDaemon("edge-1-0")
		time.Sleep(200 * time.Millisecond)
		d.startDaemon(zoneName(1), "edge-1-0")
		time.Sleep(resendDelay - 600*time.Millisecond)
		d.submit("edge-1-0", testJob(secondHomeJob, 4, 14*time.Second))
		time.Sleep(3 * time.Second)
	})
}

// Guards against a home that counts itself as a majority once the members that it is cut off from have been replaced.
func TestReplacedMemberStaysInTheElectorate(t *testing.T) {
	for _, killAt := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
		withSecondHome(t, 2, 1, 8*time.Second, func(t *testing.T, d *deployment) {
			d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
			time.Sleep(600 * time.Millisecond)
			d.net.setCut(betweenMembers(func(string, string) bool { return true }))
			time.Sleep(killAt)
			d.killDaemon("edge-1-0")
			time.Sleep(200 * time.Millisecond)
			d.startDaemon(zoneName(1), "edge-1-0")
			time.Sleep(resendDelay - 200*time.Millisecond)
			d.submit("edge-1-0", testJob(secondHomeJob, 4, 14*time.Second))
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against a stopping member that counts itself as part of half of the members, while homes no longer count it.
func TestStoppingMemberDoesNotCountItself(t *testing.T) {
	withSecondHome(t, 2, 2, 8*time.Second, func(t *testing.T, d *deployment) {
		d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		next := d.daemons["edge-1-0"]
		d.wg.Go(func() { next.Stop(ctx) })
		time.Sleep(300 * time.Millisecond)
		side := func(vm string) bool { return vm == "edge-1-0" || vm == "edge-1-1" }
		d.net.setCut(betweenMembers(func(from, to string) bool { return side(from) != side(to) }))
		time.Sleep(resendDelay)
		d.submit("edge-1-0", testJob(secondHomeJob, 4, 14*time.Second))
		time.Sleep(6 * time.Second)
	})
}

// Guards against a home that goes on alone after a member has left, and does not count the process that has replaced it.
func TestSuccessorOfStoppedMemberStaysInTheElectorate(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		withSecondHome(t, 2, 1, 12*time.Second, func(t *testing.T, d *deployment) {
			d.submit("edge-0-0", testJob(secondHomeJob, 4, 16*time.Second))
			time.Sleep(600 * time.Millisecond)
			stopDaemon(d, "edge-1-0")
			d.net.setCut(betweenMembers(func(string, string) bool { return true }))
			time.Sleep(gap)
			d.startDaemon(zoneName(1), "edge-1-0")
			time.Sleep(resendDelay)
			d.submit("edge-1-0", testJob(secondHomeJob, 4, 14*time.Second))
			time.Sleep(4 * time.Second)
		})
	}
}

// Guards against jobs that end since a member was replaced as planned: the next process on its VM has acknowledged nothing yet.
func TestPlannedReplacementEndsNoJob(t *testing.T) {
	for _, gap := range []time.Duration{0, 50, 300, 750, 1000, 2000} {
		withSecondHome(t, 2, 1, 8*time.Second, func(t *testing.T, d *deployment) {
			answer := d.submit("edge-0-0", testJob(secondHomeJob, 1, 20*time.Second))
			time.Sleep(time.Second)
			stopDaemon(d, "edge-1-0")
			time.Sleep(gap * time.Millisecond)
			d.startDaemon(zoneName(1), "edge-1-0")
			assert.Equal(t, batch.Completed, (<-answer).Outcome, "replaced after %d ms", gap)
		})
	}
}

// stopDaemon ends a daemon as planned.
func stopDaemon(d *deployment, vm string) {
	ctx, cancel := context.WithTimeout(context.Background(), testGrace)
	defer cancel()
	d.daemons[vm].Stop(ctx)
	d.killDaemon(vm)
}

// Guards against a second run of a job that a home has completed with which the next home has no contact: the other members
// pass neither the request nor the answer on.
func TestResultIsReleasedThroughOtherMembers(t *testing.T) {
	withSecondHome(t, 2, 2, time.Second, func(t *testing.T, d *deployment) {
		d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(1500 * time.Millisecond)
		d.net.setCut(betweenMembers(func(from, to string) bool { return from == "edge-0-0" && to == "edge-1-0" }))
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		next := d.submit("edge-1-0", testJob(secondHomeJob, 4, 12*time.Second))
		assert.Equal(t, batch.Completed, (<-next).Outcome)
		assert.Equal(t, 4, d.observer.startsOf(secondHomeJob))
		assert.Less(t, time.Since(start), 500*time.Millisecond, "no longer than two requests and their way")
	})
}

// Guards against a job that its earlier home does not release, since the request echoes the last timestamp that the next home
// had of it, from before the job was accepted.
func TestRequestThroughOtherMembersIsDatedByThem(t *testing.T) {
	withSecondHome(t, 2, 2, 8*time.Second, func(t *testing.T, d *deployment) {
		d.net.setCut(betweenMembers(func(from, to string) bool { return from == "edge-0-0" && to == "edge-1-0" }))
		time.Sleep(2 * time.Second)
		d.submit("edge-0-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(500*time.Millisecond + resendDelay)
		d.submit("edge-1-0", testJob(secondHomeJob, 4, 12*time.Second))
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, 8, d.observer.startsOf(secondHomeJob), "before the members learn that two of them have the job")
	})
}

// Guards against a job of a live caller that a delayed request ends, and against two homes that wait for each other for ever.
func TestCallerThatReturnsToItsFirstHomeIsServed(t *testing.T) {
	for _, heal := range []time.Duration{-time.Second, -300 * time.Millisecond, 0, 100 * time.Millisecond, time.Second} {
		withSecondHome(t, 2, 2, 3*time.Second, func(t *testing.T, d *deployment) {
			twoSteps := func() contract.Batch {
				b := testJob(secondHomeJob, 1, 14*time.Second)
				second := b.Steps[0]
				second.DependsOn = []int{0}
				b.Steps = append(b.Steps, second)
				return b
			}
			d.submit("edge-0-0", twoSteps())
			time.Sleep(500*time.Millisecond + resendDelay - 20*time.Millisecond)
			d.net.setCut(betweenMembers(func(from, _ string) bool { return from == "edge-1-0" }))
			time.Sleep(20 * time.Millisecond)
			<-d.submit("edge-1-0", twoSteps())
			time.Sleep(resendDelay + min(heal, 0))
			if heal < 0 {
				d.net.setCut(noCut)
				time.Sleep(-heal)
			}
			back := d.submit("edge-0-0", twoSteps())
			if heal >= 0 {
				time.Sleep(heal)
				d.net.setCut(noCut)
			}
			assert.Equal(t, batch.Completed, (<-back).Outcome, "cut healed %v after the return", heal)
			time.Sleep(30 * time.Second)
			require.Zero(t, d.daemons["edge-0-0"].home.Active()+d.daemons["edge-1-0"].home.Active(), "jobs that never end")
		})
	}
}

// Guards against a job of a live caller that a request ends which was delayed on its way to the member that passes it on.
func TestDelayedRequestThatIsPassedOnEndsNoJob(t *testing.T) {
	withSecondHome(t, 2, 2, 6*time.Second, func(t *testing.T, d *deployment) {
		d.submit("edge-0-0", testJob(secondHomeJob, 1, 14*time.Second))
		time.Sleep(500*time.Millisecond + resendDelay - 20*time.Millisecond)
		d.net.setCut(betweenMembers(func(from, to string) bool { return from == "edge-1-0" && to == "edge-0-0" }))
		d.net.setDelayed(func(from, to string) bool { return from == "edge-1-0" && isMember(to) })
		time.Sleep(20 * time.Millisecond)
		d.submit("edge-1-0", testJob(secondHomeJob, 1, 14*time.Second))
		time.Sleep(resendDelay)
		back := d.submit("edge-0-0", testJob(secondHomeJob, 1, 14*time.Second))
		time.Sleep(900 * time.Millisecond)
		d.net.setDelayed(nil)
		assert.Equal(t, batch.Completed, (<-back).Outcome)
	})
}
