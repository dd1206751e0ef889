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
	// keyedOneIn is the number of jobs of which on average one is submitted under a key of the caller. The append rate of
	// the log limits the number of such jobs.
	keyedOneIn = 12
	// attemptTimeout is how long a caller waits for one entry VM before it tries another.
	attemptTimeout = 3 * time.Second
	// nextJobDelay is how long a caller waits for an answer before it submits its next job in parallel.
	nextJobDelay     = 200 * time.Millisecond
	maxResubmitDelay = 6 * time.Second
	attemptPause     = 100 * time.Millisecond
	soakDeadline     = 8 * time.Second
)

// Clients holds one client per address of an entry VM. mu guards the fields below it.
type Clients struct {
	mu      sync.Mutex
	clients map[string]*rpc.Client
	// dropped are removed clients that calls in progress may still use.
	dropped []*rpc.Client
}

// NewClients returns an empty set of clients.
func NewClients() *Clients { return &Clients{clients: make(map[string]*rpc.Client)} }

// Client returns the client of an address, which it creates if needed.
func (s *Clients) Client(address string) (*rpc.Client, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[address]; ok {
		return c, nil
	}
	c, err := rpc.NewClient([]string{address}, nil)
	if err == nil {
		s.clients[address] = c
	}
	return c, err
}

// Drop removes the client of an address together with its prefetched job ids: the process that assigned them has ended,
// and jobs submitted under them would only be answered as lost.
func (s *Clients) Drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[address]; ok {
		s.dropped = append(s.dropped, c)
		delete(s.clients, address)
	}
}

// Close closes all connections.
func (s *Clients) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.dropped {
		c.Close()
	}
	for _, c := range s.clients {
		c.Close()
	}
}

// soakJob is a job of a soak run with the caller's behaviour, drawn before the job is submitted.
type soakJob struct {
	record *JobRecord
	// firstPick and otherPicks select among the entry VMs that are in service at the time.
	firstPick                     uint64
	otherPicks                    []uint64
	resubmitDuring, resubmitAfter bool
	duringDelay                   time.Duration
	// afterDelay delays the resubmission, so that in some cases the home has ended before it.
	afterDelay   time.Duration
	cancelAfter  time.Duration
	inCancelWave bool
	// keyed jobs are submitted under a key of the caller, to two entry VMs at once.
	keyed bool
}

// runCaller submits jobs until end and returns when all have ended. It waits up to nextJobDelay for each answer before
// it submits the next job.
func (s *Soak) runCaller(rng *rand.Rand, end time.Time) {
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
		case <-time.After(nextJobDelay):
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
		record: &JobRecord{Plan: plan}, firstPick: rng.Uint64(),
		resubmitDuring: rng.IntN(10) == 0, resubmitAfter: rng.IntN(10) == 0,
		duringDelay: time.Duration(rng.Int64N(int64(60 * time.Millisecond))), inCancelWave: rng.IntN(3) > 0,
	}
	if rng.IntN(2) == 0 {
		j.afterDelay = time.Duration(rng.Int64N(int64(maxResubmitDelay)))
	}
	for range 4 {
		j.otherPicks = append(j.otherPicks, rng.Uint64())
	}
	if rng.IntN(keyedOneIn) == 0 {
		j.keyed, j.resubmitDuring, j.duringDelay = true, true, 0
	}
	if rng.IntN(20) == 0 {
		j.cancelAfter = time.Millisecond + time.Duration(rng.Int64N(int64(50*time.Millisecond)))
	}
	s.mu.Lock()
	plan.setNumber(s.nextJob)
	s.nextJob++
	s.mu.Unlock()
	return j
}

// pickServing returns one of the entry VMs in service.
func (s *Soak) pickServing(pick uint64) *EntryProcess {
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

// fetchID fetches a job id, trying entry VMs until one answers.
func (s *Soak) fetchID(j *soakJob, end time.Time) bool {
	for n := uint64(0); time.Now().Before(end); n++ {
		p := s.pickServing(j.firstPick + n)
		client, err := s.clients.Client(p.Callers)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		id, err := client.NewJob(ctx)
		cancel()
		if err == nil {
			j.record.ID = id
			s.recordHome(id, p)
			s.mu.Lock()
			s.records = append(s.records, j.record)
			s.mu.Unlock()
			return true
		}
		time.Sleep(attemptPause)
	}
	return false
}

// identify assigns a job its id or key and adds it to the records.
func (s *Soak) identify(j *soakJob, end time.Time) bool {
	if !j.keyed {
		return s.fetchID(j, end)
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

// runJob submits a job until its final answer arrives or the answer deadline has passed.
func (s *Soak) runJob(j *soakJob, end time.Time) {
	if !s.identify(j, end) {
		return
	}
	var background sync.WaitGroup
	done := make(chan struct{})
	if j.resubmitDuring {
		background.Go(func() {
			time.Sleep(j.duringDelay)
			s.attempt(j.record, s.pickServing(j.otherPicks[0]))
		})
	}
	background.Go(func() { s.cancelJob(j, done) })
	for n := uint64(0); ; n++ {
		if s.attempt(j.record, s.pickServing(j.firstPick+n)) || time.Now().After(s.answerDeadline()) {
			break
		}
		time.Sleep(attemptPause)
	}
	close(done)
	if j.resubmitAfter {
		time.Sleep(j.afterDelay)
		s.attempt(j.record, s.pickServing(j.otherPicks[1]))
	}
	background.Wait()
}

// attempt submits a job to one entry VM and reports whether the answer is final.
func (s *Soak) attempt(r *JobRecord, p *EntryProcess) bool {
	a := Attempt{Entry: p.ID, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	client, err := s.clients.Client(p.Callers)
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

// cancelJob cancels a job after its drawn delay or with a wave of cancellations, unless the job has ended before.
func (s *Soak) cancelJob(j *soakJob, done <-chan struct{}) {
	s.mu.Lock()
	cancelSignal := s.cancelSignal
	s.mu.Unlock()
	var ownDelay <-chan time.Time
	if j.cancelAfter > 0 {
		ownDelay = time.After(j.cancelAfter)
	}
	if !j.inCancelWave {
		cancelSignal = nil
	}
	select {
	case <-done:
		return
	case <-ownDelay:
	case <-cancelSignal:
	}
	client, err := s.clients.Client(s.pickServing(j.otherPicks[2]).Callers)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	// The job's answer shows the effect of the cancellation.
	_, _ = client.Cancel(ctx, j.record.Ref())
}
