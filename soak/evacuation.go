package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	// evacuationBound is the time after the write of an evacuation from which on no task may start in the failure domain.
	evacuationBound = 5 * time.Second
	// contactTime is how long the owner of a worker has to be without a fault that excuses it to be bound by that.
	contactTime = 4 * time.Second
)

// sparesOwners names the faults that do not excuse a start in an evacuated domain: all owners keep running and in contact with a
// member that reads the store, and no worker executes a start later than it was sent.
var sparesOwners = []string{
	"evacuation", "reload", "clients_half_close", "clients_reset", "clients_cut", "clients_silent", "clients_slow", "clients_leave",
	"clients_cancel", "clients_abandoned", "store_cut", "store_silent", "worker_cut", "worker_silent", "worker_crash",
	"worker_exit", "worker_exit_wave", "worker_loses", "worker_rejects", "worker_spoils",
}

// period is the time of a fault or of the evacuation of a domain.
type period struct {
	kind, domain string
	begin, end   time.Time
}

// evacuate evacuates a random failure domain for long enough that starts after the bound are noticed.
func (s *Soak) evacuate(rng *rand.Rand) string {
	if s.o.Domains < 2 || !s.evacuating.TryLock() {
		return ""
	}
	defer s.evacuating.Unlock()
	domain := domainName(rng.IntN(s.o.Domains))
	s.store.Put("keyed.op", "evacuate/"+domain, standin.EvacuationDocument())
	begin := time.Now()
	time.Sleep(evacuationBound + faultDuration(rng))
	end := time.Now()
	s.store.Put("keyed.op", "evacuate/"+domain, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = append(s.evacuated, period{"evacuation", domain, begin, end})
	return domain
}

// checkEvacuated checks that no task has started on a worker of an evacuated domain, but for starts that a fault excuses.
func (s *Soak) checkEvacuated() {
	s.mu.Lock()
	evacuated, injected := s.evacuated, s.injected
	s.mu.Unlock()
	for _, e := range evacuated {
		s.countChecks(CheckEvacuatedGetsNothing, 1)
		for _, w := range s.workers {
			if w.domain != e.domain {
				continue
			}
			for _, at := range s.runs.startsOn(w.id, e.begin.Add(evacuationBound), e.end) {
				if !excusesStart(injected, at) {
					s.reportViolation(CheckEvacuatedGetsNothing,
						fmt.Sprintf("%s started a task %v after the evacuation of %s", w.id, at.Sub(e.begin), e.domain))
				}
			}
		}
	}
}

// excusesStart reports whether a fault was under way, shortly before a start, after which an owner need not know of an evacuation.
func excusesStart(injected []period, at time.Time) bool {
	return slices.ContainsFunc(injected, func(f period) bool {
		return !slices.Contains(sparesOwners, f.kind) && f.begin.Before(at) && f.end.After(at.Add(-contactTime))
	})
}

// startsOn returns the times between two others at which runs have started on a worker.
func (r *runRecorder) startsOn(worker string, from, to time.Time) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []time.Time
	for _, runs := range r.tasks {
		for _, run := range runs {
			if run.worker == worker && run.begin.After(from) && run.begin.Before(to) {
				starts = append(starts, run.begin)
			}
		}
	}
	return starts
}
