package zone

import (
	"sort"
	"time"
)

const (
	// recallInterval is the minimum interval between recalls, so that the effect of one is seen before the next.
	recallInterval = 50 * time.Millisecond
	// recallShare is the maximum share of an allocator's slots recalled at a time.
	recallShare = 1.0 / 16
	// recallTimeout is the time after which a recalled slot is no longer expected to be returned.
	recallTimeout = 400 * time.Millisecond
	// RecallMargin is the minimum difference of waiting times at which slots are recalled.
	RecallMargin = 20 * time.Millisecond
	// recallRatio adds a fraction of the longer wait to the margin: with a long backlog the waits known to the allocator
	// are off by the age of the reports.
	recallRatio = 0.125
)

// Recall asks a member to return slots.
type Recall struct {
	Member string
	Slots  int
	// Wait is the wait of the requester's oldest task. A holder whose own work has waited about as long keeps the slots
	// that it uses.
	Wait time.Duration
}

// recallState limits the recalls of an allocator.
type recallState struct {
	// at is when slots to recall were last chosen.
	at time.Time
	// requester and gap are the requester and the difference of the waits in the last call of gapGrows.
	requester string
	gap       time.Duration
}

// MayRecall reports whether work that has waited for wait takes precedence over work that has waited for own.
func MayRecall(wait, own time.Duration) bool {
	return wait > own+RecallMargin+time.Duration(recallRatio*float64(wait))
}

// Recalls returns the slots to recall for the short work that has waited longest while no slot is free.
func (a *SlotAllocator) Recalls(now time.Time) []Recall {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.short.Len() > 0 || now.Sub(a.recall.at) < recallInterval {
		return nil
	}
	name, m := a.longestWaiting(shortClass)
	if m == nil {
		return nil
	}
	wait := max(0, now.Sub(m.shortSince))
	holders := a.holders(name, wait, now)
	if len(holders) == 0 || !a.gapGrows(name, holders[0], now.Sub(m.shortSince)) {
		return nil
	}
	a.recall.at = now
	budget := min(m.need.Short, max(1, int(recallShare*float64(a.slots)))) - a.outstanding(now)
	var out []Recall
	for _, h := range holders {
		n := min(budget, h.slots)
		if n <= 0 {
			break
		}
		budget -= n
		grantee := a.member(h.name)
		grantee.recalled += n
		grantee.recalledAt = now
		out = append(out, Recall{Member: h.name, Slots: n, Wait: wait})
	}
	return out
}

type holder struct {
	name  string
	slots int
	wait  time.Duration
}

// holders returns the members that may have to return slots for the requester, ordered by the wait of their oldest
// task, shortest first. It expects a.mu to be held.
func (a *SlotAllocator) holders(requester string, wait time.Duration, now time.Time) []holder {
	slots := make(map[string]int)
	for _, w := range a.workers {
		for n, h := range w.held {
			slots[n] += h.Short
		}
	}
	var out []holder
	for n, held := range slots {
		m := a.member(n)
		own := time.Duration(0)
		if !m.backlogSince.IsZero() {
			// At least 1 ns, because zero means that no task waits.
			own = max(1, now.Sub(m.backlogSince))
		}
		// A member without waiting work may hold idle slots, which it returns whatever the requester's wait is.
		if n == requester || held-m.recalled <= 0 || (own > 0 && !MayRecall(wait, own)) {
			continue
		}
		out = append(out, holder{name: n, slots: held - m.recalled, wait: own})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].wait != out[j].wait {
			return out[i].wait < out[j].wait
		}
		return out[i].slots > out[j].slots || (out[i].slots == out[j].slots && out[i].name < out[j].name)
	})
	return out
}

// gapGrows reports whether the requester's wait exceeds that of the first holder by at least as much as in the previous
// call. While the difference shrinks, the slots already recalled suffice, and recalling more would reverse it. It also
// returns true for another requester than before, and for a holder without waiting work, which may hold idle slots. It
// expects a.mu to be held.
func (a *SlotAllocator) gapGrows(requester string, first holder, wait time.Duration) bool {
	gap := wait - first.wait
	before, same := a.recall.gap, a.recall.requester == requester
	a.recall.requester, a.recall.gap = requester, gap
	return first.wait == 0 || !same || gap >= before
}

// outstanding counts the recalled slots that may still be returned. It expects a.mu to be held.
func (a *SlotAllocator) outstanding(now time.Time) int {
	n := 0
	for _, m := range a.members {
		if now.Sub(m.recalledAt) > recallTimeout {
			m.recalled = 0
		}
		n += m.recalled
	}
	return n
}
