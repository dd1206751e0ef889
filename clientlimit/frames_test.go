package clientlimit

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// frameText returns a frame of HTTP/2.
func frameText(kind, flags byte, stream uint32, length int) string {
	return frameHead(kind, flags, stream, length) + strings.Repeat("x", length)
}

// frameHead returns the head of a frame of HTTP/2.
func frameHead(kind, flags byte, stream uint32, length int) string {
	head := []byte{byte(length >> 16), byte(length >> 8), byte(length), kind, flags}
	return string(binary.BigEndian.AppendUint32(head, stream))
}

// scannedCalls feeds a scanner with frames in pieces of a size.
type scannedCalls struct {
	*FrameScanner
	piece int
	now   time.Time
	// answers are the lengths of the answers whose calls have ended.
	answers []int
}

func newScannedCalls(piece int) *scannedCalls {
	s := &scannedCalls{piece: piece, now: testStart}
	s.FrameScanner = NewFrameScanner(func(answer int) { s.answers = append(s.answers, answer) })
	return s
}

func (s *scannedCalls) receive(texts ...string) {
	for text := strings.Join(texts, ""); text != ""; {
		text = text[s.Received([]byte(text[:min(s.piece, len(text))]), s.now):]
	}
}

func (s *scannedCalls) send(texts ...string) {
	for text := strings.Join(texts, ""); text != ""; {
		n := min(s.piece, len(text))
		s.Sent([]byte(text[:n]), s.now)
		text = text[n:]
	}
}

// eachPiece runs a test with bytes that arrive in different pieces.
func eachPiece(test func(s *scannedCalls)) {
	for _, piece := range []int{1, 5, 100_000} {
		test(newScannedCalls(piece))
	}
}

// heldBy returns what a call holds whose request has come in a number of frames.
func heldBy(bytes, frames int) int { return callStreamBytes + bytes + frames*frameBytes }

// Guards against requests that are not counted, that are not counted any more while their call is served, or that stay counted after
// the server or a reset has ended the call.
func TestRequestsAreCountedUntilTheirCallEnds(t *testing.T) {
	eachPiece(func(s *scannedCalls) {
		const settings = 0x4
		s.receive(http2Preface, frameText(settings, 0, 0, 12), frameText(frameHeaders, flagEndHeaders, 1, 30), frameText(frameData, 0, 1, 1000))
		s.receive(frameText(frameHeaders, flagEndHeaders, 3, 30), frameText(frameData, 0, 3, 500))
		first, second := heldBy(1000, 1), heldBy(500, 1)
		require.Equal(t, first+second, s.Held())
		s.receive(frameText(frameData, flagEndStream, 1, 200))
		first = heldBy(1200, 2)
		require.Equal(t, first+second, s.Held(), "the request is being served")
		s.send(frameText(frameHeaders, flagEndHeaders, 1, 10), frameText(frameData, 0, 1, 20))
		require.Equal(t, first+second, s.Held(), "the answer has no end")
		s.send(frameText(frameHeaders, flagEndHeaders|flagEndStream, 1, 10))
		require.Equal(t, second, s.Held())
		s.send(frameText(frameHeaders, flagEndHeaders|flagEndStream, 3, 10))
		s.receive(frameText(frameData, 0, 3, 700))
		require.Zero(t, s.Held(), "the server has ended the call")
		s.receive(frameText(frameHeaders, flagEndHeaders, 5, 30), frameText(frameData, 0, 5, 100), frameText(frameReset, 0, 5, 4))
		s.receive(frameText(frameHeaders, flagEndHeaders, 3, 30))
		require.Zero(t, s.Held(), "a call that has ended does not begin again")
		require.Zero(t, s.Open())
		require.Zero(t, s.pending.Len())
	})
}

// Guards against calls that begin without a bound before the connection has room for them.
func TestFewCallsBeginAtOnce(t *testing.T) {
	s := newScannedCalls(1)
	s.receive(http2Preface)
	var heads string
	for n := range uint32(mostBegun + 5) {
		heads += frameText(frameHeaders, flagEndHeaders, firstStream+2*n, 4)
	}
	used := s.Received([]byte(heads), s.now)
	require.Equal(t, mostBegun, s.Open())
	s.Received([]byte(heads[used:]), s.now)
	require.Equal(t, mostBegun+5, s.Open())
}

// Guards against heads without an end that are not counted.
func TestHeadsWithoutEndAreCounted(t *testing.T) {
	eachPiece(func(s *scannedCalls) {
		s.receive(http2Preface, frameText(frameHeaders, 0, 1, 3000), frameText(frameContinuation, 0, 1, 5000))
		require.Equal(t, heldBy(8000, 0), s.Held())
		s.receive(frameText(frameContinuation, flagEndHeaders, 1, 100))
		require.Equal(t, heldBy(0, 0), s.Held())
	})
}

// Guards against answers whose room is kept after they have been sent, or given back before.
func TestLengthsOfEndedAnswersAreReported(t *testing.T) {
	eachPiece(func(s *scannedCalls) {
		const announced = 70_000
		prefix := string(binary.BigEndian.AppendUint32([]byte{0}, announced))
		s.receive(http2Preface, frameText(frameHeaders, flagEndHeaders|flagEndStream, 1, 30), frameText(frameHeaders, flagEndHeaders|flagEndStream, 3, 30))
		s.send(frameText(frameHeaders, flagEndHeaders, 1, 10))
		s.send(frameHead(frameData, 0, 1, len(prefix)+16_000), prefix, strings.Repeat("a", 16_000), frameText(frameData, 0, 1, 16_000))
		require.Empty(t, s.answers)
		s.send(frameText(frameHeaders, flagEndHeaders|flagEndStream, 1, 10))
		require.Equal(t, []int{announced}, s.answers)
		s.send(frameText(frameHeaders, flagEndHeaders, 3, 10), frameHead(frameData, 0, 3, len(prefix)), prefix)
		s.receive(frameText(frameReset, 0, 3, 4))
		require.Equal(t, []int{announced, announced}, s.answers, "the client has reset the call")
	})
}

// Guards against a connection that counts as stalled while its calls wait for the server, or that does not while they wait for the client.
func TestCallsThatWaitForTheClientStall(t *testing.T) {
	s := newScannedCalls(100)
	require.Zero(t, s.StalledSince())
	s.receive(http2Preface, frameText(frameHeaders, flagEndHeaders, 1, 30))
	s.now = s.now.Add(time.Second)
	s.receive(frameText(frameHeaders, flagEndHeaders, 3, 30), frameText(frameData, 0, 1, 10))
	require.Equal(t, testStart, s.StalledSince(), "more bytes do not end the request")
	require.Equal(t, 2, s.Incomplete())
	s.receive(frameText(frameData, flagEndStream, 1, 10))
	require.Equal(t, s.now, s.StalledSince())
	s.receive(frameText(frameData, flagEndStream, 3, 10))
	require.Zero(t, s.StalledSince())
	require.Equal(t, 2, s.Served())
	s.now = s.now.Add(time.Second)
	s.send(frameText(frameHeaders, flagEndHeaders, 3, 10))
	require.Equal(t, s.now, s.StalledSince(), "the client has to read the answer")
	s.now = s.now.Add(time.Second)
	s.send(frameText(frameData, 0, 3, 100))
	require.Equal(t, s.now, s.StalledSince(), "the client has read a part of it")
	require.Equal(t, 1, s.Served())
	s.send(frameText(frameHeaders, flagEndStream, 3, 10), frameText(frameReset, 0, 1, 4))
	require.Zero(t, s.StalledSince())
	require.Zero(t, s.Served())
}
