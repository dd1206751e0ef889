package clientlimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	testLimits = Limits{HeadBytes: 1 << 10, BodyBytes: 16 << 10, HeadTime: time.Second, IdleTime: 2 * time.Second}
	testStart  = time.Unix(1_000_000, 0)
)

const testHead = "POST /q/1 HTTP/1.1\r\nHost: h\r\n"

// assemble adds bytes in pieces of a size and returns the request, the number of bytes used and the refusal.
func assemble(a *Assembler, text string, piece int) (request string, used int, refused Refusal) {
	a.Begin(testLimits, testStart)
	for used < len(text) && !a.Complete() && refused == Accepted {
		var n int
		n, refused = a.Add([]byte(text[used:min(used+piece, len(text))]), testStart)
		used += n
	}
	if !a.Complete() {
		return "", used, refused
	}
	return string(a.Take()), used, refused
}

// Guards against a request that is passed on in part, with bytes of the next one, or with other contents than were sent, and
// against a limit that refuses what is exactly within it.
func TestRequestsWithinTheLimits(t *testing.T) {
	full := strings.Repeat("b", testLimits.BodyBytes)
	headRoom := testLimits.HeadBytes - len(testHead) - len("X: \r\n\r\n")
	chunked := testHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ sent, want string }{
		"no body":             {sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"lines without CR":    {sent: "GET / HTTP/1.1\nHost: h\n\n"},
		"empty body":          {sent: testHead + "Content-Length: 0\r\n\r\n"},
		"length twice":        {sent: testHead + "Content-Length: 1\r\ncontent-length: 1\r\n\r\nx"},
		"largest body":        {sent: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", testHead, len(full), full)},
		"largest head":        {sent: testHead + "X: " + strings.Repeat("v", headRoom) + "\r\n\r\n"},
		"identity encoding":   {sent: testHead + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nab"},
		"chunks":              {chunked + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", chunked + "00000005\r\nabcde\r\n0\r\n\r\n"},
		"no chunks":           {chunked + "0\r\n\r\n", chunked + "0\r\n\r\n"},
		"trailer":             {chunked + "1\r\na\r\n0\r\nX: y\r\n\r\n", chunked + "00000001\r\na\r\n0\r\n\r\n"},
		"largest chunk":       {fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunked, len(full), full), fmt.Sprintf("%s%08x\r\n%s\r\n0\r\n\r\n", chunked, len(full), full)},
		"chunks of one byte":  {chunked + strings.Repeat("1\r\nb\r\n", len(full)) + "0\r\n\r\n", fmt.Sprintf("%s%08x\r\n%s\r\n0\r\n\r\n", chunked, len(full), full)},
		"capital field names": {sent: testHead + "CONTENT-LENGTH: 1\r\n\r\nx"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.want == "" {
				c.want = c.sent
				require.Equal(t, len(c.sent), Whole([]byte(c.sent+"GET"), testLimits))
				require.Zero(t, Whole([]byte(c.sent[:len(c.sent)-1]), testLimits))
			}
			for _, piece := range []int{1, 7, 1000, len(c.sent) + 3} {
				a := newTestAssembler(NewRequestRoom(1 << 20))
				got, used, refused := assemble(&a, c.sent+"GET", piece)
				require.Equal(t, Accepted, refused)
				require.Equal(t, c.want, got)
				require.Equal(t, len(c.sent), used)
				a.Release()
				require.EqualValues(t, 1<<20, a.reserved.room.free)
			}
		})
	}
}

// Guards against a request over a limit that is accepted, and against one that is refused only after more bytes than its limit have
// been taken.
func TestRequestsOverTheLimits(t *testing.T) {
	chunked := testHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		sent    string
		refused Refusal
		most    int
	}{
		"fields":             {testHead + strings.Repeat("X: y\r\n", 5000), HeadTooLarge, testLimits.HeadBytes + 1},
		"line without end":   {"GET /" + strings.Repeat("a", 30_000), HeadTooLarge, testLimits.HeadBytes + 1},
		"empty lines":        {strings.Repeat("\r\n", 5000), Malformed, 1000},
		"announced body":     {testHead + "Content-Length: 2147483648\r\n\r\n", BodyTooLarge, 200},
		"body over by one":   {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", testHead, testLimits.BodyBytes+1), BodyTooLarge, 200},
		"announced chunk":    {chunked + "80000000\r\n", BodyTooLarge, 200},
		"chunks over by one": {chunked + strings.Repeat("400\r\n"+strings.Repeat("b", 1024)+"\r\n", 16) + "1\r\nb\r\n", BodyTooLarge, 17_000},
		"trailer":            {chunked + "0\r\n" + strings.Repeat("X: y\r\n", 1000), HeadTooLarge, 1000},
		"extension":          {chunked + "1;" + strings.Repeat("x", 5000), Malformed, 1500},
		"no chunk size":      {chunked + "x\r\n", Malformed, 200},
		"no chunk end":       {chunked + "1\r\nab\r\n", Malformed, 200},
		"two lengths":        {testHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", Malformed, 200},
		"length and chunks":  {testHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed, 200},
		"chunks and length":  {testHead + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", Malformed, 200},
		"negative length":    {testHead + "Content-Length: -1\r\n\r\n", Malformed, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Zero(t, Whole([]byte(c.sent), testLimits))
			for _, piece := range []int{1, 7, 1000} {
				a := newTestAssembler(NewRequestRoom(1 << 20))
				_, used, refused := assemble(&a, c.sent, piece)
				require.Equal(t, c.refused, refused)
				require.LessOrEqual(t, used, c.most)
				a.Release()
				require.EqualValues(t, 1<<20, a.reserved.room.free)
			}
		})
	}
}

// Guards against bytes that are held without being counted, against a small request that is refused because others have used up
// the room, and against bytes that stay counted.
func TestRoomBoundsUnfinishedRequests(t *testing.T) {
	room := NewRequestRoom(80 << 10)
	unfinished := testHead + "Content-Length: 16384\r\n\r\n" + strings.Repeat("b", 16_383)
	first, second, small := newTestAssembler(room), newTestAssembler(room), newTestAssembler(room)
	_, _, refused := assemble(&first, unfinished, 100)
	require.Equal(t, Accepted, refused)
	require.Less(t, room.free, int64(20<<10))
	_, used, refused := assemble(&second, unfinished, 100)
	require.Equal(t, NoRoom, refused)
	require.LessOrEqual(t, used, freeBytes)
	second.Release()
	request, _, refused := assemble(&small, testHead+"Content-Length: 2000\r\n\r\n"+strings.Repeat("b", 2000), 100)
	require.Equal(t, Accepted, refused)
	require.NotEmpty(t, request)
	first.Release()
	require.EqualValues(t, 80<<10, room.free)
}

// Guards against unfinished requests that keep the others out, against a complete one that gives way, and against room that is given
// back twice.
func TestOldestUnfinishedRequestGivesWay(t *testing.T) {
	room := NewRequestRoom(100)
	evicted := 0
	join := func() *reservation { return room.newReservation(func() { evicted++ }) }
	complete, first, second, next := join(), join(), join(), join()
	later := testStart.Add(time.Millisecond)
	require.True(t, complete.growTo(40, testStart, testStart))
	complete.finish()
	require.True(t, second.growTo(20, testStart, testStart))
	require.True(t, first.growTo(40, later, later))
	now := testStart.Add(stalledTime - time.Millisecond)
	require.False(t, next.growTo(10, now, now), "none is old")
	now = testStart.Add(stalledTime)
	require.True(t, next.growTo(20, now, now))
	require.Equal(t, 1, evicted)
	require.False(t, second.growTo(1, testStart, now), "its connection has been closed")
	second.release()
	require.False(t, next.growTo(100, now, now.Add(time.Hour)))
	require.Equal(t, 2, evicted, "the complete request stays")
	for _, s := range []*reservation{complete, first, next} {
		s.release()
		s.release()
	}
	require.EqualValues(t, 100, room.free)
	require.Zero(t, room.unfinished.Len())
}

// Guards against memory that is reserved for a body because it was announced.
func TestAnnouncedBodyReservesNothing(t *testing.T) {
	a := newTestAssembler(NewRequestRoom(1 << 20))
	_, _, refused := assemble(&a, testHead+"Content-Length: 4096\r\n\r\nb", 1000)
	require.Equal(t, Accepted, refused)
	require.LessOrEqual(t, cap(a.buf), 2*firstBytes)
}

// Guards against a head or body that may take for ever, and against a steady sender whose body is cut off for being slow.
func TestDeadlineOfARequest(t *testing.T) {
	a := newTestAssembler(NewRequestRoom(1 << 20))
	a.Begin(testLimits, testStart)
	_, _ = a.Add([]byte("POST"), testStart.Add(900*time.Millisecond))
	require.Equal(t, testStart.Add(testLimits.HeadTime), a.Deadline())
	headEnd := testStart.Add(950 * time.Millisecond)
	_, _ = a.Add([]byte(" / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n"), headEnd)
	require.Equal(t, headEnd.Add(testLimits.IdleTime), a.Deadline())
	for second := range 10 {
		now := headEnd.Add(time.Duration(second) * time.Second)
		_, _ = a.Add([]byte("b"), now)
		require.Equal(t, now.Add(testLimits.IdleTime), a.Deadline())
	}
	_, _ = a.Add([]byte("b"), headEnd.Add(15*time.Second))
	require.Equal(t, headEnd.Add(bodyIdleTimes*testLimits.IdleTime), a.Deadline())
}

// Guards against a client that waits for ever for an interim response, or gets one after it has sent its body.
func TestInterimResponse(t *testing.T) {
	for _, encoding := range []string{"Content-Length: 2", "Transfer-Encoding: chunked"} {
		a := newTestAssembler(NewRequestRoom(1 << 20))
		head := testHead + "Expect: 100-Continue\r\n" + encoding + "\r\n\r\n"
		require.Zero(t, Whole([]byte(head+"ab"), testLimits))
		_, _, _ = assemble(&a, head, 10)
		require.True(t, a.AwaitsContinue(), encoding)
		_, _, _ = assemble(&a, head+"1\r\nb\r\n", 1000)
		require.False(t, a.AwaitsContinue(), encoding)
	}
	a := newTestAssembler(NewRequestRoom(1 << 20))
	_, _, _ = assemble(&a, testHead+"Content-Length: 2\r\n\r\n", 10)
	require.False(t, a.AwaitsContinue())
}

// Guards against a panic, an endless loop or bytes that stay counted, whatever a client sends in whatever pieces.
func TestArbitraryBytes(t *testing.T) {
	parts := rapid.SampledFrom([]string{
		"POST / HTTP/1.1", "\r\n", "\n", "\r\n\r\n", "Content-Length: ", "Transfer-Encoding: ", "chunked", "Expect: 100-continue", "5", "0", "ff",
		" ", ":", ";", "abcde", "GET", "\x00", strings.Repeat("x", 600),
	})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(parts, 1, 40).Draw(t, "parts"), "")
		piece := rapid.IntRange(1, 100).Draw(t, "piece")
		a := newTestAssembler(NewRequestRoom(8 << 10))
		request, used, refused := assemble(&a, text, piece)
		if request == "" && refused == Accepted && used != len(text) {
			t.Fatalf("%d of %d bytes were used", used, len(text))
		}
		whole := Whole([]byte(text), testLimits)
		if whole > 0 && refused == Accepted && request != text[:whole] {
			t.Fatalf("%q instead of %q", request, text[:whole])
		}
		a.Release()
		if a.reserved.room.free != 8<<10 {
			t.Fatalf("%d bytes are left of the room", a.reserved.room.free)
		}
	})
}

// Guards against an interim response for each piece of the first line of a chunk: clients give up after a few.
func TestOneInterimResponse(t *testing.T) {
	a := newTestAssembler(NewRequestRoom(1 << 20))
	a.Begin(testLimits, testStart)
	interim := 0
	for _, piece := range []string{testHead + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n", "1", ";x", "\r", "\n", "b"} {
		_, refused := a.Add([]byte(piece), testStart)
		require.Equal(t, Accepted, refused)
		if a.AwaitsContinue() {
			interim++
		}
	}
	require.Equal(t, 1, interim)
}

func newTestAssembler(r *RequestRoom) Assembler {
	return Assembler{reserved: r.newReservation(ignoreClose)}
}
