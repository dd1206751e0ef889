package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
)

const (
	peerDialTimeout = time.Second
	// outboxLimit bounds the messages queued on a link. Beyond it or outboxBytes the oldest are dropped. A dropped
	// request times out at its sender; the protocol tolerates the loss of all other messages.
	outboxLimit = 8192
	// batchLimit bounds the messages of one envelope.
	batchLimit  = 512
	redialDelay = 200 * time.Millisecond
	// ackTimeout is the time without an acknowledgement after which a link is considered silent and is replaced. With
	// the wait for the next heartbeat and the check interval, a silent link is replaced within 1.5 s.
	ackTimeout = 800 * time.Millisecond
	// failureWait bounds the wait for the error that the peer returned after a failed send.
	failureWait = 200 * time.Millisecond
	// outboxBytes and batchBytes bound the memory of the queued messages and the size of an envelope. A single message
	// may exceed batchBytes, up to maxEnvelopeBytes.
	outboxBytes = 32 << 20
	batchBytes  = 1 << 20
	// maxEnvelopeBytes is enough for the largest job, which would exceed drpc's default limit of 4 MiB.
	maxEnvelopeBytes = 64 << 20
)

// Identity is how a process identifies itself to its peers.
type Identity struct {
	VM     machine.EntryVM
	Domain uint32
}

// PeerOptions configures peer links. The callbacks from OnSent to OnRefused may be nil.
type PeerOptions struct {
	Self    Identity
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Lamport func() uint64
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
	// OnSent is called before an envelope is sent.
	OnSent func(vm string, now time.Time)
	// OnAck is called when a peer has acknowledged an envelope, with the time at which it was sent.
	OnAck func(vm string, sent time.Time)
	// OnTimestamp is called with the peer's timestamp in an acknowledgement, in milliseconds of the peer's clock.
	OnTimestamp func(vm string, timestamp uint64)
	// OnDisconnect is called when a connection has ended, so that replies to what was sent over it may never arrive.
	OnDisconnect func(vm string)
	// OnRefused is called when a peer refuses this incarnation permanently.
	OnRefused func(vm string)
	// Timeline may be nil.
	Timeline *timeline.Ring
}

// queuedMessage is a message in the outbox.
type queuedMessage struct {
	message *api.PeerMessage
	size    int
}

// sentEnvelope is an envelope that has not been acknowledged.
type sentEnvelope struct {
	sequence uint64
	sent     time.Time
}

// Peer is the sending half of the link to another entry VM. mu guards the outbox and the acknowledgement state; one
// goroutine owns the connection.
type Peer struct {
	o       PeerOptions
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu     sync.Mutex
	outbox []queuedMessage
	// sentByKind counts the messages of each kind.
	sentByKind map[protoreflect.Name]metrics.Counter
	// bytes is the size of the messages in the outbox.
	bytes int
	// lastSequence is the number of the last envelope sent on the current stream.
	lastSequence uint64
	// unacked holds the envelopes that were sent and not acknowledged, oldest first.
	unacked []sentEnvelope
	lastAck time.Time
	// silence is the timer that closes a connection without acknowledgements. It runs while envelopes are unacknowledged,
	// so that an idle link wakes nothing up.
	silence *time.Timer
	// connections counts the connections opened, so that the timer of an earlier one has no effect.
	connections int
	open        bool
	// dialed is true after the first attempt to connect.
	dialed bool
}

// NewPeer returns a link that connects in the background.
func NewPeer(vm, address string, o PeerOptions) *Peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peer{
		o: o, vm: vm, address: address, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1),
		sentByKind: make(map[protoreflect.Name]metrics.Counter),
	}
	go p.maintain(ctx)
	return p
}

// Address returns the peer's address.
func (p *Peer) Address() string { return p.address }

// Send queues messages for the next envelope. It drops the oldest messages of a full outbox.
func (p *Peer) Send(msgs ...*api.PeerMessage) {
	dropped := 0
	p.mu.Lock()
	for _, m := range msgs {
		size := proto.Size(m)
		p.outbox = append(p.outbox, queuedMessage{message: m, size: size})
		p.countKind(m)
		p.bytes += size
	}
	for len(p.outbox) > outboxLimit || (p.bytes > outboxBytes && len(p.outbox) > 1) {
		p.bytes -= p.outbox[0].size
		p.outbox[0] = queuedMessage{}
		p.outbox = p.outbox[1:]
		dropped++
	}
	p.mu.Unlock()
	if dropped > 0 {
		p.counter(metric.PeerMessagesDropped).Inc(int64(dropped))
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// messageBody is the field of a message that names its kind.
var messageBody = (&api.PeerMessage{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// countKind counts a message by its kind. It expects p.mu to be held.
func (p *Peer) countKind(m *api.PeerMessage) {
	field := m.ProtoReflect().WhichOneof(messageBody)
	if field == nil {
		return
	}
	c, ok := p.sentByKind[field.Name()]
	if !ok {
		c = p.counter(metric.PeerMessagesSentOfKind(string(field.Name())))
		p.sentByKind[field.Name()] = c
	}
	c.Inc(1)
}

// Failing reports whether the last attempt to connect failed and no connection is open.
func (p *Peer) Failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed && !p.open
}

// Connected reports whether a connection is open.
func (p *Peer) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Flushed reports whether all messages have been sent and acknowledged.
func (p *Peer) Flushed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.outbox) == 0 && len(p.unacked) == 0
}

// Close closes the link and waits for its goroutine.
func (p *Peer) Close() {
	p.cancel()
	<-p.done
}

func (p *Peer) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, p.o.Metrics)
}

// maintain keeps one stream open and replaces it when it fails or becomes silent.
func (p *Peer) maintain(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		err := p.serve(ctx)
		p.setOpen(false)
		if p.o.OnDisconnect != nil {
			p.o.OnDisconnect(p.vm)
		}
		if ctx.Err() != nil {
			return
		}
		if drpcerr.Code(err) == codeRefused && p.o.OnRefused != nil {
			p.o.OnRefused(p.vm)
		}
		p.counter(metric.PeerLinksReplaced).Inc(1)
		p.o.Timeline.Record(timeline.Event{Kind: timeline.LinkReplaced, Peer: p.vm, Detail: errorText(err)})
		p.o.Logger.Debug("peer link failed; connecting again after a delay", "peer", p.vm, "error", err)
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
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }()
	// Closing the socket first unblocks a sender and a receiver on a silent connection.
	defer func() { _ = raw.Close() }()
	stream, err := api.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	p.counter(metric.PeerLinksOpened).Inc(1)
	p.o.Timeline.Record(timeline.Event{Kind: timeline.LinkOpened, Peer: p.vm})
	failed := make(chan error, 2)
	p.reset(func() {
		failed <- errSilent
		_ = raw.Close()
	})
	defer p.stopSilenceTimer()
	go p.receiveAcks(stream, failed)
	return p.sendLoop(ctx, stream, failed)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxEnvelopeBytes}}
}

// reset prepares the state for a new stream, whose envelopes are numbered from 1. replace closes its connection. It is
// called from a timer, not by the sender, which blocks when the buffers of a silent connection are full.
func (p *Peer) reset(replace func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSequence = 0
	p.unacked = nil
	p.open, p.dialed = true, true
	p.connections++
	connection := p.connections
	p.silence = time.AfterFunc(ackTimeout, func() {
		if p.isSilent(connection) {
			replace()
		}
	})
	p.silence.Stop()
}

// isSilent reports whether a connection is silent. Otherwise the timer is set to the time at which it will be, unless all
// envelopes are acknowledged.
func (p *Peer) isSilent(connection int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections != connection || p.silence == nil || len(p.unacked) == 0 {
		return false
	}
	delay := p.ackDelay(p.o.Now())
	if delay >= ackTimeout {
		return true
	}
	p.silence.Reset(ackTimeout - delay)
	return false
}

func (p *Peer) stopSilenceTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence.Stop()
	p.silence = nil
}

// setOpen records whether the link has a connection.
func (p *Peer) setOpen(open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.dialed = open, true
}

func (p *Peer) sendLoop(ctx context.Context, stream api.DRPCPeer_ExchangeClient, failed <-chan error) error {
	for {
		if env := p.nextEnvelope(); env != nil {
			if p.o.OnSent != nil {
				p.o.OnSent(p.vm, p.o.Now())
			}
			if err := stream.Send(env); err != nil {
				return firstError(failed, err)
			}
			continue
		}
		select {
		case <-p.wake:
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// firstError returns the error that ended the connection; a failed send is only its consequence. It waits for up to
// failureWait for the receiver to read the error that the peer returned.
func firstError(failed <-chan error, err error) error {
	timer := time.NewTimer(failureWait)
	defer timer.Stop()
	select {
	case first := <-failed:
		return first
	case <-timer.C:
		return err
	}
}

// nextEnvelope takes a batch from the outbox, or returns nil if the outbox is empty.
func (p *Peer) nextEnvelope() *api.Envelope {
	p.mu.Lock()
	if len(p.outbox) == 0 {
		p.mu.Unlock()
		return nil
	}
	var batch []*api.PeerMessage
	size := 0
	for len(batch) < min(len(p.outbox), batchLimit) {
		next := p.outbox[len(batch)]
		if len(batch) > 0 && size+next.size > batchBytes {
			break
		}
		batch = append(batch, next.message)
		size += next.size
	}
	n := len(batch)
	clear(p.outbox[:n])
	p.outbox = p.outbox[n:]
	p.bytes -= size
	p.lastSequence++
	sequence := p.lastSequence
	p.unacked = append(p.unacked, sentEnvelope{sequence: sequence, sent: p.o.Now()})
	if len(p.unacked) == 1 {
		p.silence.Reset(ackTimeout)
	}
	p.mu.Unlock()
	env := &api.Envelope{Sequence: sequence, Lamport: p.o.Lamport(), Messages: batch}
	if sequence == 1 {
		// Only the first envelope of a stream identifies the sender: repeated in each, it would be a third of the bytes.
		env.FromVm, env.FromDomain = p.o.Self.VM.ID, p.o.Self.Domain
		env.FromIncarnation = uint64(p.o.Self.VM.Incarnation)
	}
	p.counter(metric.PeerEnvelopesSent).Inc(1)
	p.counter(metric.PeerMessagesSent).Inc(int64(n))
	p.counter(metric.PeerBytesSent).Inc(int64(proto.Size(env)))
	return env
}

// AckDelay returns the time since the oldest unacknowledged envelope was sent or the last acknowledgement arrived,
// whichever is later.
func (p *Peer) AckDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ackDelay(now)
}

// ackDelay expects p.mu to be held.
func (p *Peer) ackDelay(now time.Time) time.Duration {
	if len(p.unacked) == 0 {
		return 0
	}
	since := p.unacked[0].sent
	if p.lastAck.After(since) {
		since = p.lastAck
	}
	return now.Sub(since)
}

func (p *Peer) receiveAcks(stream api.DRPCPeer_ExchangeClient, failed chan<- error) {
	for {
		env, err := stream.Recv()
		if err != nil {
			failed <- err
			return
		}
		p.acknowledge(env.GetAck(), p.o.Now())
		if timestamp := env.GetStampMs(); timestamp != 0 && p.o.OnTimestamp != nil {
			p.o.OnTimestamp(p.vm, timestamp)
		}
	}
}

// acknowledge removes the acknowledged envelopes. Any acknowledgement restarts the timeout of the later ones, which may
// wait behind a large envelope.
func (p *Peer) acknowledge(ack uint64, now time.Time) {
	p.mu.Lock()
	var sent time.Time
	for len(p.unacked) > 0 && p.unacked[0].sequence <= ack {
		sent = p.unacked[0].sent
		p.unacked = p.unacked[1:]
	}
	p.lastAck = now
	p.mu.Unlock()
	if !sent.IsZero() && p.o.OnAck != nil {
		p.o.OnAck(p.vm, sent)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
