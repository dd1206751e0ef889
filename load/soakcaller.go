package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/rpc"
)

const (
	soakMostTasks = 8
	// keyedOneIn is the share of jobs that are submitted under a caller's own key; the log bounds their rate.
	keyedOneIn = 12
	// attemptTimeout is how long a caller waits at one entry VM before it turns to another.
	attemptTimeout = 3 * time.Second
	// patienceForNext is how long a caller waits for an answer before it submits its next job beside it.
	patienceForNext = 200 * time.Millisecond
	longestAfter    = 6 * time.Second
	attemptPause    = 100 * time.Millisecond
	soakDeadline    = 8 * time.Second
)

// Gateways holds one client per address of an entry VM. mu guards the map.
type Gateways struct {
	mu      sync.Mutex
	clients map[string]*rpc.Client
	// former are clients that calls in progress may still use.
	former []*rpc.Client
}

// NewGateways returns an empty set.
func NewGateways() *Gateways { return &Gateways{clients: make(map[string]*rpc.Client)} }

// Client returns the client of an address.
func (g *Gateways) Client(address string) (*rpc.Client, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.clients[address]; ok {
		return c, nil
	}
	c, err := rpc.NewClient([]string{address}, nil)
	if err == nil {
		g.clients[address] = c
	}
	return c, err
}

// Forget drops the client of an address with the job ids that it has fetched ahead: the process that minted them has
// ended, and jobs submitted under them would only be answered as lost.
func (g *Gateways) Forget(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.clients[address]; ok {
		g.former = append(g.former, c)
		delete(g.clients, address)
	}
}

// Close ends all connections.
func (g *Gateways) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.former {
		c.Close()
	}
	for _, c := range g.clients {
		c.Close()
	}
}

// soakJob is a job of a soak run with the caller's behaviour, drawn before the job is submitted.
type soakJob struct {
	record *JobRecord
	// first and others choose among the entry VMs that serve at the time.
	first         uint64
	others        []uint64
	during, after bool
	duringDelay   time.Duration
	// afterDelay lets the home end before the resubmission in some cases.
	afterDelay  time.Duration
	cancelAfter time.Duration
	joinsWave   bool
	// keyed submits under a key of the caller, to two entry VMs at once.
	keyed bool
}

// call submits jobs until end, one after the other while answers arrive in time, and returns when all have ended.
func (s *Soak) call(rng *rand.Rand, end time.Time) {
	var jobs sync.WaitGroup
	for time.Now().Before(end) {
		j := s.drawJob(rng)
		done := make(chan struct{})
		jobs.Go(func() {
			defer close(done)
			s.runJob(j, end)
		})
		select {
		case <-done:
		case <-time.After(patienceForNext):
		}
	}
	jobs.Wait()
}

func (s *Soak) drawJob(rng *rand.Rand) *soakJob {
	g := &generator{rng: rng}
	plan := &PlannedJob{Customer: "customer-1", Deadline: soakDeadline}
	for range 1 + rng.IntN(soakMostTasks) {
		p := Payload{Nominal: time.Duration(g.logUniform(float64(2*time.Millisecond), float64(40*time.Millisecond)))}
		kind := shortKinds[rng.IntN(len(shortKinds))]
		switch n := rng.IntN(200); {
		case n == 0:
			p.Nominal = time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		case n == 1:
			p.Fails = true
		case n < 6:
			kind, p.Long, p.Nominal = kindReport, true, 300*time.Millisecond
		}
		plan.Tasks = append(plan.Tasks, PlannedTask{Kind: kind, Payload: p})
	}
	j := &soakJob{
		record: &JobRecord{Plan: plan}, first: rng.Uint64(), during: rng.IntN(10) == 0, after: rng.IntN(10) == 0,
		duringDelay: time.Duration(rng.Int64N(int64(60 * time.Millisecond))), joinsWave: rng.IntN(3) > 0,
	}
	if rng.IntN(2) == 0 {
		j.afterDelay = time.Duration(rng.Int64N(int64(longestAfter)))
	}
	for range 4 {
		j.others = append(j.others, rng.Uint64())
	}
	if rng.IntN(keyedOneIn) == 0 {
		j.keyed, j.during, j.duringDelay = true, true, 0
	}
	if rng.IntN(20) == 0 {
		j.cancelAfter = time.Millisecond + time.Duration(rng.Int64N(int64(50*time.Millisecond)))
	}
	s.mu.Lock()
	plan.number(s.nextJob)
	s.nextJob++
	s.mu.Unlock()
	return j
}

// choose returns one of the entry VMs that serve.
func (s *Soak) choose(pick uint64) *EntryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	var serving []*EntryProcess
	for _, p := range s.entries {
		if p.Serving() {
			serving = append(serving, p)
		}
	}
	return serving[pick%uint64(len(serving))]
}

// mint fetches a job id from an entry VM that answers.
func (s *Soak) mint(j *soakJob, end time.Time) bool {
	for n := uint64(0); time.Now().Before(end); n++ {
		p := s.choose(j.first + n)
		client, err := s.gateways.Client(p.Callers)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		id, err := client.NewJob(ctx)
		cancel()
		if err == nil {
			j.record.ID = id
			s.learn(id, p)
			s.mu.Lock()
			s.records = append(s.records, j.record)
			s.mu.Unlock()
			return true
		}
		time.Sleep(attemptPause)
	}
	return false
}

// name gives a job its id or key and adds it to the records.
func (s *Soak) name(j *soakJob, end time.Time) bool {
	if !j.keyed {
		return s.mint(j, end)
	}
	j.record.Key = &contract.CallerKey{
		Customer: j.record.Plan.Customer, Text: fmt.Sprintf("%d-%d", s.o.Seed, j.record.Plan.Number),
		CreatedUnixMS: time.Now().UnixMilli(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, j.record)
	s.injected["key_submitted_twice_at_once"]++
	return true
}

// runJob submits a job until its final answer arrives or the bound has passed.
func (s *Soak) runJob(j *soakJob, end time.Time) {
	if !s.name(j, end) {
		return
	}
	var side sync.WaitGroup
	over := make(chan struct{})
	if j.during {
		side.Go(func() {
			time.Sleep(j.duringDelay)
			s.attempt(j.record, s.choose(j.others[0]))
		})
	}
	side.Go(func() { s.cancelJob(j, over) })
	for n := uint64(0); ; n++ {
		if s.attempt(j.record, s.choose(j.first+n)) || time.Now().After(s.bound()) {
			break
		}
		time.Sleep(attemptPause)
	}
	close(over)
	if j.after {
		time.Sleep(j.afterDelay)
		s.attempt(j.record, s.choose(j.others[1]))
	}
	side.Wait()
}

// attempt submits a job to one entry VM and reports whether the answer is final.
func (s *Soak) attempt(r *JobRecord, p *EntryProcess) bool {
	a := Attempt{Entry: p.ID, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	client, err := s.gateways.Client(p.Callers)
	if err == nil {
		a.Answer, err = client.Do(ctx, contract.Submission{
			Ref: r.Ref(), Service: serviceName, Customer: r.Plan.Customer, Tasks: r.Plan.Specs(),
			Deadline: r.Plan.Deadline,
		})
	}
	a.Err, a.Received = err, time.Now()
	r.Add(a)
	return a.Final()
}

// cancelJob cancels a job after its drawn delay or with a wave of cancellations.
func (s *Soak) cancelJob(j *soakJob, over <-chan struct{}) {
	s.mu.Lock()
	wave := s.wave
	s.mu.Unlock()
	var alone <-chan time.Time
	if j.cancelAfter > 0 {
		alone = time.After(j.cancelAfter)
	}
	if !j.joinsWave {
		wave = nil
	}
	select {
	case <-over:
		return
	case <-alone:
	case <-wave:
	}
	client, err := s.gateways.Client(s.choose(j.others[2]).Callers)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	// The job's answer tells what the cancellation did.
	_, _ = client.Cancel(ctx, j.record.Ref())
}
