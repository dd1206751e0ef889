package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// maxEntrustedTo bounds the members to which one run is entrusted, one for each copy of its start: the first one may have lost contact.
const maxEntrustedTo = 2

// entrustedRun is a run whose start other members keep.
type entrustedRun struct {
	worker  string
	members []string
	at      time.Time
}

// ownEntrusted holds the runs of own pools whose starts this process has entrusted to other members. mu guards the fields below it.
type ownEntrusted struct {
	mu    sync.Mutex
	byRun map[contract.RunKey]entrustedRun
	// answered holds the starts that a member does not have to keep any more and has not been told of, by member.
	answered map[string][]contract.LateStart
}

func newOwnEntrusted() *ownEntrusted {
	return &ownEntrusted{byRun: make(map[contract.RunKey]entrustedRun), answered: make(map[string][]contract.LateStart)}
}

// add records that a member keeps the start of a run.
func (e *ownEntrusted) add(run contract.RunKey, worker, member string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byRun[run]
	r.worker, r.at = worker, now
	r.members = append(r.members, member)
	e.byRun[run] = r
}

// members returns the members that keep the start of a run.
func (e *ownEntrusted) members(run contract.RunKey) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.byRun[run].members)
}

// settle looks at the report of a run: if it does not name the worker any more, the start has been answered and binds its task to
// no worker.
func (e *ownEntrusted) settle(report contract.RunReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.byRun[report.Key]
	if !ok || slices.Contains(report.LateWorkers, r.worker) {
		return
	}
	delete(e.byRun, report.Key)
	for _, member := range r.members {
		e.answered[member] = append(e.answered[member], contract.LateStart{Task: report.Key, Worker: r.worker})
	}
}

// takeAnswered returns the starts that have been answered since the last call, by the member that keeps them.
func (e *ownEntrusted) takeAnswered() map[string][]contract.LateStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.answered) == 0 {
		return nil
	}
	answered := e.answered
	e.answered = make(map[string][]contract.LateStart)
	return answered
}

// expire forgets the runs whose starts no member keeps any more.
func (e *ownEntrusted) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for run, r := range e.byRun {
		if now.Sub(r.at) >= entrustedFor {
			delete(e.byRun, run)
		}
	}
}

// updateEntrusted entrusts the start of a run that a report calls unanswered to another member, and notes one that has been answered.
func (d *Daemon) updateEntrusted(home string, r contract.RunReport) {
	if r.State == contract.RunQueued && slices.Contains(r.LateWorkers, r.Worker) {
		d.entrust(home, r)
		return
	}
	d.ownEntrusted.settle(r)
}

// entrust tells one other member of a start that has had no reply so far. The member announces it to all if this process is lost. The
// home, if it is another process, may be lost with this one: their failure domain may lose its power.
func (d *Daemon) entrust(home string, r contract.RunReport) {
	told := d.ownEntrusted.members(r.Key)
	if len(told) >= maxEntrustedTo {
		return
	}
	member, ok := d.members.ChooseForStart(append(told, home))
	if !ok {
		return
	}
	now := d.o.Now()
	d.ownEntrusted.add(r.Key, r.Worker, member, now)
	start := contract.LateStart{Task: r.Key, Worker: r.Worker, Until: now.Add(contract.LateStartRetention)}
	d.members.Send(member, entrustedMessage(&api.LateStarts{Starts: encodeRuns([]contract.LateStart{start}, now)}))
	metrics.GetOrRegisterCounter(metric.LateStartsEntrusted, d.o.Metrics).Inc(1)
	d.o.Logger.Info("entrusting a start without a reply to another member", "task", r.Key.String(), "worker", r.Worker,
		"home", home, "member", member)
}

// sendAnswered tells the members which entrusted starts they do not have to keep any more.
func (d *Daemon) sendAnswered(now time.Time) {
	d.ownEntrusted.expire(now)
	for member, starts := range d.ownEntrusted.takeAnswered() {
		metrics.GetOrRegisterCounter(metric.EntrustedAnswered, d.o.Metrics).Inc(int64(len(starts)))
		for chunk := range slices.Chunk(starts, maxLateStartsInMessage) {
			d.members.Send(member, entrustedMessage(&api.LateStarts{Answered: encodeRuns(chunk, now)}))
		}
	}
}

func entrustedMessage(m *api.LateStarts) *api.PeerMessage {
	m.Entrusted = true
	return &api.PeerMessage{Body: &api.PeerMessage_LateStarts{LateStarts: m}}
}

// encodeRuns is encodeStarts for starts whose runs the receiver has to tell apart.
func encodeRuns(starts []contract.LateStart, now time.Time) []*api.LateStart {
	list := encodeStarts(starts, now)
	for i, s := range starts {
		list[i].Task = encodeKey(s.Task)
	}
	return list
}

// ChooseForStart returns a live member that keeps a start without a reply, at random. One that is not lost with the failure domain of
// this process is preferred, then one that is in contact with this process several times a second, so that it notices a loss soon.
// The excluded members know of the start already; their failure domains are avoided if possible.
func (m *Members) ChooseForStart(excluded []string) (id string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	avoided := make(map[string]bool)
	for _, e := range m.byVM {
		if slices.Contains(excluded, e.id) {
			avoided[e.info.Domain] = true
		}
	}
	best, ids := -1, []string(nil)
	for _, e := range m.byVM {
		if !e.live || e.leaving || !e.peer.Connected() || slices.Contains(excluded, e.id) {
			continue
		}
		rank := m.rankForStart(e, avoided)
		if rank > best {
			best, ids = rank, nil
		}
		if rank == best {
			ids = append(ids, e.id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[rand.IntN(len(ids))], true
}

// rankForStart ranks a member for ChooseForStart. m.mu is held.
func (m *Members) rankForStart(e *member, avoided map[string]bool) int {
	rank := 0
	if e.info.Domain != m.self.Domain {
		rank += 4
	}
	if m.isContact(e) {
		rank += 2
	}
	if !avoided[e.info.Domain] {
		rank++
	}
	return rank
}
