package zone

import (
	"sort"

	"github.com/cicadadale/cicadadale/machine"
)

// WorkerGrants lists the slots of one worker that an allocator has granted.
type WorkerGrants struct {
	Worker machine.WorkerID
	Slots  int
	Free   int
	Closed bool
	// Withheld counts slots that are not granted because the worker rejected a start as full.
	Withheld int
	Holders  []Holder
}

// Holder is a member that holds slots.
type Holder struct {
	Member string
	Short  int
	Long   int
}

// View returns all workers with their holders, ordered by worker and member.
func (a *SlotAllocator) View() []WorkerGrants {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []WorkerGrants
	for id, w := range a.workers {
		v := WorkerGrants{Worker: id, Slots: w.slots, Free: w.free(), Closed: w.closed, Withheld: w.withheld}
		for member, h := range w.held {
			v.Holders = append(v.Holders, Holder{Member: member, Short: h.Short, Long: h.Long})
		}
		sort.Slice(v.Holders, func(i, j int) bool { return v.Holders[i].Member < v.Holders[j].Member })
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}
