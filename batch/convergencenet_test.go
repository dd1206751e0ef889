package batch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	memberStatusInterval = 100 * time.Millisecond
	// memberSilence is the time without a message after which a member counts as departed, as in package edge.
	memberSilence = 700 * time.Millisecond
	// contactSamples bounds the contacts that are kept of an owner.
	contactSamples = 64
	// linkQueue bounds the messages under way on a link.
	linkQueue = 1 << 14
	// lateMessagePercent is the share of messages that are delivered once more, and of those that later ones overtake, while there
	// are faults; maxMessageDelay bounds their delay.
	lateMessagePercent = 4
	maxMessageDelay    = 1500 * time.Millisecond
)

// random is a source of random numbers for several goroutines. mu guards it.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed, stream uint64) *random { return &random{rng: rand.New(rand.NewPCG(seed, stream))} }

func (r *random) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// between returns a random duration.
func (r *random) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.intN(int((longest-shortest)/time.Microsecond)))*time.Microsecond
}

// sentMessage is a message under way. connection numbers the connection on which it was sent.
type sentMessage struct {
	deliver    func()
	connection int
}

// memberLink carries the messages of one member to another in their order. While it is cut they are lost, as are those
// under way when it is cut; while it is held they wait. Some arrive late and out of order, as those of an earlier connection do,
// and some of these have arrived before. mu guards the fields below it.
type memberLink struct {
	rng      *random
	messages chan sentMessage
	done     chan struct{}

	mu         sync.Mutex
	cuts       int
	connection int
	heldUntil  time.Time
	quiet      bool
}

// newMemberLink returns a link that carries messages until done is closed. A goroutine of members delivers them.
func newMemberLink(rng *random, done chan struct{}, members *sync.WaitGroup) *memberLink {
	l := &memberLink{rng: rng, messages: make(chan sentMessage, linkQueue), done: done}
	members.Go(l.run)
	return l
}

// send sends a message. Links between members send no message twice, and owners rely on that for orders: one that was answered as
// infeasible would be carried out if it arrived again. The messages that homes and owners repeat may arrive again late.
func (l *memberLink) send(deliver func(), once bool) {
	l.mu.Lock()
	m, quiet := sentMessage{deliver, l.connection}, l.quiet
	l.mu.Unlock()
	if fate := l.rng.intN(100); !quiet && fate < 2*lateMessagePercent {
		time.AfterFunc(l.rng.between(10*time.Millisecond, maxMessageDelay), deliver)
		if once || fate < lateMessagePercent {
			return
		}
	}
	select {
	case l.messages <- m:
	case <-l.done:
	}
}

// settle ends the faults of the link.
func (l *memberLink) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet = true
}

func (l *memberLink) run() {
	for {
		select {
		case <-l.done:
			return
		case m := <-l.messages:
			time.Sleep(l.rng.between(300*time.Microsecond, 3*time.Millisecond))
			for l.waitsFor() > 0 {
				time.Sleep(l.waitsFor())
			}
			if l.connects(m) {
				m.deliver()
			}
		}
	}
}

// waitsFor returns how long the next message is held.
func (l *memberLink) waitsFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.heldUntil)
}

// connects reports whether the link has not been cut since a message was sent.
func (l *memberLink) connects(m sentMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts == 0 && l.connection == m.connection
}

func (l *memberLink) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = time.Now().Add(d)
}

// cut cuts the link, or ends a cut.
func (l *memberLink) cut(begins bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begins {
		l.cuts++
		l.connection++
		return
	}
	l.cuts--
}

// ownerContact is what the home knows of an owner. mu guards the fields below it.
type ownerContact struct {
	mu      sync.Mutex
	samples []batch.Contact
	last    time.Time
	live    bool
}

func (c *ownerContact) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.live = time.Now(), true
}

func (c *ownerContact) record(sample batch.Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.samples); n > 0 && c.samples[n-1].Timestamp >= sample.Timestamp {
		return
	}
	c.samples = append(c.samples, sample)
	if len(c.samples) > contactSamples {
		c.samples = c.samples[1:]
	}
}

func (c *ownerContact) until(limit time.Time) batch.Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sample := range slices.Backward(c.samples) {
		if !sample.ReceivedAt.After(limit) {
			return sample
		}
	}
	return batch.Contact{}
}

// expire reports whether the member has just become silent.
func (c *ownerContact) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := c.live && time.Since(c.last) > memberSilence
	c.live = c.live && !silent
	return silent
}

// toOwners sends the messages of the home to the owners.
type toOwners struct{ c *convergence }

func (o toOwners) LastContact(owner string, limit time.Time) batch.Contact {
	if owner != convergenceHome {
		return o.c.owners[owner].contact.until(limit)
	}
	if now := time.Now(); now.Before(limit) {
		limit = now
	}
	return batch.Contact{Timestamp: o.c.timestamp(limit), ReceivedAt: limit}
}

// sentAfter returns when an owner had sent the timestamp that a message echoes.
func (o toOwners) sentAfter(echo batch.Contact) time.Time {
	if echo.Timestamp == 0 {
		return time.Time{}
	}
	return o.c.began.Add(time.Duration(echo.Timestamp) * time.Microsecond)
}

func (o toOwners) send(owner string, once bool, deliver func(m *convergenceOwner)) {
	m := o.c.owners[owner]
	if owner == convergenceHome {
		deliver(m)
		return
	}
	m.fromHome.send(func() {
		m.home.heard()
		deliver(m)
	}, once)
}

func (o toOwners) Order(owner string, order contract.TaskOrder, echo batch.Contact) {
	o.send(owner, true, func(m *convergenceOwner) { m.pool.Order(convergenceHome, order, o.sentAfter(echo)) })
}

func (o toOwners) Refresh(p batch.PoolRef, keys []contract.RunKey, echo batch.Contact) {
	o.send(p.Owner, false, func(m *convergenceOwner) { m.pool.Refresh(convergenceHome, keys, o.sentAfter(echo)) })
}

func (o toOwners) Withdraw(p batch.PoolRef, keys []contract.RunKey) {
	o.send(p.Owner, false, func(m *convergenceOwner) { m.pool.Withdraw(convergenceHome, keys) })
}

func (o toOwners) Recall(p batch.PoolRef, keys []contract.RunKey) {
	o.send(p.Owner, false, func(m *convergenceOwner) { m.pool.Recall(convergenceHome, keys) })
}

func (o toOwners) JobStarted(p batch.PoolRef, keys []contract.RunKey) {
	o.send(p.Owner, false, func(m *convergenceOwner) { m.pool.JobStarted(keys) })
}

func (o toOwners) Acknowledge(p batch.PoolRef, keys []contract.RunKey) {
	o.send(p.Owner, false, func(m *convergenceOwner) { m.pool.Acknowledge(keys) })
}

// majority is the membership of a home that is in touch with all members but the owners that it does not hear.
type majority struct{ electorate *zone.Electorate }

func (m majority) Electorate() *zone.Electorate               { return m.electorate }
func (m majority) MajorityContact(*zone.Electorate) time.Time { return time.Now() }
func (m majority) LastHeard(string) (at time.Time, live bool) { return time.Now(), true }
func (m majority) CanHaveMajority(string) bool                { return true }
func (m majority) Release(contract.JobRelease, bool)          {}
func (m majority) Count() int                                 { return 2 }
func (m majority) AnnounceHeld([]contract.HeldJob, bool)      {}
func newMajority() majority                                   { return majority{zone.NewElectorate(nil)} }

// workerWay is the way of an owner to the worker. mu guards the fields below it.
type workerWay struct {
	rng  *random
	host *standin.RunHost

	mu                       sync.Mutex
	cuts                     int
	lostPercent, latePercent int
}

func (w *workerWay) cut(begins bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if begins {
		w.cuts++
		return
	}
	w.cuts--
}

// setFaults sets the shares of replies that are lost and of calls that are executed late.
func (w *workerWay) setFaults(lostPercent, latePercent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostPercent, w.latePercent = lostPercent, latePercent
}

func (w *workerWay) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts > 0
}

// fate returns whether the reply to the next call is lost, and whether the call is executed late.
func (w *workerWay) fate() (lost, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.intN(100) < w.lostPercent, w.rng.intN(100) < w.latePercent
}

// overWay makes a call over a way to the worker.
func overWay[R any](ctx context.Context, w *workerWay, execute func(context.Context) (R, error)) (R, error) {
	var none R
	inDoubt := fault.InDoubt.New("the worker does not answer")
	lost, late := w.fate()
	time.Sleep(w.rng.between(300*time.Microsecond, 3*time.Millisecond))
	if w.isCut() || ctx.Err() != nil {
		<-ctx.Done()
		return none, inDoubt
	}
	if late {
		born := w.host.StartTime()
		time.AfterFunc(w.rng.between(200*time.Millisecond, 2*time.Second), func() {
			if w.host.StartTime() != born {
				return
			}
			lateCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, _ = execute(lateCtx)
		})
		<-ctx.Done()
		return none, inDoubt
	}
	reply, err := execute(ctx)
	if err == nil {
		time.Sleep(w.rng.between(300*time.Microsecond, 3*time.Millisecond))
	}
	if err != nil || lost || w.isCut() || ctx.Err() != nil {
		<-ctx.Done()
		return none, inDoubt
	}
	return reply, nil
}

func (w *workerWay) Start(ctx context.Context, _ link.HostAddress, s link.HostStart) (
	link.StartVerdict, link.HostReply, error,
) {
	type result struct {
		verdict link.StartVerdict
		reply   link.HostReply
	}
	r, err := overWay(ctx, w, func(ctx context.Context) (result, error) {
		verdict, reply, err := w.host.Start(ctx, s)
		return result{verdict, reply}, err
	})
	return r.verdict, r.reply, err
}

func (w *workerWay) Stop(ctx context.Context, _ link.HostAddress, key contract.RunKey, token uint64) (link.HostReply, error) {
	return overWay(ctx, w, func(ctx context.Context) (link.HostReply, error) { return w.host.Stop(ctx, key, token) })
}

func (w *workerWay) Poll(ctx context.Context, _ link.HostAddress, poll link.HostPoll) (link.PollReply, error) {
	return overWay(ctx, w, func(ctx context.Context) (link.PollReply, error) {
		born := w.host.StartTime()
		reply, err := w.host.Poll(ctx, poll)
		if err == nil && !reply.Fenced && reply.StartTime != born {
			return reply, fault.InDoubt.New("the worker has crashed")
		}
		reply.Running, reply.Ended = slices.Clone(reply.Running), slices.Clone(reply.Ended)
		return reply, err
	})
}

func (w *workerWay) CloseIdleConnections(link.HostAddress) {}

// lateWorkers is what the home knows of starts without a reply, and of the owner of the worker. mu guards the field below it.
type lateWorkers struct {
	ledger *contract.LateStartLedger

	mu     sync.Mutex
	owners []string
}

func (l *lateWorkers) assign(owners []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = owners
}

// ownerOf returns the first of the owners to which the worker is assigned.
func (l *lateWorkers) ownerOf(string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.owners) == 0 {
		return "", false
	}
	return l.owners[0], true
}
