package pool

import "github.com/cicadadale/cicadadale/contract"

// infeasibleByEvacuation reports whether a worker of the pool could hold a task if its failure domain were not evacuated.
// p.mu is held.
func (p *Pool) infeasibleByEvacuation(o contract.TaskOrder) bool {
	for _, h := range p.hosts {
		if h.host.Evacuated && !h.host.Draining() && h.host.CanHold(o.Need, o.RequiredLabel) {
			return true
		}
	}
	return false
}
