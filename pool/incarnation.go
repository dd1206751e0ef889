package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// beginIncarnation records that a worker replies as another incarnation than before, or for the first time. What its last
// known entry says of the kind of worker holds only if the entry describes this incarnation. p.mu is held.
func (p *Pool) beginIncarnation(h *ownedHost, reply link.HostReply, now time.Time, fx *effects) {
	if h.host.StartTime != 0 {
		h.host.Restarted(reply.Clock, now, p.o.Lease)
		h.restarted = true
	}
	h.host.StartTime = reply.StartTime
	if !h.host.EntryCurrent() {
		p.o.Logger.Info("entry of the worker is not that of the incarnation that replies", "worker", h.address.Worker,
			"born", h.host.StartTime, "entry_born", h.host.Listing.StartTime, "labels", h.host.Listing.Labels)
	}
	h.host.ResetSpeed(p.typicalSpeed(h.host.Kind()))
	p.returnInfeasible(fx)
}

// setEntry applies a newer entry of a worker. p.mu is held.
func (p *Pool) setEntry(h *ownedHost, l machine.Listing) {
	sameIncarnation := l.StartTime == h.host.Listing.StartTime
	h.host.Listing, h.ignored = l, nil
	h.host.Evacuated = p.policy.Evacuations.Contains(l.Zone)
	if sameIncarnation {
		return
	}
	h.host.ResetSpeed(p.typicalSpeed(h.host.Kind()))
	p.o.Logger.Info("entry of another incarnation of the worker has been read", "worker", h.address.Worker,
		"born", h.host.StartTime, "entry_born", l.StartTime, "labels", l.Labels)
	h.wake()
}

// Incarnation identifies one life of a worker.
type Incarnation struct {
	Worker    string
	StartTime int64
}

// IncarnationsWithoutEntry returns the owned workers whose known entry is that of another incarnation.
func (p *Pool) IncarnationsWithoutEntry() []Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Incarnation
	for id, h := range p.hosts {
		if h.host.Token != 0 && !h.host.EntryCurrent() {
			list = append(list, Incarnation{Worker: id, StartTime: h.host.StartTime})
		}
	}
	return list
}

// typicalSpeed predicts the speed of a worker from others of its kind. p.mu is held.
func (p *Pool) typicalSpeed(kind string) float64 {
	if s, ok := p.speeds[kind]; ok {
		return s
	}
	return 1
}

// learnSpeed updates the typical speed of workers of the same kind. p.mu is held.
func (p *Pool) learnSpeed(h *machine.Host) {
	kind := h.Kind()
	if kind == "" {
		return
	}
	s := p.typicalSpeed(kind)
	p.speeds[kind] = s + kindSpeedWeight*(h.Speed()-s)
}

// kindSpeedWeight is the weight of one run in the typical speed of a kind of workers.
const kindSpeedWeight = 0.05
