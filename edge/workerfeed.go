package edge

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// readersLimit is the number of members of a failure domain up to which each of them reads the platform's list of workers
	// itself. Beyond it the reads of all would exceed what the store serves: 3,000 workers write 0.7 MB a second.
	readersLimit = 16
	// readers is the number of members of a larger failure domain that read the list and pass it on.
	readers = 3
	// feedTimeout is the time without a word of a reader after which a member reads the list itself.
	feedTimeout = 2500 * time.Millisecond
	// listGrace is the time that a change may take to arrive after the status that names it.
	listGrace = 300 * time.Millisecond
	// listRequestInterval is the least time between requests for the full list of one reader.
	listRequestInterval = 500 * time.Millisecond
)

// receivedList is the list of workers as one reader passes it on.
type receivedList struct {
	sequence  uint64
	workers   map[string]machine.Listing
	heard     time.Time
	requested time.Time
	// behind is when the reader's statuses began to name another list than the one known here; zero if they do not.
	behind time.Time
}

// workerFeed distributes the platform's list of workers within a failure domain. mu guards all fields below it; it is not
// held while Members is called.
type workerFeed struct {
	self    string
	members *Members
	now     func() time.Time
	logger  *slog.Logger

	mu sync.Mutex
	// needs says that this process relies on readers, reading that it reads the list itself.
	needs    bool
	reading  bool
	sequence uint64
	passed   map[string]machine.Listing
	received map[string]*receivedList
	// fed is when a reader whose list is complete here was last heard of.
	fed time.Time
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

// Decide chooses whether this process reads the list itself.
func (f *workerFeed) Decide() {
	near := f.members.NearLive()
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs = len(near)+1 > readersLimit && !f.chosen(near)
	reading := !f.needs || now.Sub(f.fed) > feedTimeout
	if reading != f.reading {
		f.logger.Info("reading of the workers' entries changed", "reads", reading, "members", len(near)+1,
			"since_feed", now.Sub(f.fed))
	}
	f.reading = reading
}

// chosen reports whether this process is one of the readers of its failure domain.
func (f *workerFeed) chosen(near []string) bool {
	own := xxhash.Sum64String(f.self)
	before := 0
	for _, id := range near {
		if xxhash.Sum64String(id) < own {
			before++
		}
	}
	return before < readers
}

// Sequence returns the number of the list that this process passes on, zero if it passes none on.
func (f *workerFeed) Sequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading {
		return 0
	}
	return f.sequence
}

// PassOn returns what has changed in the list since the last call, as a message for the other members; nil if nothing has,
// or if all members read the list themselves.
func (f *workerFeed) PassOn(list []machine.Listing) *api.PeerMessage {
	near := f.members.NearLive()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &api.WorkerList{}
	next := make(map[string]machine.Listing, len(list))
	for _, l := range list {
		next[l.Worker] = l
		if last, ok := f.passed[l.Worker]; !ok || !last.Equal(l) {
			m.Workers = append(m.Workers, encodeListing(l))
		}
	}
	for id := range f.passed {
		if _, ok := next[id]; !ok {
			m.Removed = append(m.Removed, id)
		}
	}
	if len(m.Workers)+len(m.Removed) == 0 {
		return nil
	}
	f.passed = next
	f.sequence++
	m.Sequence = f.sequence
	if len(near)+1 <= readersLimit {
		return nil
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerList{WorkerList: m}}
}

// Full returns the whole list as a message, nil if this process has none to pass on.
func (f *workerFeed) Full() *api.PeerMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading || f.sequence == 0 {
		return nil
	}
	m := &api.WorkerList{Sequence: f.sequence, Full: true}
	for _, l := range f.passed {
		m.Workers = append(m.Workers, encodeListing(l))
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerList{WorkerList: m}}
}

// Announced records that a member passes a list of that number on. It reports whether the full list has to be asked for.
func (f *workerFeed) Announced(id string, sequence uint64) bool {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.needs || sequence == 0 {
		return false
	}
	r := f.received[id]
	if r == nil {
		r = &receivedList{}
		f.received[id] = r
	}
	r.heard = now
	if r.sequence == sequence {
		f.fed, r.behind = now, time.Time{}
		return false
	}
	if r.behind.IsZero() {
		r.behind = now
	}
	if now.Sub(r.behind) < listGrace {
		return false
	}
	if source := f.first(now); source != "" && source != id && now.Sub(f.fed) < feedTimeout/2 {
		// Another reader's list is complete.
		return false
	}
	due := now.Sub(r.requested) > listRequestInterval
	if due {
		r.requested = now
	}
	return due
}

// Take records a list or a change of it. It returns the list that is now known from that member, and whether it is the one
// that counts: that of the first reader which is heard of.
func (f *workerFeed) Take(id string, m *api.WorkerList) ([]machine.Listing, bool) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.received[id]
	if r == nil {
		r = &receivedList{}
		f.received[id] = r
	}
	switch {
	case m.GetFull():
		r.workers = make(map[string]machine.Listing, len(m.GetWorkers()))
	case r.workers == nil || m.GetSequence() != r.sequence+1:
		return nil, false
	}
	r.sequence, r.heard, f.fed, r.behind = m.GetSequence(), now, now, time.Time{}
	for _, l := range m.GetWorkers() {
		r.workers[l.GetWorker()] = decodeListing(l)
	}
	for _, worker := range m.GetRemoved() {
		delete(r.workers, worker)
	}
	return slices.Collect(maps.Values(r.workers)), f.needs && f.first(now) == id
}

// first returns the member whose list counts. f.mu is held.
func (f *workerFeed) first(now time.Time) string {
	best := ""
	for id, r := range f.received {
		if now.Sub(r.heard) > feedTimeout || r.workers == nil {
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
		Worker: l.Worker, Backend: l.Backend, Address: l.Address, Zone: l.Zone, Born: l.Born,
		CpuMillis: uint32(max(l.Capacity.CPUMillis, 0)), MemoryMb: uint32(max(l.Capacity.MemoryMB, 0)),
		Gpus: uint32(max(l.Capacity.GPUs, 0)), Labels: l.Labels, Draining: l.Draining,
	}
}

func decodeListing(m *api.WorkerListing) machine.Listing {
	return machine.Listing{
		Worker: m.GetWorker(), Backend: m.GetBackend(), Address: m.GetAddress(), Zone: m.GetZone(), Born: m.GetBorn(),
		Capacity: machine.Resources{
			CPUMillis: int(m.GetCpuMillis()), MemoryMB: int(m.GetMemoryMb()), GPUs: int(m.GetGpus()),
		},
		Labels: m.GetLabels(), Draining: m.GetDraining(),
	}
}
