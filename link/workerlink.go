package link

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// pollMargin is the minimum time between the sending of a start and of a status poll whose report shows whether its
	// task runs. An earlier poll may have overtaken the start.
	pollMargin = 200 * time.Millisecond
	// replyGrace is how long a reply may take after a status report that no longer lists its task. With a poll every
	// second, a silent connection is detected within 1.5 s of the end of its task.
	replyGrace = 250 * time.Millisecond
	// unreachableAfter is the time without a status report after which a failed poll puts all starts in doubt.
	unreachableAfter = 1500 * time.Millisecond
)

// workerLink holds the connections for starts to one worker and the starts that wait for their replies. mu guards all
// fields below it.
type workerLink struct {
	limit int

	mu         sync.Mutex
	address    string
	idle       []*startConn
	inFlight   map[contract.TaskID]*pendingStart
	polling    bool
	lastReport time.Time
}

// pendingStart is a start that waits for its reply.
type pendingStart struct {
	conn *startConn
	sent time.Time
	// overdue means that a status report no longer lists the task.
	overdue bool
}

func newWorkerLink(limit int) *workerLink {
	return &workerLink{limit: limit, inFlight: make(map[contract.TaskID]*pendingStart)}
}

// begin reserves a connection for a start. It returns nil at the limit, or if a start of the task is pending.
func (l *workerLink) begin(id contract.TaskID, address string, now time.Time) *pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inFlight) >= l.limit || l.inFlight[id] != nil {
		return nil
	}
	if l.address != address {
		l.address, l.idle = address, nil
	}
	p := &pendingStart{sent: now}
	if n := len(l.idle); n > 0 {
		p.conn = l.idle[n-1]
		l.idle = l.idle[:n-1]
		p.conn.reuse()
	} else {
		p.conn = newStartConn(address)
	}
	l.inFlight[id] = p
	return p
}

// end returns the connection of a start to the idle ones, or closes it.
func (l *workerLink) end(id contract.TaskID, p *pendingStart, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, id)
	if l.address == address && len(l.idle) < maxIdleStarts {
		l.idle = append(l.idle, p.conn)
		return
	}
	p.conn.host.CloseIdleConnections()
}

// startPoll marks the worker as being polled. It returns false while another poll is under way.
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

// observe records a status report and returns the starts whose tasks are not running: the worker should have replied
// to them. A nil list means that the worker does not report its tasks.
func (l *workerLink) observe(tasks []string, sent, now time.Time) map[contract.TaskID]*pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReport = now
	if tasks == nil || len(l.inFlight) == 0 {
		return nil
	}
	running := make(map[string]bool, len(tasks))
	for _, id := range tasks {
		running[id] = true
	}
	var missing map[contract.TaskID]*pendingStart
	for id, p := range l.inFlight {
		if p.overdue || sent.Sub(p.sent) < pollMargin || running[id.String()] {
			continue
		}
		p.overdue = true
		if missing == nil {
			missing = make(map[contract.TaskID]*pendingStart)
		}
		missing[id] = p
	}
	return missing
}

// unreachable returns the starts that have waited for unreachableAfter without a status report of the worker.
func (l *workerLink) unreachable(now time.Time) map[contract.TaskID]*pendingStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[contract.TaskID]*pendingStart)
	for id, p := range l.inFlight {
		since := p.sent
		if l.lastReport.After(since) {
			since = l.lastReport
		}
		if now.Sub(since) >= unreachableAfter {
			all[id] = p
		}
	}
	return all
}

// abandon closes the connections of starts that are still pending. Their outcome is then in doubt.
func (l *workerLink) abandon(starts map[contract.TaskID]*pendingStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range starts {
		if l.inFlight[id] == p {
			p.conn.abandon()
		}
	}
}
