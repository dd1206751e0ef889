package machine

import (
	"time"
)

const (
	// clockDrift is the relative amount by which a worker's clock may run slower than the local one.
	clockDrift = 0.02
	// clockMargin covers the rounding of clocks to milliseconds.
	clockMargin = 20 * time.Millisecond
	// hostSpeedWeight is the weight of one run in the moving average of a worker's speed.
	hostSpeedWeight = 0.2
	// minSpeed and maxSpeed bound the speed computed from one run.
	minSpeed = 0.05
	maxSpeed = 8
	// minSuspension and maxSuspension bound the time for which a worker that fails its tasks receives none.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 3 * time.Second
	// failuresToSuspend is the number of consecutive failed runs after which a worker is suspended: two in a row are
	// rare if the faults are in the tasks.
	failuresToSuspend = 2
)

// Host is a worker as seen by the VM that owns it. It has no lock of its own: that of the pool that contains it guards
// it.
type Host struct {
	Listing Listing
	// StartTime identifies the incarnation of the worker that replied last; zero before the first reply.
	StartTime int64
	// Token is the fencing token of this ownership; zero until the worker has been acquired.
	Token uint64
	// LastOutcome is the number of the last outcome that the worker may delete.
	LastOutcome uint64
	// Evacuated is set while the failure domain of the worker is evacuated.
	Evacuated bool
	used      Resources
	runs      int

	// clock is the worker's clock at local time clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest end of a lease, on the worker's clock.
	leaseEnd  time.Duration
	contacted time.Time

	speed float64
	// failures counts the failures since the last successful run.
	failures int
	// suspension is the length of the last suspension; zero after a successful run.
	suspension   time.Duration
	suspendUntil time.Time
	fullUntil    time.Time
	suspectUntil time.Time
}

// NewHost returns a host without runs that has not been contacted.
func NewHost(l Listing) *Host { return &Host{Listing: l, speed: 1} }

// Reserve allocates the resources of a run.
func (h *Host) Reserve(need Resources) {
	h.used = h.used.Plus(need)
	h.runs++
}

// Release frees the resources of a run.
func (h *Host) Release(need Resources) {
	h.used = h.used.Minus(need)
	h.runs--
}

// Withhold allocates resources that no run uses yet.
func (h *Host) Withhold(need Resources) { h.used = h.used.Plus(need) }

// Restore frees resources that Withhold has allocated.
func (h *Host) Restore(need Resources) { h.used = h.used.Minus(need) }

// Runs returns the number of runs that hold resources.
func (h *Host) Runs() int { return h.runs }

// Free returns the free capacity.
func (h *Host) Free() Resources { return h.Listing.Capacity.Minus(h.used) }

// Usable reports whether new tasks may start: the worker is owned, responds, is schedulable, not full and not suspended.
func (h *Host) Usable(now time.Time) bool {
	return h.Token != 0 && h.Schedulable() && !now.Before(h.suspendUntil) && !now.Before(h.fullUntil) &&
		!now.Before(h.suspectUntil)
}

// CanStart reports whether a task of that size may start now. A worker that is probed after a suspension gets one
// task at a time.
func (h *Host) CanStart(need Resources, now time.Time) bool {
	if !h.Usable(now) || (h.suspension > 0 && h.runs > 0) {
		return false
	}
	return h.Free().Fits(need)
}

// CanStartSuspended reports the same whether or not the worker is suspended.
func (h *Host) CanStartSuspended(need Resources, now time.Time) bool {
	return h.Token != 0 && h.Schedulable() && !now.Before(h.fullUntil) && !now.Before(h.suspectUntil) && h.Free().Fits(need)
}

// SetClock records a reading of the worker's clock that was received at local time at, and so taken before it.
func (h *Host) SetClock(reading time.Duration, at time.Time) {
	if h.clockAt.IsZero() || reading >= h.ClockAt(at) || reading < h.clock {
		h.clock, h.clockAt = reading, at
	}
	// If the worker's clock is slow, the estimate runs ahead; it is then reset to the reading.
	if h.ClockAt(at)-reading > clockMargin {
		h.clock, h.clockAt = reading, at
	}
	h.contacted, h.suspectUntil = at, time.Time{}
}

// Restarted records a new incarnation of the worker, which has a new clock and numbers its outcomes anew. Tasks
// ordered before may reach it late and run there for the longest lease.
func (h *Host) Restarted(reading time.Duration, at time.Time, longestLease time.Duration) {
	h.clock, h.clockAt, h.contacted = reading, at, at
	h.leaseEnd = reading + longestLease
	h.LastOutcome = 0
}

// ClockAt estimates the worker's clock at a local time.
func (h *Host) ClockAt(t time.Time) time.Duration { return h.clock + t.Sub(h.clockAt) }

// EarliestStart returns a lower bound of the start time, in Unix milliseconds, of the incarnation whose clock shows a
// reading now. A clock that has run back is that of an incarnation later than the known one. Clocks may be slow, not fast.
func (h *Host) EarliestStart(reading time.Duration, now time.Time) int64 {
	if h.StartTime == 0 || reading >= h.clock {
		return h.StartTime
	}
	return h.StartTime + (h.ClockAt(now) - reading).Milliseconds()
}

// ExtendLease returns the time on the worker's clock at which a lease of that length ends if it starts now. It
// records the latest such time, until which any task ordered so far may run.
func (h *Host) ExtendLease(length time.Duration, now time.Time) time.Duration {
	end := h.ClockAt(now) + length
	h.leaseEnd = max(h.leaseEnd, end)
	return end
}

// LeaseEndsBy reports whether every lease granted so far ends by a local time, by the estimate of the worker's clock that
// ExtendLease uses.
func (h *Host) LeaseEndsBy(t time.Time) bool { return h.leaseEnd <= h.ClockAt(t) }

// LeaseEnd returns the latest end of a lease granted so far, on the worker's clock.
func (h *Host) LeaseEnd() time.Duration { return h.leaseEnd }

// LeasesExpireBy returns the time by which the leases of all tasks ordered so far have certainly expired if the worker
// is not contacted again.
func (h *Host) LeasesExpireBy() time.Time { return LeaseOverBy(h.clockAt, h.leaseEnd-h.clock) }

// LeaseOverBy returns the time by which a lease of that length has certainly expired that a worker granted no later than at a
// local time.
func LeaseOverBy(granted time.Time, length time.Duration) time.Time {
	return granted.Add(length + time.Duration(float64(length)*2*clockDrift) + clockMargin)
}

// Contacted returns when the worker last responded.
func (h *Host) Contacted() time.Time { return h.contacted }

// Speed returns the learned speed, relative to the mean of its back end.
func (h *Host) Speed() float64 { return h.speed }

// ResetSpeed replaces the learned speed by a predicted one.
func (h *Host) ResetSpeed(speed float64) { h.speed = speed }

// Succeeded records a successful run; took is its run time, expected the one at speed 1.
func (h *Host) Succeeded(took, expected time.Duration) {
	h.failures, h.suspension = 0, 0
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(float64(expected)/float64(took), minSpeed), maxSpeed)
	h.speed += hostSpeedWeight * (ratio - h.speed)
}

// Failed records a failed run and reports whether it has caused a suspension.
func (h *Host) Failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresToSuspend && h.suspension == 0 {
		return false
	}
	h.suspend(now)
	return true
}

// MarkSuspectUntil records a call without a reply: the worker receives no tasks until the given time or its next reply.
func (h *Host) MarkSuspectUntil(until time.Time) { h.suspectUntil = until }

// Suspend suspends a worker that does not execute its tasks or does not respond.
func (h *Host) Suspend(now time.Time) { h.suspend(now) }

// Suspended reports whether the worker is suspended.
func (h *Host) Suspended(now time.Time) bool { return now.Before(h.suspendUntil) }

func (h *Host) suspend(now time.Time) {
	h.suspension = min(max(2*h.suspension, minSuspension), maxSuspension)
	h.suspendUntil = now.Add(h.suspension)
}

// MarkFullUntil records that the worker has less free capacity than assumed; it receives no tasks until the given
// time.
func (h *Host) MarkFullUntil(until time.Time) { h.fullUntil = until }
