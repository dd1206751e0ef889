package entry

import "slices"

// listedDomains returns the sorted numbers of the failure domains in the platform's list, including this one.
func (p *peers) listedDomains() []uint16 {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := []uint16{uint16(p.d.o.Domain)}
	for _, v := range p.listed {
		ids = append(ids, uint16(v.Domain))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
