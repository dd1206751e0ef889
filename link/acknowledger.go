package link

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
)

// acknowledger acknowledges the envelopes of one stream. mu guards the fields below it and keeps the acknowledgements in order.
type acknowledger struct {
	stream    api.DRPCPeer_ExchangeStream
	timestamp func() uint64

	mu sync.Mutex
	// ackedAt is when the last acknowledgement was sent.
	ackedAt time.Time
	// pending is the number of the last envelope if it is not acknowledged, zero otherwise. The timer runs while it is set, from
	// the oldest unacknowledged envelope on.
	pending uint64
	timer   *time.Timer
}

func newAcknowledger(stream api.DRPCPeer_ExchangeStream, timestamp func() uint64) *acknowledger {
	a := &acknowledger{stream: stream, timestamp: timestamp}
	a.timer = time.AfterFunc(lastAckDelay, a.acknowledgePending)
	a.timer.Stop()
	return a
}

// accepted acknowledges an envelope, at once or within lastAckDelay.
func (a *acknowledger) accepted(sequence uint64, onlyStatus bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
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
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != 0 {
		_ = a.send(a.pending)
	}
}

// send expects a.mu to be held.
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

// stop drops what is pending.
func (a *acknowledger) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = 0
	a.timer.Stop()
}
