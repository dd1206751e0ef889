package load

import (
	"time"

	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

// cut closes the links and refuses new connections for the duration of the fault.
func (s *Soak) cut(f plannedFault, relays []*Relay) bool {
	for _, r := range relays {
		r.Cut()
	}
	time.Sleep(f.span)
	for _, r := range relays {
		r.Restore()
	}
	return len(relays) > 0
}

// silence makes the open connections of the links permanently silent.
func (s *Soak) silence(relays []*Relay) bool {
	for _, r := range relays {
		r.Silence()
	}
	return len(relays) > 0
}

func (s *Soak) loseReplies(f plannedFault, relays []*Relay) bool {
	for _, r := range relays {
		r.LoseReplies()
	}
	time.Sleep(f.span / 4)
	for _, r := range relays {
		r.StopLosingReplies()
	}
	return len(relays) > 0
}

// domains returns the failure domain of each entry VM in service.
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

// linksOfPair returns the link from one entry VM to another, in both directions if coin is set.
func (s *Soak) linksOfPair(f plannedFault) []*Relay {
	a, b := s.pickServing(f.a), s.pickServing(f.b)
	if a == b {
		b = s.pickServing(f.b + 1)
	}
	return s.network.Select(func(from, to string) bool {
		return from == a.ID && to == b.ID || f.coin && from == b.ID && to == a.ID
	})
}

// linksAcrossDomains returns all links between entry VMs of different failure domains.
func (s *Soak) linksAcrossDomains() []*Relay {
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return domain[from] != 0 && domain[to] != 0 && domain[from] != domain[to]
	})
}

// linksInsideDomain returns the links between one entry VM and the other entry VMs of its failure domain.
func (s *Soak) linksInsideDomain(f plannedFault) []*Relay {
	isolated := s.pickServing(f.a)
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return (from == isolated.ID || to == isolated.ID) && domain[from] == domain[to]
	})
}

// linksToWorker returns the link from one entry VM to one worker, or to all workers if coin is set.
func (s *Soak) linksToWorker(f plannedFault) []*Relay {
	p := s.pickServing(f.a)
	id := ""
	if w := s.pickWorker(f.b, p.Domain); w != nil {
		id = string(w.worker.ID())
	}
	domain := s.domains()
	return s.network.Select(func(from, to string) bool {
		return from == p.ID && (to == id || f.coin && domain[to] == 0 && to != platformName)
	})
}

func (s *Soak) linkToPlatform(f plannedFault) []*Relay {
	p := s.pickServing(f.a)
	return s.network.Select(func(from, to string) bool { return from == p.ID && to == platformName })
}

// pickWorker returns a worker of a failure domain, or of any domain if domain is 0.
func (s *Soak) pickWorker(pick uint64, domain zone.DomainID) *soakWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*soakWorker
	for _, w := range s.workers {
		if !w.removed && (domain == 0 || w.domain == domain) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[pick%uint64(len(candidates))]
}

// reserveWorker reserves a worker that no other fault has reserved, unless its failure domain would have fewer than two
// such workers left.
func (s *Soak) reserveWorker(pick uint64) *soakWorker {
	w := s.pickWorker(pick, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, o := range s.workers {
		if !o.reserved && !o.removed && o.domain == w.domain {
			free++
		}
	}
	if w.reserved || free <= 2 {
		return nil
	}
	w.reserved = true
	return w
}

func (s *Soak) releaseWorker(w *soakWorker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.reserved = false
}

// crashWorker restarts a worker as a new incarnation at the same address; its links are cut for the duration of the
// fault.
func (s *Soak) crashWorker(f plannedFault) bool {
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

// applyWorkerFaults applies faults to a worker for the duration of the fault.
func (s *Soak) applyWorkerFaults(f plannedFault, faults standin.WorkerFaults) bool {
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

// leaveWorker lists a worker as leaving, removes it from the list after a delay and adds another worker. The leaving
// worker still accepts starts, so that only the dispatcher keeps new work away from it.
func (s *Soak) leaveWorker(f plannedFault) bool {
	w := s.reserveWorker(f.a)
	if w == nil {
		return false
	}
	s.reportError(s.addWorker(w.domain))
	s.vmList.Leave(string(w.worker.ID()))
	time.Sleep(leaveBound + f.span)
	s.mu.Lock()
	w.removed = true
	s.mu.Unlock()
	s.vmList.Remove(string(w.worker.ID()))
	return true
}

// logFaults applies a fault to the platform's log for the duration of the fault. Overlapping log faults are combined.
// At the end of each one, the oldest one in effect is removed.
func (s *Soak) logFaults(f plannedFault, apply func(*standin.PlatformFaults)) bool {
	s.setLogFaults(func(fs []func(*standin.PlatformFaults)) []func(*standin.PlatformFaults) { return append(fs, apply) })
	time.Sleep(f.span)
	s.setLogFaults(func(fs []func(*standin.PlatformFaults)) []func(*standin.PlatformFaults) { return fs[1:] })
	return true
}

func (s *Soak) setLogFaults(change func([]func(*standin.PlatformFaults)) []func(*standin.PlatformFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFaultsInEffect = change(s.logFaultsInEffect)
	var all standin.PlatformFaults
	for _, apply := range s.logFaultsInEffect {
		apply(&all)
	}
	s.platform.SetFaults(all)
}

func (s *Soak) listOutage(f plannedFault) bool {
	s.vmList.SetDown(true)
	time.Sleep(f.span)
	s.vmList.SetDown(false)
	return true
}

// cancelWave makes the participating callers cancel their jobs in progress.
func (s *Soak) cancelWave(plannedFault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cancelSignal)
	s.cancelSignal = make(chan struct{})
	return true
}
