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

// overlaps plays the case, in which the caller submits the job to another member 1.3 s after the break, and returns the tasks that had
// two runs at the same time.
func (c lateNotice) overlaps(t *testing.T) []string {
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
			for time.Sleep(lateNoticeTurn); time.Now().Before(channel.at.Add(resendDelay)); time.Sleep(lateNoticeTurn) {
				resume := o.suspend(lateNoticeHome)
				time.Sleep(c.gap)
				resume()
			}
		})
	}
	at(resendDelay)
	d.submit("edge-1-0", testJob(secondHomeJob, lateNoticeTasks, 12*time.Second))
	time.Sleep(3 * time.Second)
	require.GreaterOrEqual(t, d.observer.startsOf(secondHomeJob), 2*lateNoticeTasks, "runs at both homes in %+v", c)
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	return d.observer.overlaps
}

// Guards against two runs of a task at two homes, the first of which has gone on extending its runs after the kernel had seen the
// channel of the caller break, since the goroutine that reads the connection had not run yet.
func TestLateNoticeOfLostCallerGetsNoSecondRun(t *testing.T) {
	const ms = time.Millisecond
	played, broken, example := 0, 0, ""
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
						if overlaps := c.overlaps(t); len(overlaps) > 0 {
							broken++
							brokenByGap[gap]++
							example = fmt.Sprintf("%+v: %s", c, overlaps[0])
						}
					})
				}
			}
		}
	}
	require.Zerof(t, broken, "of %d deployments had two runs of a task at the same time, by gap %v; %s", played, brokenByGap, example)
}
