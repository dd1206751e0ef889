package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// roundsPerRun is how often each kind of fault is injected at least in a run.
	roundsPerRun = 3
	shortFault   = 100 * time.Millisecond
	longFault    = 3 * time.Second
	// longPause exceeds the time after which a silent entry VM counts as gone.
	longPause = 9 * time.Second
	listLag   = 2 * time.Second
)

// drawnFault holds the random choices of one fault.
type drawnFault struct {
	kind string
	// span is how long it lasts, lag how long the platform's list takes to follow.
	span, lag time.Duration
	a, b      uint64
	coin      bool
}

// faultKinds maps the name of each kind to what injects it and reports whether it could be injected. A kind blocks
// until the fault has ended.
var faultKinds = map[string]func(*Soak, drawnFault) bool{
	"entry_crash":         (*Soak).crashEntry,
	"entry_pause":         (*Soak).pauseEntry,
	"entry_planned_stop":  (*Soak).stopEntry,
	"peer_cut":            func(s *Soak, f drawnFault) bool { return s.cut(f, s.pairOfEntries(f)) },
	"peer_silent":         func(s *Soak, f drawnFault) bool { return s.silence(s.pairOfEntries(f)) },
	"peer_replies_lost":   func(s *Soak, f drawnFault) bool { return s.loseReplies(f, s.pairOfEntries(f)) },
	"domain_partition":    func(s *Soak, f drawnFault) bool { return s.cut(f, s.acrossDomains()) },
	"partition_inside":    func(s *Soak, f drawnFault) bool { return s.cut(f, s.insideDomain(f)) },
	"worker_cut":          func(s *Soak, f drawnFault) bool { return s.cut(f, s.entryToWorker(f)) },
	"worker_silent":       func(s *Soak, f drawnFault) bool { return s.silence(s.entryToWorker(f)) },
	"worker_replies_lost": func(s *Soak, f drawnFault) bool { return s.loseReplies(f, s.entryToWorker(f)) },
	"worker_crash":        (*Soak).crashWorker,
	"worker_slow":         func(s *Soak, f drawnFault) bool { return s.degrade(f, standin.WorkerFaults{Slowdown: 10}) },
	"worker_fails_all":    func(s *Soak, f drawnFault) bool { return s.degrade(f, standin.WorkerFaults{FailAll: true}) },
	"worker_leaving":      (*Soak).leaveWorker,
	"platform_cut":        func(s *Soak, f drawnFault) bool { return s.cut(f, s.entryToPlatform(f)) },
	"log_outage": func(s *Soak, f drawnFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.LogDown = true })
	},
	"log_slow": func(s *Soak, f drawnFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.AppendDelay = f.span / 4 })
	},
	"log_replies_lost": func(s *Soak, f drawnFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.LoseReplies += 3 })
	},
	"list_outage":       (*Soak).listOutage,
	"cancellation_wave": (*Soak).cancelWave,
}

// FaultKinds returns the names of all kinds.
func FaultKinds() []string {
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// inject draws faults of all kinds and starts them at even distances, so that they overlap.
func (s *Soak) inject(rng *rand.Rand, end time.Time) {
	plan := s.drawFaults(rng)
	gap := time.Until(end) / time.Duration(len(plan)+1)
	for _, f := range plan {
		time.Sleep(gap)
		s.faults.Go(func() {
			begin := time.Now()
			if faultKinds[f.kind](s, f) {
				s.mu.Lock()
				s.injected[f.kind]++
				s.history = append(s.history, fmt.Sprintf("%s %s until %s", begin.Format(time.RFC3339Nano), f.kind,
					time.Now().Format(time.RFC3339Nano)))
				s.mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(end))
}

func (s *Soak) drawFaults(rng *rand.Rand) []drawnFault {
	kinds := FaultKinds()
	if len(s.o.Faults) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k string) bool { return !slices.Contains(s.o.Faults, k) })
	}
	var plan []drawnFault
	for range roundsPerRun {
		rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, k := range kinds {
			longest := longFault
			if k == "entry_pause" {
				longest = longPause
			}
			plan = append(plan, drawnFault{
				kind: k, span: shortFault + time.Duration(rng.Int64N(int64(longest-shortFault))),
				lag: time.Duration(rng.Int64N(int64(listLag))), a: rng.Uint64(), b: rng.Uint64(), coin: rng.IntN(2) == 0,
			})
		}
	}
	return plan
}

// reserveEntry claims an entry VM that no other fault stops, leaving at least one of its failure domain alone.
func (s *Soak) reserveEntry(pick uint64) *EntryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := make(map[zone.DomainID]int)
	var candidates []*EntryProcess
	for _, p := range s.entries {
		p.mu.Lock()
		if !p.busy && !p.retired {
			free[p.Domain]++
			candidates = append(candidates, p)
		}
		p.mu.Unlock()
	}
	for i := range candidates {
		p := candidates[(int(pick%uint64(len(candidates)))+i)%len(candidates)]
		if free[p.Domain] > 1 && p.Reserve() {
			return p
		}
	}
	return nil
}

func (s *Soak) crashEntry(f drawnFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	p.Kill()
	s.noteLoss(p)
	s.gateways.Forget(p.Callers)
	time.Sleep(f.span / 4)
	if f.coin {
		s.must(p.Start())
		return true
	}
	s.replace(p, f.lag)
	return true
}

// replace takes an entry VM off the list and starts another.
func (s *Soak) replace(p *EntryProcess, lag time.Duration) {
	p.Retire()
	s.must(s.addEntry(p.Domain))
	time.Sleep(lag)
	s.roster.Remove(p.ID)
}

// must reports a failure of the run itself.
func (s *Soak) must(err error) {
	if err != nil {
		s.violate(Violation{Check: "soak_run", Job: "-", Task: "-", At: time.Now(), Seen: err.Error()})
	}
}

func (s *Soak) pauseEntry(f drawnFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	p.Disturb()
	s.notePause(p)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(f.span)
	p.Signal(syscall.SIGCONT)
	return true
}

func (s *Soak) stopEntry(f drawnFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	if f.coin {
		s.roster.Leave(p.ID)
		time.Sleep(f.lag / 2)
	}
	begin := time.Now()
	s.readInvariants(p)
	p.Expect()
	p.Signal(syscall.SIGTERM)
	err, ended := p.Wait(stopBound)
	if ended && err != nil && p.Fenced() {
		// A partition made the others count it as gone before the stop was complete.
		s.noteLoss(p)
		s.replace(p, f.lag)
		return true
	}
	s.checked(CheckStopCutsNothing, 1)
	if !ended || err != nil {
		s.violate(Violation{Check: CheckStopCutsNothing, Job: "-", Task: "-", At: time.Now(), Seen: fmt.Sprintf(
			"planned stop of %s: ended %t with error %v after %s", p.ID, ended, err, time.Since(begin))})
		p.Kill()
	}
	s.noteStopped(p, begin)
	s.replace(p, f.lag)
	return true
}

// restart does what the platform does when a daemon ends: it starts the daemon anew. The end is allowed only when the
// other entry VMs count the process as gone.
func (s *Soak) restart(p *EntryProcess, cause error) {
	s.noteLoss(p)
	s.gateways.Forget(p.Callers)
	if !p.Fenced() {
		s.violate(Violation{Check: CheckDaemonRuns, Job: "-", Task: "-", At: time.Now(), Seen: fmt.Sprintf(
			"daemon of %s ended: %v, see %s", p.ID, cause, p.log)})
	}
	s.mu.Lock()
	s.fenced++
	s.mu.Unlock()
	if p.Serving() {
		s.must(p.Start())
	}
}

// noteStopped marks the homes of a process that was stopped as planned and was never paused.
func (s *Soak) noteStopped(p *EntryProcess, begin time.Time) {
	if !p.Disturbed() {
		s.noteHomes(p, s.stopped, begin)
	}
}

// noteLoss marks the homes of a process that was lost.
func (s *Soak) noteLoss(p *EntryProcess) {
	s.notePause(p)
	s.noteHomes(p, s.crashed, time.Now())
}

// notePause records that a failure domain is without an entry VM, which the others may count as gone.
func (s *Soak) notePause(p *EntryProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[p.Domain] = append(s.losses[p.Domain], time.Now())
}

// noteHomes marks the incarnations of a process that did not end before.
func (s *Soak) noteHomes(p *EntryProcess, in map[machine.Incarnation]time.Time, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for inc, home := range s.homes {
		if home == p && s.crashed[inc].IsZero() {
			in[inc] = at
		}
	}
}
