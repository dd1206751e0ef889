package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
)

const (
	peerDialTimeout = time.Second
	// outboxLimit bounds the messages that wait on a link; beyond it the oldest are dropped, which every message
	// but a request survives, and a request times out at its sender.
	outboxLimit = 8192
	batchLimit  = 512
	redialDelay = 200 * time.Millisecond
	// ackTimeout is the time without an acknowledgement after which a link counts as silent and is replaced.
	ackTimeout = 1500 * time.Millisecond
)

// Identity is what a process tells its peers of itself.
type Identity struct {
	VM     machine.EntryVM
	Domain uint32
}

// PeerOptions are the parts that peer links share.
type PeerOptions struct {
	Self    Identity
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Lamport func() uint64
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Timeline may be nil.
	Timeline *timeline.Ring
}

// Peer is the sending half of the link to another entry VM. Its mutex guards the outbox and the acknowledgement
// state; one goroutine owns the connection.
type Peer struct {
	o       PeerOptions
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu     sync.Mutex
	outbox []*api.PeerMessage
	sent   uint64
	acked  uint64
	open   bool
	oldest time.Time // sending time of the oldest envelope that is not acknowledged
}

// NewPeer opens a link in the background.
func NewPeer(vm, address string, o PeerOptions) *Peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peer{
		o: o, vm: vm, address: address, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	go p.maintain(ctx)
	return p
}

// Address returns where the link leads.
func (p *Peer) Address() string { return p.address }

// Send queues messages for the next envelope.
func (p *Peer) Send(msgs ...*api.PeerMessage) {
	p.mu.Lock()
	p.outbox = append(p.outbox, msgs...)
	if over := len(p.outbox) - outboxLimit; over > 0 {
		p.outbox = append([]*api.PeerMessage(nil), p.outbox[over:]...)
		p.counter(metric.PeerMessagesDropped).Inc(int64(over))
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Close ends the link.
func (p *Peer) Close() {
	p.cancel()
	<-p.done
}

func (p *Peer) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, p.o.Metrics)
}

// maintain keeps one stream open, replacing it when it fails or goes silent.
func (p *Peer) maintain(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		err := p.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		p.counter(metric.PeerLinksReplaced).Inc(1)
		p.o.Timeline.Record(timeline.Event{Kind: timeline.LinkReplaced, Peer: p.vm, Detail: reasonOf(err)})
		p.o.Logger.Debug("peer link ended", "peer", p.vm, "error", err)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// serve runs one connection until it fails.
func (p *Peer) serve(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, peerDialTimeout)
	raw, err := p.o.Dial(dialCtx, p.address)
	cancelDial()
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	stream, err := api.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	p.counter(metric.PeerLinksOpened).Inc(1)
	p.o.Timeline.Record(timeline.Event{Kind: timeline.LinkOpened, Peer: p.vm})
	p.reset()
	p.setOpen(true)
	defer p.setOpen(false)
	failed := make(chan error, 1)
	go p.receiveAcks(stream, failed)
	err = p.sendLoop(ctx, stream, failed)
	// Closing the socket first unblocks a receiver whose connection is silent.
	_ = raw.Close()
	return err
}

func (p *Peer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent, p.acked = 0, 0
	p.oldest = time.Time{}
}

func (p *Peer) sendLoop(ctx context.Context, stream api.DRPCPeer_ExchangeClient, failed <-chan error) error {
	check := time.NewTicker(ackTimeout / 3)
	defer check.Stop()
	for {
		if env := p.nextEnvelope(); env != nil {
			if err := stream.Send(env); err != nil {
				return err
			}
			continue
		}
		select {
		case <-p.wake:
		case <-check.C:
			if p.silent(p.o.Now()) {
				return errSilent
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextEnvelope takes a batch from the outbox.
func (p *Peer) nextEnvelope() *api.Envelope {
	p.mu.Lock()
	n := min(len(p.outbox), batchLimit)
	if n == 0 {
		p.mu.Unlock()
		return nil
	}
	batch := p.outbox[:n:n]
	p.outbox = p.outbox[n:]
	p.sent++
	sequence := p.sent
	if p.oldest.IsZero() {
		p.oldest = p.o.Now()
	}
	p.mu.Unlock()
	env := &api.Envelope{
		FromVm: p.o.Self.VM.ID, FromIncarnation: uint64(p.o.Self.VM.Incarnation), FromDomain: p.o.Self.Domain,
		Sequence: sequence, Lamport: p.o.Lamport(), Messages: batch,
	}
	p.counter(metric.PeerEnvelopesSent).Inc(1)
	p.counter(metric.PeerMessagesSent).Inc(int64(n))
	p.counter(metric.PeerBytesSent).Inc(int64(proto.Size(env)))
	return env
}

func (p *Peer) silent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.oldest.IsZero() && now.Sub(p.oldest) > ackTimeout
}

func (p *Peer) receiveAcks(stream api.DRPCPeer_ExchangeClient, failed chan<- error) {
	for {
		env, err := stream.Recv()
		if err != nil {
			failed <- err
			return
		}
		p.acknowledge(env.GetAck(), p.o.Now())
	}
}

func (p *Peer) acknowledge(ack uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acked = max(p.acked, ack)
	if p.acked >= p.sent {
		p.oldest = time.Time{}
	} else {
		p.oldest = now
	}
}

func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
