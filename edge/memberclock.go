package edge

import "time"

// originWindow is the time over which the fastest message of a member is looked for. The clocks of two VMs drift apart by a few
// milliseconds in it.
const originWindow = 30 * time.Second

// memberClock estimates how a member's timestamps relate to this process's clock, by the message that took the shortest time.
type memberClock struct {
	// origin is the earliest time at which the member's timestamp can have been zero, by the messages since that time; last is
	// the one of the window before.
	origin, last time.Time
	since        time.Time
}

// record records the arrival of a timestamp.
func (c *memberClock) record(timestamp uint64, now time.Time) {
	origin := now.Add(-timestampTime(timestamp))
	switch {
	case c.origin.IsZero():
		c.origin, c.since = origin, now
	case now.Sub(c.since) >= originWindow:
		c.last, c.origin, c.since = c.origin, origin, now
	case origin.Before(c.origin):
		c.origin = origin
	}
}

// sentAt returns when the member sent a timestamp that has just arrived. Without a timestamp, or an earlier one, it is now.
func (c *memberClock) sentAt(timestamp uint64, now time.Time) time.Time {
	if timestamp == 0 || c.origin.IsZero() {
		return now
	}
	origin := c.origin
	if !c.last.IsZero() && c.last.Before(origin) {
		origin = c.last
	}
	if at := origin.Add(timestampTime(timestamp)); at.Before(now) {
		return at
	}
	return now
}

func timestampTime(timestamp uint64) time.Duration {
	return time.Duration(timestamp) * time.Millisecond
}

// SentAt returns when a process sent a message with its own timestamp that has just arrived.
func (m *Members) SentAt(id string, timestamp uint64, now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		return e.clock.sentAt(timestamp, now)
	}
	return now
}
