package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	// resendDelay is how long a client waits before it resubmits a job whose connection has failed.
	resendDelay = 1300 * time.Millisecond
	// answerSlack is how long after a job's time limit its answer may arrive.
	answerSlack = 500 * time.Millisecond
	clientPause = 20 * time.Millisecond
	maxTasks    = 6
	// While clients_cancel is injected, one in cancelledShare jobs is cancelled.
	cancelledShare = 4
)

// attempt is one submission of a job.
type attempt struct {
	status int
	// body is the whole body of the answer, state the one that it names.
	body    string
	state   string
	err     error
	daemon  *daemon
	sent    time.Time
	elapsed time.Duration
	// left is what was left of the job's time limit when the request was sent.
	left time.Duration
}

// job is a job with the attempts of its client, which waits for the answer for the time of patience.
type job struct {
	id       string
	tasks    int
	limit    time.Duration
	patience time.Duration
	// firstLimit is the time limit of the first submission, zero for limit.
	firstLimit time.Duration
	attempts   []attempt
	// cancelled is when a daemon acknowledged that the job is cancelled; zero if none has.
	cancelled time.Time
}

// refused reports whether every attempt was refused, which states that the job has not run.
func (j *job) refused() bool {
	for _, a := range j.attempts {
		if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
			return false
		}
	}
	return len(j.attempts) > 0
}

// waits returns for how long the client waits for an answer to one attempt.
func (j *job) waits() time.Duration {
	if j.patience < j.limit {
		return j.patience
	}
	return j.limit + answerSlack
}

// client submits jobs over persistent connections. domain is its failure domain.
type client struct {
	s      *Soak
	rng    *rand.Rand
	http   *http.Client
	domain string
}

func newClient(s *Soak, domain string, rng *rand.Rand) *client {
	return &client{s: s, rng: rng, domain: domain, http: &http.Client{Transport: &http.Transport{}}}
}

// run submits jobs sequentially until end.
func (c *client) run(end time.Time) {
	defer c.http.CloseIdleConnections()
	for time.Now().Before(end) {
		j := &job{
			id: fmt.Sprintf("%016x", c.rng.Uint64()), tasks: 1 + c.rng.IntN(maxTasks),
			limit:      c.s.late.limit(time.Duration(1200+c.rng.IntN(3000)) * time.Millisecond),
			firstLimit: c.s.firstLimit(c.rng),
		}
		c.submit(j)
		c.s.recordJob(j)
		time.Sleep(clientPause)
	}
}

// submit submits a job and retries until it is answered or refused, or until its time limit leaves no time for another
// attempt. The balancer passes the first attempt to a daemon of the client's failure domain and each retry to any daemon.
func (c *client) submit(j *job) {
	begin := time.Now()
	deadline := begin.Add(j.limit)
	j.patience = c.s.patience(j, c.rng)
	target := c.s.daemonOf(c.domain, c.rng.IntN(len(c.s.daemons)))
	stop := c.scheduleCancel(j)
	defer stop()
	for {
		left := time.Until(deadline)
		if len(j.attempts) == 0 && j.firstLimit > 0 {
			left = min(left, j.firstLimit)
		}
		a := c.attempt(j, target, left)
		j.attempts = append(j.attempts, a)
		if time.Since(begin) >= j.patience {
			return
		}
		retry := a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
		if !retry || time.Until(deadline) < resendDelay {
			return
		}
		time.Sleep(resendDelay)
		target = c.s.randomDaemon(c.rng)
	}
}

// scheduleCancel makes some jobs be cancelled while clients_cancel is injected. The returned function waits until that is
// done, and prevents it if the job has ended before.
func (c *client) scheduleCancel(j *job) (stop func()) {
	if c.s.cancelling.Load() == 0 || c.rng.IntN(cancelledShare) > 0 {
		return func() {}
	}
	after := time.Duration(c.rng.IntN(int(maxPatience)))
	d := c.s.randomDaemon(c.rng)
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-time.After(after):
			c.cancel(j, d)
		case <-ended:
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// cancel sends the cancel of a job to a daemon.
func (c *client) cancel(j *job, d *daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), j.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+d.clients.Address()+routePrefix+j.id, nil)
	if err != nil {
		return
	}
	req.Host = routeHost
	resp, err := c.http.Do(req)
	if err != nil {
		// The cancel has not been acknowledged.
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusGone {
		j.cancelled = time.Now()
	}
}

func (c *client) attempt(j *job, d *daemon, left time.Duration) attempt {
	a := attempt{daemon: d, sent: time.Now(), left: left}
	body := standin.JobDocument(j.id, j.tasks, taskNeed, taskEstimateMS)
	ctx, cancel := context.WithTimeout(context.Background(), min(left+answerSlack, j.waits()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.clients.Address()+routePrefix+j.id, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = routeHost
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	a.elapsed = time.Since(a.sent)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = resp.StatusCode, string(text)
	var answer struct {
		State string `json:"state"`
	}
	if a.status == http.StatusOK {
		a.err = json.Unmarshal(text, &answer)
	}
	a.state = answer.State
	return a
}
