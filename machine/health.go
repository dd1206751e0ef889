package machine

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// HealthState is the state of a worker as this entry VM judges it.
type HealthState uint8

// Health states. A suspect worker gets fewer slots, a quarantined one none, and a probing one a single slot.
const (
	Healthy HealthState = iota
	Suspect
	Quarantined
	Probing
)

// String returns the name used in logs and on the status page.
func (s HealthState) String() string {
	names := [...]string{"healthy", "suspect", "quarantined", "probing"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

const (
	// suspectScore and quarantineScore bound what a worker that fails everything may lose: it is out after four
	// failures that are not expected of the kind, besides the tasks that run on it by then.
	suspectScore    = 2.0
	quarantineScore = 4.0
	// rejectionScore is the weight of a rejected start. Rejections lose no task, so more of them are borne.
	rejectionScore = 0.5
	// unprovenLimit is the number of failures in a row of kinds that have not succeeded anywhere yet after which a
	// worker is suspected. They never suffice for a quarantine.
	unprovenLimit = 3
	// firstHold is the time without new work after the last of these failures; it doubles with each further one. A
	// worker that fails at once would otherwise draw all the work before another one has had the time to succeed.
	firstHold     = 20 * time.Millisecond
	holdDoublings = 5
	// suspicionLasts is the time without a failure after which a suspect is healthy again, even if it has run nothing.
	suspicionLasts = 5 * time.Second
	// successFactor is what a success leaves of the score.
	successFactor = 0.5
	// suspectShare divides the slots of a suspect.
	suspectShare = 4
	// probesToHeal is the number of successes in a row after which a probed worker gets its slots back.
	probesToHeal    = 3
	firstQuarantine = time.Second
	longestPause    = 30 * time.Second
	// pauseResetAfter is the time without a quarantine after which the pause starts from the beginning.
	pauseResetAfter = time.Minute
)

type healthEvent uint8

const (
	healthSuspected healthEvent = iota
	healthCleared
	healthQuarantined
	healthPauseOver
	healthProbeFailed
	healthProbesPassed
)

type healthStateKey struct{}

// healthMachine serves all workers; the state is kept in Health.
var healthMachine = newHealthMachine()

func newHealthMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return *ctx.Value(healthStateKey{}).(*HealthState), nil
		},
		func(ctx context.Context, s stateless.State) error {
			*ctx.Value(healthStateKey{}).(*HealthState) = s.(HealthState)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Healthy).
		Permit(healthSuspected, Suspect).
		Permit(healthQuarantined, Quarantined)
	m.Configure(Suspect).
		Permit(healthCleared, Healthy).
		Permit(healthQuarantined, Quarantined)
	m.Configure(Quarantined).
		Permit(healthPauseOver, Probing).
		Permit(healthCleared, Healthy)
	m.Configure(Probing).
		Permit(healthProbeFailed, Quarantined).
		Permit(healthProbesPassed, Healthy)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return m
}

// Evidence is the end of one start as far as it speaks about the worker.
type Evidence struct {
	Failed   bool
	Rejected bool
	// Proven says that the same kind of work succeeds on other workers. Without it a failure does not count.
	Proven bool
	// Explained says that the same kind of work fails on several workers and succeeds on none.
	Explained bool
	// Expected is the failure rate of the same kind of work on other workers.
	Expected float64
}

// Health judges a worker by its failures against those of its failure domain. It is a plain value; the lock of the
// worker guards it.
type Health struct {
	state    HealthState
	score    float64
	unproven int
	passed   int
	pause    time.Duration
	until    time.Time
	// failed is the time of the last failure.
	failed time.Time
	// held is the end of a suspect's time without new work.
	held time.Time
}

// State returns the state.
func (h *Health) State() HealthState { return h.state }

// Observe takes over the end of a start and reports whether the state has changed.
func (h *Health) Observe(e Evidence, now time.Time) bool {
	before := h.state
	h.tick(now)
	switch {
	case h.state == Quarantined:
		// The tasks that ran when the worker was quarantined say nothing new.
	case h.state == Probing:
		h.probe(e, now)
	case e.Failed || e.Rejected:
		h.fail(e, now)
	default:
		h.succeed()
	}
	return h.state != before
}

func (h *Health) fail(e Evidence, now time.Time) {
	weight := 1.0
	if e.Rejected {
		weight = rejectionScore
	}
	if e.Explained {
		return
	}
	h.failed = now
	if !e.Proven {
		h.unproven++
		if h.unproven >= unprovenLimit {
			h.fire(healthSuspected)
			pause := firstHold << min(h.unproven-unprovenLimit, holdDoublings)
			h.held = now.Add(pause)
		}
		return
	}
	h.score += weight * (1 - e.Expected)
	if h.score >= quarantineScore {
		h.quarantine(healthQuarantined, now)
	} else if h.score >= suspectScore {
		h.fire(healthSuspected)
	}
}

func (h *Health) succeed() {
	h.unproven, h.held = 0, time.Time{}
	h.score *= successFactor
	if h.score < suspectScore {
		h.fire(healthCleared)
	}
}

func (h *Health) probe(e Evidence, now time.Time) {
	if e.Failed || e.Rejected {
		if e.Proven {
			h.quarantine(healthProbeFailed, now)
		}
		return
	}
	h.passed++
	if h.passed >= probesToHeal {
		h.score, h.unproven = 0, 0
		h.fire(healthProbesPassed)
	}
}

// quarantine starts a quarantine that lasts twice as long as the one before, unless that was long ago.
func (h *Health) quarantine(e healthEvent, now time.Time) {
	switch {
	case h.pause == 0 || now.Sub(h.until) > pauseResetAfter:
		h.pause = firstQuarantine
	default:
		h.pause = min(2*h.pause, longestPause)
	}
	h.until = now.Add(h.pause)
	h.passed = 0
	h.fire(e)
}

// Retract withdraws failures that have turned out to be the fault of a job.
func (h *Health) Retract(failures int, now time.Time) bool {
	before := h.state
	h.tick(now)
	h.score = max(0, h.score-float64(failures))
	h.unproven, h.held = 0, time.Time{}
	if h.score < suspectScore {
		h.fire(healthCleared)
	}
	return h.state != before
}

// Warn takes over that another entry VM has quarantined the worker. Its judgement may come from its own network, so
// that the worker is only suspected: it gets fewer slots, and half of the failures suffice for a quarantine here.
func (h *Health) Warn(now time.Time) bool {
	before := h.state
	h.tick(now)
	if h.state == Healthy {
		h.score, h.failed = max(h.score, suspectScore), now
		h.fire(healthSuspected)
	}
	return h.state != before
}

// Tick ends a quarantine whose pause is over and reports whether the state has changed.
func (h *Health) Tick(now time.Time) bool {
	before := h.state
	h.tick(now)
	return h.state != before
}

func (h *Health) tick(now time.Time) {
	if h.state == Suspect && now.Sub(h.failed) >= suspicionLasts {
		h.score, h.unproven, h.held = 0, 0, time.Time{}
		h.fire(healthCleared)
	}
	if h.state == Quarantined && !now.Before(h.until) {
		h.fire(healthPauseOver)
	}
}

// restart probes a worker with a new process if the old one was not healthy.
func (h *Health) restart() {
	h.fire(healthPauseOver)
	h.score, h.unproven, h.passed = 0, 0, 0
	h.fire(healthCleared)
}

// Slots returns how many of n slots the worker may use at now.
func (h *Health) Slots(n int, now time.Time) int {
	switch h.state {
	case Suspect:
		if now.Before(h.held) {
			return 0
		}
		return min(n, max(1, n/suspectShare))
	case Quarantined:
		return 0
	case Probing:
		return min(n, 1)
	default:
		return n
	}
}

func (h *Health) fire(e healthEvent) {
	ctx := context.WithValue(context.Background(), healthStateKey{}, &h.state)
	// Unhandled events are ignored by the machine, and its accessors cannot fail.
	_ = healthMachine.FireCtx(ctx, e)
}
