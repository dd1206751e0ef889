package clientlimit

import (
	"container/list"
	"sync"
	"time"
)

// Table holds the connections of the clients of a listener. mu guards the fields below it and those of its members.
type Table struct {
	limit int

	mu   sync.Mutex
	open int
	// fresh holds the members that have not completed a request yet, idle those between two requests, the oldest first.
	fresh, idle list.List
}

// Member is one connection in a Table.
type Member struct {
	// close closes the connection when it is evicted.
	close func()
	// place is the member's place in one of the lists, nil while its request is being served.
	place     *list.Element
	in        *list.List
	idleSince time.Time
	removed   bool
	// closed is closed when the server has closed the connection, which gone tells too.
	closed chan struct{}
	gone   bool
}

// evictionTimeout bounds the wait for the server to close an evicted connection.
const evictionTimeout = time.Second

// evict ends a connection that Admit has evicted, and waits until the server has closed it: until then it still holds memory.
func (m *Member) evict() {
	m.close()
	timeout := time.NewTimer(evictionTimeout)
	defer timeout.Stop()
	select {
	case <-m.closed:
	case <-timeout.C:
	}
}

// NewTable returns a table for a number of connections.
func NewTable(limit int) *Table { return &Table{limit: limit} }

// Admit adds a connection and returns its member, nil if there is no room. idleTime is the time for which a connection may be idle
// without being evicted. An evicted connection is returned to be closed; it does not count any more.
func (t *Table) Admit(closeConn func(), now time.Time, idleTime time.Duration) (admitted, evicted *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit {
		if evicted = t.candidate(now, idleTime); evicted == nil {
			return nil, nil
		}
		t.remove(evicted)
	}
	t.open++
	admitted = &Member{close: closeConn, closed: make(chan struct{})}
	t.put(admitted, &t.fresh)
	return admitted, evicted
}

// candidate returns the connection to evict for a new one, nil for none. t.mu is held.
func (t *Table) candidate(now time.Time, idleTime time.Duration) *Member {
	if first := t.fresh.Front(); first != nil {
		return first.Value.(*Member)
	}
	if first := t.idle.Front(); first != nil {
		if m := first.Value.(*Member); now.Sub(m.idleSince) >= idleTime {
			return m
		}
	}
	return nil
}

// Serving records that the server handles a request of a connection, which is not evicted meanwhile.
func (t *Table) Serving(m *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeOut(m)
}

// Answered records that a request has been answered.
func (t *Table) Answered(m *Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.removed {
		return
	}
	t.takeOut(m)
	m.idleSince = now
	t.put(m, &t.idle)
}

// Remove removes a connection that the server has closed.
func (t *Table) Remove(m *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(m)
	if !m.gone {
		m.gone = true
		close(m.closed)
	}
}

// Open returns the number of connections.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// remove removes a member once. t.mu is held.
func (t *Table) remove(m *Member) {
	if m.removed {
		return
	}
	m.removed = true
	t.open--
	t.takeOut(m)
}

// put adds a member at the end of a list. t.mu is held.
func (t *Table) put(m *Member, l *list.List) { m.place, m.in = l.PushBack(m), l }

// takeOut removes a member from its list. t.mu is held.
func (t *Table) takeOut(m *Member) {
	if m.place != nil {
		m.in.Remove(m.place)
		m.place, m.in = nil, nil
	}
}
