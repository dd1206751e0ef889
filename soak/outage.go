package soak

import (
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/load"
)

// Outages last from minOutage to maxOutage. A client sends a job again after resendDelay, and peers notice silence
// after about a second, so both happen well before the end.
const (
	minOutage = 2 * time.Second
	maxOutage = 5 * time.Second
)

// keep lets outages last for a random time and then ends them.
func keep(rng *rand.Rand, outages []*load.Outage) {
	time.Sleep(minOutage + time.Duration(rng.Int64N(int64(maxOutage-minOutage))))
	for _, o := range outages {
		o.End()
	}
}

// partition begins an outage between the daemon and others, in both directions.
func (d *daemon) partition(others ...*daemon) []*load.Outage {
	var outages []*load.Outage
	for _, o := range others {
		outages = append(outages, d.peers.Partition(o.vm), o.peers.Partition(d.vm))
	}
	return outages
}

// othersThan returns all daemons but one.
func (s *Soak) othersThan(d *daemon) []*daemon {
	var others []*daemon
	for _, o := range s.daemons {
		if o != d {
			others = append(others, o)
		}
	}
	return others
}

// randomPair returns two different daemons, false if there is only one.
func (s *Soak) randomPair(rng *rand.Rand) (a, b *daemon, ok bool) {
	if len(s.daemons) < 2 {
		return nil, nil, false
	}
	order := rng.Perm(len(s.daemons))
	return s.daemons[order[0]], s.daemons[order[1]], true
}

// abandonClients makes a random daemon lose its clients without notice.
func (s *Soak) abandonClients(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	d.disturb(func() { keep(rng, []*load.Outage{d.clients.LoseClients()}) })
	return d.vm
}

// isolate makes a random daemon lose its clients and the other daemons without notice.
func (s *Soak) isolate(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	d.disturb(func() { keep(rng, append(d.partition(s.othersThan(d)...), d.clients.LoseClients())) })
	return d.vm
}

// isolateFromStore makes a random daemon lose its clients, the other daemons and the store without notice.
func (s *Soak) isolateFromStore(rng *rand.Rand) string {
	d := s.randomDaemon(rng)
	d.disturb(func() {
		keep(rng, append(d.partition(s.othersThan(d)...), d.clients.LoseClients(), d.store.Partition()))
	})
	return d.vm
}

// partitionPair makes the links between two random daemons silent.
func (s *Soak) partitionPair(rng *rand.Rand) string {
	a, b, ok := s.randomPair(rng)
	if !ok {
		return ""
	}
	keep(rng, a.partition(b))
	return a.vm + " and " + b.vm
}

// partitionPairAndAbandon makes the links between two random daemons silent, and makes the first of them lose its clients
// without notice.
func (s *Soak) partitionPairAndAbandon(rng *rand.Rand) string {
	a, b, ok := s.randomPair(rng)
	if !ok {
		return ""
	}
	a.disturb(func() { keep(rng, append(a.partition(b), a.clients.LoseClients())) })
	return a.vm + " and " + b.vm
}
