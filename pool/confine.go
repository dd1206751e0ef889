package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/contract"
)

// updateConfinementRanks ranks the workers for the tasks of confined routes, which start only on the first ones. The rank
// follows from a hash of the address, so that a crashed worker is succeeded by the one that replaces it there and not by
// another one. Evacuated workers have none, or a confined route might be left without a worker. p.mu is held.
func (p *Pool) updateConfinementRanks() {
	clear(p.confinementRank)
	if !p.o.Confinement.Any() {
		return
	}
	hosts := make([]*ownedHost, 0, len(p.hosts))
	for _, h := range p.hosts {
		if !h.host.Evacuated {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *ownedHost) int {
		return cmp.Or(cmp.Compare(a.addressHash, b.addressHash), cmp.Compare(a.address.Worker, b.address.Worker))
	})
	for i, h := range hosts {
		p.confinementRank[h] = float64(i) / float64(len(hosts))
	}
}

// mayRunOn reports whether a task may start on a worker despite the confinement of its route. A task under which a worker
// has crashed waits until all workers of the route are back: it would probably take the next one from the other tasks.
// p.mu is held.
func (p *Pool) mayRunOn(h *ownedHost, o contract.TaskOrder, now time.Time) bool {
	if len(p.confinementRank) == 0 {
		return true
	}
	share := p.o.Confinement.Share(o.Route)
	return share == 1 || (p.confinementRank[h] < share && (!o.Alone || p.allUsable(share, now)))
}

// allUsable reports whether all workers of a confined route are usable. p.mu is held.
func (p *Pool) allUsable(share float64, now time.Time) bool {
	for h, rank := range p.confinementRank {
		if rank < share && !h.host.Usable(now) {
			return false
		}
	}
	return true
}

func hashAddress(address string) uint64 { return xxhash.Sum64String(address) }
