package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// capacityAge is how long a sum over all workers is used.
	capacityAge = 100 * time.Millisecond
	// congestedAfter is the wait of the oldest task from which on no more slots are counted on than are held.
	congestedAfter = 50 * time.Millisecond
)

// capacityCache keeps the capacity of each service. mu guards all fields.
type capacityCache struct {
	mu       sync.Mutex
	services map[string]capacity
}

type capacity struct {
	at      time.Time
	slots   float64
	workers int
}

// capacity returns the slots that this VM can count on for a service, and the number of its workers.
func (d *Daemon) capacity(service string) (float64, int) {
	now := d.o.Now()
	c := &d.capacities
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.services[service]; ok && now.Sub(v.at) < capacityAge {
		return v.slots, v.workers
	}
	workers, slots, speed := d.fleet.Capacity(service, now)
	share := 0.0
	if slots > 0 {
		share = d.share(service, speed/float64(slots), speed, now)
	}
	if c.services == nil {
		c.services = make(map[string]capacity)
	}
	c.services[service] = capacity{at: now, slots: share, workers: workers}
	return share, workers
}

// share returns the part of a service's capacity that this VM can count on. While its tasks wait, that is what it
// holds, since the granters divide the slots by the waiting times of the VMs; an equal part would be too much for a VM
// with less demand than the others. Otherwise it is what it holds and what is free, but at least an equal part.
func (d *Daemon) share(service string, perSlot, total float64, now time.Time) float64 {
	l, ok := d.dispatcher.Lane(service)
	if !ok {
		return 0
	}
	v := l.View()
	held := float64(v.Idle+v.Busy) * perSlot
	if l.Waited(now) > congestedAfter && held > 0 {
		return held
	}
	st := d.slots.service(service)
	free := float64(st.granter.Free()+st.planner.Free(now)) * perSlot
	return dispatch.ShareOfCapacity(total, len(d.domain.Live()), held+free)
}

// outgrown tells the granter of a worker that a slot there is held by long work now.
func (s *slotDirectory) outgrown(service string, worker machine.WorkerID) {
	st, granter := s.service(service), s.Granter(worker)
	if granter == s.d.o.VM.ID {
		st.granter.Outgrow(granter, worker, s.d.o.Now())
		return
	}
	if s.placement != nil || granter == "" {
		return
	}
	for _, l := range s.d.dispatcher.Lanes() {
		if l.Service().Name() == service {
			s.reportTo(st, l, granter)
		}
	}
}

// reportTo sends one granter what is held of its workers.
func (s *slotDirectory) reportTo(st *serviceSlots, l *dispatch.Lane, granter string) {
	var held []zone.Held
	for _, h := range zoneHeld(l.Held()) {
		if s.Granter(h.Worker) == granter {
			held = append(held, h)
		}
	}
	s.sendReport(st, granter, held, st.planner.Received(granter), false)
}
