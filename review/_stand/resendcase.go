package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	resendPrefix = "/gono990/"
	resendJobs   = 6
	resendWork   = 2 * time.Second
	resendLimit  = 10 * time.Second
	resetAfter   = 500 * time.Millisecond
	// retransmit is retransmit_ms of the site.
	retransmit = 1300 * time.Millisecond
)

func init() { cases["resend-cancelled"] = resendCancelled }

// resendCancelled resets half of the channels on which clients wait for their jobs at one daemon. They send the jobs again, and the platform
// forwards their new channels to the same daemon, as it chooses that by a hash of the client.
func resendCancelled(r *rig, trouble bool) ([]string, error) {
	for i := range 4 {
		if _, err := r.addWorker(fmt.Sprintf("i-%04d", i), "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := r.publish(7, newRoute("r-1", resendPrefix, resendLimit)); err != nil {
		return nil, err
	}
	for _, vm := range []string{"edge-1", "edge-2", "edge-3"} {
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
	balancer, err := newRelay(r.daemons[0].front)
	if err != nil {
		return nil, err
	}
	answers := make(chan outcome, resendJobs)
	for range resendJobs {
		go func() { answers <- r.submitUntilAnswered(balancer.address, newJobID()) }()
	}
	time.Sleep(resetAfter)
	if trouble {
		r.rec.line("channels that are reset: %d", balancer.resetHalf())
	}
	var broken []string
	for range resendJobs {
		o := <-answers
		if o.status == http.StatusOK && strings.Contains(o.body, `"cancelled"`) {
			broken = append(broken, fmt.Sprintf("LOST: job %s, which nobody has cancelled: %v", o.job, o))
		}
	}
	return broken, nil
}

// submitUntilAnswered sends a job, and again after each broken channel, 502 or 504, until it is answered or time is up.
func (r *rig) submitUntilAnswered(address, id string) outcome {
	steps := []step{{count: 1, cpu: taskCPU, work: resendWork}}
	r.plans.add(id, steps)
	end := time.Now().Add(resendLimit)
	for {
		o := outcome{job: id, sent: time.Now()}
		left := time.Until(end)
		c, err := openChannel(address)
		if err == nil {
			err = c.send(http.MethodPost, resendPrefix+id, left, jobBody(steps))
		}
		if err != nil {
			o.cut, o.ended = err, time.Now()
		} else {
			c.receive(&o, left)
			_ = c.conn.Close()
		}
		r.rec.line("client: job %s: %v", id, o)
		again := o.cut != nil || o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout
		if !again || time.Until(end) < retransmit {
			return o
		}
		time.Sleep(retransmit)
	}
}
