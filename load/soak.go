package load

import (
	"context"
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
	// answerBound is the time after the end of all faults within which every caller has its final answer. It covers the
	// job's deadline, the time until a lost VM counts as gone and the time for which a lost worker is asked.
	answerBound = 20 * time.Second
	// leaveBound is the time after which a worker shown as leaving gets no start.
	leaveBound = 3 * time.Second
	// stopBound is the time within which a planned stop has to end.
	stopBound = 65 * time.Second
)

// identifiers match what differs between two texts of the same cause.
var identifiers = regexp.MustCompile(`(entry|worker|j)-[0-9a-f.-]+|127\.0\.0\.1:[0-9]+|[0-9a-f]{16}`)

// SoakOptions select a randomised run.
type SoakOptions struct {
	Seed     uint64
	Duration time.Duration
	Entries  int
	// Faults limits the fault kinds; none means all.
	Faults []string
	// Dir receives the daemons' settings and logs and the times of the faults; a temporary one is used if empty.
	Dir string
	Out io.Writer
}

// SoakReport is the outcome of a randomised run. The first block is the interface of section 10 of the design page.
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

// soakWorker is a worker stand-in of a soak run. The run's mu guards the flags.
type soakWorker struct {
	worker  *standin.Worker
	domain  zone.DomainID
	busy    bool
	crashed bool
	gone    bool
}

// Soak is one randomised run: entry daemons as child processes, workers and platform in this process, and relays
// between them. mu guards the fields below it; the parts lock their own state.
type Soak struct {
	o        SoakOptions
	dir      string
	platform *standin.Platform
	roster   *Roster
	network  *Network
	recorder *Recorder
	gateways *Gateways
	// addresses are those of the daemons.
	addresses *Addresses
	begin     time.Time
	faults    sync.WaitGroup

	mu      sync.Mutex
	workers []*soakWorker
	entries []*EntryProcess
	nextVM  int
	nextJob int
	shown   map[string]map[string]time.Time
	homes   map[machine.Incarnation]*EntryProcess
	stopped map[machine.Incarnation]time.Time
	crashed map[machine.Incarnation]time.Time
	// losses are the times at which entry VMs of a failure domain were killed or paused.
	losses   map[zone.DomainID][]time.Time
	injected map[string]int
	checks   map[string]int
	broken   map[string]int
	records  []*JobRecord
	wave     chan struct{}
	// logFault holds the failures of the log in effect, the oldest first.
	logFault []func(*standin.PlatformFaults)
	finish   time.Time
	// history names the faults with their times, for the file that is kept beside the daemons' logs.
	history []string
	// fenced counts the daemons that ended because the others counted them as gone.
	fenced int
}

// RunSoak performs a randomised run.
func RunSoak(o SoakOptions) (SoakReport, error) {
	s := &Soak{
		o: o, roster: NewRoster(), network: NewNetwork(), recorder: NewRecorder(), gateways: NewGateways(), addresses: NewAddresses("127.0.0.1"),
		shown: make(map[string]map[string]time.Time), homes: make(map[machine.Incarnation]*EntryProcess),
		stopped: make(map[machine.Incarnation]time.Time), crashed: make(map[machine.Incarnation]time.Time),
		losses:   make(map[zone.DomainID][]time.Time),
		injected: make(map[string]int), checks: make(map[string]int), broken: make(map[string]int), wave: make(chan struct{}), begin: time.Now(),
	}
	s.recorder.seen = s.sawStart
	cpu := cpuTime()
	defer s.close()
	if err := s.start(); err != nil {
		return SoakReport{}, err
	}
	operators, err := newOperators(s)
	if err != nil {
		return SoakReport{}, err
	}
	s.drive(operators)
	operators.settle()
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
	s.roster.Set(platform.VM{
		ID: string(id), Kind: platform.KindWorker, Domain: domain, Address: w.Address(), Service: serviceName,
		Slots: soakSlots,
	})
	return nil
}

func (s *Soak) addEntry(domain zone.DomainID) error {
	id := s.nextID("entry", domain)
	view, err := NewView(id, s.roster, s.network, s.sawLeaving)
	if err != nil {
		return err
	}
	logs, err := s.network.Link(id, platformName, s.platform.Address())
	if err != nil {
		return err
	}
	p, err := NewEntryProcess(EntrySetup{
		ID: id, Domain: domain, Dir: s.dir, Schema: s.schemaPath(), Log: logs.Address(), Slots: soakSlots, View: view, Addresses: s.addresses,
		LogLevel: "info", Ended: s.restart,
	})
	if err != nil {
		return err
	}
	s.roster.Set(p.VM())
	if err := p.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.entries = append(s.entries, p)
	s.mu.Unlock()
	return nil
}

// drive runs callers and faults for the duration, ends all faults and waits for the last answers.
func (s *Soak) drive(operators *operators) {
	end := time.Now().Add(s.o.Duration)
	s.mu.Lock()
	// Moved forward when all faults have ended.
	s.finish = end.Add(time.Hour)
	s.mu.Unlock()
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.call(rand.New(rand.NewPCG(s.o.Seed, uint64(n)+100)), end) })
	}
	callers.Go(func() { operators.run(rand.New(rand.NewPCG(s.o.Seed, 3)), end) })
	s.inject(rand.New(rand.NewPCG(s.o.Seed, 2)), end)
	s.faults.Wait()
	s.mu.Lock()
	s.finish = time.Now().Add(answerBound)
	s.mu.Unlock()
	callers.Wait()
}

func (s *Soak) bound() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finish
}

// violate prints and counts a violation.
func (s *Soak) violate(v Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[v.Check]++
	// A failure to print must not hide the count.
	_, _ = fmt.Fprintf(s.o.Out, "start %d, seed %d, %.3f s: %s\n", s.checks[CheckStartedOnce], s.o.Seed,
		v.At.Sub(s.begin).Seconds(), v)
}

func (s *Soak) checked(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[name] += n
}

// sawLeaving records when a list that shows a VM as leaving was handed to an entry VM.
func (s *Soak) sawLeaving(vm, leaving string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shown[vm] == nil {
		s.shown[vm] = make(map[string]time.Time)
	}
	if _, ok := s.shown[vm][leaving]; !ok {
		s.shown[vm][leaving] = time.Now()
	}
}

// sawStart checks each start as it happens.
func (s *Soak) sawStart(st standin.Start, p Payload, task, same TaskStart) {
	s.checked(CheckStartedOnce, 1)
	id, _ := contract.ParseTaskID(st.Task)
	if task.Count > 1 || same.Count > 1 {
		s.violate(Violation{Check: CheckStartedOnce, Job: id.Job.String(), Task: st.Task, At: st.At, Seen: fmt.Sprintf(
			"start number %d of this task id and %d of %s, on %s; first at %s on %s", task.Count, same.Count, p.Identity,
			st.Worker, same.First.Format(time.RFC3339Nano), same.Worker)})
	}
	s.mu.Lock()
	home := s.homes[id.Job.Home]
	var shown time.Time
	if home != nil {
		shown = s.shown[home.ID][string(st.Worker)]
	}
	s.mu.Unlock()
	if shown.IsZero() {
		return
	}
	s.checked(CheckLeavingNoStarts, 1)
	if late := st.At.Sub(shown); late > leaveBound {
		s.violate(Violation{Check: CheckLeavingNoStarts, Job: id.Job.String(), Task: st.Task, At: st.At, Seen: fmt.Sprintf(
			"started on %s %s after %s was shown that it leaves", st.Worker, late, home.ID)})
	}
}

// progressOf asks the home of a job what it knows of it.
func (s *Soak) progressOf(rec *JobRecord) string {
	s.mu.Lock()
	home := s.homes[rec.ID.Home]
	s.mu.Unlock()
	if home == nil {
		return "home not asked"
	}
	client, err := s.gateways.Client(home.Callers)
	if err != nil {
		return "home not asked: " + err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	p, err := client.Status(ctx, rec.Ref())
	if err != nil {
		return "home does not say: " + err.Error()
	}
	return fmt.Sprintf("home has %d of %d tasks finished, %d running, %d waiting, verdict %q", p.Finished, p.Tasks, p.Running,
		p.Waiting, p.Verdict)
}

// learn records which process minted a job id.
func (s *Soak) learn(id contract.JobID, p *EntryProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes[id.Home] = p
}

func (s *Soak) checkJobs() {
	checker := Checker{Ledger: s.recorder.Ledger}
	for _, rec := range s.jobs() {
		for _, v := range checker.Check(rec) {
			s.violate(v)
		}
		s.checked(CheckAnswerArrives, 1)
		if _, ok := rec.First(); !ok {
			s.violate(rec.violation(CheckAnswerArrives, -1, rec.last(), fmt.Sprintf("no final answer after %d attempts, home %s, "+
				"last error %v, %s", len(rec.Attempts()), s.fate(rec.ID.Home), rec.last().Err, s.progressOf(rec))))
			continue
		}
		for _, name := range []string{CheckAnswerWhole, CheckResultsRight, CheckNotRunTrue, CheckNoLateStart} {
			s.checked(name, 1)
		}
		for _, a := range rec.Attempts() {
			s.checkStop(rec, a)
		}
	}
}

// checkStop checks that a planned stop left no task of its jobs without an outcome. It is excused when the worker crashed
// or was taken off the list, so that it could not be asked, and when an entry VM of the failure domain was lost after the
// stop began, which may be the successor with the jobs that it took over.
func (s *Soak) checkStop(rec *JobRecord, a Attempt) {
	s.mu.Lock()
	begin, stopped := s.stopped[rec.ID.Home]
	for _, at := range s.losses[rec.ID.Domain] {
		stopped = stopped && (at.Before(begin) || at.After(a.Received))
	}
	crashed := make(map[machine.WorkerID]bool)
	for _, w := range s.workers {
		crashed[w.worker.ID()] = w.crashed || w.gone
	}
	s.mu.Unlock()
	if !stopped {
		return
	}
	s.checked(CheckStopCutsNothing, 1)
	for i, r := range a.Answer.Reports {
		st := s.recorder.Ledger.Identity(rec.Plan.Tasks[i].Payload.Identity)
		// A start may be in doubt at a worker that crashed before it recorded the start.
		if r.Outcome == contract.OutcomeUnknown && !crashed[st.Worker] && !crashed[machine.WorkerID(r.Worker)] {
			s.violate(rec.violation(CheckStopCutsNothing, i, a, "planned stop of the home left the outcome unknown: "+r.Detail))
		}
	}
}

// fate names the process that minted an id and says how it ended.
func (s *Soak) fate(inc machine.Incarnation) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch home := s.homes[inc]; {
	case home == nil:
		return "unknown"
	case !s.crashed[inc].IsZero():
		return home.ID + " (crashed)"
	case !s.stopped[inc].IsZero():
		return home.ID + " (stopped as planned)"
	default:
		return home.ID
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
		first, ok := rec.First()
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
				r.UnknownBy[identifiers.ReplaceAllString(s.fate(rec.ID.Home)+": "+t.Detail, "*")]++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.DaemonsFenced = s.fenced
	r.FaultsInjected, r.InvariantChecks, r.ViolationsBy = s.injected, s.checks, s.broken
	for _, n := range s.broken {
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
	s.gateways.Close()
	s.network.Close()
	for _, w := range workers {
		// A worker that has left is closed already.
		wg.Go(func() { _ = w.worker.Close() })
	}
	if s.platform != nil {
		wg.Go(func() { _ = s.platform.Close() })
	}
	wg.Wait()
	if s.o.Dir != "" {
		s.mu.Lock()
		text := strings.Join(s.history, "\n") + "\n"
		s.mu.Unlock()
		// The file helps to follow a violation; the run's outcome does not depend on it.
		_ = os.WriteFile(filepath.Join(s.dir, "faults.log"), []byte(text), 0o600)
	}
	if s.o.Dir == "" && s.dir != "" {
		// The directory is temporary; what cannot be removed is left to the system.
		_ = os.RemoveAll(s.dir)
	}
}
