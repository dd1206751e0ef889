package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// capacityCacheTTL is how long a computed capacity is reused.
	capacityCacheTTL = 100 * time.Millisecond
	// congestionWait is the wait of the oldest short task above which a service's capacity is limited to the slots
	// already held.
	congestionWait = 50 * time.Millisecond
)

// capacityCache caches the capacity of each service. mu guards all fields.
type capacityCache struct {
	mu       sync.Mutex
	services map[string]capacity
}

type capacity struct {
	at      time.Time
	slots   float64
	workers int
}

// capacity returns the slots that this VM can count on for a service, weighted by speed, and the number of its workers.
func (d *Daemon) capacity(service string) (float64, int) {
	now := d.o.Now()
	c := &d.capacities
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.services[service]; ok && now.Sub(v.at) < capacityCacheTTL {
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

// share returns the part of a service's capacity that this VM can count on. While its tasks wait, that is the slots it
// holds: the allocators divide slots by the waiting times of the VMs, so an equal part would be too much for a VM with
// less demand than the others. Otherwise it is the held and free slots, but at least an equal part.
func (d *Daemon) share(service string, perSlot, total float64, now time.Time) float64 {
	sched, ok := d.dispatcher.Scheduler(service)
	if !ok {
		return 0
	}
	v := sched.View()
	held := float64(v.Idle+v.Busy) * perSlot
	if sched.OldestShortWait(now) > congestionWait && held > 0 {
		return held
	}
	st := d.slots.service(service)
	free := float64(st.allocator.Free()+st.planner.Free(now)) * perSlot
	return dispatch.ShareOfCapacity(total, len(d.domain.Live()), held+free)
}

// taskReclassified reports to the allocator of a worker that a task running there has been reclassified as long.
func (s *slotBroker) taskReclassified(service string, worker machine.WorkerID) {
	st, allocator := s.service(service), s.Allocator(worker)
	if allocator == s.d.o.VM.ID {
		st.allocator.ReclassifyAsLong(allocator, worker, s.d.o.Now())
		return
	}
	if s.placement != nil || allocator == "" {
		return
	}
	for _, sched := range s.d.dispatcher.Schedulers() {
		if sched.Service().Name() == service {
			s.reportHoldingsTo(st, sched, allocator)
		}
	}
}

// reportHoldingsTo reports to one allocator the slots held on its workers.
func (s *slotBroker) reportHoldingsTo(st *serviceSlots, sched *dispatch.Scheduler, allocator string) {
	delivered := st.lastDelivered(allocator)
	var held []zone.Held
	for _, h := range zoneHeld(sched.Held()) {
		if s.Allocator(h.Worker) == allocator {
			held = append(held, h)
		}
	}
	s.sendReport(st, allocator, held, delivered, false)
}
