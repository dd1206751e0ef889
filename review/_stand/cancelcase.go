package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	cancelPrefix = "/lohu930/"
	cancelBound  = 3 * time.Second
	stopGraceMax = 50 * time.Millisecond
	firstStep    = 4 * time.Second
	secondStep   = 2 * time.Second
	cancelLimit  = 20 * time.Second
	cancelCPU    = 15000
	copiedJobs   = 2
	copiedCPU    = 1000
	copyAfter    = 3500 * time.Millisecond
	cancelJobs   = 3
	keptJobs     = 10
)

func init() { cases["cancel-elsewhere"] = cancelElsewhere }

// cancelElsewhere lets clients cancel jobs by DELETE over channels that the platform has forwarded to another daemon than
// the one that holds the job. Other jobs are cancelled where they are held, and a copy of their submission arrives late.
func cancelElsewhere(r *rig, trouble bool) ([]string, error) {
	for i := range 4 {
		if _, err := r.addWorker(fmt.Sprintf("i-%04d", i), "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := r.publish(7, newRoute("r-1", cancelPrefix, cancelLimit)); err != nil {
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
	a, b := r.daemons[0], r.daemons[1]
	acks := make(map[string]time.Time)
	var done []<-chan outcome
	for n := range cancelJobs + keptJobs {
		id := newJobID()
		steps := []step{
			{count: 1, cpu: cancelCPU, work: firstStep},
			{count: 1, cpu: cancelCPU, work: secondStep, depends: []int{0}},
		}
		done = append(done, r.submit(a, cancelPrefix, id, steps, cancelLimit))
		if n < cancelJobs {
			acks[id] = time.Time{}
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for id := range acks {
			o := r.cancel(b, cancelPrefix, id)
			if o.cut != nil || o.timedOut {
				return nil, fmt.Errorf("a cancel got no answer: %v", o)
			}
			if o.status/100 == 2 || o.status == http.StatusGone {
				acks[id] = o.ended
			}
		}
	}
	if trouble {
		copies, err := r.cancelAndCopy(a, b, acks)
		if err != nil {
			return nil, err
		}
		done = append(done, copies...)
	}
	for _, d := range done {
		<-d
	}
	return r.runsAfter(acks), nil
}

// cancelAndCopy lets clients cancel jobs by DELETE at the daemon that holds them. Seconds after that a copy of the
// submission of each arrives at another daemon.
func (r *rig) cancelAndCopy(a, b *daemon, acks map[string]time.Time) ([]<-chan outcome, error) {
	steps := []step{{count: 1, cpu: copiedCPU, work: secondStep}}
	var ids []string
	for range copiedJobs {
		id := newJobID()
		first := r.submit(a, cancelPrefix, id, steps, cancelLimit)
		time.Sleep(100 * time.Millisecond)
		o := r.cancel(a, cancelPrefix, id)
		if o.status != http.StatusOK {
			return nil, fmt.Errorf("a cancel at the daemon of the job got no 200: %v", o)
		}
		<-first
		acks[id] = o.ended
		ids = append(ids, id)
	}
	time.Sleep(copyAfter)
	var copies []<-chan outcome
	for _, id := range ids {
		copies = append(copies, r.submit(b, cancelPrefix, id, steps, cancelLimit))
	}
	return copies, nil
}

// cancel sends a DELETE for a job over a new channel.
func (r *rig) cancel(d *daemon, prefix, id string) outcome {
	o := outcome{job: id, sent: time.Now()}
	c, err := openChannel(d.front)
	if err == nil {
		defer func() { _ = c.conn.Close() }()
		err = c.send(http.MethodDelete, prefix+id, cancelLimit, nil)
	}
	if err != nil {
		o.cut, o.ended = err, time.Now()
		return o
	}
	c.receive(&o, cancelLimit)
	r.rec.line("client: DELETE of job %s at %s: %v", id, d.vm, o)
	return o
}

// runsAfter returns the starts and runs of cancelled jobs later than the bounds allow.
func (r *rig) runsAfter(acks map[string]time.Time) []string {
	r.plans.mu.Lock()
	defer r.plans.mu.Unlock()
	var broken []string
	for task, starts := range r.plans.starts {
		ack := acks[strings.SplitN(task, ".", 2)[0]]
		if ack.IsZero() {
			continue
		}
		for _, s := range starts {
			if late := s.at.Sub(ack); late > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s was started on %v, %.3f s after the ack of the cancel",
					task, s, late.Seconds()))
			}
		}
		for _, e := range r.plans.ends[task] {
			if late := e.Sub(ack); late > cancelBound+stopGraceMax {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s ran until %.3f s after the ack of the cancel", task, late.Seconds()))
			}
		}
	}
	return broken
}
