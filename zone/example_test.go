package zone_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/zone"
)

// The slot allocator of a worker grants its slots to the members that have work, and takes them back.
func ExampleSlotAllocator() {
	now := time.Unix(0, 0)
	allocator := zone.NewSlotAllocator("entry-1", 1)
	allocator.Assign([]zone.Offer{{Worker: "worker-1", Slots: 8, Speed: 1}}, nil, nil, now)
	for _, a := range allocator.Demand("entry-2", zone.Need{Tasks: zone.Count{Short: 3}}, now) {
		fmt.Println(a.Member, a.Worker, a.Slots.Short)
	}
	allocator.Return("entry-2", []zone.Held{{Worker: "worker-1", Slots: zone.Count{Short: 2}}}, now)
	fmt.Println(allocator.Free())
	// Output:
	// entry-2 worker-1 3
	// 7
}
