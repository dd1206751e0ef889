package entry

import (
	"context"
	"sync"
)

// requestLimiter limits the number of requests served concurrently. mu guards all fields.
type requestLimiter struct {
	mu     sync.Mutex
	active int
	limit  int
	idle   chan struct{} // closed while no request is served
}

func newRequestLimiter(limit int) *requestLimiter {
	l := &requestLimiter{limit: limit, idle: make(chan struct{})}
	close(l.idle)
	return l
}

// acquire returns false when the limit is reached. The request is then dropped and times out at its sender.
func (l *requestLimiter) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active >= l.limit {
		return false
	}
	if l.active == 0 {
		l.idle = make(chan struct{})
	}
	l.active++
	return true
}

func (l *requestLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	if l.active == 0 {
		close(l.idle)
	}
}

// waitIdle waits until no request is served or ctx is cancelled.
func (l *requestLimiter) waitIdle(ctx context.Context) {
	l.mu.Lock()
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
