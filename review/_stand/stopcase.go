package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	stopPrefix = "/lohu930/"
	longWork   = 8 * time.Second
	shortWork  = 50 * time.Millisecond
	taskCPU    = 27000
	waitLimit  = 30 * time.Second
	lossSlack  = 200 * time.Millisecond
	queuedJobs = 4
)

func init() { cases["stop-queued"] = stopQueued }

// stopQueued stops a daemon while jobs that it has accepted wait for room behind long tasks.
func stopQueued(r *rig, trouble bool) ([]string, error) {
	for i := range 4 {
		if _, err := r.addWorker(fmt.Sprintf("i-%04d", i), "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := r.publish(7, newRoute("r-1", stopPrefix, waitLimit)); err != nil {
		return nil, err
	}
	a, err := r.addDaemon("edge-1", zoneName)
	if err != nil {
		return nil, err
	}
	b, err := r.addDaemon("edge-2", zoneName)
	if err != nil {
		return nil, err
	}
	for _, d := range r.daemons {
		if err := d.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	var long []<-chan outcome
	for range 8 {
		long = append(long, r.submit(b, stopPrefix, newJobID(), []step{{count: 1, cpu: taskCPU, work: longWork}}, waitLimit))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var waiting []<-chan outcome
	for range queuedJobs {
		waiting = append(waiting, r.submit(a, stopPrefix, newJobID(), []step{{count: 2, cpu: taskCPU, work: shortWork}}, waitLimit))
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		a.signal(syscall.SIGTERM)
	}
	var broken []string
	for _, w := range waiting {
		o := <-w
		if o.cut != nil && o.ended.Sub(o.sent) > lossSlack {
			broken = append(broken, fmt.Sprintf("LOST: job %s of the stopped daemon: %v", o.job, o))
		}
	}
	for _, l := range long {
		<-l
	}
	return broken, nil
}
