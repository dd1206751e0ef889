package zone

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// HomeRetention is how long an incarnation that has ended is remembered: the longest deadline of a job plus the
	// retention of answers, with room to spare.
	HomeRetention = 30 * time.Minute
	// unlistedLimit is how long the list may take to show a new VM.
	unlistedLimit = 15 * time.Second
	// maxHomes bounds the memory; beyond it the incarnations that ended first are forgotten. A failure domain sees a
	// few hundred ends a day at most.
	maxHomes = 4096
	// maxSuccessions bounds the successors followed for one incarnation.
	maxSuccessions = 16
)

// HomeState is what is known of an incarnation that mints job ids.
type HomeState uint8

// Home states. A gone home never answers again; a silent one may.
const (
	HomeUnknown HomeState = iota
	HomeRunning
	HomeSilent
	HomeGone
)

// Home is what Locate finds.
type Home struct {
	State       HomeState
	VM          string
	Incarnation machine.Incarnation
}

// Succession names the incarnation that answers for a home which stops or has stopped.
type Succession struct {
	Home        machine.Incarnation
	VM          string
	Successor   machine.Incarnation
	SuccessorVM string
	// Complete is set once the home has handed over everything. Before that calls go to the home itself unless it
	// is gone.
	Complete bool
}

// Homes holds the incarnations of the entry VMs of one failure domain. Its mutex guards all fields.
//
// Rule for the answer "outcome unknown": it is given for an incarnation that is gone, and an incarnation is gone when
// its VM runs another one, when the list has dropped its VM for the time after which silent members count as gone, or
// when more than half of the listed members, none of which has heard it for that time, have promised to refuse it for
// ever. A home gives final answers only while its AnswerLease holds, which is never the case after that many promises,
// so that a home which returns from a partition cannot contradict the answer.
type Homes struct {
	mu      sync.Mutex
	records map[machine.Incarnation]*homeRecord
	current map[string]machine.Incarnation
}

type homeRecord struct {
	vm string
	// heard is the time of the last message; zero if the incarnation is only known from others, who named it first at
	// learned.
	heard   time.Time
	learned time.Time
	// listed says that the list has shown the VM; before that, missing is the time since which it has not.
	listed  bool
	missing time.Time
	dropped time.Time
	// promised and gone refuse the incarnation permanently.
	promised bool
	gone     bool
	since    time.Time // end, for the retention
	next     Succession
}

// NewHomes returns an empty registry.
func NewHomes() *Homes {
	return &Homes{
		records: make(map[machine.Incarnation]*homeRecord), current: make(map[string]machine.Incarnation),
	}
}

// record expects h.mu to be held.
func (h *Homes) record(inc machine.Incarnation, vm string) *homeRecord {
	r, ok := h.records[inc]
	if !ok {
		r = &homeRecord{vm: vm}
		h.records[inc] = r
	}
	return r
}

// Heard records a message of an incarnation. It returns accepted false if the message must not be acknowledged, and
// fresh true for the first message of an incarnation.
func (h *Homes) Heard(vm string, inc machine.Incarnation, now time.Time) (accepted, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(inc, vm)
	if r.promised || r.gone || !r.dropped.IsZero() {
		return false, false
	}
	fresh = r.heard.IsZero()
	r.heard = now
	if old := h.current[vm]; old != inc && old != 0 {
		h.end(h.records[old], now)
	}
	h.current[vm] = inc
	return true, fresh
}

// Know takes over that another member has heard an incarnation. Without it, the knowledge of a home that crashes is
// lost when all members that have heard it are replaced before its end is noticed.
func (h *Homes) Know(vm string, inc machine.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.records[inc]; !ok {
		h.record(inc, vm).learned = now
	}
}

// endReplaced ends the incarnations that are known from others only and whose VM still runs another one: a newer one
// would have silenced it. It expects h.mu to be held.
func (h *Homes) endReplaced(now time.Time) {
	for inc, r := range h.records {
		if r.learned.IsZero() || !r.heard.IsZero() || now.Sub(r.learned) < SilenceLimit {
			continue
		}
		current, ok := h.records[h.current[r.vm]]
		if ok && h.current[r.vm] != inc && now.Sub(current.heard) < SilenceLimit {
			h.end(r, now)
		}
	}
}

// end expects h.mu to be held.
func (h *Homes) end(r *homeRecord, now time.Time) {
	if r == nil || r.gone {
		return
	}
	r.gone = true
	r.since = now
}

// Refuses reports whether an incarnation is refused permanently.
func (h *Homes) Refuses(inc machine.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[inc]
	return ok && (r.promised || r.gone)
}

// ApplyList notes which VMs the list has dropped.
func (h *Homes) ApplyList(listed map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.records {
		switch {
		case listed[r.vm]:
			r.listed = true
			r.dropped = time.Time{}
		case !r.listed:
			h.unlisted(r, now)
		case r.dropped.IsZero():
			r.dropped = now
		case now.Sub(r.dropped) >= SilenceLimit:
			h.end(r, now)
		}
	}
	h.endReplaced(now)
}

// unlisted ends a silent incarnation whose VM the list has never shown. The list lags behind a VM that has just been
// added, so that more time is allowed than for one that was dropped. It expects h.mu to be held.
func (h *Homes) unlisted(r *homeRecord, now time.Time) {
	if r.missing.IsZero() {
		r.missing = now
	}
	if now.Sub(r.missing) >= unlistedLimit && now.Sub(r.heard) >= SilenceLimit {
		h.end(r, now)
	}
}

// Ended takes over that an incarnation has ended, as reported by another member.
func (h *Homes) Ended(vm string, inc machine.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(h.record(inc, vm), now)
}

// Succeed records who answers for a home, as announced by the home. A complete succession is never taken back; before
// that the home may turn to another successor. It reports whether a complete succession is news.
func (h *Homes) Succeed(s Succession, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.succeed(s, now)
}

// Learn is Succeed for what others report, which may be older than what is known.
func (h *Homes) Learn(s Succession, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[s.Home]; ok && r.next.Successor != 0 && !s.Complete {
		return false
	}
	return h.succeed(s, now)
}

// succeed expects h.mu to be held.
func (h *Homes) succeed(s Succession, now time.Time) bool {
	r := h.record(s.Home, s.VM)
	if r.next.Complete {
		return false
	}
	r.next = s
	if r.since.IsZero() {
		r.since = now
	}
	if _, ok := h.records[s.Successor]; !ok {
		h.record(s.Successor, s.SuccessorVM).since = now
	}
	return s.Complete
}

// Silent reports whether a home that was heard before has not been heard for SilenceLimit. With promise set it is
// refused from then on.
func (h *Homes) Silent(inc machine.Incarnation, promise bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[inc]
	if !ok || r.heard.IsZero() {
		return false
	}
	if !r.promised && !r.gone && now.Sub(r.heard) < SilenceLimit {
		return false
	}
	if promise && !r.promised {
		r.promised = true
		if r.since.IsZero() {
			r.since = now
		}
	}
	return true
}

// Locate returns the incarnation that answers for the ids of inc, following successors.
func (h *Homes) Locate(inc machine.Incarnation, now time.Time) Home {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range maxSuccessions {
		r, ok := h.records[inc]
		if !ok {
			return Home{State: HomeUnknown, Incarnation: inc}
		}
		if next := r.next; next.Successor != 0 && (next.Complete || r.gone) {
			inc = next.Successor
			continue
		}
		return Home{State: r.state(now), VM: r.vm, Incarnation: inc}
	}
	return Home{State: HomeUnknown, Incarnation: inc}
}

func (r *homeRecord) state(now time.Time) HomeState {
	switch {
	case r.gone:
		return HomeGone
	case r.promised || !r.dropped.IsZero():
		return HomeSilent
	case r.heard.IsZero():
		// Known from others only; a call to it shows whether it runs.
		return HomeRunning
	case now.Sub(r.heard) >= SilenceLimit:
		return HomeSilent
	default:
		return HomeRunning
	}
}

// Current returns the incarnation that was last heard on a VM, zero if none.
func (h *Homes) Current(vm string) machine.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current[vm]
}

// HomeReport is what a member tells another one that has just appeared.
type HomeReport struct {
	Successions []Succession
	// Ended and Known name the VM of each incarnation.
	Ended map[machine.Incarnation]string
	Known map[machine.Incarnation]string
}

// Report returns what is known of all incarnations.
func (h *Homes) Report() HomeReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := HomeReport{Ended: make(map[machine.Incarnation]string), Known: make(map[machine.Incarnation]string)}
	for inc, r := range h.records {
		if r.next.Successor != 0 {
			out.Successions = append(out.Successions, r.next)
		}
		if r.gone {
			out.Ended[inc] = r.vm
		} else {
			out.Known[inc] = r.vm
		}
	}
	return out
}

// Expire forgets the incarnations that ended longer than HomeRetention ago, and the oldest beyond the bound.
func (h *Homes) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for inc, r := range h.records {
		over := len(h.records) > maxHomes
		if h.current[r.vm] != inc && (over || now.Sub(r.latest()) >= HomeRetention) {
			delete(h.records, inc)
		}
	}
	for vm, inc := range h.current {
		r := h.records[inc]
		if r.gone && now.Sub(r.latest()) >= HomeRetention {
			delete(h.records, inc)
			delete(h.current, vm)
		}
	}
}

func (r *homeRecord) latest() time.Time {
	last := r.since
	for _, t := range []time.Time{r.heard, r.learned} {
		if t.After(last) {
			last = t
		}
	}
	return last
}
