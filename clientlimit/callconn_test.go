package clientlimit

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testOpenCalls = 3
	headText      = "head"
)

// limitedConn is a connection whose client writes frames to it.
type limitedConn struct {
	*CallConn
	client  net.Conn
	refused []Refusal
}

func newLimitedConn(t *testing.T, r *CallRoom) *limitedConn {
	server, client := net.Pipe()
	c := &limitedConn{client: client}
	table := NewTable(1)
	accepted := newBareConn(server, table)
	accepted.member, _ = table.Admit(accepted.abort, time.Now(), minIdleTime)
	c.CallConn = newCallConn(accepted, accepted, r, testOpenCalls, func(r Refusal) { c.refused = append(c.refused, r) })
	t.Cleanup(func() { _ = client.Close() })
	return c
}

// receive lets the client write texts and the server read them, and returns the error of reading.
func (c *limitedConn) receive(texts ...string) error {
	text := strings.Join(texts, "")
	go func() { _, _ = io.WriteString(c.client, text) }()
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	return err
}

// send lets the server write texts to a client that reads them.
func (c *limitedConn) send(t *testing.T, texts ...string) {
	t.Helper()
	text := strings.Join(texts, "")
	go func() { _, _ = io.CopyN(io.Discard, c.client, int64(len(text))) }()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func callHead(stream uint32, flags byte) string {
	return frameText(frameHeaders, flagEndHeaders|flags, stream, len(headText))
}

// charge returns what messages of a number of bytes take of the room.
func charge(bytes int) int64 {
	return int64((messageCopies*bytes + chargeBytes - 1) / chargeBytes * chargeBytes)
}

// Guards against a connection that keeps its room after it was closed, one that reads on without room, and one that is closed
// although it gets room in time.
func TestMessagesTakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const free, body = 120_000, 37_000
		r := newTestRoom()
		r.messages, r.allMessages = free, free
		first := newLimitedConn(t, r)
		require.NoError(t, first.receive(http2Preface, callHead(1, 0), frameText(frameData, 0, 1, body)))
		require.Equal(t, free-charge(heldBy(body, 1)-freeCallBytes), r.messages)
		second := newLimitedConn(t, r)
		go func() {
			time.Sleep(stalledTime / 2)
			_ = first.Close()
		}()
		require.NoError(t, second.receive(http2Preface, callHead(1, 0), frameText(frameData, 0, 1, 2*body)))
		third := newLimitedConn(t, r)
		require.ErrorIs(t, third.receive(http2Preface, callHead(1, 0), frameText(frameData, 0, 1, 3*body)), io.EOF)
		require.Equal(t, []Refusal{NoRoom}, third.refused)
		require.NoError(t, second.Close())
		require.NoError(t, third.Close())
		require.EqualValues(t, free, r.messages)
		require.Empty(t, r.orders[0].shares)
	})
}

// Guards against a connection that holds parts of a request and never sends more.
func TestUnfinishedRequestsWithoutProgressEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitedConn(t, NewCallRoom(VM{}))
		require.NoError(t, c.receive(http2Preface, callHead(1, 0), frameText(frameData, 0, 1, 2*freeCallBytes)))
		began := time.Now()
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err)
		require.Equal(t, callIdleTime, time.Since(began))
	})
}

// Guards against a connection that is closed while its client waits for the answer to a large request.
func TestServedRequestsHaveNoIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitedConn(t, NewCallRoom(VM{}))
		require.NoError(t, c.receive(http2Preface, callHead(1, 0), frameText(frameData, flagEndStream, 1, 2*freeCallBytes)))
		go func() {
			time.Sleep(2 * callIdleTime)
			_, _ = io.WriteString(c.client, "x")
		}()
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err)
	})
}

// Guards against ends of calls that are kept without a bound for a client which does not read them.
func TestConnectionWithTooManyUnsentEndsIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitedConn(t, NewCallRoom(VM{}))
		frames := http2Preface
		for n := range uint32(testOpenCalls + refusedCalls + 1) {
			frames += callHead(firstStream+2*n, flagEndStream)
		}
		go func() {
			time.Sleep(writeTimeout / 2)
			c.send(t, callHead(firstStream, flagEndStream))
		}()
		require.NoError(t, c.receive(frames))
		began := time.Now()
		require.Error(t, c.receive(callHead(firstStream+2*500, flagEndStream)))
		require.Equal(t, writeTimeout, time.Since(began))
	})
}

const firstStream = 1

// Guards against answers whose room is not given back when they have been sent or their calls have ended, and against ones that are
// made without room.
func TestAnswersTakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const free, answer = 120_000, 40_000
		r := newTestRoom()
		r.messages, r.allMessages = free, free
		c := newLimitedConn(t, r)
		require.NoError(t, c.receive(http2Preface, callHead(1, flagEndStream), callHead(3, flagEndStream)))
		require.True(t, c.ReserveAnswer(t.Context(), freeAnswerBytes))
		require.EqualValues(t, free, r.messages, "a short answer is part of the share of its call")
		require.True(t, c.ReserveAnswer(t.Context(), answer))
		require.Equal(t, free-charge(answer), r.messages)
		require.False(t, c.ReserveAnswer(t.Context(), answer))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.False(t, c.ReserveAnswer(ctx, answer))
		require.Equal(t, free-charge(answer), r.messages, "answers without room hold nothing")
		prefix := string(binary.BigEndian.AppendUint32([]byte{0}, answer))
		c.send(t, callHead(1, 0), frameHead(frameData, 0, 1, len(prefix)), prefix, callHead(1, flagEndStream))
		require.EqualValues(t, free, r.messages)
		require.True(t, c.ReserveAnswer(t.Context(), answer))
		c.ReleaseAnswer(answer)
		require.EqualValues(t, free, r.messages)
		require.True(t, c.ReserveAnswer(t.Context(), answer))
		require.NoError(t, c.receive(frameText(frameReset, 0, 3, 4)))
		require.EqualValues(t, free, r.messages, "no call is open")
	})
}

// Guards against a connection that has its calls refused as fast as it can send them.
func TestConnectionIsReadSlowlyAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoom()
		c := newLimitedConn(t, r)
		require.NoError(t, c.receive(http2Preface))
		began := time.Now()
		_, begun := c.BeginCall(0, ignoreClose)
		require.False(t, begun)
		require.Equal(t, began, time.Now(), "the call is refused at once")
		require.NoError(t, c.receive("x"))
		require.Equal(t, refusalPause, time.Since(began))
		require.NoError(t, c.receive("x"))
		require.Equal(t, refusalPause, time.Since(began))
	})
}

// Guards against a connection that is not read, or is closed, while an answer of it waits for room.
func TestAnswerWithoutRoomDoesNotStopReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const free = 120_000
		r := newTestRoom()
		r.messages, r.allMessages = free, free
		other, c := newLimitedConn(t, r), newLimitedConn(t, r)
		require.NoError(t, other.receive(http2Preface, callHead(1, flagEndStream)))
		require.True(t, other.ReserveAnswer(t.Context(), free/messageCopies/2))
		require.NoError(t, c.receive(http2Preface, callHead(1, flagEndStream)))
		began := time.Now()
		reserved := make(chan bool)
		go func() { reserved <- c.ReserveAnswer(t.Context(), free/messageCopies*3/4) }()
		synctest.Wait()
		require.NoError(t, c.receive(callHead(3, flagEndStream)))
		require.Equal(t, began, time.Now())
		require.False(t, <-reserved)
		require.NoError(t, c.receive(callHead(5, flagEndStream)))
	})
}
