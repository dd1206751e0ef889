package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// minPowerHold and maxPowerHold bound the time for which the workers of a failure domain hold starts before it loses its power.
	minPowerHold = 300 * time.Millisecond
	maxPowerHold = 1500 * time.Millisecond
	// maxHolds bounds the number of such times until a start is held: on a busy machine few tasks start.
	maxHolds = 8
	// maxHeldOneIn bounds the share of these starts: one in two to one in that many.
	maxHeldOneIn = 12
	// minPowerDown and maxPowerDown bound the time without power.
	minPowerDown = 400 * time.Millisecond
	maxPowerDown = 4 * time.Second
	// maxDaemonDelay bounds the time from the return of the workers to that of the daemons, minPowerLateness and maxPowerLateness the
	// time until the held starts are executed.
	maxDaemonDelay   = 500 * time.Millisecond
	minPowerLateness = 20 * time.Millisecond
	maxPowerLateness = 2 * time.Second
)

// loseDomainPower ends all daemons and workers of a failure domain at once while starts at these workers are under way, gives them the
// power back, and executes the starts then. A domain is spared if one of its daemons or workers is down, or runs a task that an earlier
// fault concerns.
func (s *Soak) loseDomainPower(rng *rand.Rand) string {
	if s.o.Domains < 2 {
		return ""
	}
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	domain, oneIn := domainName(rng.IntN(s.o.Domains)), 2+rng.IntN(maxHeldOneIn-1)
	hold, down := between(minPowerHold, maxPowerHold), between(minPowerDown, maxPowerDown)
	daemonDelay, lateness := between(0, maxDaemonDelay), between(minPowerLateness, maxPowerLateness)
	silent := rng.IntN(2) == 0
	workers, release := s.reserveDomain(domain)
	if workers == nil {
		return ""
	}
	defer release()
	fault, held := 0, 0
	for n := 0; n < maxHolds && held == 0; n++ {
		fault = s.holdStarts(workers, oneIn, time.Now().Add(hold+down+lateness+runMargin), hold)
		for _, w := range workers {
			held += len(w.host.Held())
		}
	}
	var runs []contract.RunKey
	for _, w := range workers {
		runs = append(runs, s.runs.runsOn(w.id)...)
	}
	if held == 0 || !s.late.claim(fault, runs) {
		for _, w := range workers {
			w.host.DiscardHeld()
		}
		return ""
	}
	executed := s.cutPower(domain, workers, silent, down, daemonDelay, lateness)
	return fmt.Sprintf("%s, %d of %d starts executed %v after its return", domain, executed, held, lateness)
}

// reserveDomain reserves all daemons and workers of a failure domain. It returns no workers if one of them is not free.
func (s *Soak) reserveDomain(domain string) (workers []*worker, release func()) {
	var reserved []func()
	release = func() {
		for _, f := range reserved {
			f()
		}
	}
	inside, _ := s.splitByDomain(domain)
	for _, d := range inside {
		if !d.reserve() {
			release()
			return nil, nil
		}
		reserved = append(reserved, d.release)
	}
	for _, w := range s.workers {
		if w.domain != domain {
			continue
		}
		if !w.crashing.TryLock() {
			release()
			return nil, nil
		}
		reserved = append(reserved, w.crashing.Unlock)
		workers = append(workers, w)
	}
	return workers, release
}

// holdStarts makes workers hold one in some starts for a time, and returns the number of the fault. Later runs of the tasks last until
// end.
func (s *Soak) holdStarts(workers []*worker, oneIn int, end time.Time, hold time.Duration) int {
	fault := s.late.beginHold()
	defer s.late.endHold()
	for _, w := range workers {
		w.host.NotifyHeld(func(key contract.RunKey) { s.late.add(key.Task(), fault, end) })
		w.host.SetHoldingStarts(oneIn)
	}
	time.Sleep(hold)
	for _, w := range workers {
		w.host.SetHoldingStarts(0)
	}
	return fault
}

// cutPower takes the power from a failure domain for a time, and executes the held starts some time after its return. It returns the
// number of those that have begun a run.
func (s *Soak) cutPower(domain string, workers []*worker, silent bool, down, daemonDelay, lateness time.Duration) int {
	inside, _ := s.splitByDomain(domain)
	var back sync.WaitGroup
	for _, d := range inside {
		back.Go(func() {
			d.terminate(syscall.SIGKILL, startTimeout)
			s.restart(d, down+daemonDelay)
		})
	}
	for _, w := range workers {
		back.Go(func() { s.restartWorker(w, silent, down) })
	}
	time.Sleep(down + lateness)
	executed := 0
	for _, w := range workers {
		executed += w.host.DeliverHeld()
	}
	back.Wait()
	for _, w := range workers {
		s.putEntry(w)
	}
	s.late.mu.Lock()
	defer s.late.mu.Unlock()
	s.late.executed += executed
	return executed
}
