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
	"sync/atomic"
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
	// taskEstimateMS is the run time that clients declare for each task.
	taskEstimateMS = 300
	// maxLease is the longest lease that workers grant.
	maxLease = time.Second
	// attempts is the number of runs of a task that may fail before its job has failed.
	attempts         = 2
	clientsPerDomain = 12
	// settleTime is how long the run waits, after the start and after the last fault, for the daemons to find each other.
	settleTime = 4 * time.Second
	// finalJobs is the number of jobs that each daemon must serve after the faults.
	finalJobs = 3
	// One in defaultLongRuns runs takes longRunFactor times as long as the others.
	defaultLongRuns = 41
	longRunFactor   = 6
)

// capacity is the capacity of each worker, taskNeed the resources that each task needs. A worker can run two tasks at a
// time.
var (
	capacity = machine.Resources{CPUMillis: 64_000, MemoryMB: 131_072}
	taskNeed = machine.Resources{CPUMillis: 27_000, MemoryMB: 64}
)

// Options configure a run. Program is the binary that the edge daemons run.
type Options struct {
	Program  string
	Seed     uint64
	Duration time.Duration
	// Domains is the number of failure domains; Daemons and Workers are the numbers of each per failure domain.
	Domains, Daemons, Workers int
	// Faults limits the fault kinds; empty means all.
	Faults []string
	// FaultInterval is the time between faults; zero draws it from the seed.
	FaultInterval time.Duration
	// WaveShare and WaveDown are the share of the workers that worker_exit_wave ends, and for how long; zero means the
	// defaults.
	WaveShare float64
	WaveDown  time.Duration
	// LongRuns makes one in that many runs take six times as long as the others; zero means the default, 41.
	LongRuns int
	// Dir receives the settings and logs of the daemons; if empty, a temporary directory is used.
	Dir string
	Out io.Writer
}

// Report is the result of a run.
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
	// StartsHeld counts the starts that workers have left without an answer for worker_late_restart and domain_power, LateStarts those
	// of them that have begun a run after the restart, OwnersKilled the owners that were killed while the starts were held.
	StartsHeld   int `json:"starts_held"`
	LateStarts   int `json:"late_starts_executed"`
	OwnersKilled int `json:"owners_killed"`
	// LateOrders counts the starts that were executed late for worker_late_grants and have begun a run.
	LateOrders int    `json:"late_orders_executed"`
	Dir        string `json:"dir"`
}

// worker is a worker stand-in behind a relay. crashing is held while it is down.
type worker struct {
	id       string
	domain   string
	host     *standin.RunHost
	server   *standin.HostServer
	relay    *load.Relay
	crashing sync.Mutex
}

// stopRecord records one planned stop.
type stopRecord struct {
	daemon     *daemon
	begin, end time.Time
}

// Soak is one run. mu guards the fields below it; the other parts have their own locks.
type Soak struct {
	o       Options
	dir     string
	begin   time.Time
	store   *standin.KeyedLog
	runs    *runRecorder
	late    *lateTasks
	workers []*worker
	daemons []*daemon
	// leaving and cancelling count the faults that make clients leave or cancel their jobs, lateOrders those that make orders late.
	leaving    atomic.Int32
	lateOrders atomic.Int32
	cancelling atomic.Int32
	// evacuating is held while a failure domain is evacuated.
	evacuating sync.Mutex

	mu    sync.Mutex
	jobs  []*job
	stops []stopRecord
	// injected are the faults that have ended, evacuated the evacuations.
	injected, evacuated []period
	// allKilled are the times at which all daemons were back after they had been killed at once.
	allKilled []time.Time
	report    Report
}

// FaultKinds returns the names of all fault kinds in sorted order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faults)) }

// Run executes a soak run and returns its report.
func Run(o Options) (Report, error) {
	s := &Soak{o: o, begin: time.Now(), runs: newRunRecorder(), late: newLateTasks(), report: Report{
		Seed: o.Seed, FaultsInjected: make(map[string]int), InvariantChecks: make(map[string]int),
	}}
	if o.WaveShare < 0 || o.WaveShare > 1 {
		return Report{}, fmt.Errorf("share of a wave %v is not between 0 and 1", o.WaveShare)
	}
	for _, kind := range o.Faults {
		if _, ok := faults[kind]; !ok {
			return Report{}, fmt.Errorf("unknown fault kind %q; known kinds are %v", kind, FaultKinds())
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
	s.late.mu.Lock()
	defer s.late.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.TasksStarted, s.report.Dir = s.runs.count(), s.dir
	s.report.StartsHeld, s.report.LateStarts, s.report.OwnersKilled = s.late.held, s.late.executed, s.late.ownersKilled
	s.report.LateOrders = s.lateOrdersExecuted()
	return s.report, nil
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n) }

func (s *Soak) start() error {
	var err error
	if s.dir = s.o.Dir; s.dir == "" {
		s.dir, err = os.MkdirTemp("", "cicadadale-soak-")
	} else {
		err = os.MkdirAll(s.dir, 0o700)
	}
	if err != nil {
		return err
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
	addresses := load.NewAddresses(randomLoopback())
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

// randomLoopback returns a random loopback address, on which other runs and outgoing connections of this machine are
// unlikely to use any port.
func randomLoopback() string {
	part := func() int { return 1 + rand.IntN(250) }
	return fmt.Sprintf("127.%d.%d.%d", part(), part(), part())
}

// publish writes the operator's desired state to the store.
func (s *Soak) publish() {
	s.store.Put("keyed.op", "config", standin.DesiredDocument(1, contract.Route{
		Name: "jobs", Host: routeHost, PathPrefix: routePrefix, Backend: service, Attempts: attempts, TargetFactor: 1.6,
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
		Plan: s.plannedRun, Need: func(contract.RunKey) machine.Resources { return taskNeed },
	})
	relay, err := load.NewRelay(l.Addr().String())
	if err != nil {
		return err
	}
	w := &worker{id: id, domain: domain, host: host, server: standin.ServeHost(l, id, host), relay: relay}
	s.workers = append(s.workers, w)
	s.putEntry(w)
	return nil
}

// putEntry writes a worker's entry in the server list to the store.
func (s *Soak) putEntry(w *worker) {
	s.store.Put("keyed.servers", w.id, standin.EntryDocument(machine.Listing{
		Worker: w.id, Backend: service, Address: w.relay.Address(), Zone: w.domain, StartTime: w.host.StartTime(),
		Capacity: capacity, Labels: []string{"a", "r1"},
	}))
}

// plannedRun derives the course of a run from its key: most runs take less than a second, and a few take up to several
// seconds, fail or never end.
func (s *Soak) plannedRun(key contract.RunKey) standin.RunPlan {
	longRuns := uint64(defaultLongRuns)
	if s.o.LongRuns > 0 {
		longRuns = uint64(s.o.LongRuns)
	}
	h := xxhash.Sum64String(key.String())
	duration := time.Duration(30+h%500) * time.Millisecond
	if h%longRuns == 0 {
		duration *= longRunFactor
	}
	return standin.RunPlan{Duration: s.late.runTime(key, duration), Fails: h%503 == 1, Stalls: h%307 == 2}
}

// daemonOf returns the daemon of a failure domain that pick selects.
func (s *Soak) daemonOf(domain string, pick int) *daemon {
	var all []*daemon
	for _, d := range s.daemons {
		if d.domain == domain {
			all = append(all, d)
		}
	}
	return all[pick%len(all)]
}

func (s *Soak) recordJob(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, j)
}

func (s *Soak) recordStop(d *daemon, begin time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, stopRecord{d, begin, time.Now()})
}

// recordFault counts a fault and appends it to the file faults.log.
func (s *Soak) recordFault(kind, target string, begin time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.FaultsInjected[kind]++
	s.injected = append(s.injected, period{kind: kind, begin: begin, end: time.Now()})
	f, err := os.OpenFile(filepath.Join(s.dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		_, _ = fmt.Fprintln(s.o.Out, "cannot log faults:", err)
		return
	}
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%s %s %s until %s\n", begin.Format(time.RFC3339Nano), kind, target,
		time.Now().Format(time.RFC3339Nano))
}

// reportViolation counts and prints a violation of a check.
func (s *Soak) reportViolation(check, details string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations++
	_, _ = fmt.Fprintf(s.o.Out, "seed %d, %v: violation of %s: %s\n", s.o.Seed, time.Since(s.begin), check, details)
}

func (s *Soak) countChecks(check string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.InvariantChecks[check] += n
}

func (s *Soak) close() {
	for _, d := range s.daemons {
		d.close()
	}
	var workers sync.WaitGroup
	for _, w := range s.workers {
		workers.Go(func() {
			w.relay.Close()
			// A server waits some seconds for connections without a call. The run has ended; one that fails to close does not
			// affect its result.
			_ = w.server.Close()
		})
	}
	workers.Wait()
	if s.store != nil {
		_ = s.store.Close()
	}
}

// answered reports whether the last attempt received a final answer.
func (j *job) answered() bool {
	last := j.attempts[len(j.attempts)-1]
	return last.err == nil && last.status == http.StatusOK
}
