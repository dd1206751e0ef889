package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	service     = "bookings"
	routeHost   = "soak.example"
	routePrefix = "/jobs/"
	// taskEstimateMS is the run time that clients declare.
	taskEstimateMS = 300
	// maxLease is the longest lease that workers grant.
	maxLease         = time.Second
	clientsPerDomain = 12
	// settleTime is the time after the start, and after the last fault, in which the daemons find each other.
	settleTime = 4 * time.Second
	// closingJobs is the number of jobs that each daemon has to serve after the faults.
	closingJobs = 3
)

// capacity is the room of each worker, taskNeed what each task takes of it.
var (
	capacity = machine.Resources{CPUMillis: 64_000, MemoryMB: 131_072}
	taskNeed = machine.Resources{CPUMillis: 27_000, MemoryMB: 64}
)

// Options select a run. Program is the binary whose edge daemons run.
type Options struct {
	Program  string
	Seed     uint64
	Duration time.Duration
	// Domains, Daemons and Workers are the numbers of failure domains and, for each of them, of daemons and workers.
	Domains, Daemons, Workers int
	// Faults limits the kinds of faults; none means all.
	Faults []string
	// Dir receives the settings and logs of the daemons; a temporary one is used if empty.
	Dir string
	Out io.Writer
}

// Report is the outcome of a run.
type Report struct {
	Seed            uint64         `json:"seed"`
	TasksStarted    int            `json:"tasks_started"`
	FaultsInjected  map[string]int `json:"faults_injected"`
	InvariantChecks map[string]int `json:"invariant_checks"`
	Violations      int            `json:"violations"`
	AnswersMissing  int            `json:"answers_missing"`
	Jobs            int            `json:"jobs"`
	Completed       int            `json:"jobs_completed"`
	Refused         int            `json:"jobs_refused"`
	Dir             string         `json:"dir"`
}

// worker is a stand-in of a worker behind a relay. crashing is held while it is down.
type worker struct {
	id       string
	domain   string
	host     *standin.RunHost
	server   *standin.HostServer
	relay    *load.Relay
	crashing sync.Mutex
}

// planned is one planned stop.
type planned struct {
	daemon     *daemon
	begin, end time.Time
}

// Soak is one run. mu guards the fields below it; the parts lock their own state.
type Soak struct {
	o       Options
	dir     string
	begin   time.Time
	store   *standin.KeyedLog
	runs    *runs
	workers []*worker
	daemons []*daemon

	mu     sync.Mutex
	jobs   []*job
	stops  []planned
	report Report
}

// FaultKinds returns the names of all kinds of faults.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faults)) }

// Run performs a run.
func Run(o Options) (Report, error) {
	s := &Soak{o: o, begin: time.Now(), runs: newRuns(), report: Report{
		Seed: o.Seed, FaultsInjected: make(map[string]int), InvariantChecks: make(map[string]int),
	}}
	for _, kind := range o.Faults {
		if _, ok := faults[kind]; !ok {
			return Report{}, fmt.Errorf("unknown kind of fault %q; known are %v", kind, FaultKinds())
		}
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	time.Sleep(settleTime)
	end := time.Now().Add(o.Duration)
	var clients sync.WaitGroup
	for domain := range o.Domains {
		for n := range clientsPerDomain {
			c := newClient(s, domainName(domain), rand.New(rand.NewPCG(o.Seed, uint64(100+100*domain+n))))
			clients.Go(func() { c.run(end) })
		}
	}
	s.inject(rand.New(rand.NewPCG(o.Seed, 1)), end)
	clients.Wait()
	time.Sleep(settleTime)
	s.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.TasksStarted, s.report.Dir = s.runs.count(), s.dir
	return s.report, nil
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n) }

func (s *Soak) start() error {
	var err error
	if s.dir = s.o.Dir; s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "cicadadale-soak-"); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	s.store = standin.ServeKeyedLog(l)
	s.publish()
	for domain := range s.o.Domains {
		for n := range s.o.Workers {
			if err := s.addWorker(domainName(domain), fmt.Sprintf("worker-%d-%d", domain, n)); err != nil {
				return err
			}
		}
	}
	addresses := load.NewAddresses(ownLoopback())
	for domain := range s.o.Domains {
		for n := range s.o.Daemons {
			vm := fmt.Sprintf("edge-%d-%d", domain, n)
			d, err := newDaemon(s.o, addresses, s.dir, vm, domainName(domain), l.Addr().String())
			if err != nil {
				return err
			}
			if err := d.start(); err != nil {
				return err
			}
			s.daemons = append(s.daemons, d)
		}
	}
	return nil
}

// ownLoopback returns a loopback address on which other runs on this machine, and outgoing connections, take no ports.
func ownLoopback() string {
	part := func() int { return 1 + rand.IntN(250) }
	return fmt.Sprintf("127.%d.%d.%d", part(), part(), part())
}

// publish writes the operator's desired state.
func (s *Soak) publish() {
	s.store.Put("keyed.op", "config", standin.DesiredDocument(1, contract.Route{
		Name: "jobs", Host: routeHost, PathPrefix: routePrefix, Backend: service, Attempts: 2, TargetFactor: 1.6,
		TargetSlack: 60 * time.Millisecond, Timeout: 10 * time.Second,
	}))
}

func (s *Soak) addWorker(domain, id string) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	host := standin.NewRunHost(standin.RunHostOptions{
		ID: id, Capacity: capacity, MaxLease: maxLease, Observer: s.runs,
		Work: work, Need: func(contract.RunKey) machine.Resources { return taskNeed },
	})
	relay, err := load.NewRelay(l.Addr().String())
	if err != nil {
		return err
	}
	w := &worker{id: id, domain: domain, host: host, server: standin.ServeHost(l, id, host), relay: relay}
	s.workers = append(s.workers, w)
	s.list(w)
	return nil
}

// list writes a worker's entry.
func (s *Soak) list(w *worker) {
	s.store.Put("keyed.servers", w.id, standin.EntryDocument(machine.Listing{
		Worker: w.id, Backend: service, Address: w.relay.Address(), Zone: w.domain, Born: w.host.Born(), Capacity: capacity,
		Labels: []string{"a", "r1"},
	}))
}

// work says how a run goes: most take less than a second, a few several.
func work(key contract.RunKey) standin.RunOutcome {
	h := xxhash.Sum64String(key.String())
	takes := time.Duration(30+h%500) * time.Millisecond
	if h%41 == 0 {
		takes *= 6
	}
	return standin.RunOutcome{Takes: takes, Fails: h%503 == 1, Stalls: h%307 == 2}
}

// near returns a daemon of a failure domain.
func (s *Soak) near(domain string, pick int) *daemon {
	var all []*daemon
	for _, d := range s.daemons {
		if d.domain == domain {
			all = append(all, d)
		}
	}
	return all[pick%len(all)]
}

func (s *Soak) keep(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, j)
}

func (s *Soak) stopped(d *daemon, begin time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, planned{d, begin, time.Now()})
}

// injected counts a fault and writes it to the file of faults.
func (s *Soak) injected(kind, struck string, begin time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.FaultsInjected[kind]++
	f, err := os.OpenFile(filepath.Join(s.dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		_, _ = fmt.Fprintln(s.o.Out, "faults are not logged:", err)
		return
	}
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%s %s %s until %s\n", begin.Format(time.RFC3339Nano), kind, struck, time.Now().Format(time.RFC3339Nano))
}

// violate counts and prints a broken promise.
func (s *Soak) violate(check, seen string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations++
	_, _ = fmt.Fprintf(s.o.Out, "seed %d, %v: violation of %s: %s\n", s.o.Seed, time.Since(s.begin), check, seen)
}

func (s *Soak) checked(check string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.InvariantChecks[check] += n
}

func (s *Soak) close() {
	for _, d := range s.daemons {
		d.close()
	}
	for _, w := range s.workers {
		w.relay.Close()
		// The run is over; what the servers still do has no effect.
		_ = w.server.Close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
}

// answered reports whether a client has got a final answer.
func (j *job) answered() bool {
	last := j.attempts[len(j.attempts)-1]
	return last.err == nil && last.status == http.StatusOK
}
