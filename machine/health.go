package machine

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// HealthState is the health of a worker as judged by this entry VM.
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
	// suspectScore and quarantineScore are the scores at which a worker is suspected and quarantined; a failure of a kind
	// that never fails elsewhere adds 1. They bound the tasks lost to a worker that fails everything: besides the four
	// failures that lead to its quarantine, only the tasks that run on it at that time.
	suspectScore    = 2.0
	quarantineScore = 4.0
	// rejectionScore is the weight of a rejected start. Rejections lose no task, so more of them are tolerated.
	rejectionScore = 0.5
	// unprovenLimit is the number of consecutive failures of kinds that have not succeeded on any worker after which a
	// worker is suspected. Such failures never cause a quarantine.
	unprovenLimit = 3
	// firstHold is the time without new work after the last of these failures; it doubles with each further one, up to
	// holdDoublings times. Without it, a worker that fails immediately would attract all the work before another one has
	// had time to succeed.
	firstHold     = 20 * time.Millisecond
	holdDoublings = 5
	// suspicionTTL is the time without a failure after which a suspect is healthy again, even if it has run nothing.
	suspicionTTL = 5 * time.Second
	// successFactor multiplies the score after a success.
	successFactor = 0.5
	// suspectDivisor divides the number of a suspect's usable slots.
	suspectDivisor = 4
	// probesToRecover is the number of consecutive successes after which a probed worker gets its slots back.
	probesToRecover = 3
	// A quarantine lasts firstQuarantine, and each further one twice as long as the previous one, up to maxQuarantine.
	firstQuarantine = time.Second
	maxQuarantine   = 30 * time.Second
	// quarantineResetAfter is the time without a quarantine after which the next one lasts firstQuarantine again.
	quarantineResetAfter = time.Minute
)

type healthEvent uint8

const (
	healthSuspected healthEvent = iota
	healthCleared
	healthQuarantined
	healthQuarantineEnded
	healthProbeFailed
	healthProbesPassed
)

type healthStateKey struct{}

// healthMachine is shared by all workers; the state is kept in Health.
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
		Permit(healthQuarantineEnded, Probing).
		Permit(healthCleared, Healthy)
	m.Configure(Probing).
		Permit(healthProbeFailed, Quarantined).
		Permit(healthProbesPassed, Healthy)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return m
}

// StartOutcome is the outcome of one start, as it counts for the health of the worker.
type StartOutcome struct {
	Failed   bool
	Rejected bool
	// KindSucceedsElsewhere means that the same kind of work succeeds on other workers. Without it a failure does not
	// count towards a quarantine.
	KindSucceedsElsewhere bool
	// KindFailsElsewhere means that the same kind of work fails on several workers and succeeds on none.
	KindFailsElsewhere bool
	// Expected is the failure rate of the same kind of work on other workers.
	Expected float64
}

// Health tracks the health of a worker by its failures, compared with those of the other workers of its failure
// domain. It is a plain value; the lock of the worker guards it.
type Health struct {
	state          HealthState
	score          float64
	unproven       int
	probesPassed   int
	quarantineTime time.Duration
	quarantineEnd  time.Time
	// lastFailure is the time of the last failure or warning, from which suspicionTTL counts.
	lastFailure time.Time
	// holdUntil is the end of a suspect's time without new work.
	holdUntil time.Time
}

// State returns the state as of the last call that updated it.
func (h *Health) State() HealthState { return h.state }

// Observe applies the outcome of a start and reports whether the state has changed.
func (h *Health) Observe(o StartOutcome, now time.Time) bool {
	before := h.state
	h.tick(now)
	switch {
	case h.state == Quarantined:
		// The tasks that ran when the worker was quarantined give no new evidence.
	case h.state == Probing:
		h.probe(o, now)
	case o.Failed || o.Rejected:
		h.fail(o, now)
	default:
		h.succeed()
	}
	return h.state != before
}

func (h *Health) fail(o StartOutcome, now time.Time) {
	weight := 1.0
	if o.Rejected {
		weight = rejectionScore
	}
	if o.KindFailsElsewhere {
		return
	}
	h.lastFailure = now
	if !o.KindSucceedsElsewhere {
		h.unproven++
		if h.unproven >= unprovenLimit {
			h.fire(healthSuspected)
			hold := firstHold << min(h.unproven-unprovenLimit, holdDoublings)
			h.holdUntil = now.Add(hold)
		}
		return
	}
	h.score += weight * (1 - o.Expected)
	if h.score >= quarantineScore {
		h.quarantine(healthQuarantined, now)
	} else if h.score >= suspectScore {
		h.fire(healthSuspected)
	}
}

func (h *Health) succeed() {
	h.unproven, h.holdUntil = 0, time.Time{}
	h.score *= successFactor
	if h.score < suspectScore {
		h.fire(healthCleared)
	}
}

func (h *Health) probe(o StartOutcome, now time.Time) {
	if o.Failed || o.Rejected {
		if o.KindSucceedsElsewhere {
			h.quarantine(healthProbeFailed, now)
		}
		return
	}
	h.probesPassed++
	if h.probesPassed >= probesToRecover {
		h.score, h.unproven = 0, 0
		h.fire(healthProbesPassed)
	}
}

// quarantine starts a quarantine that lasts twice as long as the previous one, unless that ended longer than
// quarantineResetAfter ago.
func (h *Health) quarantine(e healthEvent, now time.Time) {
	switch {
	case h.quarantineTime == 0 || now.Sub(h.quarantineEnd) > quarantineResetAfter:
		h.quarantineTime = firstQuarantine
	default:
		h.quarantineTime = min(2*h.quarantineTime, maxQuarantine)
	}
	h.quarantineEnd = now.Add(h.quarantineTime)
	h.probesPassed = 0
	h.fire(e)
}

// Retract withdraws failures that turned out to be caused by a job, and reports whether the state has changed.
func (h *Health) Retract(failures int, now time.Time) bool {
	before := h.state
	h.tick(now)
	h.score = max(0, h.score-float64(failures))
	h.unproven, h.holdUntil = 0, time.Time{}
	if h.score < suspectScore {
		h.fire(healthCleared)
	}
	return h.state != before
}

// Warn records that another entry VM has quarantined the worker. That judgement may be due to the other VM's network,
// so the worker is only suspected: it gets fewer slots, and half the failures suffice for a quarantine here.
func (h *Health) Warn(now time.Time) bool {
	before := h.state
	h.tick(now)
	if h.state == Healthy {
		h.score, h.lastFailure = max(h.score, suspectScore), now
		h.fire(healthSuspected)
	}
	return h.state != before
}

// Tick ends a suspicion or quarantine whose time has passed and reports whether the state has changed.
func (h *Health) Tick(now time.Time) bool {
	before := h.state
	h.tick(now)
	return h.state != before
}

func (h *Health) tick(now time.Time) {
	if h.state == Suspect && now.Sub(h.lastFailure) >= suspicionTTL {
		h.score, h.unproven, h.holdUntil = 0, 0, time.Time{}
		h.fire(healthCleared)
	}
	if h.state == Quarantined && !now.Before(h.quarantineEnd) {
		h.fire(healthQuarantineEnded)
	}
}

// restart resets the health of a worker that runs a new process: a suspect becomes healthy, and a quarantined worker
// is probed.
func (h *Health) restart() {
	h.fire(healthQuarantineEnded)
	h.score, h.unproven, h.probesPassed = 0, 0, 0
	h.fire(healthCleared)
}

// Slots returns how many of n slots the worker may use at now.
func (h *Health) Slots(n int, now time.Time) int {
	switch h.state {
	case Suspect:
		if now.Before(h.holdUntil) {
			return 0
		}
		return min(n, max(1, n/suspectDivisor))
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
	// The state machine ignores unhandled events, and its accessors cannot fail.
	_ = healthMachine.FireCtx(ctx, e)
}
