package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Times of the case dropped-queue.
const (
	configBound = 2 * time.Second
	ackBound    = 4 * time.Second
	cancelBound = 3 * time.Second
	// chainSteps is the number of steps of a job, one after the other, chainStep how long each takes.
	chainSteps = 45
	chainStep  = 400 * time.Millisecond
	chainLimit = 25 * time.Second
	// dropAfter is the time from the submissions to the removal of the queue, cancelPause that between two cancels of a job.
	dropAfter   = time.Second
	cancelPause = time.Second
)

// droppedQueue cancels jobs after the operator has removed their queue.
func droppedQueue(r *rig, trouble bool) (bool, error) {
	const daemons = 3
	need := machine.Resources{CPUMillis: 1000, MemoryMB: 64}
	zones := []string{"a", "b", "c"}
	r.publish(1, true)
	for i := range daemons {
		w, err := r.newWorker(fmt.Sprintf("w-%d", i), zones[i], machine.Resources{CPUMillis: 16000, MemoryMB: 32768}, true, need,
			func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: chainStep} })
		if err != nil {
			return false, err
		}
		r.runWorker(w)
	}
	for i := range daemons {
		if _, err := r.addDaemon(fmt.Sprintf("edge-%d", i), zones[i]); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	var steps []map[string]any
	for n := range chainSteps {
		step := map[string]any{"count": 1, "cpu": need.CPUMillis, "mem_mb": need.MemoryMB, "estimate_ms": chainStep.Milliseconds()}
		if n > 0 {
			step["depends_on"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	var clients sync.WaitGroup
	ids := make([]string, daemons)
	// noTaskAfter is the time after which no task of a job may start.
	noTaskAfter := make([]time.Time, daemons)
	for n := range daemons {
		ids[n] = fmt.Sprintf("00000000000000a%d", n)
		clients.Go(func() { r.call(r.daemons[n], http.MethodPost, ids[n], job(steps...), chainLimit) })
	}
	time.Sleep(dropAfter)
	if trouble {
		r.publishRoute(2, true, "/other/")
	}
	time.Sleep(configBound + time.Second)
	for n := range daemons {
		clients.Go(func() { noTaskAfter[n] = r.cancel(r.daemons[(n+1)%daemons], ids[n]) })
	}
	clients.Wait()
	time.Sleep(time.Second)
	late := 0
	for n, id := range ids {
		for _, s := range r.startsOf(id) {
			if s.at.After(noTaskAfter[n]) {
				late++
				r.rec.add("UNASKED: %s started %v too late", name(s.key), s.at.Sub(noTaskAfter[n]).Round(time.Millisecond))
			}
		}
	}
	r.rec.add("starts too late: %d", late)
	return late > 0, nil
}

// cancel cancels a job, again until it is answered 2xx or 410 or has waited ackBound. It returns the time after which no task of it may
// start.
func (r *rig) cancel(d *daemon, id string) time.Time {
	first := time.Now()
	for time.Since(first) < ackBound+cancelBound {
		status, _ := r.call(d, http.MethodDelete, id, nil, cancelBound)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now().Add(cancelBound)
		}
		time.Sleep(cancelPause)
	}
	return first.Add(ackBound + cancelBound)
}
