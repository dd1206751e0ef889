package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	soakDomains = 2
	soakWorkers = 4 // per failure domain
	soakSlots   = 4
	soakCallers = 32
	// answerBound is the time after the end of all faults within which every caller must have its final answer. It covers
	// the job's deadline, the time until a lost VM counts as gone and the time for which a lost worker is polled.
	answerBound = 20 * time.Second
	// leaveBound is the time after which a worker that was listed as leaving must not get a start.
	leaveBound = 3 * time.Second
	// stopBound is the time within which a planned stop must complete.
	stopBound = 65 * time.Second
)

// identifiers matches ids and addresses. Without them, task details that have the same cause are equal and are counted
// together.
var identifiers = regexp.MustCompile(`(entry|worker|j)-[0-9a-f.-]+|127\.0\.0\.1:[0-9]+|[0-9a-f]{16}`)

// SoakOptions configure a randomised run.
type SoakOptions struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	// Faults limits the fault kinds; empty means all.
	Faults []string
	// Dir receives the daemons' settings and logs and the times of the faults; if empty, a temporary directory is used.
	Dir string
	Out io.Writer
}

// SoakReport is the result of a randomised run. Its first fields are the interface of section 10 of the design page.
type SoakReport struct {
	Seed            uint64         `json:"seed"`
	TasksStarted    int            `json:"tasks_started"`
	FaultsInjected  map[string]int `json:"faults_injected"`
	InvariantChecks map[string]int `json:"invariant_checks"`
	Violations      int            `json:"violations"`
	AnswersMissing  int            `json:"answers_missing"`
	ViolationsBy    map[string]int `json:"violations_by_check"`
	JobsSubmitted   int            `json:"jobs_submitted"`
	JobsComplete    int            `json:"jobs_complete"`
	JobsFailed      int            `json:"jobs_failed"`
	JobsRefused     int            `json:"jobs_refused"`
	TasksUnknown    int            `json:"tasks_outcome_unknown"`
	UnknownBy       map[string]int `json:"tasks_outcome_unknown_by_detail"`
	DaemonsFenced   int            `json:"daemons_fenced"`
	CPUSeconds      float64        `json:"cpu_seconds"`
	RunSeconds      float64        `json:"run_seconds"`
}

// soakWorker is a worker stand-in of a soak run. The mu of the run guards the flags.
type soakWorker struct {
	worker   *standin.Worker
	domain   zone.DomainID
	reserved bool
	crashed  bool
	removed  bool
}

// Soak is one randomised run: entry daemons as child processes, workers and the platform stand-in in this process, and
// relays between them. mu guards the fields below it; the other parts have their own locks.
type Soak struct {
	o        SoakOptions
	dir      string
	platform *standin.Platform
	vmList   *VMList
	network  *Network
	recorder *Recorder
	clients  *Clients
	// addresses allocates the addresses of the daemons.
	addresses *Addresses
	begin     time.Time
	faults    sync.WaitGroup

	mu      sync.Mutex
	workers []*soakWorker
	entries []*EntryProcess
	nextVM  int
	nextJob int
	// leavingShown holds, by entry VM and leaving VM, when the entry VM was first sent a list with the other as leaving.
	leavingShown map[string]map[string]time.Time
	// homeProcess holds the process of each incarnation that has assigned a job id; stopped and crashed hold the times at
	// which such incarnations were stopped as planned or lost.
	homeProcess map[machine.Incarnation]*EntryProcess
	stopped     map[machine.Incarnation]time.Time
	crashed     map[machine.Incarnation]time.Time
	// outages are the times at which entry VMs of a failure domain were lost or paused.
	outages      map[zone.DomainID][]time.Time
	injected     map[string]int
	checks       map[string]int
	violations   map[string]int
	records      []*JobRecord
	cancelSignal chan struct{}
	// logFaultsInEffect are the faults of the platform's log in effect, the oldest first.
	logFaultsInEffect []func(*standin.PlatformFaults)
	answersDue        time.Time
	// faultLog lists the faults with their times for the file faults.log, which is kept beside the daemons' logs.
	faultLog []string
	// fenced counts the unexpected exits of daemons. Without a violation, all of them occurred because the other entry
	// VMs counted the daemon as gone.
	fenced int
}

// RunSoak executes a randomised run and returns its report.
func RunSoak(o SoakOptions) (SoakReport, error) {
	s := &Soak{
		o: o, vmList: NewVMList(), network: NewNetwork(), recorder: NewRecorder(), clients: NewClients(),
		addresses:    NewAddresses("127.0.0.1"),
		leavingShown: make(map[string]map[string]time.Time), homeProcess: make(map[machine.Incarnation]*EntryProcess),
		stopped: make(map[machine.Incarnation]time.Time), crashed: make(map[machine.Incarnation]time.Time),
		outages:  make(map[zone.DomainID][]time.Time),
		injected: make(map[string]int), checks: make(map[string]int), violations: make(map[string]int),
		cancelSignal: make(chan struct{}), begin: time.Now(),
	}
	s.recorder.onStart = s.checkStart
	cpu := cpuTime()
	defer s.close()
	if err := s.start(); err != nil {
		return SoakReport{}, err
	}
	operators := newOperators(s)
	s.drive(operators)
	operators.checkInEffect()
	s.readAllInvariants()
	s.checkJobs()
	r := s.report()
	r.CPUSeconds = (cpuTime() - cpu).Seconds()
	r.RunSeconds = time.Since(s.begin).Seconds()
	return r, nil
}

func (s *Soak) start() error {
	var err error
	s.dir = s.o.Dir
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "cicadadale-soak-"); err != nil {
			return err
		}
	}
	if err := os.WriteFile(s.schemaPath(), []byte(loadSchema), 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	s.platform = standin.NewPlatform(l)
	for domain := 1; domain <= soakDomains; domain++ {
		for range soakWorkers {
			if err := s.addWorker(zone.DomainID(domain)); err != nil {
				return err
			}
		}
	}
	for n := range s.o.Entries {
		if err := s.addEntry(zone.DomainID(n%soakDomains + 1)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) schemaPath() string { return filepath.Join(s.dir, schemaFile) }

func (s *Soak) nextID(kind string, domain zone.DomainID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextVM++
	return fmt.Sprintf("%s-%d-%d", kind, domain, s.nextVM)
}

func (s *Soak) addWorker(domain zone.DomainID) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	id := machine.WorkerID(s.nextID("worker", domain))
	s.recorder.Add(id, soakSlots)
	w := standin.NewWorker(l, standin.WorkerOptions{
		ID: id, Slots: soakSlots, Work: TimedWork, Observer: s.recorder,
	})
	s.mu.Lock()
	s.workers = append(s.workers, &soakWorker{worker: w, domain: domain})
	s.mu.Unlock()
	s.vmList.Set(platform.VM{
		ID: string(id), Kind: platform.KindWorker, Domain: domain, Address: w.Address(), Service: serviceName,
		Slots: soakSlots,
	})
	return nil
}

func (s *Soak) addEntry(domain zone.DomainID) error {
	id := s.nextID("entry", domain)
	server, err := NewVMListServer(id, s.vmList, s.network, s.recordLeavingShown)
	if err != nil {
		return err
	}
	logs, err := s.network.Link(id, platformName, s.platform.Address())
	if err != nil {
		return err
	}
	p, err := NewEntryProcess(EntrySetup{
		ID: id, Domain: domain, Dir: s.dir, Schema: s.schemaPath(), Log: logs.Address(), Slots: soakSlots,
		VMListServer: server, Addresses: s.addresses, LogLevel: "info", OnExit: s.restart,
	})
	if err != nil {
		return err
	}
	s.vmList.Set(p.VM())
	if err := p.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.entries = append(s.entries, p)
	s.mu.Unlock()
	return nil
}

// drive runs callers and faults for the duration, waits until all faults have ended and then for the last answers.
func (s *Soak) drive(operators *operators) {
	end := time.Now().Add(s.o.Duration)
	s.mu.Lock()
	// A provisional value: the time at which all faults will have ended is not known yet.
	s.answersDue = end.Add(time.Hour)
	s.mu.Unlock()
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.runCaller(rand.New(rand.NewPCG(s.o.Seed, uint64(n)+100)), end) })
	}
	callers.Go(func() { operators.run(rand.New(rand.NewPCG(s.o.Seed, 3)), end) })
	s.inject(rand.New(rand.NewPCG(s.o.Seed, 2)), end)
	s.faults.Wait()
	s.mu.Lock()
	s.answersDue = time.Now().Add(answerBound)
	s.mu.Unlock()
	callers.Wait()
}

func (s *Soak) answerDeadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersDue
}

// reportViolation counts and prints a violation.
func (s *Soak) reportViolation(v Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations[v.Check]++
	// A write error does not affect the count of violations.
	_, _ = fmt.Fprintf(s.o.Out, "start %d, seed %d, %.3f s: %s\n", s.checks[CheckStartedOnce], s.o.Seed,
		v.At.Sub(s.begin).Seconds(), v)
}

func (s *Soak) countChecks(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[name] += n
}

// recordLeavingShown records when a list in which a VM is leaving was first sent to an entry VM.
func (s *Soak) recordLeavingShown(vm, leaving string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingShown[vm] == nil {
		s.leavingShown[vm] = make(map[string]time.Time)
	}
	if _, ok := s.leavingShown[vm][leaving]; !ok {
		s.leavingShown[vm][leaving] = time.Now()
	}
}

func (s *Soak) jobs() []*JobRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*JobRecord(nil), s.records...)
}

func (r *JobRecord) last() Attempt {
	attempts := r.Attempts()
	if len(attempts) == 0 {
		return Attempt{}
	}
	return attempts[len(attempts)-1]
}

func (s *Soak) report() SoakReport {
	r := SoakReport{Seed: s.o.Seed, UnknownBy: make(map[string]int)}
	r.TasksStarted, _ = s.recorder.Ledger.Totals()
	for _, rec := range s.jobs() {
		r.JobsSubmitted++
		first, ok := rec.FirstFinal()
		switch {
		case !ok:
			r.AnswersMissing++
		case first.Answer.Verdict == contract.VerdictComplete:
			r.JobsComplete++
		case first.Answer.Verdict == contract.VerdictFailed:
			r.JobsFailed++
		default:
			r.JobsRefused++
		}
		for _, t := range first.Answer.Reports {
			if t.Outcome == contract.OutcomeUnknown {
				r.TasksUnknown++
				r.UnknownBy[identifiers.ReplaceAllString(s.describeHome(rec.ID.Home)+": "+t.Detail, "*")]++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.DaemonsFenced = s.fenced
	r.FaultsInjected, r.InvariantChecks, r.ViolationsBy = s.injected, s.checks, s.violations
	for _, n := range s.violations {
		r.Violations += n
	}
	return r
}

func (s *Soak) close() {
	s.mu.Lock()
	entries, workers := s.entries, s.workers
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range entries {
		if p.Serving() {
			wg.Go(func() {
				p.Kill()
				p.Retire()
			})
		}
	}
	wg.Wait()
	s.clients.Close()
	s.network.Close()
	for _, w := range workers {
		// The run has ended; a server that fails to stop ends with the process.
		wg.Go(func() { _ = w.worker.Close() })
	}
	if s.platform != nil {
		wg.Go(func() { _ = s.platform.Close() })
	}
	wg.Wait()
	if s.o.Dir != "" {
		s.mu.Lock()
		text := strings.Join(s.faultLog, "\n") + "\n"
		s.mu.Unlock()
		// The file helps to investigate a violation; an error does not affect the result of the run.
		_ = os.WriteFile(filepath.Join(s.dir, "faults.log"), []byte(text), 0o600)
	}
	if s.o.Dir == "" && s.dir != "" {
		// The directory is temporary; files that cannot be removed are left to the system.
		_ = os.RemoveAll(s.dir)
	}
}
