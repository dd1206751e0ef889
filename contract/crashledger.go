package contract

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// CrashRetention is how long a crash counts.
	CrashRetention = 60 * time.Second
	// maxCrashes bounds the ledger; the oldest crashes are dropped first.
	maxCrashes = 512
	// crashesToGiveUp is the number of workers that crash under a task before it is given up.
	crashesToGiveUp = 2
)

// workerLife identifies an incarnation of a worker.
type workerLife struct {
	worker    string
	startTime int64
}

// CrashLedger records the crashes of workers that this VM has seen or been told of. All members keep one, so that the
// count of a task survives its home and the owners of the workers. mu guards the field below it.
type CrashLedger struct {
	mu      sync.Mutex
	crashes map[workerLife]WorkerCrash
}

// NewCrashLedger returns an empty ledger.
func NewCrashLedger() *CrashLedger { return &CrashLedger{crashes: make(map[workerLife]WorkerCrash)} }

// Record adds a crash. It reports whether this changed the ledger: recording the same crash again has no effect, and a
// refuted one stays refuted.
func (l *CrashLedger) Record(c WorkerCrash, now time.Time) bool {
	if now.Sub(c.At) > CrashRetention {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	life := workerLife{c.Worker, c.StartTime}
	known, ok := l.crashes[life]
	if ok && (known.Refuted || !c.Refuted) {
		return false
	}
	l.crashes[life] = c
	if len(l.crashes) > maxCrashes {
		l.dropOldest()
	}
	return true
}

// dropOldest expects l.mu to be held.
func (l *CrashLedger) dropOldest() {
	var oldest workerLife
	var at time.Time
	for life, c := range l.crashes {
		if at.IsZero() || c.At.Before(at) {
			oldest, at = life, c.At
		}
	}
	delete(l.crashes, oldest)
}

// Expire drops the crashes that no longer count.
func (l *CrashLedger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life, c := range l.crashes {
		if now.Sub(c.At) > CrashRetention {
			delete(l.crashes, life)
		}
	}
}

// CrashVerdict is what the crashes of workers under a task show of it.
type CrashVerdict uint8

// Verdicts.
const (
	// NoCrash means that no worker is known to have crashed under the task.
	NoCrash CrashVerdict = iota
	// CrashedInWaves means that workers have crashed under it, each of them with others at the same time: the workers are at
	// fault.
	CrashedInWaves
	// Suspected tasks run alone on a worker, which shows whether they crash it.
	Suspected
	// GivenUp tasks must not start again: two workers have crashed under them, one of them while the task was alone there. A
	// task that has only shared crashed workers with others may be innocent of all of them.
	GivenUp
)

// Judge returns the verdict on a task.
func (l *CrashLedger) Judge(task RunKey) CrashVerdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge(task)
}

// judge expects l.mu to be held.
func (l *CrashLedger) judge(task RunKey) CrashVerdict {
	verdict, crashes, alone := NoCrash, 0, 0
	var all []WorkerCrash
	for _, c := range l.crashes {
		if c.Refuted || !c.Involves(task) {
			continue
		}
		if all == nil {
			all = slices.Collect(maps.Values(l.crashes))
		}
		if inWave(c, all) {
			verdict = max(verdict, CrashedInWaves)
			continue
		}
		verdict = Suspected
		crashes++
		if c.Alone() {
			alone++
		}
	}
	if crashes >= crashesToGiveUp && alone > 0 {
		return GivenUp
	}
	return verdict
}

// GivenUpTask returns a task of a job that is given up, if there is one.
func (l *CrashLedger) GivenUpTask(job string) (RunKey, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes {
		for _, t := range c.Tasks {
			if t.Key.Batch == job && l.judge(t.Key) == GivenUp {
				return t.Key, true
			}
		}
	}
	return RunKey{}, false
}

// Crashes returns all crashes, the oldest first, refuted ones included.
func (l *CrashLedger) Crashes() []WorkerCrash {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]WorkerCrash, 0, len(l.crashes))
	for _, c := range l.crashes {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b WorkerCrash) int { return a.At.Compare(b.At) })
	return all
}
