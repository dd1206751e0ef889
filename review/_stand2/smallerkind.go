package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Times and figures of the case smaller-kind.
const (
	// darkTime is the time for which a worker is down without a sign, as srv_crash with how: dark in the first site file.
	darkTime = 3200 * time.Millisecond
	// sendAfter is the time from the crash to the jobs.
	sendAfter    = 50 * time.Millisecond
	sizedJobs    = 6
	tasksOfEach  = 3
	sizedLimit   = 12 * time.Second
	sizedTask    = 1500 * time.Millisecond
	afterRestart = 5 * time.Second
)

// sizedNeed is the size of a task, the mean of the first site: three fit a worker of the large kind, two one of the small kind.
var sizedNeed = machine.Resources{CPUMillis: 27000, MemoryMB: 64}

// smallerKind crashes a worker that does not guard its capacity, which comes back as one of a smaller kind.
func smallerKind(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRigOf(r, program, 3, sizedNeed, func(contract.RunKey) time.Duration { return sizedTask }, largeKind, true)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	d := g.daemon("edge-kerry-1")
	var crashed *worker
	for _, w := range g.workers {
		if w.zone == d.zone {
			crashed = w
			break
		}
	}
	if trouble {
		g.printf("%s crashes without a sign", crashed.id)
		crashed.setSilent(true)
		crashed.host.Crash()
	}
	time.Sleep(sendAfter)
	var clients sync.WaitGroup
	for range sizedJobs {
		clients.Go(func() {
			id := newID()
			g.printf("client sends job %s to %s", id, d.vm)
			body := standin.JobDocument(id, tasksOfEach, sizedNeed, int(sizedTask.Milliseconds()))
			a := g.call(d, http.MethodPost, id, body, sizedLimit)
			g.printf("answer to job %s by %s: %s", id, d.vm, a)
		})
	}
	if trouble {
		time.Sleep(darkTime - sendAfter)
		g.restartAs(crashed, smallKind)
	}
	time.Sleep(afterRestart)
	clients.Wait()
	return g.checkLimits()
}

func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// restartAs starts a new life of a crashed worker, of another kind, and writes its first report.
func (g *rig) restartAs(w *worker, kind machine.Resources) {
	w.mu.Lock()
	w.capacity, w.silent = kind, false
	w.mu.Unlock()
	w.host.SetCapacity(kind)
	w.host.Restart()
	g.putEntry(w, 1)
	g.printf("%s is back under its id, with %d thousandths of a core", w.id, kind.CPUMillis)
}

// checkLimits looks for workers that were brought over their capacity.
func (g *rig) checkLimits() (broken bool, err error) {
	for _, w := range g.workers {
		if n := w.host.Overfilled(); n > 0 {
			broken = true
			g.printf("LIMIT: %d starts have brought %s over its capacity", n, w.id)
		}
	}
	if len(g.runs()) == 0 {
		return false, errors.New("no task was started")
	}
	return broken, nil
}
