package clientlimit

import (
	"strconv"
	"time"
)

const (
	// freeBytes of a request are part of their connection's share of the memory and not of the room for requests, so that ordinary
	// small requests are served also when that is used up. A job with the largest specification is one of them.
	freeBytes = 8 << 10
	// copies is the number of times that the bytes of a request are held while it is read, decoded and served.
	copies      = 4
	firstBytes  = 512
	hexadecimal = 16
)

// sizeRoom is the room for the size of the only chunk into which the chunks of a body are gathered.
const (
	sizeRoom  = "00000000\r\n"
	sizeBytes = len(sizeRoom) - 2
	lastChunk = "0\r\n\r\n"
)

// phase is the part of a request that comes next.
type phase uint8

const (
	readingHead phase = iota
	readingBody
	readingChunks
	requestComplete
)

// Assembler gathers the bytes of one request of a client. It belongs to the goroutine that reads the client's connection.
type Assembler struct {
	limits Limits
	// reserved is what the request takes of the room for all requests.
	reserved *reservation
	phase    phase
	buf      []byte
	head     headScanner
	// need is the length of a request with a body of known length.
	need   int
	chunks chunkDecoder
	// body is where the contents of a chunked body begin.
	body int
	// bodyBegun is set once any byte after the head has arrived, also one of the encoding.
	bodyBegun bool
	// requestBegan is the start of the head; began that, or the start of the body; progress the time of the last bytes.
	requestBegan, began, progress time.Time
}

// Whole returns the length of the request at the beginning of b if all of it is there and within the limits, else 0.
func Whole(b []byte, l Limits) int {
	var head headScanner
	n, refused := head.scan(b)
	if n == 0 || refused != Accepted || n > l.HeadBytes || head.body == chunkedBody || head.expectsContinue {
		return 0
	}
	if head.length > l.BodyBytes || head.length > len(b)-n {
		return 0
	}
	return n + head.length
}

// Empty reports whether no byte of a request has arrived.
func (a *Assembler) Empty() bool { return a.phase == readingHead && len(a.buf) == 0 }

// Begin prepares for the next request.
func (a *Assembler) Begin(l Limits, now time.Time) {
	*a = Assembler{limits: l, reserved: a.reserved, began: now, requestBegan: now, progress: now}
}

// Add takes bytes from the beginning of b until the request is complete or refused. It returns how many.
func (a *Assembler) Add(b []byte, now time.Time) (used int, refused Refusal) {
	a.progress = now
	for used < len(b) && refused == Accepted && a.phase != requestComplete {
		var n int
		switch a.phase {
		case readingHead:
			n, refused = a.addHead(b[used:], now)
		case readingBody:
			a.bodyBegun = true
			n, refused = a.addBody(b[used:])
		default:
			a.bodyBegun = true
			n, refused = a.addChunks(b[used:])
		}
		used += n
	}
	return used, refused
}

// Complete reports whether the request is complete.
func (a *Assembler) Complete() bool { return a.phase == requestComplete }

// AwaitsContinue reports whether the client waits for an interim response before it sends the body.
func (a *Assembler) AwaitsContinue() bool {
	return a.head.expectsContinue && (a.phase == readingBody || a.phase == readingChunks) && !a.bodyBegun
}

// Deadline returns the time by which the next bytes must arrive.
func (a *Assembler) Deadline() time.Time {
	if a.phase == readingHead {
		return a.began.Add(a.limits.HeadTime)
	}
	next, last := a.progress.Add(a.limits.IdleTime), a.began.Add(bodyIdleTimes*a.limits.IdleTime)
	if next.Before(last) {
		return next
	}
	return last
}

// Take returns the complete request. What it holds of the room is kept until Release.
func (a *Assembler) Take() []byte {
	a.reserved.finish()
	b := a.buf
	a.buf, a.phase = nil, readingHead
	return b
}

// Release gives back what the request holds of the room.
func (a *Assembler) Release() {
	a.reserved.release()
	a.buf = nil
}

func (a *Assembler) addHead(b []byte, now time.Time) (int, Refusal) {
	before := len(a.buf)
	n := min(len(b), a.limits.HeadBytes+1-before)
	if !a.append(b[:n]) {
		return 0, NoRoom
	}
	length, refused := a.head.scan(a.buf)
	switch {
	case refused != Accepted:
		return n, refused
	case length > a.limits.HeadBytes, length == 0 && len(a.buf) > a.limits.HeadBytes:
		return n, HeadTooLarge
	case length == 0:
		return n, Accepted
	}
	a.buf, a.began = a.buf[:length], now
	return length - before, a.beginBody(length)
}

// beginBody goes on to the body after a head.
func (a *Assembler) beginBody(head int) Refusal {
	switch {
	case a.head.body == chunkedBody:
		a.phase = readingChunks
		if !a.append([]byte(sizeRoom)) {
			return NoRoom
		}
	case a.head.length > a.limits.BodyBytes:
		return BodyTooLarge
	case a.head.length > 0:
		a.phase, a.need = readingBody, head+a.head.length
	default:
		a.phase = requestComplete
	}
	a.body = len(a.buf)
	return Accepted
}

func (a *Assembler) addBody(b []byte) (int, Refusal) {
	n := min(len(b), a.need-len(a.buf))
	if !a.append(b[:n]) {
		return 0, NoRoom
	}
	if len(a.buf) == a.need {
		a.phase = requestComplete
	}
	return n, Accepted
}

func (a *Assembler) addChunks(b []byte) (int, Refusal) {
	used, contents, refused := a.chunks.next(b, a.limits.BodyBytes-(len(a.buf)-a.body))
	if refused != Accepted {
		return used, refused
	}
	if !a.append(contents) {
		return used, NoRoom
	}
	if a.chunks.state == chunksComplete {
		return used, a.endChunks()
	}
	return used, Accepted
}

// endChunks makes one chunk of the contents.
func (a *Assembler) endChunks() Refusal {
	size := len(a.buf) - a.body
	if size == 0 {
		a.buf = a.buf[:a.body-len(sizeRoom)]
	} else {
		digits := strconv.FormatUint(uint64(size), hexadecimal)
		copy(a.buf[a.body-len(sizeRoom)+sizeBytes-len(digits):], digits)
		if !a.append([]byte("\r\n")) {
			return NoRoom
		}
	}
	if !a.append([]byte(lastChunk)) {
		return NoRoom
	}
	a.phase = requestComplete
	return Accepted
}

// append adds bytes to the request, or reports that there is no room for them.
func (a *Assembler) append(b []byte) bool {
	if need := len(a.buf) + len(b); need > cap(a.buf) {
		size := max(2*cap(a.buf), need, firstBytes)
		if a.need > 0 {
			size = min(size, a.need)
		}
		if !a.charge(size) {
			return false
		}
		grown := make([]byte, len(a.buf), size)
		copy(grown, a.buf)
		a.buf = grown
	}
	a.buf = append(a.buf, b...)
	return true
}

// charge takes from the room what a request of a size holds.
func (a *Assembler) charge(size int) bool {
	if size <= freeBytes {
		return true
	}
	return a.reserved.growTo(int64(copies*size), a.requestBegan, a.progress)
}
