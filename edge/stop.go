package edge

import (
	"context"
	"time"
)

// Stop ends the daemon gracefully: it releases its workers, finishes the jobs that it has accepted, and leaves.
func (d *Daemon) Stop(ctx context.Context) {
	d.mu.Lock()
	d.stopping, d.stoppingSince = true, d.o.Now()
	end := d.answerBy()
	d.mu.Unlock()
	d.members.SetLeaving()
	d.home.LimitDeadlines(end)
	d.o.Logger.Info("stopping", "jobs", d.home.Active())
	d.sendStatus(d.o.Now())
	d.assignWorkers()
	d.spawn(func() {
		if err := d.o.Store.RemoveMember(ctx, d.o.Self.VM); err != nil {
			d.o.Logger.Warn("store did not confirm the removal of this member; it may stay listed", "error", err)
		}
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	idleTicks, since := 0, d.o.Now()
	for idleTicks < stopIdleTicks || d.o.Now().Sub(since) < balancerDelay {
		select {
		case <-ticker.C:
			idleTicks++
			if d.home.Active() > 0 {
				idleTicks = 0
			}
		case <-ctx.Done():
			d.o.Logger.Warn("stop timed out with unanswered jobs", "jobs", d.home.Active())
			return
		}
	}
	d.o.Logger.Info("stopped; all jobs answered")
}

// Finish waits until all accepted jobs are answered, and refuses all others. It is called once no new connections are
// accepted, since a client may send a request on an open connection until the process ends.
func (d *Daemon) Finish(ctx context.Context) {
	d.home.RefuseNew()
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for d.home.Active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.o.Logger.Warn("process ends with unanswered jobs", "jobs", d.home.Active())
			return
		}
	}
}

const (
	// finishInterval is the time between checks for unanswered jobs at the end of a process.
	finishInterval = 5 * time.Millisecond
	// stopIdleTicks is the number of ticks without a job after which a stopping process ends.
	stopIdleTicks = 6
	// balancerDelay is how long the balancer keeps sending new connections to a process that is no longer ready: it needs
	// two failed checks, one a second.
	balancerDelay = 2300 * time.Millisecond
)
