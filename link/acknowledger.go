package link

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
)

// acknowledger acknowledges the envelopes of one stream.
type acknowledger struct {
	stream    api.DRPCPeer_ExchangeStream
	timestamp func() uint64

	// turn is a mutex of the fields below it, which also keeps the acknowledgements in order. It is a channel since its holder may
	// wait for the network: under testing/synctest time stands still for a goroutine that waits for a sync.Mutex.
	turn chan struct{}
	// ackedAt is when the last acknowledgement was sent.
	ackedAt time.Time
	// pending is the number of the last envelope if it is not acknowledged, zero otherwise. The timer runs while it is set, from
	// the oldest unacknowledged envelope on.
	pending uint64
	timer   *time.Timer
}

func newAcknowledger(stream api.DRPCPeer_ExchangeStream, timestamp func() uint64) *acknowledger {
	a := &acknowledger{stream: stream, timestamp: timestamp, turn: make(chan struct{}, 1)}
	a.timer = time.AfterFunc(lastAckDelay, a.acknowledgePending)
	a.timer.Stop()
	return a
}

// accepted acknowledges an envelope, at once or within lastAckDelay.
func (a *acknowledger) accepted(sequence uint64, onlyStatus bool) error {
	a.lock()
	defer a.unlock()
	if onlyStatus && time.Since(a.ackedAt) < ackSpacing {
		if a.pending == 0 {
			a.timer.Reset(lastAckDelay)
		}
		a.pending = sequence
		return nil
	}
	return a.send(sequence)
}

// acknowledgePending acknowledges the last envelope of a series. If that fails, the stream's receiver fails too.
func (a *acknowledger) acknowledgePending() {
	a.lock()
	defer a.unlock()
	if a.pending != 0 {
		_ = a.send(a.pending)
	}
}

// send expects the lock to be held.
func (a *acknowledger) send(sequence uint64) error {
	if a.pending != 0 {
		a.pending = 0
		a.timer.Stop()
	}
	a.ackedAt = time.Now()
	ack := &api.Envelope{Ack: sequence}
	if a.timestamp != nil {
		ack.StampMs = a.timestamp()
	}
	return a.stream.Send(ack)
}

func (a *acknowledger) lock()   { a.turn <- struct{}{} }
func (a *acknowledger) unlock() { <-a.turn }

// stop drops what is pending, and waits for an acknowledgement that is being sent: the stream must not end during it.
func (a *acknowledger) stop() {
	a.lock()
	defer a.unlock()
	a.pending = 0
	a.timer.Stop()
}
