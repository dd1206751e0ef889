package clientlimit

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// frameText returns a frame of HTTP/2.
func frameText(kind, flags byte, stream uint32, length int) string {
	head := []byte{byte(length >> 16), byte(length >> 8), byte(length), kind, flags}
	return string(binary.BigEndian.AppendUint32(head, stream)) + strings.Repeat("x", length)
}

// Guards against messages that are not counted, or that stay counted after either side has ended their stream, in whatever pieces the
// bytes arrive.
func TestUnfinishedMessagesAreCounted(t *testing.T) {
	const settings = 0x4
	for _, piece := range []int{1, 5, 100_000} {
		s := NewFrameScanner()
		receive := func(texts ...string) {
			for text := strings.Join(texts, ""); text != ""; {
				n := min(piece, len(text))
				s.Received([]byte(text[:n]))
				text = text[n:]
			}
		}
		receive(http2Preface, frameText(settings, 0, 0, 12), frameText(frameHeaders, 0, 1, 30), frameText(frameData, 0, 1, 1000))
		receive(frameText(frameHeaders, 0, 3, 30), frameText(frameData, 0, 3, 500))
		require.Equal(t, 1500, s.Held())
		receive(frameText(frameData, flagEndStream, 1, 200))
		require.Equal(t, 500, s.Held())
		s.Sent([]byte(frameText(frameHeaders, 0, 3, 10)))
		require.Equal(t, 500, s.Held())
		s.Sent([]byte(frameText(frameHeaders, flagEndStream, 3, 10)))
		receive(frameText(frameData, 0, 3, 700))
		require.Zero(t, s.Held(), "the server has ended the stream")
		receive(frameText(frameHeaders, 0, 5, 30), frameText(frameData, 0, 5, 100), frameText(frameReset, 0, 5, 4))
		receive(frameText(frameHeaders, flagEndStream, 7, 30))
		require.Zero(t, s.Held())
		require.Empty(t, s.unfinished)
	}
}

// Guards against a connection that keeps its part of the budget after it was closed, and one that reads on without room.
func TestUnfinishedMessagesTakeFromTheBudget(t *testing.T) {
	const free = 60_000
	budget := NewBudget(free)
	server, client := net.Pipe()
	c := &CallConn{Conn: server, budget: budget, scanner: NewFrameScanner(), note: func(Refusal) {}}
	go func() {
		_, _ = client.Write([]byte(http2Preface + frameText(frameHeaders, 0, 1, 30) + frameText(frameData, 0, 1, 40_000)))
	}()
	buffer := make([]byte, 1<<20)
	for c.scanner.Held() == 0 {
		_, err := c.Read(buffer)
		require.NoError(t, err)
	}
	require.EqualValues(t, free-40_000+freeCallBytes, budget.free)
	require.False(t, budget.take(free))
	require.NoError(t, c.Close())
	require.EqualValues(t, free, budget.free)
}

// Guards against a wait for room that is missed when bytes are given back, or that never ends.
func TestWaitForRoom(t *testing.T) {
	budget := NewBudget(10)
	require.True(t, budget.take(8))
	require.False(t, budget.takeWithin(5, time.Millisecond))
	done := make(chan bool)
	go func() { done <- budget.takeWithin(5, time.Hour) }()
	budget.giveBack(1)
	budget.giveBack(7)
	require.True(t, <-done)
	require.EqualValues(t, 5, budget.free)
}
