package clientlimit

import "encoding/binary"

const (
	// http2PrefaceBytes precede the frames that a client sends.
	http2PrefaceBytes = 24
	frameHeadBytes    = 9
	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	flagEndStream     = 0x1
	streamMask        = 1<<31 - 1
)

// frameReader splits the bytes of one direction of an HTTP/2 connection into frames.
type frameReader struct {
	// skip is the number of bytes before the next frame head.
	skip int
	head [frameHeadBytes]byte
	have int
}

// frame is the head of a frame.
type frame struct {
	kind, flags byte
	stream      uint32
	length      int
}

// next takes bytes from the beginning of b and returns the rest. found is set if the head of a frame is complete.
func (r *frameReader) next(b []byte) (rest []byte, f frame, found bool) {
	n := min(r.skip, len(b))
	r.skip -= n
	b = b[n:]
	n = copy(r.head[r.have:], b)
	r.have += n
	if r.have < frameHeadBytes {
		return b[n:], f, false
	}
	r.have = 0
	f = frame{
		length: int(r.head[0])<<16 | int(r.head[1])<<8 | int(r.head[2]), kind: r.head[3], flags: r.head[4],
		stream: binary.BigEndian.Uint32(r.head[5:]) & streamMask,
	}
	r.skip = f.length
	return b[n:], f, true
}

// FrameScanner counts the bytes of the messages on an HTTP/2 connection of which the client has not sent the end. Streams that the
// server has ended do not count any more.
type FrameScanner struct {
	received, sent frameReader
	// unfinished holds the bytes received on each stream that neither side has ended; held is their sum.
	unfinished map[uint32]int
	held       int
}

// NewFrameScanner returns a scanner for a connection that begins.
func NewFrameScanner() *FrameScanner {
	return &FrameScanner{received: frameReader{skip: http2PrefaceBytes}, unfinished: make(map[uint32]int)}
}

// Received notes bytes that the client has sent.
func (s *FrameScanner) Received(b []byte) {
	for len(b) > 0 {
		rest, f, found := s.received.next(b)
		b = rest
		if !found {
			continue
		}
		switch f.kind {
		case frameHeaders:
			if _, open := s.unfinished[f.stream]; !open {
				s.unfinished[f.stream] = 0
			}
		case frameData:
			if bytes, open := s.unfinished[f.stream]; open {
				s.unfinished[f.stream] = bytes + f.length
				s.held += f.length
			}
		}
		s.endIfDue(f)
	}
}

// Sent notes bytes that the server has sent.
func (s *FrameScanner) Sent(b []byte) {
	for len(b) > 0 {
		rest, f, found := s.sent.next(b)
		b = rest
		if found {
			s.endIfDue(f)
		}
	}
}

// endIfDue ends the stream of a frame that is the last one of its side.
func (s *FrameScanner) endIfDue(f frame) {
	ends := f.kind == frameReset || (f.kind == frameData || f.kind == frameHeaders) && f.flags&flagEndStream != 0
	if !ends {
		return
	}
	s.held -= s.unfinished[f.stream]
	delete(s.unfinished, f.stream)
}

// Held returns the bytes of unfinished messages.
func (s *FrameScanner) Held() int { return s.held }
