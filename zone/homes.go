package zone

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// HomeRetention is how long the record of an incarnation that has ended is kept: more than the longest deadline of a
	// job plus the retention of answers.
	HomeRetention = 30 * time.Minute
	// unlistedLimit is the time allowed for the list to show a new VM.
	unlistedLimit = 15 * time.Second
	// maxHomes bounds the memory; beyond it the records of incarnations that are not the current ones of their VMs are
	// deleted early. In a failure domain at most a few hundred incarnations end per day.
	maxHomes = 4096
	// maxSuccessions bounds the successors followed for one incarnation.
	maxSuccessions = 16
)

// HomeState is the known state of a home: an incarnation that mints job ids and answers for them.
type HomeState uint8

// Home states. A gone home never answers again; a silent one may.
const (
	HomeUnknown HomeState = iota
	HomeRunning
	HomeSilent
	HomeGone
)

// Home is the result of Locate.
type Home struct {
	State       HomeState
	VM          string
	Incarnation machine.Incarnation
	// GoneConfirmed is set for a home that is gone once no live member knew a successor.
	GoneConfirmed bool
}

// Succession names the incarnation that answers for a home that is stopping or has stopped.
type Succession struct {
	Home        machine.Incarnation
	VM          string
	Successor   machine.Incarnation
	SuccessorVM string
	// Complete is set once the home has handed over everything. Until then calls go to the home itself unless it is
	// gone.
	Complete bool
}

// Homes holds the incarnations of the entry VMs of one failure domain. Its mutex guards all fields.
//
// The answer "outcome unknown" is given only for an incarnation that is gone. An incarnation is gone when its VM runs
// another one, when the list has omitted its VM for SilenceLimit (for unlistedLimit if it has never shown the VM), or
// when more than half of the listed members, none of which has received a message from it for SilenceLimit, have
// promised to refuse it permanently. A home gives final answers only while its AnswerLease holds, which is never the
// case after that many promises, so a home that returns from a partition cannot contradict the answer.
type Homes struct {
	mu      sync.Mutex
	records map[machine.Incarnation]*homeRecord
	current map[string]machine.Incarnation
}

type homeRecord struct {
	vm string
	// lastContact is the time of the last message; zero if the incarnation is known only from other members, the first
	// of which reported it at reportedAt.
	lastContact time.Time
	reportedAt  time.Time
	// listed is set once the list has shown the VM; until then, unlistedSince is the time since which it has been
	// missing.
	listed        bool
	unlistedSince time.Time
	// droppedAt is when the list first omitted a VM that it had shown; zero while the VM is listed.
	droppedAt time.Time
	// refusalPromised and gone refuse the incarnation permanently.
	refusalPromised bool
	gone            bool
	// goneConfirmed is set once no live member knew a successor of an incarnation that is gone.
	goneConfirmed bool
	retainedSince time.Time // start of the retention period
	succession    Succession
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

// ObserveMessage records a message from an incarnation. It returns accepted=false if the message must not be
// acknowledged, and fresh=true for the first message of an incarnation.
func (h *Homes) ObserveMessage(vm string, inc machine.Incarnation, now time.Time) (accepted, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(inc, vm)
	if r.refusalPromised || r.gone || !r.droppedAt.IsZero() {
		return false, false
	}
	fresh = r.lastContact.IsZero()
	r.lastContact = now
	if old := h.current[vm]; old != inc && old != 0 {
		h.end(h.records[old], now)
	}
	h.current[vm] = inc
	return true, fresh
}

// AddReported records that another member has received a message from an incarnation. Without it, a home that crashes
// would be forgotten if all members that received its messages are replaced before its end is detected.
func (h *Homes) AddReported(vm string, inc machine.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.records[inc]; !ok {
		h.record(inc, vm).reportedAt = now
	}
}

// endReplaced ends incarnations that are known only from other members, for at least SilenceLimit, while another
// incarnation of the same VM still sends messages: a newer incarnation would have replaced that one and silenced it. It
// expects h.mu to be held.
func (h *Homes) endReplaced(now time.Time) {
	for inc, r := range h.records {
		if r.reportedAt.IsZero() || !r.lastContact.IsZero() || now.Sub(r.reportedAt) < SilenceLimit {
			continue
		}
		current, ok := h.records[h.current[r.vm]]
		if ok && h.current[r.vm] != inc && now.Sub(current.lastContact) < SilenceLimit {
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
	r.retainedSince = now
}

// Refuses reports whether an incarnation is refused permanently.
func (h *Homes) Refuses(inc machine.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[inc]
	return ok && (r.refusalPromised || r.gone)
}

// ApplyList records which VMs the list has dropped and ends the incarnations that were dropped long enough.
func (h *Homes) ApplyList(listed map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.records {
		switch {
		case listed[r.vm]:
			r.listed = true
			r.droppedAt = time.Time{}
		case !r.listed:
			h.endUnlisted(r, now)
		case r.droppedAt.IsZero():
			r.droppedAt = now
		case now.Sub(r.droppedAt) >= SilenceLimit:
			h.end(r, now)
		}
	}
	h.endReplaced(now)
}

// endUnlisted ends a silent incarnation whose VM the list has never shown. The list lags behind a VM that has just
// been added, so it is given more time than a VM that was dropped. It expects h.mu to be held.
func (h *Homes) endUnlisted(r *homeRecord, now time.Time) {
	if r.unlistedSince.IsZero() {
		r.unlistedSince = now
	}
	if now.Sub(r.unlistedSince) >= unlistedLimit && now.Sub(r.lastContact) >= SilenceLimit {
		h.end(r, now)
	}
}

// MarkGone records that an incarnation is gone, as reported by another member.
func (h *Homes) MarkGone(vm string, inc machine.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(h.record(inc, vm), now)
}

// SetSuccession records the successor of a home, as announced by the home. A complete succession is never reverted;
// before that the home may choose another successor. It reports whether a complete succession is new.
func (h *Homes) SetSuccession(s Succession, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.setSuccession(s, now)
}

// SetReportedSuccession is SetSuccession for reports from other members, which may be older than what is known.
func (h *Homes) SetReportedSuccession(s Succession, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[s.Home]; ok && r.succession.Successor != 0 && !s.Complete {
		return false
	}
	return h.setSuccession(s, now)
}

// setSuccession expects h.mu to be held.
func (h *Homes) setSuccession(s Succession, now time.Time) bool {
	r := h.record(s.Home, s.VM)
	if r.succession.Complete {
		return false
	}
	r.succession = s
	if r.retainedSince.IsZero() {
		r.retainedSince = now
	}
	if _, ok := h.records[s.Successor]; !ok {
		h.record(s.Successor, s.SuccessorVM).retainedSince = now
	}
	return s.Complete
}

// Silent reports whether a home that was in contact before has been silent for SilenceLimit, is refused or is gone.
// With promise set, such a home is refused from then on.
func (h *Homes) Silent(inc machine.Incarnation, promise bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.records[inc]
	if !ok || r.lastContact.IsZero() {
		return false
	}
	if !r.refusalPromised && !r.gone && now.Sub(r.lastContact) < SilenceLimit {
		return false
	}
	if promise && !r.refusalPromised {
		r.refusalPromised = true
		if r.retainedSince.IsZero() {
			r.retainedSince = now
		}
	}
	return true
}

// Remembers reports whether there is a record of an incarnation, and whether it names a successor.
func (h *Homes) Remembers(inc machine.Incarnation) (known, succeeded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, known := h.records[inc]
	return known, known && r.succession.Successor != 0
}

// ConfirmGone records that no live member knows a successor of an incarnation that is gone.
func (h *Homes) ConfirmGone(inc machine.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[inc]; ok {
		r.goneConfirmed = true
	}
}

// Locate returns the incarnation that answers for the job ids of inc, following successors.
func (h *Homes) Locate(inc machine.Incarnation, now time.Time) Home {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range maxSuccessions {
		r, ok := h.records[inc]
		if !ok {
			return Home{State: HomeUnknown, Incarnation: inc}
		}
		if succession := r.succession; succession.Successor != 0 && (succession.Complete || r.gone) {
			inc = succession.Successor
			continue
		}
		return Home{State: r.state(now), VM: r.vm, Incarnation: inc, GoneConfirmed: r.goneConfirmed}
	}
	return Home{State: HomeUnknown, Incarnation: inc}
}

func (r *homeRecord) state(now time.Time) HomeState {
	switch {
	case r.gone:
		return HomeGone
	case r.refusalPromised || !r.droppedAt.IsZero():
		return HomeSilent
	case r.lastContact.IsZero():
		// Known only from other members; a call to it shows whether it runs.
		return HomeRunning
	case now.Sub(r.lastContact) >= SilenceLimit:
		return HomeSilent
	default:
		return HomeRunning
	}
}

// Current returns the incarnation that last sent a message from a VM, zero if none.
func (h *Homes) Current(vm string) machine.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current[vm]
}

// HomeReport is the state that a member sends to another one that has just appeared.
type HomeReport struct {
	Successions []Succession
	// Ended holds the VMs of the incarnations that are gone, Known those of all others.
	Ended map[machine.Incarnation]string
	Known map[machine.Incarnation]string
}

// Report returns the known state of all incarnations.
func (h *Homes) Report() HomeReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := HomeReport{Ended: make(map[machine.Incarnation]string), Known: make(map[machine.Incarnation]string)}
	for inc, r := range h.records {
		if r.succession.Successor != 0 {
			out.Successions = append(out.Successions, r.succession)
		}
		if r.gone {
			out.Ended[inc] = r.vm
		} else {
			out.Known[inc] = r.vm
		}
	}
	return out
}

// Expire deletes the records whose last event is at least HomeRetention ago, except those of current incarnations that
// are not gone. While there are more than maxHomes records, it also deletes newer ones of incarnations that are not
// current.
func (h *Homes) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for inc, r := range h.records {
		over := len(h.records) > maxHomes
		if h.current[r.vm] != inc && (over || now.Sub(r.lastEvent()) >= HomeRetention) {
			delete(h.records, inc)
		}
	}
	for vm, inc := range h.current {
		r := h.records[inc]
		if r.gone && now.Sub(r.lastEvent()) >= HomeRetention {
			delete(h.records, inc)
			delete(h.current, vm)
		}
	}
}

func (r *homeRecord) lastEvent() time.Time {
	last := r.retainedSince
	for _, t := range []time.Time{r.lastContact, r.reportedAt} {
		if t.After(last) {
			last = t
		}
	}
	return last
}
