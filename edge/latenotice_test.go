package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	lateNoticeHome = "edge-0-0"
	// lateNoticeWorkers is the number of workers of each of the two failure domains, each of which has room for the job.
	lateNoticeWorkers = 6
	lateNoticeTasks   = 2 * lateNoticeWorkers
	// lateNoticeTurn is the time for which a slow home runs between two gaps.
	lateNoticeTurn = 20 * time.Millisecond
	// lateStopTimeout is the time limit of a stop that is made late.
	lateStopTimeout = 300 * time.Millisecond
)

// awaitStop returns when an owner makes a call to stop a run, which it does late by stopDelay. The time limit of the call begins then.
func (d *deployment) awaitStop(ctx context.Context) (context.Context, context.CancelFunc) {
	delay := time.Duration(d.stopDelay.Load())
	if delay == 0 {
		return ctx, func() {}
	}
	time.Sleep(delay)
	return context.WithTimeout(context.WithoutCancel(ctx), lateStopTimeout)
}

// lateNotice is a home that is slow to end a job whose caller's channel has broken. No delay counts as a pause of the process.
type lateNotice struct {
	// breakAfter is the time from the acceptance of the job to the break, which the kernel of the home knows of at once.
	breakAfter time.Duration
	// gap is the time between the turns of the home, notice the time from the break until the reader of the connection runs, withdrawal
	// the time for which messages of the home are held up from then on, stop the time until an owner makes a call to stop a run.
	gap, notice, withdrawal, stop time.Duration
}

// brokenChannel is the caller of a job whose channel breaks at a time.
type brokenChannel struct{ at time.Time }

// Gone implements batch.Caller.
func (c brokenChannel) Gone() bool { return !time.Now().Before(c.at) }

// slowDown lets the processes of a VM run only for lateNoticeTurn after each gap, until a time. What they have sent arrives meanwhile.
func (c *overlap) slowDown(vm string, gap time.Duration, until time.Time) {
	for time.Now().Before(until) {
		resume := c.suspendHolding(vm, func(_, to string) bool { return to == vm })
		time.Sleep(gap)
		resume()
		time.Sleep(lateNoticeTurn)
	}
}

// overlaps plays the case, in which the caller submits the job to another member 1.3 s after the break, and returns the tasks that had
// two runs at the same time. atBoth is set if all tasks have had runs at both members.
func (c lateNotice) overlaps(t *testing.T) (overlaps []string, atBoth bool) {
	w := newWorkerNetwork(1, false)
	d := newDeploymentOver(w, t, 2, 2, lateNoticeWorkers)
	defer d.end()
	o := &overlap{chaos: newChaos(d), net: w, waiting: make(chan struct{}, 1)}
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 8 * time.Second} }
	d.stopDelay.Store(int64(c.stop))
	ctx, noticed := context.WithCancel(context.Background())
	channel, home := brokenChannel{time.Now().Add(c.breakAfter)}, d.daemons[lateNoticeHome]
	d.wg.Go(func() { home.SubmitFrom(ctx, channel, testJob(secondHomeJob, lateNoticeTasks, 12*time.Second)) })
	at := func(after time.Duration) { time.Sleep(time.Until(channel.at.Add(after))) }
	d.wg.Go(func() {
		at(c.notice)
		noticed()
		if c.withdrawal > 0 {
			o.delay(c.withdrawal, func(from, to string) bool { return from == lateNoticeHome && isMember(to) })
		}
	})
	if c.gap > 0 {
		d.wg.Go(func() {
			time.Sleep(lateNoticeTurn)
			o.slowDown(lateNoticeHome, c.gap, channel.at.Add(resendDelay))
		})
	}
	at(resendDelay)
	d.submit("edge-1-0", testJob(secondHomeJob, lateNoticeTasks, 12*time.Second))
	time.Sleep(3 * time.Second)
	atBoth = d.observer.startsOf(secondHomeJob) >= 2*lateNoticeTasks
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	return d.observer.overlaps, atBoth
}

// Guards against two runs of a task at two homes, the first of which has gone on extending its runs after the kernel had seen the
// channel of the caller break, since the goroutine that reads the connection had not run yet.
func TestLateNoticeOfLostCallerGetsNoSecondRun(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	played, atBoth, broken, example := 0, 0, 0, ""
	brokenByGap := make(map[time.Duration]int)
	for _, breakAfter := range []time.Duration{30 * ms, 80 * ms, 130 * ms, 180 * ms, 230 * ms} {
		for _, gap := range []time.Duration{0, 400 * ms, 700 * ms} {
			for _, notice := range []time.Duration{300 * ms, 400 * ms, 600 * ms, 900 * ms} {
				for _, late := range []struct{ withdrawal, stop time.Duration }{
					{300 * ms, 600 * ms}, {300 * ms, 900 * ms}, {600 * ms, 600 * ms}, {900 * ms, 300 * ms}, {900 * ms, 900 * ms},
				} {
					c := lateNotice{breakAfter, gap, notice, late.withdrawal, late.stop}
					inVirtualTime(t, func(t *testing.T) {
						played++
						overlaps, both := c.overlaps(t)
						if both {
							atBoth++
						}
						if len(overlaps) > 0 {
							broken++
							brokenByGap[gap]++
							example = fmt.Sprintf("%+v: %s", c, overlaps[0])
						}
					})
				}
			}
		}
	}
	require.Greater(t, atBoth, played*9/10, "deployments in which all tasks had runs at both homes")
	require.Zerof(t, broken, "of %d deployments had two runs of a task at the same time, by gap %v; %s", played, brokenByGap, example)
}

// Guards against two runs of a task at two homes, the first of which is so slow that it announces the job only after the caller, whose
// channel has broken without any sign, has submitted the job to the other.
func TestLateAnnouncementOfSlowHomeGetsNoSecondRun(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	played, broken, example := 0, make(map[time.Duration]int), ""
	for _, gap := range []time.Duration{180 * ms, 250 * ms, 350 * ms, 450 * ms, 550 * ms, 600 * ms, 650 * ms, 700 * ms} {
		for _, queued := range []time.Duration{0, 300 * ms} {
			for phase := time.Duration(0); phase < gap; phase += 50 * ms {
				inVirtualTime(t, func(t *testing.T) {
					played++
					if overlaps := overlapsOfSlowHome(t, gap, phase, queued); len(overlaps) > 0 {
						broken[gap]++
						example = fmt.Sprintf("gap %v, phase %v, queue %v: %s", gap, phase, queued, overlaps[0])
					}
				})
			}
		}
	}
	require.Emptyf(t, broken, "of %d deployments had two runs of a task at the same time, by gap; %s", played, example)
}

// overlapsOfSlowHome submits a job to a home that has been slow for a while, at a phase of its gaps, and again to another member 1.3 s after
// its acceptance. Messages of the home are queued for a time on their way to other members. It returns the tasks that had two runs at
// the same time.
func overlapsOfSlowHome(t *testing.T, gap, phase, queued time.Duration) []string {
	w := newWorkerNetwork(1, false)
	d := newDeploymentOver(w, t, 2, 2, lateNoticeWorkers)
	defer func() {
		d.end()
		d.net.setLatency(nil)
		// What is under way on the links arrives.
		time.Sleep(queued)
	}()
	o := &overlap{chaos: newChaos(d), net: w, waiting: make(chan struct{}, 1)}
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 6 * time.Second} }
	d.net.setLatency(func(from, to string) time.Duration {
		if from == lateNoticeHome && isMember(to) {
			return queued
		}
		return 0
	})
	start, home := time.Now(), d.daemons[lateNoticeHome]
	d.wg.Go(func() { o.slowDown(lateNoticeHome, gap, start.Add(5*time.Second)) })
	time.Sleep(2*time.Second + phase)
	accepted := make(chan time.Time, 1)
	d.wg.Go(func() {
		// The request waits until the process runs.
		job := testJob(secondHomeJob, lateNoticeTasks, 12*time.Second)
		job.Accepted = w.now(lateNoticeHome)()
		accepted <- job.Accepted
		home.Submit(context.Background(), job)
	})
	time.Sleep(time.Until((<-accepted).Add(resendDelay + 5*time.Millisecond)))
	d.submit("edge-1-0", testJob(secondHomeJob, lateNoticeTasks, 12*time.Second))
	time.Sleep(2 * time.Second)
	require.Positive(t, d.observer.startsOf(secondHomeJob))
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	return d.observer.overlaps
}
