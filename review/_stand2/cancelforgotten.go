package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Times of the case cancel-forgotten.
const (
	// killAfter is the time from the acks of the cancels to the end of all daemons, allDown that until they are started again, as with
	// closing kill_all in the first site file.
	killAfter = 2 * time.Second
	allDown   = 1400 * time.Millisecond
	// contactTime is contact_ms: a machine is in touch so long after its start.
	contactTime = 3 * time.Second
	// senderLimit is the time for which a client sends a job again that got no result.
	senderLimit = 25 * time.Second
)

// cancelForgotten cancels jobs, and then ends all daemons at once. The clients that wait for the jobs send them again, as the pages
// say, after 504 and after broken channels.
func cancelForgotten(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRig(r, program, 3, machine.Resources{CPUMillis: 1000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return stepTime })
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	var jobs []*cancelledJob
	var clients sync.WaitGroup
	for n, d := range g.daemons {
		j := &cancelledJob{id: newID(), home: d}
		jobs = append(jobs, j)
		clients.Go(func() { g.sendUntilAnswered(j) })
		clients.Go(func() {
			time.Sleep(cancelAfter)
			at := g.daemons[(n+1)%len(g.daemons)]
			g.printf("client cancels job %s at %s", j.id, at.vm)
			a := g.call(at, http.MethodDelete, j.id, nil, jobLimit)
			g.printf("answer to the cancel of job %s by %s: %s", j.id, at.vm, a)
			j.mu.Lock()
			j.ack = a
			j.mu.Unlock()
		})
	}
	time.Sleep(cancelAfter + killAfter)
	restarted := time.Now()
	if trouble {
		if restarted, err = g.restartAll(); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return g.checkForgotten(jobs, restarted.Add(contactTime))
}

// restartAll kills all daemons at once and starts them again. It returns when the last one was started.
func (g *rig) restartAll() (time.Time, error) {
	g.printf("all daemons are killed for %v", allDown)
	for _, d := range g.daemons {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(allDown)
	for _, d := range g.daemons {
		if err := g.start(d); err != nil {
			return time.Time{}, err
		}
	}
	g.printf("all daemons have been started again")
	return time.Now(), nil
}

// sendUntilAnswered sends a job again 1.3 s after no response, a broken channel, 502 or 504, to any daemon.
func (g *rig) sendUntilAnswered(j *cancelledJob) {
	body := chain(j.id)
	begin := time.Now()
	for d := j.home; time.Since(begin) < senderLimit; d = g.daemons[rand.IntN(len(g.daemons))] {
		g.printf("client sends job %s to %s", j.id, d.vm)
		a := g.call(d, http.MethodPost, j.id, body, senderLimit-time.Since(begin))
		g.printf("answer to job %s by %s: %s", j.id, d.vm, a)
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendAfter)
	}
}

// checkForgotten looks for tasks that were started later than cancelTime after the ack of the cancel of their job, at a time at which
// all machines were in touch.
func (g *rig) checkForgotten(jobs []*cancelledJob, inTouch time.Time) (broken bool, err error) {
	acknowledged := 0
	for _, j := range jobs {
		j.mu.Lock()
		ack := j.ack
		j.mu.Unlock()
		if ack.err != nil || (ack.status != http.StatusOK && ack.status != http.StatusGone) {
			continue
		}
		acknowledged++
		for _, run := range g.runs() {
			late := run.at.Sub(ack.at)
			if run.key.Batch != j.id || late <= cancelTime || !run.at.After(inTouch) {
				continue
			}
			broken = true
			g.printf("UNASKED: %s started %s on the order of %s, %v after the cancel of its job was acknowledged", run.worker, run.key, run.caller, late)
		}
	}
	g.printf("%d of %d cancels were acknowledged", acknowledged, len(jobs))
	if len(g.runs()) == 0 {
		return false, errors.New("no task was started")
	}
	return broken, nil
}
