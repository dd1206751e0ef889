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
	"github.com/cicadadale/cicadadale/standin"
)

// Times of the case late-zone.
const (
	// lateOrders is the time in which one in lateShare starts at each worker of the zone gets no answer and is carried out later, as
	// applied_late with x = 0.055 in the first site file.
	lateOrders = 5500 * time.Millisecond
	lateShare  = 19
	// zoneDown is the time for which the zone is without power.
	zoneDown = 1700 * time.Millisecond
	// carriedOut is the time from the loss of the zone to that at which the late orders are carried out: 2 to 7.5 s after they were
	// sent, of 2 to 12 s on the pages.
	carriedOut = 2 * time.Second
	// submitEvery is the time between two jobs of two tasks: 95 tasks a second, as the traffic of this zone in the first site file.
	submitEvery = 21 * time.Millisecond
	// longTask is the run time of a task.
	longTask = 3 * time.Second
	// lateLimit is the time limit of the jobs.
	lateLimit = 12 * time.Second
)

// lateZoneJob is a job with the daemon to which it is sent first.
type lateZoneJob struct {
	id   string
	home *daemon
}

// lateZone takes the power from a zone, its daemons and its workers, while some of the orders to these are carried out late.
func lateZone(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRig(r, program, 6, machine.Resources{CPUMillis: 1000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return longTask })
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	const zone = "cork-a"
	var daemons []*daemon
	for _, d := range g.daemons {
		if d.zone == zone {
			daemons = append(daemons, d)
		}
	}
	var workers []*worker
	for _, w := range g.workers {
		if w.zone == zone {
			workers = append(workers, w)
		}
	}
	var clients sync.WaitGroup
	stopSending := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopSending:
				return
			case <-time.After(submitEvery):
			}
			j := &lateZoneJob{id: newID(), home: daemons[n%len(daemons)]}
			clients.Go(func() { g.sendLate(j) })
		}
	})
	if trouble {
		g.printf("one in %d starts at each worker of %s gets no answer and is carried out later", lateShare, zone)
		for _, w := range workers {
			w.host.SetHoldingStarts(lateShare)
		}
	}
	time.Sleep(lateOrders)
	close(stopSending)
	if trouble {
		g.loseZone(zone, daemons, workers)
	}
	clients.Wait()
	return g.checkTwice()
}

// loseZone takes the power from the daemons and workers of a zone for zoneDown. Then the late orders are carried out.
func (g *rig) loseZone(zone string, daemons []*daemon, workers []*worker) {
	g.printf("%s loses power for %v: %d daemons, %d workers", zone, zoneDown, len(daemons), len(workers))
	lost := time.Now()
	for _, d := range daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, w := range workers {
		w.relay.StopListening()
		w.host.SetHoldingStarts(0)
		w.host.Crash()
	}
	time.Sleep(zoneDown)
	for _, w := range workers {
		w.host.Restart()
		if err := w.relay.Listen(); err != nil {
			g.printf("%s: %v", w.id, err)
		}
	}
	g.printf("the workers of %s are back", zone)
	go func() {
		for _, d := range daemons {
			if err := g.start(d); err != nil {
				g.printf("%s: %v", d.vm, err)
			}
		}
		g.printf("the daemons of %s are back", zone)
	}()
	time.Sleep(time.Until(lost.Add(carriedOut)))
	for _, w := range workers {
		if n := w.host.DeliverHeld(); n > 0 {
			g.printf("%s carries out %d starts late", w.id, n)
		}
	}
}

// sendLate sends a job, and again to any daemon 1.3 s after no response, a broken channel, 502 or 504.
func (g *rig) sendLate(j *lateZoneJob) {
	body := standin.JobDocument(j.id, 2, g.need, int(longTask.Milliseconds()))
	begin := time.Now()
	for d := j.home; time.Since(begin) < lateLimit; d = g.daemons[rand.IntN(len(g.daemons))] {
		g.printf("client sends job %s to %s", j.id, d.vm)
		a := g.call(d, http.MethodPost, j.id, body, lateLimit-time.Since(begin))
		g.printf("answer to job %s by %s: %s", j.id, d.vm, a)
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendAfter)
	}
}

// checkTwice looks for two runs of a task at the same time.
func (g *rig) checkTwice() (broken bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, a := range g.started {
		for _, b := range g.started[i+1:] {
			if a.key.Task() != b.key.Task() || (!a.ended.IsZero() && !b.at.Before(a.ended)) {
				continue
			}
			broken = true
			g.printf("TWICE: %s on %s on the order of %s, and %s on %s on the order of %s, begun %v later", a.key, a.worker, a.caller,
				b.key, b.worker, b.caller, b.at.Sub(a.at))
		}
	}
	if len(g.started) == 0 {
		return false, errors.New("no task was started")
	}
	return broken, nil
}
