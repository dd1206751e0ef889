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
	// roundsPerRun is how often each fault kind is drawn in a run.
	roundsPerRun  = 3
	shortestFault = 100 * time.Millisecond
	longestFault  = 3 * time.Second
	// longestPause exceeds the time after which a silent entry VM counts as gone.
	longestPause = 9 * time.Second
	maxListLag   = 2 * time.Second
)

// plannedFault holds the random draws of one fault.
type plannedFault struct {
	kind string
	// span is the duration of the fault, lag the delay with which the platform's list is updated.
	span, lag time.Duration
	// a and b select the machines, coin selects one of two variants.
	a, b uint64
	coin bool
}

// faultKinds maps each fault kind to the function that injects it. The function returns when the fault has ended and
// reports whether it could be injected.
var faultKinds = map[string]func(*Soak, plannedFault) bool{
	"entry_crash":         (*Soak).crashEntry,
	"entry_pause":         (*Soak).pauseEntry,
	"entry_planned_stop":  (*Soak).stopEntry,
	"peer_cut":            func(s *Soak, f plannedFault) bool { return s.cut(f, s.linksOfPair(f)) },
	"peer_silent":         func(s *Soak, f plannedFault) bool { return s.silence(s.linksOfPair(f)) },
	"peer_replies_lost":   func(s *Soak, f plannedFault) bool { return s.loseReplies(f, s.linksOfPair(f)) },
	"domain_partition":    func(s *Soak, f plannedFault) bool { return s.cut(f, s.linksAcrossDomains()) },
	"partition_inside":    func(s *Soak, f plannedFault) bool { return s.cut(f, s.linksInsideDomain(f)) },
	"worker_cut":          func(s *Soak, f plannedFault) bool { return s.cut(f, s.linksToWorker(f)) },
	"worker_silent":       func(s *Soak, f plannedFault) bool { return s.silence(s.linksToWorker(f)) },
	"worker_replies_lost": func(s *Soak, f plannedFault) bool { return s.loseReplies(f, s.linksToWorker(f)) },
	"worker_crash":        (*Soak).crashWorker,
	"worker_slow": func(s *Soak, f plannedFault) bool {
		return s.applyWorkerFaults(f, standin.WorkerFaults{Slowdown: 10})
	},
	"worker_fails_all": func(s *Soak, f plannedFault) bool {
		return s.applyWorkerFaults(f, standin.WorkerFaults{FailAll: true})
	},
	"worker_leaving": (*Soak).leaveWorker,
	"platform_cut":   func(s *Soak, f plannedFault) bool { return s.cut(f, s.linkToPlatform(f)) },
	"log_outage": func(s *Soak, f plannedFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.LogDown = true })
	},
	"log_slow": func(s *Soak, f plannedFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.AppendDelay = f.span / 4 })
	},
	"log_replies_lost": func(s *Soak, f plannedFault) bool {
		return s.logFaults(f, func(p *standin.PlatformFaults) { p.LoseReplies += 3 })
	},
	"list_outage":       (*Soak).listOutage,
	"cancellation_wave": (*Soak).cancelWave,
}

// FaultKinds returns the names of all fault kinds in sorted order.
func FaultKinds() []string {
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// inject draws faults of all kinds and starts them at regular intervals, so that they overlap.
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
				s.faultLog = append(s.faultLog, fmt.Sprintf("%s %s until %s", begin.Format(time.RFC3339Nano), f.kind,
					time.Now().Format(time.RFC3339Nano)))
				s.mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(end))
}

func (s *Soak) drawFaults(rng *rand.Rand) []plannedFault {
	kinds := FaultKinds()
	if len(s.o.Faults) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k string) bool { return !slices.Contains(s.o.Faults, k) })
	}
	var plan []plannedFault
	for range roundsPerRun {
		rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, k := range kinds {
			longest := longestFault
			if k == "entry_pause" {
				longest = longestPause
			}
			plan = append(plan, plannedFault{
				kind: k, span: shortestFault + time.Duration(rng.Int64N(int64(longest-shortestFault))),
				lag: time.Duration(rng.Int64N(int64(maxListLag))), a: rng.Uint64(), b: rng.Uint64(), coin: rng.IntN(2) == 0,
			})
		}
	}
	return plan
}

// reserveEntry reserves an entry VM that no other fault has reserved, unless it is the last such VM of its failure
// domain.
func (s *Soak) reserveEntry(pick uint64) *EntryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := make(map[zone.DomainID]int)
	var candidates []*EntryProcess
	for _, p := range s.entries {
		p.mu.Lock()
		if !p.reserved && !p.retired {
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

func (s *Soak) crashEntry(f plannedFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	p.Kill()
	s.recordLoss(p)
	s.clients.Drop(p.Callers)
	time.Sleep(f.span / 4)
	if f.coin {
		s.reportError(p.Start())
		return true
	}
	s.replace(p, f.lag)
	return true
}

// replace retires an entry VM, starts a new one, and removes the old one from the list after the lag.
func (s *Soak) replace(p *EntryProcess, lag time.Duration) {
	p.Retire()
	s.reportError(s.addEntry(p.Domain))
	time.Sleep(lag)
	s.vmList.Remove(p.ID)
}

// reportError reports a failure of the run itself as a violation.
func (s *Soak) reportError(err error) {
	if err != nil {
		s.reportViolation(Violation{Check: "soak_run", Job: "-", Task: "-", At: time.Now(), Observed: err.Error()})
	}
}

func (s *Soak) pauseEntry(f plannedFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	p.MarkPaused()
	s.recordOutage(p)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(f.span)
	p.Signal(syscall.SIGCONT)
	return true
}

func (s *Soak) stopEntry(f plannedFault) bool {
	p := s.reserveEntry(f.a)
	if p == nil {
		return false
	}
	defer p.Release()
	if f.coin {
		s.vmList.Leave(p.ID)
		time.Sleep(f.lag / 2)
	}
	begin := time.Now()
	s.readInvariants(p)
	p.ExpectExit()
	p.Signal(syscall.SIGTERM)
	err, ended := p.Wait(stopBound)
	if ended && err != nil && p.Fenced() {
		// Because of a partition, the other entry VMs counted it as gone before the stop was complete.
		s.recordLoss(p)
		s.replace(p, f.lag)
		return true
	}
	s.countChecks(CheckStopCutsNothing, 1)
	if !ended || err != nil {
		s.reportViolation(Violation{Check: CheckStopCutsNothing, Job: "-", Task: "-", At: time.Now(), Observed: fmt.Sprintf(
			"planned stop of %s: exited %t with error %v after %s", p.ID, ended, err, time.Since(begin))})
		p.Kill()
	}
	s.recordStop(p, begin)
	s.replace(p, f.lag)
	return true
}

// restart starts a daemon again after an unexpected exit, as the platform does. The exit is a violation unless the
// other entry VMs count the process as gone.
func (s *Soak) restart(p *EntryProcess, cause error) {
	s.recordLoss(p)
	s.clients.Drop(p.Callers)
	if !p.Fenced() {
		s.reportViolation(Violation{Check: CheckDaemonRuns, Job: "-", Task: "-", At: time.Now(), Observed: fmt.Sprintf(
			"daemon of %s exited: %v, see %s", p.ID, cause, p.log)})
	}
	s.mu.Lock()
	s.fenced++
	s.mu.Unlock()
	if p.Serving() {
		s.reportError(p.Start())
	}
}

// recordStop marks the incarnations of a process that was stopped as planned and had not been paused before.
func (s *Soak) recordStop(p *EntryProcess, begin time.Time) {
	if !p.WasPaused() {
		s.markIncarnations(p, s.stopped, begin)
	}
}

// recordLoss marks the incarnations of a process that was lost.
func (s *Soak) recordLoss(p *EntryProcess) {
	s.recordOutage(p)
	s.markIncarnations(p, s.crashed, time.Now())
}

// recordOutage records that an entry VM is lost or paused, so that the others of its failure domain may count it as
// gone.
func (s *Soak) recordOutage(p *EntryProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages[p.Domain] = append(s.outages[p.Domain], time.Now())
}

// markIncarnations sets the time of all incarnations of a process that were not lost before.
func (s *Soak) markIncarnations(p *EntryProcess, times map[machine.Incarnation]time.Time, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for inc, home := range s.homeProcess {
		if home == p && s.crashed[inc].IsZero() {
			times[inc] = at
		}
	}
}
