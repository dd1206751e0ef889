package zone

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxInvitations bounds the invitations that this member sends to an owner between two of its reports: it has probably given
// up by then what it can.
const maxInvitations = 3

// loadedOwner is an owner at which runs of a back end wait.
type loadedOwner struct {
	id      string
	waiting time.Duration
	// invitations counts those that this member has sent it since its last report.
	invitations int
}

// weight returns how likely the owner is chosen. Each invitation halves it, since it takes some of the waiting work.
func (o loadedOwner) weight() int64 { return max(int64(o.waiting)>>o.invitations, 1) }

// LoadedOwners chooses up to n owners to invite to give up waiting runs of a back end: those of the own failure domain if runs
// wait at any of them, else those of others.
func (v *CapacityView) LoadedOwners(backend string, n int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var near, far []loadedOwner
	for id, o := range v.owners {
		capacity := o.capacities[backend]
		if id == v.self || o.leaving || capacity == nil || o.invitations[backend] >= maxInvitations {
			continue
		}
		loaded := loadedOwner{id: id, waiting: capacity.allWaiting(), invitations: o.invitations[backend]}
		switch {
		case loaded.waiting == 0:
		case o.domain == v.domain:
			near = append(near, loaded)
		default:
			far = append(far, loaded)
		}
	}
	if len(near) == 0 {
		near = far
	}
	slices.SortFunc(near, func(a, b loadedOwner) int { return cmp.Compare(a.id, b.id) })
	return chooseLoaded(near, n, rand.Int64N)
}

// RecordInvitation counts an invitation to an owner until its next report.
func (v *CapacityView) RecordInvitation(owner, backend string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.owners[owner]
	if o == nil {
		return
	}
	if o.invitations == nil {
		o.invitations = make(map[string]int)
	}
	o.invitations[backend]++
}

// chooseLoaded chooses up to n owners, each with a probability proportional to its weight: owners with free capacity have
// about the same view, and would otherwise all invite the same one. draw returns a random number below its argument.
func chooseLoaded(owners []loadedOwner, n int, draw func(int64) int64) []string {
	var chosen []string
	for len(chosen) < n && len(owners) > 0 {
		total := int64(0)
		for _, o := range owners {
			total += o.weight()
		}
		at, i := draw(total), 0
		for at >= owners[i].weight() {
			at -= owners[i].weight()
			i++
		}
		chosen = append(chosen, owners[i].id)
		owners = slices.Delete(owners, i, i+1)
	}
	return chosen
}

// allWaiting returns the waiting work of all priorities.
func (c *BackendCapacity) allWaiting() time.Duration {
	var sum time.Duration
	for _, w := range c.Waiting {
		sum += w
	}
	return sum
}
