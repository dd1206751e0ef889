package backend

import "time"

const (
	// attributionHalfLife is the time in which old outcomes lose half of their weight.
	attributionHalfLife = 10 * time.Second
	// provenSuccesses is the weight of successes elsewhere that proves that a kind can succeed.
	provenSuccesses = 0.5
	// newKindFailures is the number of failures, on at least two workers and without a success ever, after which a
	// kind counts as one that can never run. usedKindFailures applies to a kind that has succeeded before.
	newKindFailures  = 6
	usedKindFailures = 30
	newKindWorkers   = 2
	usedKindWorkers  = 3
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

// Blame says how far a failure speaks against the worker on which it happened.
type Blame struct {
	// Proven says that the same work succeeds elsewhere; otherwise the failure does not count.
	Proven bool
	// Expected is the failure rate of the same work elsewhere.
	Expected float64
	// Forgive lists the failures by worker that were held against the workers and were the job's own.
	Forgive map[string]int
}

// Attribution tells failures of a worker from those of a kind or a job by comparing workers. The lock of its owner
// guards it.
type Attribution struct {
	workers map[string]*tally
	total   tally
	decayed time.Time

	succeeded     bool
	streak        int
	streakWorkers map[string]bool
	lastTrial     time.Time

	jobs  map[uint64]*jobTrace
	order []uint64
}

// Observe takes over the outcome of a task and returns what it says of the worker.
func (a *Attribution) Observe(worker string, job uint64, failed bool, now time.Time) Blame {
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
		return Blame{Proven: true}
	}
	w.failed++
	a.total.failed++
	a.streak++
	a.streakWorkers[worker] = true
	b := Blame{
		Proven:   elsewhere.ok >= provenSuccesses,
		Expected: elsewhere.failed / max(1, elsewhere.ok+elsewhere.failed),
	}
	a.failJob(worker, job, &b)
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
func (a *Attribution) failJob(worker string, job uint64, b *Blame) {
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
		b.Forgive = t.failures
		return
	}
	if b.Proven {
		t.failures[worker]++
	}
}

// Hopeless reports whether the kind fails wherever it runs. Workers is the number of workers that serve it.
func (a *Attribution) Hopeless(workers int) bool {
	failures, spread := newKindFailures, newKindWorkers
	if a.succeeded {
		failures, spread = usedKindFailures, usedKindWorkers
	}
	return a.streak >= failures && len(a.streakWorkers) >= min(spread, max(1, workers))
}

// Trial reports whether a job of a hopeless kind may be let through at now.
func (a *Attribution) Trial(now time.Time) bool {
	if now.Sub(a.lastTrial) < trialInterval {
		return false
	}
	a.lastTrial = now
	return true
}
