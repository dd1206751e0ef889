package edge

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// directReadLimit is the number of members of a failure domain up to which each of them reads the platform's list of
	// workers itself. With more members the reads would exceed the capacity of the store: 3,000 workers write 0.7 MB a
	// second.
	directReadLimit = 16
	// readers is the number of members of a larger failure domain that read the list and forward it.
	readers = 3
	// feedTimeout is the time without contact with a reader after which a member reads the list itself.
	feedTimeout = 2500 * time.Millisecond
	// listGrace is how long after the status that announces it a change of the list may arrive.
	listGrace = 300 * time.Millisecond
	// listRequestInterval is the shortest time between requests for the full list of a reader.
	listRequestInterval = 500 * time.Millisecond
)

// receivedList is the list of workers as forwarded by one reader.
type receivedList struct {
	sequence uint64
	// workers holds only what has changed since sequence was first known, unless complete is set.
	workers     map[string]machine.Listing
	complete    bool
	lastContact time.Time
	requested   time.Time
	// behindSince is when the reader's statuses began to announce another list than the one known here; zero if they do
	// not.
	behindSince time.Time
}

// workerFeed distributes the platform's list of workers within a failure domain. mu guards all fields below it; it is
// not held while Members is called.
type workerFeed struct {
	self    string
	members *Members
	now     func() time.Time
	logger  *slog.Logger

	mu sync.Mutex
	// reliesOnReaders is set if other members should read the list for this one, reading if this process reads it itself.
	reliesOnReaders bool
	reading         bool
	sequence        uint64
	forwarded       map[string]machine.Listing
	received        map[string]*receivedList
	// lastFed is when a reader whose list is complete here was last contacted.
	lastFed time.Time
}

func newWorkerFeed(self string, members *Members, now func() time.Time, logger *slog.Logger) *workerFeed {
	return &workerFeed{
		self: self, members: members, now: now, logger: logger, reading: true, received: make(map[string]*receivedList),
	}
}

// Reads reports whether this process reads the list from the store.
func (f *workerFeed) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading
}

// LastFed returns when a reader whose list is complete here was last contacted.
func (f *workerFeed) LastFed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastFed
}

// UpdateReading decides whether this process reads the list itself.
func (f *workerFeed) UpdateReading() {
	near := f.members.NearLive()
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reliesOnReaders = len(near)+1 > directReadLimit && !f.isReader(near)
	reading := !f.reliesOnReaders || now.Sub(f.lastFed) > feedTimeout
	if reading != f.reading {
		f.logger.Info("changed whether this process reads the worker list itself", "reads", reading, "members", len(near)+1,
			logattr.Since("since_feed", now, f.lastFed))
	}
	f.reading = reading
}

// isReader reports whether this process is one of the readers of its failure domain.
func (f *workerFeed) isReader(near []string) bool {
	own := xxhash.Sum64String(f.self)
	before := 0
	for _, id := range near {
		if xxhash.Sum64String(id) < own {
			before++
		}
	}
	return before < readers
}

// Sequence returns the number of the list that this process forwards, zero if it forwards none.
func (f *workerFeed) Sequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading {
		return 0
	}
	return f.sequence
}

// Delta returns the changes of the list since the last call, as a message for the other members; nil if there are
// none, or if all members read the list themselves.
func (f *workerFeed) Delta(list []machine.Listing) *api.PeerMessage {
	near := f.members.NearLive()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &api.WorkerList{}
	next := make(map[string]machine.Listing, len(list))
	for _, l := range list {
		next[l.Worker] = l
		if last, ok := f.forwarded[l.Worker]; !ok || !last.Equal(l) {
			m.Workers = append(m.Workers, encodeListing(l))
		}
	}
	for id := range f.forwarded {
		if _, ok := next[id]; !ok {
			m.Removed = append(m.Removed, id)
		}
	}
	if len(m.Workers)+len(m.Removed) == 0 {
		return nil
	}
	f.forwarded = next
	f.sequence++
	m.Sequence = f.sequence
	if len(near)+1 <= directReadLimit {
		return nil
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerList{WorkerList: m}}
}

// FullList returns the whole list as a message, nil if this process has none to forward.
func (f *workerFeed) FullList() *api.PeerMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading || f.sequence == 0 {
		return nil
	}
	m := &api.WorkerList{Sequence: f.sequence, Full: true}
	for _, l := range f.forwarded {
		m.Workers = append(m.Workers, encodeListing(l))
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerList{WorkerList: m}}
}

// RecordSequence records that a member forwards the list of the given number. It reports whether the full list must be
// requested.
func (f *workerFeed) RecordSequence(id string, sequence uint64) bool {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reliesOnReaders || sequence == 0 {
		return false
	}
	r := f.received[id]
	if r == nil {
		r = &receivedList{workers: make(map[string]machine.Listing)}
		f.received[id] = r
	}
	r.lastContact = now
	if r.complete && r.sequence == sequence {
		f.lastFed, r.behindSince = now, time.Time{}
		return false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) < listGrace {
		return false
	}
	if source := f.preferredReader(now); source != "" && source != id && now.Sub(f.lastFed) < feedTimeout/2 {
		// The list of another reader is complete.
		if r.sequence != sequence {
			r.startAnew(sequence)
		}
		return false
	}
	due := now.Sub(r.requested) > listRequestInterval
	if due {
		r.requested = now
	}
	return due
}

// Apply records a full list or a change of it. It returns the list to use, and whether it may have changed: that of the
// preferred reader, restricted by what other readers have read.
func (f *workerFeed) Apply(id string, m *api.WorkerList) ([]machine.Listing, bool) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.received[id]
	if r == nil {
		r = &receivedList{workers: make(map[string]machine.Listing)}
		f.received[id] = r
	}
	switch {
	case m.GetFull():
		r.workers, r.complete = make(map[string]machine.Listing, len(m.GetWorkers())), true
	case m.GetSequence() == r.sequence+1:
	case r.complete:
		return nil, false
	default:
		r.startAnew(m.GetSequence())
	}
	r.sequence, r.lastContact, r.behindSince = m.GetSequence(), now, time.Time{}
	if r.complete {
		f.lastFed = now
	}
	for _, l := range m.GetWorkers() {
		r.workers[l.GetWorker()] = decodeListing(l)
	}
	for _, worker := range m.GetRemoved() {
		delete(r.workers, worker)
	}
	preferred := f.preferredReader(now)
	if !f.reliesOnReaders || preferred == "" || (preferred != id && !f.received[preferred].contradicts(m)) {
		return nil, false
	}
	return f.restricted(preferred, now), true
}

// startAnew drops what is known after a change has been missed.
func (r *receivedList) startAnew(sequence uint64) {
	r.sequence, r.complete = sequence, false
	clear(r.workers)
}

// contradicts reports whether the list has another entry for one of the workers in a message.
func (r *receivedList) contradicts(m *api.WorkerList) bool {
	return slices.ContainsFunc(m.GetWorkers(), func(l *api.WorkerListing) bool {
		known, ok := r.workers[l.GetWorker()]
		return ok && !known.Equal(decodeListing(l))
	})
}

// restricted returns the list of a reader, with the smallest capacity that the readers in contact show for the same
// incarnation of a worker, and the drains that any of them shows. A reader that cannot reach the store stays in contact
// with an old list. f.mu is held.
func (f *workerFeed) restricted(preferred string, now time.Time) []machine.Listing {
	list := slices.Collect(maps.Values(f.received[preferred].workers))
	for id, r := range f.received {
		if id == preferred || now.Sub(r.lastContact) > feedTimeout {
			continue
		}
		for i := range list {
			if other, ok := r.workers[list[i].Worker]; ok && other.StartTime == list[i].StartTime {
				list[i].Capacity = list[i].Capacity.Min(other.Capacity)
				list[i].Draining = list[i].Draining || other.Draining
			}
		}
	}
	return list
}

// preferredReader returns the reader with the lowest id among those with a list and recent contact. f.mu is held.
func (f *workerFeed) preferredReader(now time.Time) string {
	best := ""
	for id, r := range f.received {
		if now.Sub(r.lastContact) > feedTimeout || !r.complete {
			continue
		}
		if best == "" || id < best {
			best = id
		}
	}
	return best
}

func encodeListing(l machine.Listing) *api.WorkerListing {
	return &api.WorkerListing{
		Worker: l.Worker, Backend: l.Backend, Address: l.Address, Zone: l.Zone, Born: l.StartTime,
		CpuMillis: uint32(max(l.Capacity.CPUMillis, 0)), MemoryMb: uint32(max(l.Capacity.MemoryMB, 0)),
		Gpus: uint32(max(l.Capacity.GPUs, 0)), Labels: l.Labels, Draining: l.Draining,
	}
}

func decodeListing(m *api.WorkerListing) machine.Listing {
	return machine.Listing{
		Worker: m.GetWorker(), Backend: m.GetBackend(), Address: m.GetAddress(), Zone: m.GetZone(), StartTime: m.GetBorn(),
		Capacity: machine.Resources{
			CPUMillis: int(m.GetCpuMillis()), MemoryMB: int(m.GetMemoryMb()), GPUs: int(m.GetGpus()),
		},
		Labels: m.GetLabels(), Draining: m.GetDraining(),
	}
}
