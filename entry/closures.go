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
	closureStream = "closures"
	// closureAppend bounds the time that a stopping VM spends on the log before it leaves the record to its successor.
	closureAppend = 2 * time.Second
	// closureRetry spaces the attempts of a successor, closureRead the reads; members hear of closures over the links.
	closureRetry = time.Second
	closureRead  = 30 * time.Second
	closurePage  = 256
	// maxUnlogged bounds the records that wait for the log.
	maxUnlogged = 1024
)

// closureLog keeps the log's stream of closures. mu guards the records that wait for the log.
type closureLog struct {
	d       *Daemon
	wake    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	unlogged []*api.Closure
}

func newClosureLog(d *Daemon) *closureLog {
	return &closureLog{d: d, wake: make(chan struct{}, 1)}
}

func (d *Daemon) closure(s zone.Succession) *api.Closure {
	return &api.Closure{
		Incarnation: uint64(s.Home), Vm: s.VM, SuccessorIncarnation: uint64(s.Successor), SuccessorVm: s.SuccessorVM,
		Domain: uint32(d.o.Domain), Complete: s.Complete,
	}
}

func closureMessage(c *api.Closure) *api.PeerMessage {
	return &api.PeerMessage{Body: &api.PeerMessage_Closure{Closure: c}}
}

func successionOf(c *api.Closure) zone.Succession {
	return zone.Succession{
		Home: machine.Incarnation(c.GetIncarnation()), VM: c.GetVm(),
		Successor: machine.Incarnation(c.GetSuccessorIncarnation()), SuccessorVM: c.GetSuccessorVm(),
		Complete: c.GetComplete(),
	}
}

// closureFrom takes over a closure announced by a member.
func (d *Daemon) closureFrom(c *api.Closure) {
	if d.homes.Succeed(successionOf(c), d.o.Now()) {
		d.spread(successionOf(c))
	}
	if c.GetUnlogged() && machine.Incarnation(c.GetSuccessorIncarnation()) == d.o.VM.Incarnation {
		d.closures.later(c)
	}
}

// spread passes a complete succession on, once. The link from the home or its successor to a member may be cut, and that
// member would answer for the home as gone until it reads the log.
func (d *Daemon) spread(s zone.Succession) { d.peers.broadcast(closureMessage(d.closure(s))) }

// homesFrom takes over what a member knows of incarnations that have ended.
func (d *Daemon) homesFrom(m *api.Homes) {
	for _, c := range m.GetClosures() {
		if d.homes.Learn(successionOf(c), d.o.Now()) {
			d.spread(successionOf(c))
		}
	}
	for _, e := range m.GetEnded() {
		if inc := machine.Incarnation(e.GetIncarnation()); inc != d.o.VM.Incarnation {
			d.homes.Ended(e.GetVm(), inc, d.o.Now())
		}
	}
	for _, k := range m.GetKnown() {
		if inc := machine.Incarnation(k.GetIncarnation()); inc != d.o.VM.Incarnation {
			d.homes.Know(k.GetVm(), inc, d.o.Now())
		}
	}
}

func (d *Daemon) homesMessage() *api.PeerMessage {
	report := d.homes.Report()
	m := &api.Homes{Ended: homeProcesses(report.Ended), Known: homeProcesses(report.Known)}
	for _, s := range report.Successions {
		m.Closures = append(m.Closures, d.closure(s))
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

// appeared tells a member that has just been heard all that is known, and the others that it runs.
func (d *Daemon) appeared(vm string, inc machine.Incarnation) {
	d.peers.send(vm, d.homesMessage())
	d.peers.broadcast(&api.PeerMessage{Body: &api.PeerMessage_Homes{Homes: &api.Homes{
		Known: []*api.HomeProcess{{Incarnation: uint64(inc), Vm: vm}},
	}}})
}

// publish announces the closure to the members and appends it to the log. During an outage the successor appends it
// later, together with those that this VM still had to append.
func (c *closureLog) publish(ctx context.Context, s zone.Succession) {
	record := c.d.closure(s)
	c.d.timeline.Record(timeline.Event{Kind: timeline.ClosurePublished, Peer: s.SuccessorVM})
	c.d.peers.broadcast(closureMessage(record))
	ctx, cancel := context.WithTimeout(ctx, closureAppend)
	defer cancel()
	appended := make(chan error, 1)
	go func() { appended <- c.append(ctx, record) }()
	var err error
	select {
	case err = <-appended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.mu.Lock()
	left := c.unlogged
	c.mu.Unlock()
	if err != nil {
		left = append(left, record)
	}
	for _, r := range left {
		pending := proto.Clone(r).(*api.Closure)
		pending.Unlogged = true
		c.d.peers.send(s.SuccessorVM, closureMessage(pending))
	}
}

func (c *closureLog) append(ctx context.Context, record *api.Closure) error {
	logged := proto.Clone(record).(*api.Closure)
	logged.Unlogged = false
	data, err := proto.Marshal(logged)
	if err != nil {
		return err
	}
	if err := c.d.budget.Wait(ctx, closureStream, c.d.o.Now()); err != nil {
		return err
	}
	// A record that is appended twice after a lost reply has no further effect.
	_, err = c.d.o.Log.Append(ctx, closureStream, data)
	return err
}

// later queues a record for the log.
func (c *closureLog) later(record *api.Closure) {
	c.mu.Lock()
	if len(c.unlogged) < maxUnlogged {
		c.unlogged = append(c.unlogged, record)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// start reads the stream and appends the records that wait, until ctx ends.
func (c *closureLog) start(ctx context.Context) {
	if c.d.o.Log == nil {
		return
	}
	c.running.Go(func() { c.follow(ctx) })
	c.running.Go(func() { c.appendLater(ctx) })
}

// wait returns when the goroutines have ended; a call to the log in flight ends with its time limit.
func (c *closureLog) wait() { c.running.Wait() }

func (c *closureLog) follow(ctx context.Context) {
	from := uint64(0)
	for {
		page, err := c.d.o.Log.Read(ctx, closureStream, from, closurePage, 0)
		pause := closureRead
		if err != nil {
			pause = closureRetry
		}
		for _, r := range page.Records {
			c.apply(r.Data)
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

func (c *closureLog) apply(data []byte) {
	var record api.Closure
	// A record that cannot be read belongs to a newer version and names no successor that this one knows.
	if proto.Unmarshal(data, &record) != nil || record.GetDomain() != uint32(c.d.o.Domain) {
		return
	}
	c.d.timeline.Record(timeline.Event{Kind: timeline.ClosureApplied, Peer: record.GetSuccessorVm()})
	c.d.homes.Learn(successionOf(&record), c.d.o.Now())
}

func (c *closureLog) appendLater(ctx context.Context) {
	for {
		record := c.first()
		if record == nil {
			select {
			case <-c.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if c.append(ctx, record) == nil {
			c.mu.Lock()
			c.unlogged = c.unlogged[1:]
			c.mu.Unlock()
			continue
		}
		if !sleep(ctx, closureRetry) {
			return
		}
	}
}

func (c *closureLog) first() *api.Closure {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unlogged) == 0 {
		return nil
	}
	return c.unlogged[0]
}

// sleep returns false when ctx has ended.
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
