package backend

import "time"

const (
	// attributionHalfLife is the time after which the weight of past outcomes is halved.
	attributionHalfLife = 10 * time.Second
	// provenSuccesses is the minimum weight of successes on other workers to prove that a kind can succeed.
	provenSuccesses = 0.5
	// newKindFailures is the number of consecutive failures on several workers after which a kind that has never
	// succeeded may count as failing everywhere. usedKindFailures applies to a kind that has succeeded before.
	newKindFailures  = 6
	usedKindFailures = 30
	// failingWorkers is the number of workers on which a kind has to fail, without a success in between, for the
	// failures to be attributed to the kind.
	failingWorkers = 3
	// trialInterval is the minimum time between the jobs that are admitted to check whether a failing kind succeeds
	// again.
	trialInterval = 5 * time.Second
	// poisonWorkers is the number of workers on which tasks of a job have to fail, without a success of the job, for
	// the failures to be attributed to the job.
	poisonWorkers = 3
	// maxFailedJobs bounds the number of failed jobs that are tracked.
	maxFailedJobs = 64
)

// tally is a pair of decaying outcome counts.
type tally struct{ ok, failed float64 }

// jobFailures records the workers on which tasks of a job have failed and how many of the failures were attributed to
// each worker.
type jobFailures struct {
	succeeded bool
	poisoned  bool
	failures  map[string]int
}

// FailureCause is the evidence about whether a failure is the fault of the worker on which it happened.
type FailureCause struct {
	// SucceedsElsewhere is set if the same work succeeds on other workers; otherwise the failure does not prove a fault
	// of the worker.
	SucceedsElsewhere bool
	// Expected is the failure rate of the same work on other workers.
	Expected float64
	// FailsElsewhere is set if the work fails on several workers and succeeds on none.
	FailsElsewhere bool
	// Retract lists the failures by worker that were attributed to the workers and turned out to be the fault of the
	// job or kind. A worker with 0 failures is listed to end a suspicion for failures without proof.
	Retract map[string]int
}

// Attribution attributes failures to a worker, a request kind or a job by comparing the outcomes on different workers.
// The caller must synchronise access.
type Attribution struct {
	workers map[string]*tally
	total   tally
	decayed time.Time

	succeeded     bool
	streak        int
	streakSince   time.Time
	streakWorkers map[string]bool
	lastTrial     time.Time

	jobs     map[uint64]*jobFailures
	jobOrder []uint64
}

// Observe records the outcome of a task and returns the evidence that it gives about the worker.
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
		return FailureCause{SucceedsElsewhere: true}
	}
	w.failed++
	a.total.failed++
	if a.streak == 0 {
		a.streakSince = now
	}
	a.streak++
	before := len(a.streakWorkers)
	a.streakWorkers[worker] = true
	cause := FailureCause{
		SucceedsElsewhere: elsewhere.ok >= provenSuccesses,
		Expected:          elsewhere.failed / max(1, elsewhere.ok+elsewhere.failed),
	}
	a.failJob(worker, job, &cause)
	if len(a.streakWorkers) >= failingWorkers && !cause.SucceedsElsewhere {
		cause.FailsElsewhere = true
	}
	if cause.Retract == nil && before < failingWorkers && cause.FailsElsewhere {
		cause.Retract = make(map[string]int)
		for w := range a.streakWorkers {
			cause.Retract[w] = 0
		}
	}
	return cause
}

// decay halves the counts for each half-life that has passed, and initialises the maps on first use.
func (a *Attribution) decay(now time.Time) {
	if a.workers == nil {
		a.workers = make(map[string]*tally)
		a.streakWorkers = make(map[string]bool)
		a.jobs = make(map[uint64]*jobFailures)
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

// failJob records a failure of a job and detects jobs whose tasks fail on every worker.
func (a *Attribution) failJob(worker string, job uint64, cause *FailureCause) {
	t, ok := a.jobs[job]
	if !ok {
		t = &jobFailures{failures: make(map[string]int)}
		a.jobs[job] = t
		a.jobOrder = append(a.jobOrder, job)
		if len(a.jobOrder) > maxFailedJobs {
			delete(a.jobs, a.jobOrder[0])
			a.jobOrder = a.jobOrder[1:]
		}
	}
	if t.poisoned {
		cause.SucceedsElsewhere = false
		return
	}
	if _, known := t.failures[worker]; !known {
		t.failures[worker] = 0
	}
	if !t.succeeded && len(t.failures) >= poisonWorkers {
		t.poisoned = true
		cause.SucceedsElsewhere = false
		cause.Retract = t.failures
		return
	}
	if cause.SucceedsElsewhere {
		t.failures[worker]++
	}
}

// FailsEverywhere reports whether the kind fails on every worker; workers is the number of workers that serve it, and
// run is the mean run time of its tasks. Failures on a few workers within this time do not suffice, because tasks that
// will succeed on other workers may still be running.
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

// AllowTrial reports whether a job of a kind that fails everywhere may be admitted at now as a trial, and if so records
// the trial.
func (a *Attribution) AllowTrial(now time.Time) bool {
	if now.Sub(a.lastTrial) < trialInterval {
		return false
	}
	a.lastTrial = now
	return true
}
