package clientlimit

import (
	"container/list"
	"encoding/binary"
	"time"
)

const (
	// http2PrefaceBytes precede the frames that a client sends.
	http2PrefaceBytes = 24
	frameHeadBytes    = 9
	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameContinuation = 0x9
	flagEndStream     = 0x1
	flagEndHeaders    = 0x4
	streamMask        = 1<<31 - 1
	// messagePrefixBytes precede a gRPC message: a byte for its compression, then its length.
	messagePrefixBytes  = 5
	messageLengthOffset = 1
	// frameBytes is what a frame of a message holds beside its bytes.
	frameBytes = 256
	// callStreamBytes is what a call holds until its end has been sent, also if it was refused.
	callStreamBytes = 512
	// mostBegun is the number of calls that a connection may begin before it has room for them.
	mostBegun = 32
)

// frameReader splits the bytes of one direction of an HTTP/2 connection into frames.
type frameReader struct {
	// skip is the number of bytes before the next frame head.
	skip int
	// head is the head of a frame, and the first bytes of a frame with a message.
	head [frameHeadBytes + messagePrefixBytes]byte
	have int
}

// frame is the head of a frame.
type frame struct {
	kind, flags byte
	stream      uint32
	length      int
	// message is the length of the message of gRPC if the frame is the first one of a message; it is meaningless for others.
	message int
}

// next takes bytes from the beginning of b and returns the rest. found is set if the head of a frame is complete.
func (r *frameReader) next(b []byte) (rest []byte, f frame, found bool) {
	n := min(r.skip, len(b))
	r.skip -= n
	b = b[n:]
	for r.have < r.wanted() {
		if len(b) == 0 {
			return b, f, false
		}
		n = copy(r.head[r.have:r.wanted()], b)
		r.have += n
		b = b[n:]
	}
	f = frame{
		length: r.length(), kind: r.head[3], flags: r.head[4],
		stream:  binary.BigEndian.Uint32(r.head[5:]) & streamMask,
		message: int(binary.BigEndian.Uint32(r.head[frameHeadBytes+messageLengthOffset:])),
	}
	r.skip = f.length - (r.have - frameHeadBytes)
	r.have = 0
	return b, f, true
}

// length returns the length that a complete head announces.
func (r *frameReader) length() int { return int(r.head[0])<<16 | int(r.head[1])<<8 | int(r.head[2]) }

// wanted returns the number of bytes that are read of a frame before it is reported.
func (r *frameReader) wanted() int {
	if r.have >= frameHeadBytes && r.head[3] == frameData && r.length() >= messagePrefixBytes {
		return len(r.head)
	}
	return frameHeadBytes
}

// callStream is a call on a connection, from its head to its end.
type callStream struct {
	// request counts what the request holds.
	request int
	// complete is set when the client has ended the request, answering when the server has begun its answer.
	complete, answering bool
	// answer is the length of the answer, as far as it is known.
	answer int
	// pending is the place among the calls that wait for the client, nil while the call waits for the server. since is when that began.
	pending *list.Element
	since   time.Time
}

// FrameScanner follows the calls on an HTTP/2 connection by the frames of both sides.
type FrameScanner struct {
	received, sent frameReader
	calls          map[uint32]*callStream
	last           uint32
	// pending holds the calls that wait for the client: for the end of the request, or until it reads the answer.
	pending list.List
	// held are the bytes that the requests of all calls hold, head those of a head without its end.
	held, head int
	// incomplete and served are the numbers of calls whose request has no end yet, and of those that wait for the server.
	incomplete, served int
	// ended returns the length of an answer when its call has ended.
	ended func(answer int)
}

// NewFrameScanner returns a scanner for a connection that begins. ended is called with the length of each answer whose call has ended.
func NewFrameScanner(ended func(answer int)) *FrameScanner {
	return &FrameScanner{received: frameReader{skip: http2PrefaceBytes}, calls: make(map[uint32]*callStream), ended: ended}
}

// Received notes bytes that the client has sent, up to those after which mostBegun calls have begun, and returns their number.
func (s *FrameScanner) Received(b []byte, now time.Time) (used int) {
	rest, begun := b, 0
	for len(rest) > 0 && begun < mostBegun {
		var f frame
		var found bool
		rest, f, found = s.received.next(rest)
		if found && s.receivedFrame(f, now) {
			begun++
		}
	}
	return len(b) - len(rest)
}

// receivedFrame notes a frame that the client has sent, and reports whether a call begins with it.
func (s *FrameScanner) receivedFrame(f frame, now time.Time) (begins bool) {
	switch f.kind {
	case frameHeaders:
		s.head = f.length
		begins = s.begin(f.stream, now)
	case frameContinuation:
		s.head += f.length
	case frameData:
		if c := s.calls[f.stream]; c != nil {
			bytes := f.length + frameBytes
			c.request += bytes
			s.held += bytes
		}
	case frameReset:
		s.end(f.stream)
	}
	if (f.kind == frameHeaders || f.kind == frameContinuation) && f.flags&flagEndHeaders != 0 {
		s.head = 0
	}
	if f.endsStream() {
		s.complete(f.stream)
	}
	return begins
}

// Sent notes bytes that the server has sent.
func (s *FrameScanner) Sent(b []byte, now time.Time) {
	for len(b) > 0 {
		rest, f, found := s.sent.next(b)
		b = rest
		if found {
			s.sentFrame(f, now)
		}
	}
}

func (s *FrameScanner) sentFrame(f frame, now time.Time) {
	if f.kind == frameReset || f.endsStream() {
		s.end(f.stream)
		return
	}
	if f.kind != frameHeaders && f.kind != frameData {
		return
	}
	c := s.calls[f.stream]
	if c == nil {
		return
	}
	if f.kind == frameData && c.answer == 0 {
		c.answer = f.message
	}
	s.complete(f.stream)
	if !c.answering {
		c.answering = true
		s.served--
	}
	s.await(c, now)
}

// endsStream reports whether a frame is the last one of its side.
func (f frame) endsStream() bool {
	return (f.kind == frameData || f.kind == frameHeaders) && f.flags&flagEndStream != 0
}

// begin adds a call, or reports that the stream does not begin one.
func (s *FrameScanner) begin(stream uint32, now time.Time) bool {
	if stream <= s.last {
		return false
	}
	s.last = stream
	c := &callStream{request: callStreamBytes}
	s.calls[stream] = c
	s.held += callStreamBytes
	s.incomplete++
	s.await(c, now)
	return true
}

// await notes that a call waits for the client from now on.
func (s *FrameScanner) await(c *callStream, now time.Time) {
	c.since = now
	if c.pending != nil {
		s.pending.MoveToBack(c.pending)
		return
	}
	c.pending = s.pending.PushBack(c)
}

// complete notes that a call waits for the server.
func (s *FrameScanner) complete(stream uint32) {
	c := s.calls[stream]
	if c == nil || c.complete {
		return
	}
	c.complete = true
	s.incomplete--
	s.served++
	s.pending.Remove(c.pending)
	c.pending = nil
}

// end removes a call.
func (s *FrameScanner) end(stream uint32) {
	c := s.calls[stream]
	if c == nil {
		return
	}
	delete(s.calls, stream)
	s.held -= c.request
	switch {
	case !c.complete:
		s.incomplete--
	case !c.answering:
		s.served--
	}
	if c.pending != nil {
		s.pending.Remove(c.pending)
	}
	if c.answer > 0 {
		s.ended(c.answer)
	}
}

// Held returns the bytes that the requests of the calls hold, from their first byte until the call has ended.
func (s *FrameScanner) Held() int { return s.held + s.head }

// Open returns the number of calls that have not ended.
func (s *FrameScanner) Open() int { return len(s.calls) }

// Incomplete returns the number of calls whose request has no end yet.
func (s *FrameScanner) Incomplete() int { return s.incomplete }

// Served returns the number of calls that wait for the server.
func (s *FrameScanner) Served() int { return s.served }

// StalledSince returns the time since which a call has waited for the client, zero for none.
func (s *FrameScanner) StalledSince() time.Time {
	if oldest := s.pending.Front(); oldest != nil {
		return oldest.Value.(*callStream).since
	}
	return time.Time{}
}
