package soak

import (
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/load"
)

// maxClientDelay is the longest time for which clients still reach a failure domain that is cut off.
const maxClientDelay = 2 * time.Second

// splitByDomain returns the daemons of a failure domain and those of the others.
func (s *Soak) splitByDomain(domain string) (inside, outside []*daemon) {
	for _, d := range s.daemons {
		if d.domain == domain {
			inside = append(inside, d)
		} else {
			outside = append(outside, d)
		}
	}
	return inside, outside
}

// partitionDomain makes the links between the daemons of a random failure domain and those of the others silent.
func (s *Soak) partitionDomain(rng *rand.Rand) string {
	if s.o.Domains < 2 {
		return ""
	}
	domain := domainName(rng.IntN(s.o.Domains))
	keep(rng, partitionBetween(s.splitByDomain(domain)))
	return domain
}

// partitionBetween begins an outage between two sets of daemons.
func partitionBetween(inside, outside []*daemon) []*load.Outage {
	var outages []*load.Outage
	for _, d := range inside {
		outages = append(outages, d.partition(outside...)...)
	}
	return outages
}

// cutDomain makes a random failure domain lose everything outside at once and without notice: the other daemons, the store and
// its clients, in half of the cases the workers too.
func (s *Soak) cutDomain(rng *rand.Rand) string { return s.cutDomainWith(rng, 0) }

// cutDomainBeforeClients does the same as cutDomain, but clients reach the failure domain for a while longer.
func (s *Soak) cutDomainBeforeClients(rng *rand.Rand) string {
	return s.cutDomainWith(rng, time.Duration(rng.Int64N(int64(maxClientDelay))))
}

func (s *Soak) cutDomainWith(rng *rand.Rand, clientDelay time.Duration) string {
	if s.o.Domains < 2 {
		return ""
	}
	domain := domainName(rng.IntN(s.o.Domains))
	inside, outside := s.splitByDomain(domain)
	disturbAll(inside, func() {
		outages := partitionBetween(inside, outside)
		target := domain
		if rng.IntN(2) == 0 {
			outages = append(outages, s.cutWorkers(domain, inside, outside)...)
			target += " with its workers"
		}
		for _, d := range inside {
			outages = append(outages, d.store.Partition())
		}
		time.Sleep(clientDelay)
		for _, d := range inside {
			outages = append(outages, d.clients.LoseClients())
		}
		keep(rng, outages)
		domain = target
	})
	return domain
}

// cutWorkers makes the workers of a failure domain lose the daemons outside, and the other workers those inside.
func (s *Soak) cutWorkers(domain string, inside, outside []*daemon) []*load.Outage {
	var outages []*load.Outage
	for _, w := range s.workers {
		lost := inside
		if w.domain == domain {
			lost = outside
		}
		outages = append(outages, w.relay.Partition(sources(lost)...))
	}
	return outages
}

// sources returns the addresses from which daemons call workers.
func sources(daemons []*daemon) []string {
	all := make([]string, 0, len(daemons))
	for _, d := range daemons {
		all = append(all, d.source)
	}
	return all
}

// disturbAll injects a fault between clients and some daemons, and records when it did.
func disturbAll(daemons []*daemon, inject func()) {
	if len(daemons) == 0 {
		inject()
		return
	}
	daemons[0].disturb(func() { disturbAll(daemons[1:], inject) })
}
