package zone

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Clone returns a copy of the view as it is now. Tasks that are reserved in the copy are not counted in the view.
func (v *CapacityView) Clone() *CapacityView {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := NewCapacityView(v.self, v.domain)
	c.avoidSlow = v.avoidSlow
	for id, o := range v.owners {
		capacities := make(map[string]*BackendCapacity, len(o.capacities))
		for backend, capacity := range o.capacities {
			copied := *capacity
			capacities[backend] = &copied
		}
		copied := *o
		copied.capacities, copied.invitations = capacities, maps.Clone(o.invitations)
		c.owners[id] = &copied
	}
	return c
}

// OwnerCapacity is what the view knows of one owner of workers of a back end.
type OwnerCapacity struct {
	ID, Domain string
	// Leaving is set for an owner that gets no tasks any more.
	Leaving bool
	BackendCapacity
	// Wait is the expected wait of a task of the priority asked for, OrderCost what an order there costs in addition.
	Wait, OrderCost time.Duration
}

// Owners returns the owners of workers of a back end, those first at which a task of that priority is expected to start first.
func (v *CapacityView) Owners(backend string, priority int) []OwnerCapacity {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []OwnerCapacity
	for id, o := range v.owners {
		capacity := o.capacities[backend]
		if capacity == nil {
			continue
		}
		all = append(all, OwnerCapacity{
			ID: id, Domain: o.domain, Leaving: o.leaving, BackendCapacity: *capacity, Wait: capacity.Wait(priority),
			OrderCost: v.orderCost(id, o, capacity),
		})
	}
	slices.SortFunc(all, func(a, b OwnerCapacity) int {
		return cmp.Or(cmp.Compare(a.Wait+a.OrderCost, b.Wait+b.OrderCost), cmp.Compare(a.ID, b.ID))
	})
	return all
}
