package contract

import (
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

// Suspect reports whether a worker has crashed under a task.
func (l *CrashLedger) Suspect(task RunKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.count(task)
	return n > 0
}

// GivenUp reports whether a task must not start again: two workers have crashed under it, one of them while it was alone
// there. A task that has only shared crashed workers with others may be innocent of all of them.
func (l *CrashLedger) GivenUp(task RunKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, alone := l.count(task)
	return n >= crashesToGiveUp && alone > 0
}

// count returns the number of workers that have crashed under a task, and on how many of them it was alone. l.mu is held.
func (l *CrashLedger) count(task RunKey) (crashes, alone int) {
	for _, c := range l.crashes {
		if c.Refuted || !c.Involves(task) {
			continue
		}
		crashes++
		if c.Alone() {
			alone++
		}
	}
	return crashes, alone
}

// GivenUpTask returns a task of a job that is given up, if there is one.
func (l *CrashLedger) GivenUpTask(job string) (RunKey, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes {
		for _, t := range c.Tasks {
			if t.Key.Batch != job {
				continue
			}
			if n, alone := l.count(t.Key); n >= crashesToGiveUp && alone > 0 {
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
