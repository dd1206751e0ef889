package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Times of the case cancel-dropped.
const (
	// configTime and ackTime are config_ms and ack_ms.
	configTime = 2 * time.Second
	ackTime    = 4 * time.Second
	// dropAfter is the time from the submissions to the change, cancelLater that from the change to the cancels.
	dropAfter   = time.Second
	cancelLater = configTime + time.Second
	// cancelAgain is the pause after which a cancel without an ack is sent again.
	cancelAgain = time.Second
	manySteps   = 45
	droppedTime = 25 * time.Second
)

// droppedJob is a job whose queue is removed. mu guards the fields below it.
type droppedJob struct {
	id   string
	home *daemon

	mu sync.Mutex
	// cancelSent is when its cancel was first sent, acknowledged when it was answered 2xx or 410; zero if it never was.
	cancelSent   time.Time
	acknowledged time.Time
}

// cancelDropped cancels jobs whose queue the operator has removed while they run.
func cancelDropped(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRig(r, program, 3, machine.Resources{CPUMillis: 1000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return stepTime })
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	var jobs []*droppedJob
	var clients sync.WaitGroup
	for _, d := range g.daemons {
		j := &droppedJob{id: newID(), home: d}
		jobs = append(jobs, j)
		clients.Go(func() {
			g.printf("client sends job %s to %s", j.id, j.home.vm)
			a := g.call(j.home, http.MethodPost, j.id, chainOf(j.id, manySteps), droppedTime)
			g.printf("answer to job %s by %s: %s", j.id, j.home.vm, a)
		})
	}
	time.Sleep(dropAfter)
	if trouble {
		g.store.Put("keyed.op", "config", desired(2, "other", "/other/", true))
		g.printf("the store acknowledges a desired state without the queue of the jobs")
	}
	time.Sleep(cancelLater)
	for n, j := range jobs {
		clients.Go(func() { g.cancelUntilAcknowledged(j, g.daemons[(n+1)%len(g.daemons)]) })
	}
	clients.Wait()
	return g.checkDropped(jobs)
}

// cancelUntilAcknowledged sends the cancel of a job again until it is answered 2xx or 410, for ackTime and cancelTime at most.
func (g *rig) cancelUntilAcknowledged(j *droppedJob, d *daemon) {
	j.mu.Lock()
	j.cancelSent = time.Now()
	j.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < ackTime+cancelTime; time.Sleep(cancelAgain) {
		g.printf("client cancels job %s at %s", j.id, d.vm)
		a := g.call(d, http.MethodDelete, j.id, nil, cancelTime)
		g.printf("answer to the cancel of job %s by %s: %s", j.id, d.vm, a)
		if a.err == nil && (a.status/100 == 2 || a.status == http.StatusGone) {
			j.mu.Lock()
			j.acknowledged = a.at
			j.mu.Unlock()
			return
		}
	}
}

// checkDropped looks for tasks that were started later than cancelTime after the ack of the cancel of their job, or after it had waited
// ackTime for its ack.
func (g *rig) checkDropped(jobs []*droppedJob) (broken bool, err error) {
	for _, j := range jobs {
		j.mu.Lock()
		from, acknowledged := j.acknowledged, true
		if from.IsZero() {
			from, acknowledged = j.cancelSent.Add(ackTime), false
		}
		j.mu.Unlock()
		g.printf("cancel of job %s: acknowledged %v", j.id, acknowledged)
		for _, run := range g.runs() {
			late := run.at.Sub(from)
			if run.key.Batch != j.id || late <= cancelTime {
				continue
			}
			broken = true
			g.printf("UNASKED: %s started %s on the order of %s, %v after the cancel of its job was acknowledged or had waited %v", run.worker,
				run.key, run.caller, late, ackTime)
		}
	}
	if len(g.runs()) == 0 {
		return false, errors.New("no task was started")
	}
	return broken, nil
}
