package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	exitPrefix  = "/pufi791/"
	exitWorkers = 4
	exitClients = 6
	exitRounds  = 4
	exitWork    = 300 * time.Millisecond
	exitLimit   = 5 * time.Second
	// sendAfter is when the clients send their jobs, counted from the moment at which the daemon takes no new channels.
	sendAfter = 300 * time.Millisecond
)

func init() { cases["stop-open-channels"] = stopOpenChannels }

// stopOpenChannels stops daemons, one at a time, whose clients send a job each on a channel that is still open.
func stopOpenChannels(r *rig, trouble bool) ([]string, error) {
	for i := range exitWorkers {
		if _, err := r.addWorker(fmt.Sprintf("i-%04d", i), "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := r.publish(7, newRoute("r-1", exitPrefix, exitLimit)); err != nil {
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
	var broken []string
	for n := range exitRounds {
		lost, err := r.stopWithOpenChannels(r.daemons[n%2], trouble)
		if err != nil {
			return nil, err
		}
		broken = append(broken, lost...)
	}
	return broken, nil
}

// stopWithOpenChannels stops one daemon and starts it again. Its metrics are read once before, over a channel that stays
// open, and each client has had one job answered.
func (r *rig) stopWithOpenChannels(d *daemon, trouble bool) ([]string, error) {
	scraper, err := openChannel(d.metrics)
	if err != nil {
		return nil, err
	}
	defer func() { _ = scraper.conn.Close() }()
	if err := scraper.send(http.MethodGet, "/metrics", exitLimit, nil); err != nil {
		return nil, err
	}
	metrics := outcome{sent: time.Now()}
	scraper.receive(&metrics, exitLimit)
	r.rec.line("metrics of %s: %d, %d bytes; the channel stays open", d.vm, metrics.status, len(metrics.body))
	clients := make([]*channel, exitClients)
	for i := range clients {
		if clients[i], err = openChannel(d.front); err != nil {
			return nil, err
		}
		defer func() { _ = clients[i].conn.Close() }()
	}
	r.exchangeAll(clients, d)
	_, exited := d.process()
	if trouble {
		d.signal(syscall.SIGTERM)
		d.awaitClosed()
	}
	time.Sleep(sendAfter)
	var broken []string
	for _, o := range r.exchangeAll(clients, d) {
		starts := r.plans.startsOf(o.job)
		if o.cut != nil && len(starts) > 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s, passed on to %v by %s: %v", o.job, starts, d.vm, o))
		}
	}
	if !trouble {
		return broken, nil
	}
	<-exited
	if err := d.start(); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return broken, nil
}

// awaitClosed waits until a daemon takes no new channels.
func (d *daemon) awaitClosed() {
	for begin := time.Now(); time.Since(begin) < graceS*time.Second; time.Sleep(2 * time.Millisecond) {
		c, err := openChannel(d.front)
		if err != nil {
			break
		}
		_ = c.conn.Close()
	}
	d.r.rec.line("daemon %s takes no new channels", d.vm)
}

// exchangeAll sends a job on each channel and waits for the answers.
func (r *rig) exchangeAll(clients []*channel, d *daemon) []outcome {
	answers := make(chan outcome, len(clients))
	for _, c := range clients {
		go func() { answers <- r.exchange(c, d) }()
	}
	var all []outcome
	for range clients {
		all = append(all, <-answers)
	}
	return all
}

// exchange sends a job on an open channel and waits for the answer.
func (r *rig) exchange(c *channel, d *daemon) outcome {
	id := newJobID()
	steps := []step{{count: 1, cpu: taskCPU, work: exitWork}}
	r.plans.add(id, steps)
	o := outcome{job: id, sent: time.Now()}
	if err := c.send(http.MethodPost, exitPrefix+id, exitLimit, jobBody(steps)); err != nil {
		o.cut, o.ended = err, time.Now()
	} else {
		c.receive(&o, exitLimit)
	}
	r.rec.line("client: job %s at %s: %v", id, d.vm, o)
	return o
}
