package clientlimit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// callerShare is the share of a connection in a test, whose calls end as soon as they are cancelled or the connection is closed. closed and
// cancelled count how it had to give way.
type callerShare struct {
	*CallShare
	closed, cancelled int
}

func joinRoom(r *CallRoom) *callerShare {
	s := &callerShare{}
	s.CallShare = r.Join(func() {
		s.closed++
		s.endAll()
	})
	return s
}

// begin takes room for a call of a byte.
func (s *callerShare) begin(now time.Time) (c *OpenCall, begun bool) {
	return s.beginLarge(1, now)
}

// beginLarge takes room for a call of a number of bytes.
func (s *callerShare) beginLarge(bytes int64, now time.Time) (c *OpenCall, begun bool) {
	c, begun = s.Begin(context.Background(), bytes, func() {
		s.cancelled++
		c.End()
	}, now)
	return c, begun
}

// endAll ends the calls of a closed connection.
func (s *callerShare) endAll() {
	for len(s.open) > 0 {
		s.open[0].End()
	}
}

// end ends the connection and its calls.
func (s *callerShare) end() {
	s.Leave()
	s.endAll()
}

func (s *callerShare) beginAll(t *testing.T, calls int) {
	t.Helper()
	for range calls {
		_, begun := s.begin(testStart)
		require.True(t, begun)
	}
}

// newTestRoom returns a room of 10 calls of a byte and 100 bytes of messages.
func newTestRoom() *CallRoom {
	r := NewCallRoom(VM{})
	r.calls, r.messages, r.allMessages = 10, 100, 100
	return r
}

// requireEmpty checks that all of the room has been given back.
func requireEmpty(t *testing.T, r *CallRoom) {
	t.Helper()
	requireEmptyBut(t, r, 0)
}

// requireEmptyBut checks that all of the room has been given back while some connections without calls are there.
func requireEmptyBut(t *testing.T, r *CallRoom, connections int) {
	t.Helper()
	require.EqualValues(t, 10, r.calls)
	require.EqualValues(t, 100, r.messages)
	for _, o := range r.orders {
		require.Len(t, o.shares, connections)
	}
	require.Zero(t, r.callWaiters.Len()+r.messageWaiters.Len())
	require.Zero(t, r.ending)
	require.Zero(t, r.granted)
}

// Guards against a client that keeps other callers out by the number of its calls, and against calls that are given way to by a
// connection which has fewer.
func TestTheConnectionWithMostCallsGivesWay(t *testing.T) {
	r := newTestRoom()
	many, few := joinRoom(r), joinRoom(r)
	many.beginAll(t, 10)
	for range 5 {
		_, begun := few.begin(testStart)
		require.True(t, begun)
	}
	require.Equal(t, 5, many.cancelled)
	_, begun := few.begin(testStart)
	require.False(t, begun, "both have as many calls")
	_, begun = many.begin(testStart)
	require.False(t, begun)
	require.Zero(t, many.closed+few.closed)
	_, begun = joinRoom(r).beginLarge(6, testStart)
	require.False(t, begun)
	require.Equal(t, 5, many.cancelled, "no call gives way to one that finds no room even so")
	many.end()
	few.end()
	requireEmptyBut(t, r, 1)
}

// Guards against requests without an end, or answers that are not read, which keep other callers out.
func TestTheConnectionThatIsStalledLongestIsClosedFirst(t *testing.T) {
	r := newTestRoom()
	first, second, served, next := joinRoom(r), joinRoom(r), joinRoom(r), joinRoom(r)
	first.beginAll(t, 2)
	second.beginAll(t, 2)
	served.beginAll(t, 6)
	hold(t, second, 0, testStart.Add(time.Millisecond))
	hold(t, first, 0, testStart)
	now := testStart.Add(stalledTime - time.Millisecond)
	_, begun := next.begin(now)
	require.True(t, begun)
	require.Equal(t, 1, served.cancelled, "none has been stalled for long")
	now = testStart.Add(stalledTime)
	_, begun = next.begin(now)
	require.True(t, begun)
	require.Equal(t, []int{1, 0, 1}, []int{first.closed, second.closed, served.cancelled})
	_, begun = first.begin(now)
	require.False(t, begun, "its connection has been closed")
	for _, s := range []*callerShare{first, second, served, next} {
		s.end()
	}
	requireEmpty(t, r)
}

// hold sets what the messages of a connection hold.
func hold(t *testing.T, s *callerShare, bytes int64, stalledSince time.Time) {
	t.Helper()
	require.True(t, s.Hold(bytes, stalledSince, testStart))
}

// Guards against a connection with large messages that keeps those out which hold less, and against one that closes all others for a
// message which finds no room even so.
func TestTheConnectionWithLargestMessagesGivesWay(t *testing.T) {
	r := newTestRoom()
	large, small, next := joinRoom(r), joinRoom(r), joinRoom(r)
	hold(t, large, 70, time.Time{})
	hold(t, small, 30, time.Time{})
	require.False(t, next.Hold(101, time.Time{}, testStart))
	require.False(t, next.Await(t.Context(), 101), "there will never be enough")
	require.Zero(t, large.closed+small.closed)
	require.False(t, next.Hold(80, time.Time{}, testStart), "no connection holds more")
	hold(t, next, 60, time.Time{})
	require.Equal(t, []int{1, 0}, []int{large.closed, small.closed})
	require.False(t, large.Hold(1, time.Time{}, testStart))
	require.False(t, large.Await(t.Context(), 1), "its connection has been closed")
	hold(t, next, 10, time.Time{})
	require.EqualValues(t, 60, r.messages)
	small.Leave()
	next.Leave()
	requireEmpty(t, r)
}

// Guards against a call that gives its room back twice, or to a connection that has left.
func TestACallEndsOnce(t *testing.T) {
	r := newTestRoom()
	s := joinRoom(r)
	c, _ := s.begin(testStart)
	s.beginAll(t, 2)
	c.End()
	c.End()
	require.EqualValues(t, 8, r.calls)
	s.Leave()
	require.EqualValues(t, 8, r.calls, "the handlers of its calls have not ended")
	c.End()
	s.end()
	requireEmpty(t, r)
}

// Guards against room that is kept for a call which the server never handles, or given back while the handler of a call is at work.
func TestCancelledCallsAreEndedByTheirHandler(t *testing.T) {
	r := newTestRoom()
	s := joinRoom(r)
	handled, lost := firstOf(s.begin(testStart)), firstOf(s.begin(testStart))
	handled.Handled()
	handled.Cancelled()
	lost.Cancelled()
	require.EqualValues(t, 9, r.calls)
	handled.End()
	s.end()
	requireEmpty(t, r)
}

func firstOf(c *OpenCall, _ bool) *OpenCall { return c }

// Guards against a caller that is admitted before the calls which give way have ended, and against one that waits for them without end.
func TestACallWaitsForThoseThatGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoom()
		var cancelled []*OpenCall
		many := r.Join(ignoreClose)
		for range 10 {
			var c *OpenCall
			c, _ = many.Begin(t.Context(), 1, func() { cancelled = append(cancelled, c) }, testStart)
		}
		next := joinRoom(r)
		began := time.Now()
		_, begun := next.begin(testStart)
		require.False(t, begun)
		require.Equal(t, roomTimeout, time.Since(began))
		require.Len(t, cancelled, 1)
		var waits sync.WaitGroup
		waits.Go(func() { _, begun = next.begin(testStart) })
		synctest.Wait()
		require.Len(t, cancelled, 1, "one call has given way already")
		cancelled[0].End()
		waits.Wait()
		require.True(t, begun)
		next.end()
		many.Leave()
		(&callerShare{CallShare: many}).endAll()
		requireEmpty(t, r)
	})
}

// Guards against a wait for room that is missed when messages end, that never ends, or that is kept after its end.
func TestWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoom()
		s, first, second := joinRoom(r), joinRoom(r), joinRoom(r)
		hold(t, s, 90, time.Time{})
		began := time.Now()
		var waits sync.WaitGroup
		for _, next := range []*callerShare{first, second} {
			waits.Go(func() { require.True(t, next.Await(t.Context(), 20)) })
			synctest.Wait()
		}
		hold(t, s, 80, time.Time{})
		synctest.Wait()
		require.Equal(t, 1, r.messageWaiters.Len(), "there is room for the first one only")
		hold(t, first, 20, time.Time{})
		s.Leave()
		waits.Wait()
		require.Equal(t, began, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), stalledTime/2)
		defer cancel()
		require.False(t, second.Await(ctx, 90))
		require.Zero(t, r.callWaiters.Len()+r.messageWaiters.Len())
		require.Zero(t, r.ending)
		require.Zero(t, r.granted)
	})
}

// Guards against an order in which a share is lost, or does not come first, after any changes.
func TestFirstShareOfAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewCallRoom(VM{})
		var shares []*CallShare
		for range rapid.IntRange(1, 20).Draw(t, "shares") {
			shares = append(shares, r.Join(ignoreClose))
		}
		for range rapid.IntRange(0, 50).Draw(t, "changes") {
			s := shares[rapid.IntRange(0, len(shares)-1).Draw(t, "share")]
			s.Hold(rapid.Int64Range(0, 50).Draw(t, "bytes"), testStart.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "since"))), testStart)
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				s.Leave()
			}
			except := shares[rapid.IntRange(0, len(shares)-1).Draw(t, "except")]
			for _, o := range r.orders {
				first := o.first(except)
				for _, other := range shares {
					if other == except || other.left {
						continue
					}
					if first == nil || o.ranking.before(other, first) {
						t.Fatalf("ranking %d: a share comes before the first one", o.ranking)
					}
				}
			}
		}
	})
}
