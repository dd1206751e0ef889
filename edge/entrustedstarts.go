package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
)

const (
	// entrustedFor is how long a member keeps the starts that another one has entrusted to it: by then they are answered, or
	// announced to all members.
	entrustedFor = 2 * time.Second
	// maxEntrustedStarts bounds those of one member.
	maxEntrustedStarts = 10_000
)

// entrustedStarts holds starts without a reply so far that other members have entrusted to this one: nobody else may know of them if
// their owner is lost before it announces them. mu guards the field below it.
type entrustedStarts struct {
	mu       sync.Mutex
	byMember map[string][]datedLateStarts
}

func newEntrustedStarts() *entrustedStarts {
	return &entrustedStarts{byMember: make(map[string][]datedLateStarts)}
}

// add records starts that a member has entrusted to this one.
func (e *entrustedStarts) add(member string, n lateStartNews, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := append(e.byMember[member], datedLateStarts{n, now})
	e.byMember[member] = list[max(len(list)-maxEntrustedStarts, 0):]
}

// answered drops starts of a member that have been answered. They are among its last ones.
func (e *entrustedStarts) answered(member string, starts []contract.LateStart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.byMember[member]
	for _, s := range starts {
		for i := len(list) - 1; i >= 0; i-- {
			if dropStart(&list[i].lateStartNews, s) {
				break
			}
		}
	}
	e.byMember[member] = slices.DeleteFunc(list, func(n datedLateStarts) bool { return n.empty() })
}

// dropStart removes a start of a run at a worker. It reports whether it was there.
func dropStart(n *lateStartNews, s contract.LateStart) bool {
	before := len(n.starts)
	n.starts = slices.DeleteFunc(n.starts, func(o contract.LateStart) bool { return o.Task == s.Task && o.Worker == s.Worker })
	return len(n.starts) < before
}

// take removes and returns the starts of a member that has been lost.
func (e *entrustedStarts) take(member string) lateStartNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all lateStartNews
	for _, n := range e.byMember[member] {
		all.add(n.lateStartNews)
	}
	delete(e.byMember, member)
	return all
}

// expire drops the starts that are answered or announced by now.
func (e *entrustedStarts) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for member, list := range e.byMember {
		if _, left := splitByTime(list, now.Add(-entrustedFor)); len(left) > 0 {
			e.byMember[member] = left
		} else {
			delete(e.byMember, member)
		}
	}
}

// announceEntrusted records the starts that a lost member has entrusted to this one, and announces them at once: this process may
// be lost too before its next status.
func (d *Daemon) announceEntrusted(member string) {
	n := d.entrusted.take(member)
	if n.empty() {
		return
	}
	d.o.Logger.Info("announcing starts that a lost member has entrusted to this one", "member", member, "starts", len(n.starts))
	for i, s := range n.starts {
		n.starts[i].Task = s.Task.Task()
		d.lateStarts.Record(n.starts[i])
	}
	now := d.o.Now()
	d.announcedLate.add(n, now)
	for !n.empty() {
		d.members.Broadcast(n.take(now))
	}
}

// handleEntrusted keeps the starts that another member has entrusted to this one, and drops those that have been answered.
func (d *Daemon) handleEntrusted(member string, m *api.LateStarts) {
	now := d.o.Now()
	if starts := decodeRuns(m.GetStarts(), now); len(starts) > 0 {
		d.entrusted.add(member, lateStartNews{starts: starts}, now)
	}
	if answered := decodeRuns(m.GetAnswered(), now); len(answered) > 0 {
		d.entrusted.answered(member, answered)
	}
}
