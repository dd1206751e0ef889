package edge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/pool"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// incarnationMemory is how long the start time of a fenced incarnation is known, in case the store does not list it.
	incarnationMemory = time.Minute
	// maxIncarnations bounds the start times in one message and those that are known.
	maxIncarnations = 5000
	// maxStartAhead is how far a start time may be ahead of the clock of this VM. Tokens are made of them, so one far in the future would
	// keep later owners from their worker.
	maxStartAhead = time.Minute
)

// incarnations holds the start times of workers that members have fenced. A worker that has been fenced does not tell them to its next
// owner, whose token has to be higher. mu guards the field below it.
type incarnations struct {
	mu       sync.Mutex
	byWorker map[string]fencedIncarnation
}

// fencedIncarnation is the start time of an incarnation, in milliseconds of Unix time, and when it became known.
type fencedIncarnation struct {
	startTime int64
	at        time.Time
}

func newIncarnations() *incarnations {
	return &incarnations{byWorker: make(map[string]fencedIncarnation)}
}

// record notes the start time of an incarnation, unless a later one is known.
func (i *incarnations) record(worker string, startTime int64, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, ok := i.byWorker[worker]
	if startTime < known.startTime || (!ok && len(i.byWorker) >= maxIncarnations) {
		return
	}
	i.byWorker[worker] = fencedIncarnation{startTime, now}
}

// latestStart returns the start time that is known of a worker, zero if there is none.
func (i *incarnations) latestStart(worker string) int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byWorker[worker].startTime
}

// message returns the known start times as a message, nil if there are none.
func (i *incarnations) message() *api.PeerMessage {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.byWorker) == 0 {
		return nil
	}
	m := &api.WorkerIncarnations{}
	for worker, known := range i.byWorker {
		m.Incarnations = append(m.Incarnations, &api.WorkerIncarnation{Worker: worker, StartTimeMs: known.startTime})
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerIncarnations{WorkerIncarnations: m}}
}

// expire forgets what the store has listed by now.
func (i *incarnations) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for worker, known := range i.byWorker {
		if now.Sub(known.at) > incarnationMemory {
			delete(i.byWorker, worker)
		}
	}
}

// newFencer returns a fencer that records the start times of the incarnations that it fences.
func newFencer(o Options, known *incarnations) *pool.Fencer {
	return pool.NewFencer(pool.FencerOptions{
		Calls: o.Calls, CPUMillis: o.Self.CPUMillis, Logger: o.Logger, Metrics: o.Metrics,
		Fenced: func(a link.HostAddress, startTime int64) { known.record(a.Worker, startTime, o.Now()) },
	})
}

// handleIncarnations records the start times that another member has sent.
func (d *Daemon) handleIncarnations(m *api.WorkerIncarnations) {
	now := d.o.Now()
	latest := now.Add(maxStartAhead).UnixMilli()
	for _, i := range firstOf(m.GetIncarnations(), maxIncarnations) {
		if validWorker(i.GetWorker()) && i.GetStartTimeMs() > 0 && i.GetStartTimeMs() <= latest {
			d.incarnations.record(i.GetWorker(), i.GetStartTimeMs(), now)
		}
	}
}

// incarnationList returns the message that tells a member that has become live of the incarnations that were fenced meanwhile.
func (d *Daemon) incarnationList() []*api.PeerMessage {
	if m := d.incarnations.message(); m != nil {
		return []*api.PeerMessage{m}
	}
	return nil
}

// unownedWorkers returns the workers that nobody is known to own and that this process fences, in order: those of failure domains
// without a live member that nobody has taken over yet, shared like orphaned ones, and, until this process has joined, those that
// it is going to own.
func (d *Daemon) unownedWorkers(b assignmentBasis, owners []zone.Candidate) []link.HostAddress {
	var listings []machine.Listing
	if b.owning {
		listings = assignedTo(d.self, d.workers.in(b.vacant), owners, true)
	} else if b.joining {
		all := append(slices.Clone(owners), candidate(d.o.Self))
		all = append(all, d.members.NearNotJoined()...)
		listings = assignedTo(d.self, d.workers.in([]string{d.o.Self.Domain}), all, false)
	}
	addresses := make([]link.HostAddress, 0, len(listings))
	for _, l := range listings {
		addresses = append(addresses, link.HostAddress{Worker: l.Worker, Address: l.Address})
	}
	slices.SortFunc(addresses, func(a, b link.HostAddress) int { return strings.Compare(a.Worker, b.Worker) })
	return addresses
}

// assignedTo returns the workers that a member owns among some candidates.
func assignedTo(id string, workers []machine.Listing, candidates []zone.Candidate, orphaned bool) []machine.Listing {
	return slices.DeleteFunc(workers, func(l machine.Listing) bool {
		owner, ok := zone.OwnerOf(l.Worker, l.Zone, candidates, orphaned)
		return !ok || owner != id
	})
}
