package zone

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/machine"
)

// Choose returns the VM with the highest rendezvous hash for key. Members with the same live set make the same
// choice, and the loss of a member moves only that member's keys.
func Choose(key string, vms []machine.EntryVM) (machine.EntryVM, bool) {
	var best machine.EntryVM
	var bestHash uint64
	found := false
	for _, vm := range vms {
		h := xxhash.Sum64String(key + "\x00" + vm.ID)
		if !found || h > bestHash || (h == bestHash && vm.ID < best.ID) {
			best, bestHash, found = vm, h, true
		}
	}
	return best, found
}
