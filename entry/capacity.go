package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/dispatch"
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
	n := s.granter(service).Free()
	for _, l := range s.d.dispatcher.Lanes() {
		if l.Service().Name() == service {
			v := l.View()
			n += v.Idle + v.Busy
		}
	}
	return n
}
