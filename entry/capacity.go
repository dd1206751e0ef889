package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// capacityAge is how long a sum over all workers is used.
const capacityAge = 100 * time.Millisecond

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
		heldAndFree := float64(d.slots.heldAndFree(service)) * speed / float64(slots)
		share = dispatch.ShareOfCapacity(speed, len(d.domain.Live()), heldAndFree)
	}
	if c.services == nil {
		c.services = make(map[string]capacity)
	}
	c.services[service] = capacity{at: now, slots: share, workers: workers}
	return share, workers
}

// heldAndFree counts the slots of a service that this VM holds and those that it could get now.
func (s *slotDirectory) heldAndFree(service string) int {
	st := s.service(service)
	n := st.granter.Free() + st.asker.Free(s.d.o.Now())
	for _, l := range s.d.dispatcher.Lanes() {
		if l.Service().Name() == service {
			v := l.View()
			n += v.Idle + v.Busy
		}
	}
	return n
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
	s.sendReport(st, granter, held, st.asker.Received(granter), false)
}
