package link

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// pollMargin is the least time between the sending of a start and that of a status poll for the poll to count: an
	// earlier poll may have overtaken the start.
	pollMargin = 200 * time.Millisecond
	// missGrace is the time that a reply may take after a status report in which its task is not running any more.
	// With a poll every second a silent connection is found within 1.5 s of the end of its task.
	missGrace = 250 * time.Millisecond
	// unreachableAfter is the time since the last status report after which a failed poll puts all starts in doubt.
	unreachableAfter = 1500 * time.Millisecond
)

// workerLink holds the connections for starts to one worker and the starts that wait for a reply. mu guards all
// fields.
type workerLink struct {
	limit int

	mu       sync.Mutex
	address  string
	idle     []*startConn
	inFlight map[contract.TaskID]*pendingStart
	polling  bool
	reported time.Time // last status report
}

// pendingStart is a start that waits for its reply.
type pendingStart struct {
	conn   *startConn
	sent   time.Time
	missed bool
}

func newWorkerLink(limit int) *workerLink {
	return &workerLink{limit: limit, inFlight: make(map[contract.TaskID]*pendingStart)}
}

// begin reserves a connection for a start, or returns nil at the limit.
func (l *workerLink) begin(id contract.TaskID, address string, now time.Time) *pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inFlight) >= l.limit || l.inFlight[id] != nil {
		return nil
	}
	if l.address != address {
		l.address, l.idle = address, nil
	}
	f := &pendingStart{sent: now}
	if n := len(l.idle); n > 0 {
		f.conn = l.idle[n-1]
		l.idle = l.idle[:n-1]
		f.conn.reuse()
	} else {
		f.conn = newStartConn(address)
	}
	l.inFlight[id] = f
	return f
}

// end gives the connection of a start back.
func (l *workerLink) end(id contract.TaskID, f *pendingStart, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, id)
	if l.address == address && len(l.idle) < maxIdleStarts {
		l.idle = append(l.idle, f.conn)
		return
	}
	f.conn.host.CloseIdleConnections()
}

// startPoll returns false while another poll of the worker is under way.
func (l *workerLink) startPoll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.polling {
		return false
	}
	l.polling = true
	return true
}

func (l *workerLink) endPoll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polling = false
}

// observe takes over a status report and returns the starts that the worker does not run and should have replied to.
// A nil list says that the worker does not report its tasks.
func (l *workerLink) observe(tasks []string, sent, now time.Time) map[contract.TaskID]*pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = now
	if tasks == nil || len(l.inFlight) == 0 {
		return nil
	}
	running := make(map[string]bool, len(tasks))
	for _, id := range tasks {
		running[id] = true
	}
	var missing map[contract.TaskID]*pendingStart
	for id, f := range l.inFlight {
		if f.missed || sent.Sub(f.sent) < pollMargin || running[id.String()] {
			continue
		}
		f.missed = true
		if missing == nil {
			missing = make(map[contract.TaskID]*pendingStart)
		}
		missing[id] = f
	}
	return missing
}

// unreachable returns all starts if the worker has not reported for long enough.
func (l *workerLink) unreachable(now time.Time) map[contract.TaskID]*pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[contract.TaskID]*pendingStart)
	for id, f := range l.inFlight {
		since := f.sent
		if l.reported.After(since) {
			since = l.reported
		}
		if now.Sub(since) >= unreachableAfter {
			all[id] = f
		}
	}
	return all
}

// abandon closes the connections of starts that still wait. Their outcome is then in doubt.
func (l *workerLink) abandon(starts map[contract.TaskID]*pendingStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range starts {
		if l.inFlight[id] == f {
			f.conn.abandon()
		}
	}
}
