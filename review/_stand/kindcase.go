package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	kindPrefix   = "/pule252/"
	kindWorkers  = 12
	kindWork     = 400 * time.Millisecond
	kindJobEvery = 90 * time.Millisecond
	kindLimit    = 5 * time.Second
	crashPause   = 2 * time.Second
	// A supervisor starts the worker again at once, or half a second after its crash.
	quickRestart = 3 * time.Millisecond
	slowRestart  = 500 * time.Millisecond
	storeOutage  = 4500 * time.Millisecond
)

func init() { cases["restart-kind"] = restartKind }

// restartKind lets workers of kind b crash, one at a time, and start again as kind a under their id, while tasks that
// require kind b wait for room: three that are back at once, then one while the store is down.
func restartKind(r *rig, trouble bool) ([]string, error) {
	for i := range kindWorkers {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		if _, err := r.addWorker(fmt.Sprintf("i-%04d", i), kind, fmt.Sprintf("r1-%d", i/6)); err != nil {
			return nil, err
		}
	}
	if err := r.publish(7, newRoute("r-1", kindPrefix, kindLimit)); err != nil {
		return nil, err
	}
	for _, vm := range []string{"edge-1", "edge-2"} {
		if _, err := r.addDaemon(vm, zoneName); err != nil {
			return nil, err
		}
	}
	for _, d := range r.daemons {
		if err := d.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	stop, stopped := make(chan struct{}), make(chan []<-chan outcome)
	go func() { stopped <- r.submitKindB(stop) }()
	time.Sleep(crashPause)
	for _, w := range []*worker{r.workers[2], r.workers[5], r.workers[8]} {
		if trouble {
			if err := w.crash("a", quickRestart); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashPause)
	}
	if trouble {
		if err := r.crashInOutage(r.workers[11]); err != nil {
			return nil, err
		}
	}
	time.Sleep(crashPause)
	close(stop)
	for _, o := range <-stopped {
		<-o
	}
	return r.wrongKinds(), nil
}

// crashInOutage lets a worker crash and start again as kind a while the store is down.
func (r *rig) crashInOutage(w *worker) error {
	r.rec.line("the store is down for %v", storeOutage)
	r.store.setDown(true)
	outage := time.After(storeOutage)
	time.Sleep(slowRestart)
	if err := w.crash("a", slowRestart); err != nil {
		return err
	}
	<-outage
	r.store.setDown(false)
	r.rec.line("the store is back")
	return nil
}

// submitKindB sends jobs whose tasks require kind b until stop is closed.
func (r *rig) submitKindB(stop <-chan struct{}) []<-chan outcome {
	var all []<-chan outcome
	ticker := time.NewTicker(kindJobEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return all
		case <-ticker.C:
			steps := []step{{count: 2, cpu: taskCPU, work: kindWork, requires: "b"}}
			all = append(all, r.submit(r.daemons[n%len(r.daemons)], kindPrefix, newJobID(), steps, kindLimit))
		}
	}
}

// wrongKinds returns the starts on workers without the label that the task requires.
func (r *rig) wrongKinds() []string {
	r.plans.mu.Lock()
	defer r.plans.mu.Unlock()
	var broken []string
	for task, starts := range r.plans.starts {
		for _, s := range starts {
			if !slices.Contains(s.labels, "b") && s.acquired {
				broken = append(broken, fmt.Sprintf("ROUTE: at %.3f s task %s, which requires b, was started on %v, after the "+
					"worker had told its daemon of this lifetime", s.at.Sub(r.rec.begin).Seconds(), task, s))
			}
		}
	}
	return broken
}
