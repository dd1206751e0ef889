package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	tombstoneStream = "closures"
	// tombstoneAppendTimeout bounds the time that a stopping VM spends on the log before it leaves the record to its
	// successor.
	tombstoneAppendTimeout = 2 * time.Second
	// tombstoneRetryInterval is the interval between append attempts of a successor, tombstoneReadInterval that between
	// reads of the stream. Reads are rare because members also receive tombstones over the links.
	tombstoneRetryInterval = time.Second
	tombstoneReadInterval  = 30 * time.Second
	tombstonePageLimit     = 256
	// maxUnlogged bounds the number of records that wait to be appended; further ones are dropped.
	maxUnlogged = 1024
)

// tombstoneLog reads and appends the log's stream of tombstones: records that an incarnation has stopped, and which
// successor answers for its jobs. The stream, the messages and the events call them closures. mu guards the records
// that are still to be appended.
type tombstoneLog struct {
	d       *Daemon
	wake    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	unlogged []*api.Closure
}

func newTombstoneLog(d *Daemon) *tombstoneLog {
	return &tombstoneLog{d: d, wake: make(chan struct{}, 1)}
}

func (d *Daemon) tombstone(s zone.Succession) *api.Closure {
	return &api.Closure{
		Incarnation: uint64(s.Home), Vm: s.VM, SuccessorIncarnation: uint64(s.Successor), SuccessorVm: s.SuccessorVM,
		Domain: uint32(d.o.Domain), Complete: s.Complete,
	}
}

func tombstoneMessage(c *api.Closure) *api.PeerMessage {
	return &api.PeerMessage{Body: &api.PeerMessage_Closure{Closure: c}}
}

func successionOf(c *api.Closure) zone.Succession {
	return zone.Succession{
		Home: machine.Incarnation(c.GetIncarnation()), VM: c.GetVm(),
		Successor: machine.Incarnation(c.GetSuccessorIncarnation()), SuccessorVM: c.GetSuccessorVm(),
		Complete: c.GetComplete(),
	}
}

// receiveTombstone applies a tombstone announced by a member.
func (d *Daemon) receiveTombstone(c *api.Closure) {
	if d.homes.SetSuccession(successionOf(c), d.o.Now()) {
		d.broadcastSuccession(successionOf(c))
	}
	if c.GetUnlogged() && machine.Incarnation(c.GetSuccessorIncarnation()) == d.o.VM.Incarnation {
		d.tombstones.enqueue(c)
	}
}

// broadcastSuccession forwards a complete succession to all members, once. The link from the home or its successor to a
// member may be cut, and that member would report the jobs of the home as lost until it reads the log.
func (d *Daemon) broadcastSuccession(s zone.Succession) {
	d.peers.broadcast(tombstoneMessage(d.tombstone(s)))
}

// receiveHomes applies a member's view of running and ended incarnations.
func (d *Daemon) receiveHomes(m *api.Homes) {
	for _, c := range m.GetClosures() {
		if d.homes.SetReportedSuccession(successionOf(c), d.o.Now()) {
			d.broadcastSuccession(successionOf(c))
		}
	}
	for _, e := range m.GetEnded() {
		if inc := machine.Incarnation(e.GetIncarnation()); inc != d.o.VM.Incarnation {
			d.homes.MarkGone(e.GetVm(), inc, d.o.Now())
		}
	}
	for _, k := range m.GetKnown() {
		if inc := machine.Incarnation(k.GetIncarnation()); inc != d.o.VM.Incarnation {
			d.homes.AddReported(k.GetVm(), inc, d.o.Now())
		}
	}
}

func (d *Daemon) homesMessage() *api.PeerMessage {
	report := d.homes.Report()
	m := &api.Homes{Ended: homeProcesses(report.Ended), Known: homeProcesses(report.Known)}
	for _, s := range report.Successions {
		m.Closures = append(m.Closures, d.tombstone(s))
	}
	return &api.PeerMessage{Body: &api.PeerMessage_Homes{Homes: m}}
}

func homeProcesses(vms map[machine.Incarnation]string) []*api.HomeProcess {
	out := make([]*api.HomeProcess, 0, len(vms))
	for inc, vm := range vms {
		out = append(out, &api.HomeProcess{Incarnation: uint64(inc), Vm: vm})
	}
	return out
}

// syncHomes sends the known homes to a newly contacted member, and its incarnation to all others.
func (d *Daemon) syncHomes(vm string, inc machine.Incarnation) {
	d.peers.send(vm, d.homesMessage())
	d.peers.broadcast(&api.PeerMessage{Body: &api.PeerMessage_Homes{Homes: &api.Homes{
		Known: []*api.HomeProcess{{Incarnation: uint64(inc), Vm: vm}},
	}}})
}

// publish announces the tombstone to the members and appends it to the log. If the log is unavailable, the successor
// appends it later, together with those that this VM had not appended yet.
func (l *tombstoneLog) publish(ctx context.Context, s zone.Succession) {
	record := l.d.tombstone(s)
	l.d.timeline.Record(timeline.Event{Kind: timeline.TombstonePublished, Peer: s.SuccessorVM})
	l.d.peers.broadcast(tombstoneMessage(record))
	ctx, cancel := context.WithTimeout(ctx, tombstoneAppendTimeout)
	defer cancel()
	appended := make(chan error, 1)
	go func() { appended <- l.append(ctx, record) }()
	var err error
	select {
	case err = <-appended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.mu.Lock()
	remaining := l.unlogged
	l.mu.Unlock()
	if err != nil {
		remaining = append(remaining, record)
	}
	for _, r := range remaining {
		pending := proto.Clone(r).(*api.Closure)
		pending.Unlogged = true
		l.d.peers.send(s.SuccessorVM, tombstoneMessage(pending))
	}
}

func (l *tombstoneLog) append(ctx context.Context, record *api.Closure) error {
	logged := proto.Clone(record).(*api.Closure)
	logged.Unlogged = false
	data, err := proto.Marshal(logged)
	if err != nil {
		return err
	}
	if err := l.d.budget.Wait(ctx, tombstoneStream, l.d.o.Now()); err != nil {
		return err
	}
	// Appending a record again after a lost reply has no effect.
	_, err = l.d.o.Log.Append(ctx, tombstoneStream, data)
	return err
}

// enqueue queues a record for appending.
func (l *tombstoneLog) enqueue(record *api.Closure) {
	l.mu.Lock()
	if len(l.unlogged) < maxUnlogged {
		l.unlogged = append(l.unlogged, record)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// start reads the stream and appends queued records until ctx is cancelled.
func (l *tombstoneLog) start(ctx context.Context) {
	if l.d.o.Log == nil {
		return
	}
	l.running.Go(func() { l.tail(ctx) })
	l.running.Go(func() { l.appendQueued(ctx) })
}

// wait waits for the goroutines; a log call in flight ends at its timeout.
func (l *tombstoneLog) wait() { l.running.Wait() }

func (l *tombstoneLog) tail(ctx context.Context) {
	from := uint64(0)
	for {
		page, err := l.d.o.Log.Read(ctx, tombstoneStream, from, tombstonePageLimit, 0)
		pause := tombstoneReadInterval
		if err != nil {
			pause = tombstoneRetryInterval
		}
		for _, r := range page.Records {
			l.apply(r.Data)
			from = r.Offset + 1
		}
		if err == nil && from < page.Next && len(page.Records) > 0 {
			continue
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

func (l *tombstoneLog) apply(data []byte) {
	var record api.Closure
	// Records of other failure domains are skipped, and so are records that cannot be decoded: they were written by a
	// newer version, and this one cannot tell which successor they name.
	if proto.Unmarshal(data, &record) != nil || record.GetDomain() != uint32(l.d.o.Domain) {
		return
	}
	l.d.timeline.Record(timeline.Event{Kind: timeline.TombstoneApplied, Peer: record.GetSuccessorVm()})
	l.d.homes.SetReportedSuccession(successionOf(&record), l.d.o.Now())
}

func (l *tombstoneLog) appendQueued(ctx context.Context) {
	for {
		record := l.head()
		if record == nil {
			select {
			case <-l.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if l.append(ctx, record) == nil {
			l.mu.Lock()
			l.unlogged = l.unlogged[1:]
			l.mu.Unlock()
			continue
		}
		if !sleep(ctx, tombstoneRetryInterval) {
			return
		}
	}
}

func (l *tombstoneLog) head() *api.Closure {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unlogged) == 0 {
		return nil
	}
	return l.unlogged[0]
}

// sleep returns false if ctx is cancelled first.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
