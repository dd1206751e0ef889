package backend

import "time"

const (
	// attributionHalfLife is the time in which old outcomes lose half of their weight.
	attributionHalfLife = 10 * time.Second
	// provenSuccesses is the weight of successes elsewhere that proves that a kind can succeed.
	provenSuccesses = 0.5
	// newKindFailures is the number of failures, on several workers and without a success ever, after which a
	// kind counts as one that can never run. usedKindFailures applies to a kind that has succeeded before.
	newKindFailures  = 6
	usedKindFailures = 30
	// failingWorkers is the number of workers on which a kind has to fail, without a success in between, for the
	// failures to be the kind's own.
	failingWorkers = 3
	// trialInterval spaces the jobs that are let through to find out whether a failing kind runs again.
	trialInterval = 5 * time.Second
	// poisonWorkers is the number of workers on which tasks of a job have to fail, without a success of the job, for
	// the failures to be the job's own.
	poisonWorkers = 3
	// recentJobs bounds the memory of failed jobs.
	recentJobs = 64
)

// tally is a pair of decaying counts.
type tally struct{ ok, failed float64 }

// jobTrace records where the tasks of a job have failed and how often that was held against the worker.
type jobTrace struct {
	succeeded bool
	poisoned  bool
	failures  map[string]int
}

// FailureCause says how far a failure speaks against the worker on which it happened.
type FailureCause struct {
	// Proven says that the same work succeeds elsewhere; otherwise the failure does not count.
	Proven bool
	// Expected is the failure rate of the same work elsewhere.
	Expected float64
	// Explained says that the work fails on other workers as well and nowhere succeeds.
	Explained bool
	// Retract lists the failures by worker that were held against the workers and turned out to be the fault of the
	// job or kind.
	Retract map[string]int
}

// Attribution tells failures of a worker from those of a kind or a job by comparing workers. The lock of its owner
// guards it.
type Attribution struct {
	workers map[string]*tally
	total   tally
	decayed time.Time

	succeeded     bool
	streak        int
	streakSince   time.Time
	streakWorkers map[string]bool
	lastTrial     time.Time

	jobs  map[uint64]*jobTrace
	order []uint64
}

// Observe takes over the outcome of a task and returns what it says of the worker.
func (a *Attribution) Observe(worker string, job uint64, failed bool, now time.Time) FailureCause {
	a.decay(now)
	w, ok := a.workers[worker]
	if !ok {
		w = &tally{}
		a.workers[worker] = w
	}
	elsewhere := tally{ok: a.total.ok - w.ok, failed: a.total.failed - w.failed}
	if !failed {
		w.ok++
		a.total.ok++
		a.succeed(job)
		return FailureCause{Proven: true}
	}
	w.failed++
	a.total.failed++
	if a.streak == 0 {
		a.streakSince = now
	}
	a.streak++
	before := len(a.streakWorkers)
	a.streakWorkers[worker] = true
	b := FailureCause{
		Proven:   elsewhere.ok >= provenSuccesses,
		Expected: elsewhere.failed / max(1, elsewhere.ok+elsewhere.failed),
	}
	a.failJob(worker, job, &b)
	if len(a.streakWorkers) >= failingWorkers && !b.Proven {
		b.Explained = true
	}
	if b.Retract == nil && before < failingWorkers && b.Explained {
		b.Retract = make(map[string]int)
		for w := range a.streakWorkers {
			b.Retract[w] = 0
		}
	}
	return b
}

// decay halves the counts of the past.
func (a *Attribution) decay(now time.Time) {
	if a.workers == nil {
		a.workers = make(map[string]*tally)
		a.streakWorkers = make(map[string]bool)
		a.jobs = make(map[uint64]*jobTrace)
		a.decayed = now
	}
	for now.Sub(a.decayed) >= attributionHalfLife {
		if now.Sub(a.decayed) > 64*attributionHalfLife {
			a.decayed = now
		} else {
			a.decayed = a.decayed.Add(attributionHalfLife)
		}
		a.total = tally{}
		for name, w := range a.workers {
			w.ok /= 2
			w.failed /= 2
			if w.ok+w.failed < 0.1 {
				delete(a.workers, name)
				continue
			}
			a.total.ok += w.ok
			a.total.failed += w.failed
		}
	}
}

func (a *Attribution) succeed(job uint64) {
	a.succeeded = true
	a.streak = 0
	clear(a.streakWorkers)
	if t, ok := a.jobs[job]; ok {
		t.succeeded = true
	}
}

// failJob finds jobs whose tasks fail wherever they run.
func (a *Attribution) failJob(worker string, job uint64, b *FailureCause) {
	t, ok := a.jobs[job]
	if !ok {
		t = &jobTrace{failures: make(map[string]int)}
		a.jobs[job] = t
		a.order = append(a.order, job)
		if len(a.order) > recentJobs {
			delete(a.jobs, a.order[0])
			a.order = a.order[1:]
		}
	}
	if t.poisoned {
		b.Proven = false
		return
	}
	if _, known := t.failures[worker]; !known {
		t.failures[worker] = 0
	}
	if !t.succeeded && len(t.failures) >= poisonWorkers {
		t.poisoned = true
		b.Proven = false
		b.Retract = t.failures
		return
	}
	if b.Proven {
		t.failures[worker]++
	}
}

// FailsEverywhere reports whether the kind fails wherever it runs. Workers is the number of workers that serve it. Failures
// on a few workers within the run time of a task do not suffice: tasks that would succeed elsewhere still run.
func (a *Attribution) FailsEverywhere(workers int, run time.Duration, now time.Time) bool {
	failures := newKindFailures
	if a.succeeded {
		failures = usedKindFailures
	}
	spread := len(a.streakWorkers)
	if a.streak < failures || spread < min(failingWorkers, max(1, workers)) {
		return false
	}
	return now.Sub(a.streakSince) >= run || (spread > failingWorkers && 2*spread >= workers)
}

// Trial reports whether a job of a hopeless kind may be let through at now.
func (a *Attribution) Trial(now time.Time) bool {
	if now.Sub(a.lastTrial) < trialInterval {
		return false
	}
	a.lastTrial = now
	return true
}
