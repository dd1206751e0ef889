package main

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// smaller plays a worker that crashes just before a job arrives, stays dark for darkTime and comes back under its id as a smaller kind.
// The workers do not guard their capacity, so the daemons must not start more there than fits.
func smaller(r *rig, trouble bool) (bool, error) {
	const (
		workers   = 6
		perWorker = 4
		runTime   = 1500 * time.Millisecond
		darkTime  = 2 * time.Second
		timeLimit = 12 * time.Second
		// afterwards is how long the play goes on after the answer, so that nothing that starts late is missed.
		afterwards = time.Second
	)
	need := machine.Resources{CPUMillis: 1000, MemoryMB: 16384}
	large := machine.Resources{CPUMillis: 64000, MemoryMB: perWorker * need.MemoryMB}
	small := machine.Resources{CPUMillis: 64000, MemoryMB: perWorker * need.MemoryMB / 2}
	zones := []string{"a", "b", "c"}
	r.publish(1, false)
	for i := range workers {
		_, err := r.addWorker(fmt.Sprintf("w-%d", i), zones[i%len(zones)], large, false, need,
			func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: runTime} })
		if err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if _, err := r.addDaemon("edge-"+zone, zone); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	w := r.workers[0]
	if trouble {
		w.crash()
	}
	answered := make(chan int, 1)
	go func() {
		status, _ := r.call(r.daemons[0], "POST", "00000000000000a1", job(map[string]any{
			"count": workers * perWorker, "cpu": need.CPUMillis, "mem_mb": need.MemoryMB, "estimate_ms": runTime.Milliseconds(),
		}), timeLimit)
		answered <- status
	}()
	time.Sleep(darkTime)
	if trouble {
		w.restart(small, []string{"b", "r-w-0"})
	}
	<-answered
	time.Sleep(afterwards)
	over := 0
	for _, w := range r.workers {
		over += w.host.Overfilled()
	}
	r.rec.add("starts that brought a worker over its capacity: %d", over)
	return over > 0, nil
}
