// Package logbuffer decouples logging from a slow log output. A goroutine writes the lines from a bounded buffer; lines
// that do not fit or exceed the rate are dropped, and a log line reports their number once lines are accepted again. Lines of
// up to 4 KiB arrive whole at a pipe to which several processes write.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the size of the queued lines.
	bufferBytes = 1 << 20
	// bytesPerSecond bounds the average write rate, burstBytes the size of a burst. A daemon on the users' sites writes
	// 30 to 60 KB per second at peak load.
	bytesPerSecond = 512 << 10
	burstBytes     = 2 << 20
	// flushInterval is the minimum time between two writes, in which lines are batched.
	flushInterval = 20 * time.Millisecond
	// AtomicWriteBytes is PIPE_BUF of Linux: a pipe takes a write of at most so many bytes as a whole. A longer one to a full pipe
	// is continued after writes of other processes, whose lines then stand within a line of this one.
	AtomicWriteBytes = 4096
)

// Buffer is an io.Writer that never blocks on the underlying writer. mu guards all fields below it.
type Buffer struct {
	out    io.Writer
	now    func() time.Time
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}

	mu sync.Mutex
	// lines holds the queued lines; spare is the memory of the previous write, for reuse.
	lines []byte
	spare []byte
	// dropped is the number of lines dropped since the last report of dropped lines.
	dropped int
	// budget is the number of bytes that the rate allowed at the time refilled.
	budget   float64
	refilled time.Time
}

// New returns a buffer that writes to out.
func New(out io.Writer, now func() time.Time) *Buffer {
	b := &Buffer{
		out: out, now: now, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		budget: burstBytes, refilled: now(),
	}
	go b.run()
	return b
}

// Write queues a line. It reports success for a dropped line too, so that callers do not treat it as an error.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	now := b.now()
	b.budget = min(b.budget+bytesPerSecond*now.Sub(b.refilled).Seconds(), burstBytes)
	b.refilled = now
	if len(b.lines)+len(line) > bufferBytes || b.budget < float64(len(line)) {
		b.dropped++
		b.mu.Unlock()
		return len(line), nil
	}
	b.budget -= float64(len(line))
	if b.dropped > 0 {
		b.lines = fmt.Appendf(b.lines, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n",
			now.Format(time.RFC3339Nano), b.dropped)
		b.dropped = 0
	}
	b.lines = append(b.lines, line...)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer goroutine.
func (b *Buffer) Close() {
	close(b.closed)
	<-b.done
}

func (b *Buffer) run() {
	defer close(b.done)
	for {
		select {
		case <-b.wake:
			b.flush()
		case <-b.closed:
			b.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-b.closed:
		}
	}
}

// flush writes all queued lines. Lines whose write fails are lost: there is no other place to report the error.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines, b.spare = b.spare[:0], nil
	b.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		n := atomicLength(rest)
		_, _ = b.out.Write(rest[:n])
		rest = rest[n:]
	}
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
}

// atomicLength returns the length of the whole lines at the start of lines that fit into an atomic write, or of the first line
// if that is longer.
func atomicLength(lines []byte) int {
	if len(lines) <= AtomicWriteBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:AtomicWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines[AtomicWriteBytes:], '\n'); i >= 0 {
		return AtomicWriteBytes + i + 1
	}
	return len(lines)
}
