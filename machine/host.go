package machine

import (
	"time"
)

const (
	// clockDrift is how much slower a worker's clock may run than ours.
	clockDrift = 0.02
	// lapseMargin covers the rounding of clocks to milliseconds.
	lapseMargin = 20 * time.Millisecond
	// hostSpeedWeight is the weight of one run in the learned speed of a worker.
	hostSpeedWeight = 0.2
	minSpeed        = 0.05
	maxSpeed        = 8
	// suspendFirst and suspendMost bound the time for which a worker that fails what it starts receives no task.
	suspendFirst = 400 * time.Millisecond
	suspendMost  = 3 * time.Second
	// failuresToSuspend is the number of failed runs in a row after which a worker is suspended: two in a row are rare
	// with faults of the tasks themselves.
	failuresToSuspend = 2
)

// Host is one life of a worker as the VM that owns it sees it. It holds no lock: the pool that contains it guards it.
type Host struct {
	Listing Listing
	// Token is the fencing token of this ownership; zero until the worker has been acquired.
	Token uint64
	// LastSeen is the number of the last end that the worker may forget.
	LastSeen uint64
	used     Resources
	runs     int

	clock     time.Duration
	clockAt   time.Time
	leaseEnd  time.Duration
	contacted time.Time

	speed        float64
	failures     int
	suspension   time.Duration
	suspendUntil time.Time
	full         time.Time
	suspectUntil time.Time
}

// NewHost returns a host without runs that has not been contacted.
func NewHost(l Listing, speed float64) *Host { return &Host{Listing: l, speed: speed} }

// Reserve takes room for a run.
func (h *Host) Reserve(need Resources) {
	h.used = h.used.Plus(need)
	h.runs++
}

// Release returns the room of a run.
func (h *Host) Release(need Resources) {
	h.used = h.used.Minus(need)
	h.runs--
}

// Runs returns the number of runs that hold room.
func (h *Host) Runs() int { return h.runs }

// Free returns the room that is left.
func (h *Host) Free() Resources { return h.Listing.Capacity.Minus(h.used) }

// Usable reports whether new tasks may start: the worker is owned, answers, is not draining and not suspended.
func (h *Host) Usable(now time.Time) bool {
	return h.Token != 0 && !h.Listing.Draining && !now.Before(h.suspendUntil) && !now.Before(h.full) &&
		!now.Before(h.suspectUntil)
}

// CanStart reports whether a task of that size may start now. A worker that is being probed after a suspension gets one
// task at a time.
func (h *Host) CanStart(need Resources, now time.Time) bool {
	if !h.Usable(now) || (h.suspension > 0 && h.runs > 0) {
		return false
	}
	return h.Free().Fits(need)
}

// SetClock records a reading of the worker's clock. The reading was taken before at.
func (h *Host) SetClock(reading time.Duration, at time.Time) {
	if h.clockAt.IsZero() || reading >= h.ClockAt(at) || reading < h.clock {
		h.clock, h.clockAt = reading, at
	}
	// An estimate that runs ahead, because the worker's clock is slow, falls back to the reading.
	if h.ClockAt(at)-reading > lapseMargin {
		h.clock, h.clockAt = reading, at
	}
	h.contacted, h.suspectUntil = at, time.Time{}
}

// Restarted records that the worker has begun a new life, with a clock and numbers of ends of its own. What was ordered
// before and reaches it late may run there for the longest lease.
func (h *Host) Restarted(reading time.Duration, at time.Time, longestLease time.Duration) {
	h.clock, h.clockAt, h.contacted = reading, at, at
	h.leaseEnd = reading + longestLease
	h.LastSeen = 0
}

// ClockAt estimates the worker's clock.
func (h *Host) ClockAt(t time.Time) time.Duration { return h.clock + t.Sub(h.clockAt) }

// ExtendLease returns the worker's clock at which a lease of that length ends from now, and remembers it as the latest
// time until which anything ordered so far may run.
func (h *Host) ExtendLease(length time.Duration, now time.Time) time.Duration {
	end := h.ClockAt(now) + length
	h.leaseEnd = max(h.leaseEnd, end)
	return end
}

// LapsedBy returns the time at which everything ordered so far has ended for certain if the worker is not reached again.
func (h *Host) LapsedBy() time.Time {
	left := h.leaseEnd - h.clock
	return h.clockAt.Add(left + time.Duration(float64(left)*2*clockDrift) + lapseMargin)
}

// Contacted returns when the worker last answered.
func (h *Host) Contacted() time.Time { return h.contacted }

// Speed returns the learned speed, relative to the mean of its back end.
func (h *Host) Speed() float64 { return h.speed }

// Succeeded records a run that was done, and how long it took against the expectation at speed 1.
func (h *Host) Succeeded(took, expected time.Duration) {
	h.failures, h.suspension = 0, 0
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(float64(expected)/float64(took), minSpeed), maxSpeed)
	h.speed += hostSpeedWeight * (ratio - h.speed)
}

// Failed records a run that the worker did not do. It reports whether the worker has been suspended by it.
func (h *Host) Failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresToSuspend && h.suspension == 0 {
		return false
	}
	h.suspend(now)
	return true
}

// Unanswered records a call without an answer: the worker gets nothing until then, or until its next answer.
func (h *Host) Unanswered(until time.Time) { h.suspectUntil = until }

// Stalled records that the worker does not carry out what it has started, or does not answer.
func (h *Host) Stalled(now time.Time) { h.suspend(now) }

func (h *Host) suspend(now time.Time) {
	h.suspension = min(max(2*h.suspension, suspendFirst), suspendMost)
	h.suspendUntil = now.Add(h.suspension)
}

// RejectedAsFull records that the worker has less room than known, so that it gets nothing until then.
func (h *Host) RejectedAsFull(until time.Time) { h.full = until }
