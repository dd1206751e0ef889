package zone

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/machine"
)

// Rank returns the number of VMs that precede self in the order of rendezvous hashes for key.
func Rank(key, self string, vms []machine.EntryVM) int {
	hash := func(id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
	own := hash(self)
	n := 0
	for _, vm := range vms {
		if h := hash(vm.ID); vm.ID != self && (h > own || (h == own && vm.ID < self)) {
			n++
		}
	}
	return n
}
