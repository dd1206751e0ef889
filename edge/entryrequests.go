package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/pool"
)

const (
	// entryLag is how long the entry of a new incarnation may take to be read from the store before other members are asked
	// for it. Changes of the list are read within 250 ms.
	entryLag = 400 * time.Millisecond
	// entryRetry is the time between requests for the same entry.
	entryRetry = 250 * time.Millisecond
	// entrySources is the number of members that are asked for an entry at a time. The store may reject a third of the
	// members, so that one in nine pairs knows nothing.
	entrySources = 2
)

// entryRequest is a request for the entry of one incarnation.
type entryRequest struct {
	startTime int64
	// missingSince is when the entry was found to be missing, askedAt when members were last asked for it.
	missingSince time.Time
	askedAt      time.Time
}

// entryRequests asks other members for entries of own workers that this process has not read: the store may reject it and
// serve others. mu guards the field below it; it is not held while Members is called.
type entryRequests struct {
	members *Members

	mu sync.Mutex
	// open holds the requests that have not been answered, by worker.
	open map[string]entryRequest
}

func newEntryRequests(members *Members) *entryRequests {
	return &entryRequests{members: members, open: make(map[string]entryRequest)}
}

// Update asks for the entries of incarnations that are missing, and drops the requests for all others.
func (r *entryRequests) Update(missing []pool.Incarnation, now time.Time) {
	due := r.due(missing, now)
	if len(due) == 0 {
		return
	}
	live := r.members.Live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, id := range live[:min(entrySources, len(live))] {
		r.members.Send(id, due...)
	}
}

// due returns the requests to send now.
func (r *entryRequests) due(missing []pool.Incarnation, now time.Time) []*api.PeerMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*api.PeerMessage
	open := make(map[string]entryRequest, len(missing))
	for _, m := range missing {
		request, ok := r.open[m.Worker]
		if !ok || request.startTime != m.StartTime {
			request = entryRequest{startTime: m.StartTime, missingSince: now}
		}
		if now.Sub(request.missingSince) >= entryLag && now.Sub(request.askedAt) >= entryRetry {
			request.askedAt = now
			due = append(due, &api.PeerMessage{Body: &api.PeerMessage_WorkerEntryRequest{
				WorkerEntryRequest: &api.WorkerEntryRequest{Worker: m.Worker, Born: m.StartTime},
			}})
		}
		open[m.Worker] = request
	}
	r.open = open
	return due
}

// Answered ends the request for an entry. It reports whether the entry was still missing.
func (r *entryRequests) Answered(l machine.Listing) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, ok := r.open[l.Worker]
	if !ok || request.startTime != l.StartTime {
		return false
	}
	delete(r.open, l.Worker)
	return true
}

// requestEntries asks other members for the entries of own workers that have restarted.
func (d *Daemon) requestEntries(now time.Time) {
	var missing []pool.Incarnation
	for _, p := range d.allPools() {
		missing = append(missing, p.IncarnationsWithoutEntry()...)
	}
	d.entries.Update(missing, now)
}

// sendEntry sends the entry of an incarnation of a worker to a member that has requested it, if it is known here.
func (d *Daemon) sendEntry(id string, m *api.WorkerEntryRequest) {
	l, ok := d.workers.entry(m.GetWorker(), m.GetBorn())
	if !ok {
		return
	}
	d.o.Logger.Info("sending the entry of a restarted worker to its owner", "member", id, "worker", l.Worker,
		"born", l.StartTime)
	d.members.Send(id, &api.PeerMessage{Body: &api.PeerMessage_WorkerEntry{WorkerEntry: encodeEntry(l)}})
}

func encodeEntry(l machine.Listing) *api.WorkerEntry {
	return &api.WorkerEntry{Entry: encodeListing(l)}
}

// handleEntry applies the entry of a restarted worker that another member has read.
func (d *Daemon) handleEntry(id string, m *api.WorkerEntry) {
	l := decodeListing(m.GetEntry())
	if !d.entries.Answered(l) || !d.workers.learn(l) {
		return
	}
	d.o.Logger.Info("entry of a restarted worker learned from another member", "member", id, "worker", l.Worker,
		"born", l.StartTime, "labels", l.Labels)
	d.assignWorkers()
}
