package load

import (
	"time"

	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

// cut ends the links and refuses new ones for the fault's span.
func (s *Soak) cut(f drawnFault, relays []*Relay) bool {
	for _, r := range relays {
		r.Cut()
	}
	time.Sleep(f.span)
	for _, r := range relays {
		r.Restore()
	}
	return len(relays) > 0
}

// silence makes the open connections of the links silent for good.
func (s *Soak) silence(relays []*Relay) bool {
	for _, r := range relays {
		r.Silence()
	}
	return len(relays) > 0
}

func (s *Soak) loseReplies(f drawnFault, relays []*Relay) bool {
	for _, r := range relays {
		r.LoseReplies()
	}
	time.Sleep(f.span / 4)
	for _, r := range relays {
		r.KeepReplies()
	}
	return len(relays) > 0
}

// domains returns the failure domain of each entry VM that serves.
func (s *Soak) domains() map[string]zone.DomainID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]zone.DomainID)
	for _, p := range s.entries {
		if p.Serving() {
			out[p.ID] = p.Domain
		}
	}
	return out
}

// pairOfEntries returns the links from one entry VM to another, in both directions if the coin says so.
func (s *Soak) pairOfEntries(f drawnFault) []*Relay {
	a, b := s.choose(f.a), s.choose(f.b)
	if a == b {
		b = s.choose(f.b + 1)
	}
	return s.network.Select(func(from, to string) bool {
		return from == a.ID && to == b.ID || f.coin && from == b.ID && to == a.ID
	})
}

// acrossDomains returns all links between entry VMs of different failure domains.
func (s *Soak) acrossDomains() []*Relay {
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return domain[from] != 0 && domain[to] != 0 && domain[from] != domain[to]
	})
}

// insideDomain returns the links between one entry VM and the others of its failure domain.
func (s *Soak) insideDomain(f drawnFault) []*Relay {
	alone := s.choose(f.a)
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return (from == alone.ID || to == alone.ID) && domain[from] == domain[to]
	})
}

// entryToWorker returns the link from one entry VM to one worker, or to all workers if the coin says so.
func (s *Soak) entryToWorker(f drawnFault) []*Relay {
	p := s.choose(f.a)
	id := ""
	if w := s.chooseWorker(f.b, p.Domain); w != nil {
		id = string(w.worker.ID())
	}
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return from == p.ID && (to == id || f.coin && domain[to] == 0 && to != platformName)
	})
}

func (s *Soak) entryToPlatform(f drawnFault) []*Relay {
	p := s.choose(f.a)
	return s.network.Select(func(from, to string) bool { return from == p.ID && to == platformName })
}

// chooseWorker returns a worker of a failure domain, or of any for 0.
func (s *Soak) chooseWorker(pick uint64, domain zone.DomainID) *soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*soakWorker
	for _, w := range s.workers {
		if !w.gone && (domain == 0 || w.domain == domain) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[pick%uint64(len(candidates))]
}

// reserveWorker claims a worker that no other fault stops, leaving two of its failure domain alone.
func (s *Soak) reserveWorker(pick uint64) *soakWorker {
	w := s.chooseWorker(pick, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, o := range s.workers {
		if !o.busy && !o.gone && o.domain == w.domain {
			free++
		}
	}
	if w.busy || free <= 2 {
		return nil
	}
	w.busy = true
	return w
}

func (s *Soak) releaseWorker(w *soakWorker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.busy = false
}

// crashWorker ends a worker's process with its connections and begins another at the same address.
func (s *Soak) crashWorker(f drawnFault) bool {
	w := s.reserveWorker(f.a)
	if w == nil {
		return false
	}
	defer s.releaseWorker(w)
	s.mu.Lock()
	w.crashed = true
	s.mu.Unlock()
	id := string(w.worker.ID())
	s.network.Down(id)
	w.worker.Restart()
	time.Sleep(f.span)
	s.network.Up(id)
	return true
}

// degrade makes a worker misbehave for the fault's span.
func (s *Soak) degrade(f drawnFault, faults standin.WorkerFaults) bool {
	w := s.reserveWorker(f.a)
	if w == nil {
		return false
	}
	defer s.releaseWorker(w)
	w.worker.SetFaults(faults)
	time.Sleep(f.span)
	w.worker.SetFaults(standin.WorkerFaults{})
	return true
}

// leaveWorker shows a worker as leaving, takes it off the list after a while and adds another. The worker itself would
// still accept starts, so that only the dispatcher keeps new work away from it.
func (s *Soak) leaveWorker(f drawnFault) bool {
	w := s.reserveWorker(f.a)
	if w == nil {
		return false
	}
	s.must(s.addWorker(w.domain))
	s.roster.Leave(string(w.worker.ID()))
	time.Sleep(leaveBound + f.span)
	s.mu.Lock()
	w.gone = true
	s.mu.Unlock()
	s.roster.Remove(string(w.worker.ID()))
	return true
}

// logFaults adds a failure of the log for the fault's span. Failures of several faults add up.
func (s *Soak) logFaults(f drawnFault, apply func(*standin.PlatformFaults)) bool {
	s.logChange(func(fs []func(*standin.PlatformFaults)) []func(*standin.PlatformFaults) { return append(fs, apply) })
	time.Sleep(f.span)
	s.logChange(func(fs []func(*standin.PlatformFaults)) []func(*standin.PlatformFaults) { return fs[1:] })
	return true
}

func (s *Soak) logChange(change func([]func(*standin.PlatformFaults)) []func(*standin.PlatformFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFault = change(s.logFault)
	var all standin.PlatformFaults
	for _, apply := range s.logFault {
		apply(&all)
	}
	s.platform.SetFaults(all)
}

func (s *Soak) listOutage(f drawnFault) bool {
	s.roster.SetDown(true)
	time.Sleep(f.span)
	s.roster.SetDown(false)
	return true
}

// cancelWave makes the callers that take part cancel their jobs in progress.
func (s *Soak) cancelWave(drawnFault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wave)
	s.wave = make(chan struct{})
	return true
}
