// Package logbuffer keeps log lines from blocking those who write them. Lines wait in a bounded buffer for a writer of
// their own; what does not fit, or exceeds the rate, is counted and reported by a line once there is room again.
package logbuffer

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait for the writer.
	bufferBytes = 1 << 20
	// bytesPerSecond bounds what is written in the long run, burstBytes what may be written at once. A daemon on the
	// users' sites writes 30 to 60 KB a second at the crest.
	bytesPerSecond = 512 << 10
	burstBytes     = 2 << 20
	// flushInterval is how long lines are collected before they are written.
	flushInterval = 20 * time.Millisecond
)

// Buffer is an io.Writer that never blocks on the writer behind it. mu guards all fields below it.
type Buffer struct {
	out    io.Writer
	now    func() time.Time
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped int
	budget  float64
	filled  time.Time
}

// New returns a buffer in front of out.
func New(out io.Writer, now func() time.Time) *Buffer {
	b := &Buffer{
		out: out, now: now, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		budget: burstBytes, filled: now(),
	}
	go b.run()
	return b
}

// Write queues a line. It reports success for a line that is dropped, so that the caller goes on.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	now := b.now()
	b.budget = min(b.budget+bytesPerSecond*now.Sub(b.filled).Seconds(), burstBytes)
	b.filled = now
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

// Close writes what waits, and ends the writer.
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

// flush writes all lines that wait. A writer that fails loses them, since there is nowhere left to report it.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines, b.spare = b.spare[:0], nil
	b.mu.Unlock()
	_, _ = b.out.Write(lines)
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
}
