package entry

import (
	"context"
	"sync"
)

// gate counts the requests that are served and bounds them. Its mutex guards all fields.
type gate struct {
	mu    sync.Mutex
	n     int
	limit int
	idle  chan struct{} // closed while nothing is served
}

func newGate(limit int) *gate {
	g := &gate{limit: limit, idle: make(chan struct{})}
	close(g.idle)
	return g
}

// begin returns false when the limit is reached; the request is then not served and times out at its sender.
func (g *gate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n >= g.limit {
		return false
	}
	if g.n == 0 {
		g.idle = make(chan struct{})
	}
	g.n++
	return true
}

func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 {
		close(g.idle)
	}
}

// wait returns when nothing is served or ctx ends.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
