package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// entrustedFor is how long a member keeps the starts that another one has entrusted to it: by then they are answered, or
	// announced to all members.
	entrustedFor = 2 * time.Second
	// maxEntrustedStarts bounds those of one member.
	maxEntrustedStarts = 10_000
)

// entrustedStarts holds starts without a reply so far that other members have entrusted to this one. Their owner is the home
// of their jobs too, so nobody else knows of them if it is lost before it announces them. mu guards the field below it.
type entrustedStarts struct {
	mu       sync.Mutex
	byMember map[string][]datedLateStarts
}

func newEntrustedStarts() *entrustedStarts {
	return &entrustedStarts{byMember: make(map[string][]datedLateStarts)}
}

// add records starts that a member has entrusted to this one.
func (e *entrustedStarts) add(member string, n lateStartNews, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := append(e.byMember[member], datedLateStarts{n, now})
	e.byMember[member] = list[max(len(list)-maxEntrustedStarts, 0):]
}

// take removes and returns the starts of a member that has been lost.
func (e *entrustedStarts) take(member string) lateStartNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all lateStartNews
	for _, n := range e.byMember[member] {
		all.add(n.lateStartNews)
	}
	delete(e.byMember, member)
	return all
}

// expire drops the starts that are answered or announced by now.
func (e *entrustedStarts) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for member, list := range e.byMember {
		if _, left := splitByTime(list, now.Add(-entrustedFor)); len(left) > 0 {
			e.byMember[member] = left
		} else {
			delete(e.byMember, member)
		}
	}
}

// entrust tells one other member of a start without a reply so far whose home is this process. The member announces it to all if
// this process is lost.
func (d *Daemon) entrust(r contract.RunReport) {
	candidates := d.members.NearLive()
	if len(candidates) == 0 {
		candidates = d.members.Live()
	}
	if len(candidates) == 0 {
		return
	}
	now := d.o.Now()
	var n lateStartNews
	for _, worker := range r.LateWorkers {
		n.starts = append(n.starts, contract.LateStart{Task: r.Key.Task(), Worker: worker, Until: now.Add(contract.LateStartRetention)})
	}
	m := encodeLateStarts(n, now)
	m.GetLateStarts().Entrusted = true
	d.members.Send(candidates[rand.IntN(len(candidates))], m)
	metrics.GetOrRegisterCounter(metric.LateStartsEntrusted, d.o.Metrics).Inc(1)
}

// announceEntrusted records the starts that a lost member has entrusted to this one, and announces them at once: this process may
// be lost too before its next status.
func (d *Daemon) announceEntrusted(member string) {
	n := d.entrusted.take(member)
	if n.empty() {
		return
	}
	d.o.Logger.Info("announcing starts that a lost member has entrusted to this one", "member", member, "starts", len(n.starts))
	for _, s := range n.starts {
		d.lateStarts.Record(s)
	}
	now := d.o.Now()
	d.announcedLate.add(n, now)
	for !n.empty() {
		d.members.Broadcast(n.take(now))
	}
}

// handleEntrusted keeps the starts that another member has entrusted to this one.
func (d *Daemon) handleEntrusted(member string, m *api.LateStarts) {
	now := d.o.Now()
	d.entrusted.add(member, lateStartNews{starts: decodeLateStarts(m, now).starts}, now)
}
