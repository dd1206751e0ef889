package entry

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// allocatorPollRounds is the number of rounds between two polls of a worker whose slots this VM allocates,
// otherPollRounds that of all other workers. Polling all 187 workers of a failure domain every second cost each daemon
// 51 KB/s, several times the budget for all control traffic. A restarted worker is detected by its first rejection at
// the latest, and the list shows which workers are leaving.
const (
	allocatorPollRounds = 8
	otherPollRounds     = 128
)

// workerPolls schedules the status polls of workers. mu guards all fields.
type workerPolls struct {
	mu    sync.Mutex
	round uint64
	// urgent holds the workers that are being polled out of turn.
	urgent map[machine.WorkerID]bool
}

// nextRound begins a round and returns its number.
func (p *workerPolls) nextRound() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round++
	return p.round
}

// beginUrgent reports whether to poll a worker out of turn. If so, endUrgent must be called afterwards.
func (p *workerPolls) beginUrgent(id machine.WorkerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.urgent[id] {
		return false
	}
	if p.urgent == nil {
		p.urgent = make(map[machine.WorkerID]bool)
	}
	p.urgent[id] = true
	return true
}

func (p *workerPolls) endUrgent(id machine.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.urgent, id)
}

// duePolls returns the workers to poll in this round.
func (d *Daemon) duePolls() []*machine.Worker {
	round := d.polls.nextRound()
	var due []*machine.Worker
	for _, w := range d.fleet.All() {
		id := w.Spec().ID
		if (round+xxhash.Sum64String(string(id)))%d.pollPeriod(w, id) == 0 {
			due = append(due, w)
		}
	}
	return due
}

// pollPeriod returns the number of rounds between polls of a worker. A worker with starts in flight is polled in each
// round, because its reports show which starts still run. So is one that has never reported.
func (d *Daemon) pollPeriod(w *machine.Worker, id machine.WorkerID) uint64 {
	switch {
	case w.Incarnation() == 0 || d.workers.HasStartsInFlight(id):
		return 1
	case d.slots.Allocator(id) == d.o.VM.ID:
		return allocatorPollRounds
	default:
		return otherPollRounds
	}
}

// pollingStarter polls a worker at once when it rejects a start because of outdated status, so that a restarted worker
// does not reject starts until its next poll.
type pollingStarter struct {
	dispatch.Starter
	d *Daemon
}

// Start implements dispatch.Starter.
func (s pollingStarter) Start(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	reply, err := s.Starter.Start(ctx, r)
	if err != nil && isStaleStatus(fault.Reason(err)) && s.d.polls.beginUrgent(r.Worker) {
		defer s.d.polls.endUrgent(r.Worker)
		if w, ok := s.d.fleet.Get(r.Worker); ok {
			// A worker that does not reply keeps its last status.
			_, _ = s.d.poll(ctx, w)
		}
	}
	return reply, err
}

// isStaleStatus reports whether a rejection shows that the worker has restarted or that its clock is not known
// precisely enough.
func isStaleStatus(reason string) bool {
	return reason == link.RejectIncarnation || reason == link.RejectLate
}
