package machine_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// A worker that fails tasks of kinds that succeed on other workers is quarantined and gets no more slots.
func ExampleWorker_quarantine() {
	now := time.Unix(0, 0)
	fleet := machine.NewFleet()
	w, _ := fleet.Upsert(machine.WorkerSpec{ID: "worker-1", Service: "glashaus.v1.Booking", Slots: 8})
	w.ObserveStatus(1, 0, now)
	fmt.Println(w.UsableSlots(now))
	for range 4 {
		w.Observe(machine.StartOutcome{Failed: true, KindSucceedsElsewhere: true}, now)
	}
	fmt.Println(w.HealthAt(now), w.UsableSlots(now))
	// Output:
	// 8
	// quarantined 0
}
