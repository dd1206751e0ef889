package timeline

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	ringStripes = 8
	// DefaultEvents keeps about 14 s of history at 2,300 starts/s per entry VM and two events per task, in 8 MB.
	DefaultEvents = 64 << 10
)

// Event is an event of a process. The ring sets Sequence, Lamport and Wall. Strings must be references to existing
// state rather than formatted for the event, because recording is on the path of each start.
type Event struct {
	Kind     Kind
	Sequence uint64
	Lamport  uint64
	Wall     int64 // Unix time in ns
	Task     contract.TaskID
	Worker   machine.WorkerID
	Peer     string
	Detail   string
	// Count is a number that depends on the kind: slots of a grant, tasks of a job, a revision.
	Count int64
}

// Process identifies the process that records events.
type Process struct {
	VM          string
	Incarnation machine.Incarnation
}

// Ring keeps the latest events of a process in stripes, each under its own lock. A nil ring records nothing.
type Ring struct {
	process  Process
	clock    *Clock
	now      func() time.Time
	disabled atomic.Bool
	next     atomic.Uint64
	stripes  [ringStripes]stripe
}

// stripe is a part of the ring. mu guards all fields.
type stripe struct {
	mu      sync.Mutex
	events  []Event
	written uint64
	// lost is the Lamport time of the latest event that was overwritten.
	lost uint64
	// The padding keeps the locks of adjacent stripes on separate cache lines.
	_ [64]byte
}

// NewRing returns a ring that holds the given number of events, rounded down to the same number in each stripe, but at
// least one.
func NewRing(p Process, events int, clock *Clock, now func() time.Time) *Ring {
	r := &Ring{process: p, clock: clock, now: now}
	stripeEvents := max(1, events/ringStripes)
	for i := range r.stripes {
		r.stripes[i].events = make([]Event, stripeEvents)
	}
	return r
}

// SetEnabled enables or disables recording.
func (r *Ring) SetEnabled(on bool) { r.disabled.Store(!on) }

// Record ticks the clock and adds an event with the new time.
func (r *Ring) Record(e Event) {
	if r == nil || r.disabled.Load() {
		return
	}
	e.Sequence = r.next.Add(1)
	e.Lamport = r.clock.Tick()
	e.Wall = r.now().UnixNano()
	s := &r.stripes[e.Sequence%ringStripes]
	s.mu.Lock()
	slot := &s.events[s.written%uint64(len(s.events))]
	if s.written >= uint64(len(s.events)) {
		s.lost = max(s.lost, slot.Lamport)
	}
	*slot = e
	s.written++
	s.mu.Unlock()
}

// Job records an event of a job.
func (r *Ring) Job(k Kind, id contract.JobID, detail string, count int) {
	r.Record(Event{Kind: k, Task: contract.TaskID{Job: id}, Detail: detail, Count: int64(count)})
}

// Task records an event of a task on a worker.
func (r *Ring) Task(k Kind, id contract.TaskID, w machine.WorkerID, detail string) {
	r.Record(Event{Kind: k, Task: id, Worker: w, Detail: detail})
}

// Snapshot is the content of a ring.
type Snapshot struct {
	Process Process
	Events  []Event
	// Overwritten counts the events that the ring has overwritten; the latest of them has Lamport time LostThrough.
	Overwritten uint64
	LostThrough uint64
}

// Snapshot copies the events for which keep returns true, or all events if keep is nil.
func (r *Ring) Snapshot(keep func(*Event) bool) Snapshot {
	if r == nil {
		return Snapshot{}
	}
	out := Snapshot{Process: r.process}
	for i := range r.stripes {
		r.stripes[i].copyTo(&out, keep)
	}
	return out
}

func (s *stripe) copyTo(out *Snapshot, keep func(*Event) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := uint64(len(s.events))
	held := min(s.written, size)
	out.Overwritten += s.written - held
	out.LostThrough = max(out.LostThrough, s.lost)
	for i := s.written - held; i < s.written; i++ {
		e := &s.events[i%size]
		if keep == nil || keep(e) {
			out.Events = append(out.Events, *e)
		}
	}
}
