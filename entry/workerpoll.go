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

// Rounds in which a worker is asked once. Asking all 187 workers of a failure domain every second cost each daemon 51 KB/s,
// several times the budget for all control. A restarted worker is noticed by its first rejection at the latest, and the
// list says which workers are leaving.
const (
	grantedRounds = 8
	otherRounds   = 128
)

// workerPolls decides which workers are asked for their status. mu guards all fields.
type workerPolls struct {
	mu    sync.Mutex
	round uint64
	// urgent holds the workers that are being asked out of turn.
	urgent map[machine.WorkerID]bool
}

// next begins a round.
func (p *workerPolls) next() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round++
	return p.round
}

// begin reports whether a worker is to be asked out of turn; end has to follow then.
func (p *workerPolls) begin(id machine.WorkerID) bool {
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

func (p *workerPolls) end(id machine.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.urgent, id)
}

// duePolls returns the workers to ask in this round.
func (d *Daemon) duePolls() []*machine.Worker {
	round := d.polls.next()
	var due []*machine.Worker
	for _, w := range d.fleet.All() {
		id := w.Spec().ID
		if (round+xxhash.Sum64String(string(id)))%d.roundsOf(w, id) == 0 {
			due = append(due, w)
		}
	}
	return due
}

// roundsOf returns the number of rounds in which a worker is asked once. Reports show which starts still run, so that a
// worker with starts in flight is asked in each round, like one that has never reported.
func (d *Daemon) roundsOf(w *machine.Worker, id machine.WorkerID) uint64 {
	switch {
	case w.Incarnation() == 0 || d.workers.InFlight(id):
		return 1
	case d.slots.Granter(id) == d.o.VM.ID:
		return grantedRounds
	default:
		return otherRounds
	}
}

// pollingStarter asks a worker at once when it rejects a start because the status known here is out of date, so that
// a restarted worker does not reject starts until its turn.
type pollingStarter struct {
	dispatch.Starter
	d *Daemon
}

// Start implements dispatch.Starter.
func (s pollingStarter) Start(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	reply, err := s.Starter.Start(ctx, r)
	if err != nil && outOfDate(fault.Reason(err)) && s.d.polls.begin(r.Worker) {
		defer s.d.polls.end(r.Worker)
		if w, ok := s.d.fleet.Get(r.Worker); ok {
			// A worker that does not answer keeps its last status.
			_, _ = s.d.poll(ctx, w)
		}
	}
	return reply, err
}

// outOfDate reports whether a rejection shows that the worker has restarted or that its clock is not known well enough.
func outOfDate(reason string) bool {
	return reason == link.RejectIncarnation || reason == link.RejectLate
}
