package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// maxLateStartsInMessage bounds the starts, and the replaced workers, in one announcement.
	maxLateStartsInMessage = 1000
	// maxWorkerID is the length in bytes up to which the id of a worker in an announcement or report is recorded, maxLateWorkers
	// the number of workers recorded from a report.
	maxWorkerID    = 256
	maxLateWorkers = 16
	// lateStartSettleTime is the time within which most starts without a reply are settled by a list of their worker or by a
	// repeated start. Only what is left then is announced.
	lateStartSettleTime = 100 * time.Millisecond
	// missedBefore is how long before its last message a member that is in contact again may have missed announcements.
	missedBefore = time.Second
	// lateStartInterval is the time between announcements to members that are no contacts, for a few of them. It grows by
	// lateStartSpacing with each member, up to maxLateStartInterval: all have to know of a start without a reply before its job
	// can be submitted to another home, 1.3 s after its channel has broken.
	lateStartInterval    = 100 * time.Millisecond
	lateStartSpacing     = 4 * time.Millisecond
	maxLateStartInterval = 400 * time.Millisecond
)

// lateStartNews are starts without a reply, and workers that cannot execute any such start any more.
type lateStartNews struct {
	starts   []contract.LateStart
	replaced []string
}

func (n *lateStartNews) empty() bool { return len(n.starts) == 0 && len(n.replaced) == 0 }

func (n *lateStartNews) add(o lateStartNews) {
	n.starts = append(n.starts, o.starts...)
	n.replaced = append(n.replaced, o.replaced...)
}

// take removes the news that one message holds and returns the message, nil for none.
func (n *lateStartNews) take(now time.Time) *api.PeerMessage {
	if n.empty() {
		return nil
	}
	starts, replaced := min(len(n.starts), maxLateStartsInMessage), min(len(n.replaced), maxLateStartsInMessage)
	m := encodeLateStarts(lateStartNews{n.starts[:starts], n.replaced[:replaced]}, now)
	n.starts, n.replaced = n.starts[starts:], n.replaced[replaced:]
	return m
}

// current returns the news that a ledger still confirms. A worker of which there is a record again has come back.
func (n lateStartNews) current(ledger *contract.LateStartLedger) lateStartNews {
	var left lateStartNews
	for _, s := range n.starts {
		if slices.Contains(ledger.Workers(s.Task), s.Worker) {
			left.starts = append(left.starts, s)
		}
	}
	if len(n.replaced) == 0 {
		return left
	}
	recorded := make(map[string]bool)
	for _, s := range ledger.All() {
		recorded[s.Worker] = true
	}
	for _, worker := range n.replaced {
		if !recorded[worker] {
			left.replaced = append(left.replaced, worker)
		}
	}
	return left
}

// announcedLateStarts holds what the other members are to be told of starts without a reply. Contacts are told with the next
// status, since an envelope of its own costs as much as a status. mu guards the fields below it.
type announcedLateStarts struct {
	mu sync.Mutex
	// near and far are the news for the contacts in the own failure domain and in others, others those for all other members.
	near, far, others lateStartNews
	// untold are the news that have not been told yet, toRepeat those that are to be told again, both the oldest first.
	untold, toRepeat []datedLateStarts
	// told are the news of the last contract.LateStartRetention, the oldest first.
	told []datedLateStarts
	// othersToldAt is when the members that are no contacts were last told.
	othersToldAt time.Time
}

// datedLateStarts are news that arrived or were told at a time.
type datedLateStarts struct {
	lateStartNews
	at time.Time
}

// splitByTime returns the news up to a time, and the later ones.
func splitByTime(list []datedLateStarts, limit time.Time) (due lateStartNews, left []datedLateStarts) {
	n := 0
	for n < len(list) && !list[n].at.After(limit) {
		due.add(list[n].lateStartNews)
		n++
	}
	return due, list[n:]
}

// add adds news to the announcements that follow after lateStartSettleTime. They are told once more after announcementRepeat.
func (a *announcedLateStarts) add(n lateStartNews, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.untold = append(a.untold, datedLateStarts{n, now})
}

// advance adds the news that are due and still hold to the next announcements. It returns the starts that are told for the
// first time.
func (a *announcedLateStarts) advance(now time.Time, ledger *contract.LateStartLedger) []contract.LateStart {
	a.mu.Lock()
	defer a.mu.Unlock()
	var again, first lateStartNews
	again, a.toRepeat = splitByTime(a.toRepeat, now.Add(-announcementRepeat))
	first, a.untold = splitByTime(a.untold, now.Add(-lateStartSettleTime))
	again, first = again.current(ledger), first.current(ledger)
	if !first.empty() {
		a.toRepeat = append(a.toRepeat, datedLateStarts{first, now})
		a.told = append(a.told, datedLateStarts{first, now})
	}
	_, a.told = splitByTime(a.told, now.Add(-contract.LateStartRetention))
	for _, audience := range []*lateStartNews{&a.near, &a.far, &a.others} {
		audience.add(again)
		audience.add(first)
	}
	return first.starts
}

// toldSince returns the news that were told after a time.
func (a *announcedLateStarts) toldSince(limit time.Time) lateStartNews {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, later := splitByTime(a.told, limit)
	var news lateStartNews
	for _, n := range later {
		news.add(n.lateStartNews)
	}
	return news
}

// take returns the announcements for the recipients of a status.
func (a *announcedLateStarts) take(to statusRecipients, now time.Time) (late audienceMessages) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to.near || to.all {
		late.near = a.near.take(now)
	}
	if to.contacts || to.all {
		late.far = a.far.take(now)
	}
	return late
}

// takeOthers returns the announcement for the members that are no contacts if it is due, nil for none.
func (a *announcedLateStarts) takeOthers(members int, now time.Time) *api.PeerMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	interval := min(max(time.Duration(members)*lateStartSpacing, lateStartInterval), maxLateStartInterval)
	if a.others.empty() || now.Sub(a.othersToldAt) < interval {
		return nil
	}
	a.othersToldAt = now
	return a.others.take(now)
}

// lateStart records a start of an own pool that got no reply, and tells all members unless it is settled soon.
func (d *Daemon) lateStart(s contract.LateStart) {
	d.lateStarts.Record(s)
	d.announcedLate.add(lateStartNews{starts: []contract.LateStart{s}}, d.o.Now())
}

// workerReplaced records that a worker of an own pool cannot execute any earlier start any more, and tells all members.
func (d *Daemon) workerReplaced(worker string) {
	d.lateStarts.Replaced(worker)
	d.announcedLate.add(lateStartNews{replaced: []string{worker}}, d.o.Now())
}

// updateLateStarts drops the records that have ended, and sends the announcements that are due without a status.
func (d *Daemon) updateLateStarts(now time.Time) {
	d.lateStarts.Expire(now)
	d.logLateStarts(d.announcedLate.advance(now, d.lateStarts))
	if m := d.announcedLate.takeOthers(d.members.Count(), now); m != nil {
		d.members.BroadcastOthers(m)
	}
}

// logLateStarts logs and counts the starts that are announced for the first time.
func (d *Daemon) logLateStarts(starts []contract.LateStart) {
	metrics.GetOrRegisterCounter(metric.LateStartsAnnounced, d.o.Metrics).Inc(int64(len(starts)))
	for chunk := range slices.Chunk(starts, logattr.TasksPerLine) {
		var tasks []string
		for _, s := range chunk {
			tasks = append(tasks, s.Task.Task().String()+" at "+s.Worker)
		}
		d.o.Logger.Info("announcing starts without a reply", "starts", len(starts), "tasks", tasks)
	}
}

// handleLateStarts records what another member has announced.
func (d *Daemon) handleLateStarts(id string, m *api.LateStarts) {
	if m.GetEntrusted() {
		d.handleEntrusted(id, m)
		return
	}
	news := decodeLateStarts(m, d.o.Now())
	for _, worker := range news.replaced {
		d.lateStarts.Replaced(worker)
	}
	for _, s := range news.starts {
		d.lateStarts.Record(s)
	}
}

// lateStartList returns the records that a member may have missed which has just joined or was out of contact: those that were made
// meanwhile, from other failure domains only what this process has announced itself. All records from all members would be as many
// as members times records, and slow members are out of contact again and again. A new process gets them from one member of each
// other domain too, as all of its own may be new.
func (d *Daemon) lateStartList(id string) []*api.PeerMessage {
	now := d.o.Now()
	heard, near := d.members.HeardBefore(id)
	var news lateStartNews
	since := heard.Add(-missedBefore)
	if near || (heard.IsZero() && d.members.IsFirstOfDomain()) {
		news.starts = d.lateStarts.MadeSince(since)
	} else {
		news = d.announcedLate.toldSince(since).current(d.lateStarts)
	}
	var list []*api.PeerMessage
	for !news.empty() {
		list = append(list, news.take(now))
	}
	return list
}

// encodeLateStarts converts times to remaining durations, since the clocks of two VMs differ.
func encodeLateStarts(n lateStartNews, now time.Time) *api.PeerMessage {
	m := &api.LateStarts{Replaced: n.replaced, Starts: encodeStarts(n.starts, now)}
	return &api.PeerMessage{Body: &api.PeerMessage_LateStarts{LateStarts: m}}
}

func encodeStarts(starts []contract.LateStart, now time.Time) []*api.LateStart {
	var list []*api.LateStart
	for _, s := range starts {
		list = append(list, &api.LateStart{
			Task: encodeKey(s.Task.Task()), Worker: s.Worker, LeftMs: clampMillis(s.Until.Sub(now)),
		})
	}
	return list
}

// decodeLateStarts returns the valid entries of an announcement.
func decodeLateStarts(m *api.LateStarts, now time.Time) lateStartNews {
	return lateStartNews{
		starts:   decodeStarts(m.GetStarts(), now),
		replaced: decodeWorkers(firstOf(m.GetReplaced(), maxLateStartsInMessage)),
	}
}

// decodeStarts returns the valid ones of some starts, without their runs.
func decodeStarts(list []*api.LateStart, now time.Time) []contract.LateStart {
	starts := decodeRuns(list, now)
	starts = slices.DeleteFunc(starts, func(s contract.LateStart) bool { return !s.Until.After(now) })
	for i, s := range starts {
		starts[i].Task = s.Task.Task()
	}
	return starts
}

// decodeRuns returns the valid ones of some starts of runs, also those for which no time is left.
func decodeRuns(list []*api.LateStart, now time.Time) []contract.LateStart {
	var starts []contract.LateStart
	for _, s := range firstOf(list, maxLateStartsInMessage) {
		job, left := s.GetTask().GetJob(), time.Duration(s.GetLeftMs())*time.Millisecond
		if job == "" || len(job) > maxJobID || !validWorker(s.GetWorker()) {
			continue
		}
		starts = append(starts, contract.LateStart{
			Task: decodeKey(s.GetTask()), Worker: s.GetWorker(), Until: now.Add(min(left, contract.LateStartRetention)),
		})
	}
	return starts
}

// decodeLateWorkers returns the valid workers of a report.
func decodeLateWorkers(list []string) []string { return decodeWorkers(firstOf(list, maxLateWorkers)) }

// decodeWorkers returns the valid ids of a list.
func decodeWorkers(list []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(worker string) bool { return !validWorker(worker) })
}

func validWorker(id string) bool { return id != "" && len(id) <= maxWorkerID }

func firstOf[T any](list []T, n int) []T { return list[:min(len(list), n)] }
