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
	// incarnationMemory is how long the start time of a fenced or acquired incarnation is known, in case the store does not list it.
	incarnationMemory = time.Minute
	// maxIncarnations bounds the start times in one message and those that are known.
	maxIncarnations = 5000
	// maxStartAhead is how far a start time may be ahead of the clock of this VM. Tokens are made of them, so one far in the future would
	// keep later owners from their worker.
	maxStartAhead = time.Minute
)

// incarnations holds the start times of workers that members have fenced or taken over. A worker that has seen a token does not tell
// them to its next owner, whose token has to be higher. mu guards the field below it.
type incarnations struct {
	mu       sync.Mutex
	byWorker map[string]knownIncarnation
}

// knownIncarnation is the start time of an incarnation, in milliseconds of Unix time, and when it became known.
type knownIncarnation struct {
	startTime int64
	at        time.Time
}

func newIncarnations() *incarnations {
	return &incarnations{byWorker: make(map[string]knownIncarnation)}
}

// record notes the start time of an incarnation, unless a later one is known.
func (i *incarnations) record(worker string, startTime int64, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, ok := i.byWorker[worker]
	if startTime < known.startTime || (!ok && len(i.byWorker) >= maxIncarnations) {
		return
	}
	i.byWorker[worker] = knownIncarnation{startTime, now}
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
	var list []*api.WorkerIncarnation
	for worker, known := range i.byWorker {
		list = append(list, &api.WorkerIncarnation{Worker: worker, StartTimeMs: known.startTime})
	}
	return incarnationMessage(list...)
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

// newFencer returns a fencer that tells of the incarnations that it fences.
func (d *Daemon) newFencer() *pool.Fencer {
	return pool.NewFencer(pool.FencerOptions{
		Calls: d.o.Calls, CPUMillis: d.o.Self.CPUMillis, Logger: d.o.Logger, Metrics: d.o.Metrics,
		Fenced: func(a link.HostAddress, startTime int64) { d.tellIncarnation(a.Worker, startTime) },
	})
}

// tellIncarnation tells the members of the failure domain of a worker its start time, once it has been fenced or acquired by this
// process: they own it next if they return.
func (d *Daemon) tellIncarnation(worker string, startTime int64) {
	d.incarnations.record(worker, startTime, d.o.Now())
	if domain, ok := d.workers.domain(worker); ok {
		d.members.BroadcastDomain(domain, incarnationMessage(&api.WorkerIncarnation{Worker: worker, StartTimeMs: startTime}))
	}
}

func incarnationMessage(list ...*api.WorkerIncarnation) *api.PeerMessage {
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerIncarnations{
		WorkerIncarnations: &api.WorkerIncarnations{Incarnations: list},
	}}
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

// incarnationList returns the message that tells a member that has become live of the incarnations that were fenced or taken over.
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
