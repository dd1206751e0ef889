package pool

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// lateStartPollInterval is how long a worker may delay its reply to a poll while it may execute a late start. A restart that
	// closes no connection is noticed by the next poll.
	lateStartPollInterval = 100 * time.Millisecond
	// lateStartPollTimeout bounds polls of such a worker that does not reply, lateStartPollPause is the pause between them. Each
	// slowPollEvery-th has the timeout of first polls, in case replies take longer.
	lateStartPollTimeout = 25 * time.Millisecond
	lateStartPollPause   = 10 * time.Millisecond
	slowPollEvery        = 10
	// silenceLimit is the time without a reply after which a task does not wait for a worker any longer: a lost packet is
	// retransmitted within it. maxLateStartWait is the longest wait for one that replies and answers no start.
	silenceLimit     = 400 * time.Millisecond
	maxLateStartWait = time.Second
)

// lateStart is a start call without a reply. Its worker may execute it later, also as another incarnation, which knows of no
// stop and has seen no fencing token.
type lateStart struct {
	worker string
	run    uint64
	at     time.Time
	// until is when the call cannot be executed any more.
	until time.Time
	// rejects is set once the worker has rejected a later run of the task as unhealthy.
	rejects bool
}

// lateStarts holds the start calls without a reply by task, and the time until which each worker may execute one. The lock
// of the pool guards it.
type lateStarts struct {
	byTask  map[contract.RunKey][]lateStart
	workers map[string]time.Time
}

func newLateStarts() lateStarts {
	return lateStarts{byTask: make(map[contract.RunKey][]lateStart), workers: make(map[string]time.Time)}
}

// add records a start call without a reply.
func (l *lateStarts) add(key contract.RunKey, worker string, now time.Time) {
	until := now.Add(contract.LateStartLimit)
	l.byTask[key.Task()] = append(l.byTask[key.Task()], lateStart{worker: worker, run: key.Run, at: now, until: until})
	l.workers[worker] = until
}

// executed drops the start of a run that a worker has listed.
func (l *lateStarts) executed(key contract.RunKey, worker string) {
	if !l.ofTask(key) {
		return
	}
	l.drop(func(task contract.RunKey, s lateStart) bool {
		return s.worker == worker && s.run == key.Run && task == key.Task()
	})
}

// rejected records that a worker has rejected a run of a task as unhealthy.
func (l *lateStarts) rejected(key contract.RunKey, worker string) {
	for i, s := range l.byTask[key.Task()] {
		if s.worker == worker {
			l.byTask[key.Task()][i].rejects = true
		}
	}
}

// between returns when the first and the last start of a task at a worker got no reply.
func (l *lateStarts) between(key contract.RunKey, worker string) (first, last time.Time) {
	for _, s := range l.byTask[key.Task()] {
		if s.worker != worker {
			continue
		}
		if first.IsZero() {
			first = s.at
		}
		last = s.at
	}
	return first, last
}

// ofTask reports whether a start of a task may still be executed.
func (l *lateStarts) ofTask(key contract.RunKey) bool { return len(l.byTask[key.Task()]) > 0 }

// workersOf returns the workers that may still execute an earlier start of a task.
func (l *lateStarts) workersOf(key contract.RunKey) []string {
	var workers []string
	for _, s := range l.byTask[key.Task()] {
		if !slices.Contains(workers, s.worker) {
			workers = append(workers, s.worker)
		}
	}
	return workers
}

// at reports whether a worker may still execute a late start.
func (l *lateStarts) at(worker string) bool { return !l.workers[worker].IsZero() }

// listed drops the starts at a worker that could not be executed any more when a poll was sent: what they have started
// is in its reply.
func (l *lateStarts) listed(worker string, sent time.Time) {
	if until, ok := l.workers[worker]; ok && sent.After(until) {
		l.drop(func(_ contract.RunKey, s lateStart) bool { return s.worker == worker && sent.After(s.until) })
	}
}

// sweep drops the starts whose run would be over, also at a worker that does not reply.
func (l *lateStarts) sweep(now time.Time, lease time.Duration) {
	l.drop(func(_ contract.RunKey, s lateStart) bool { return now.Sub(s.until) > lease })
}

func (l *lateStarts) drop(over func(task contract.RunKey, s lateStart) bool) {
	clear(l.workers)
	for task, starts := range l.byTask {
		var left []lateStart
		for _, s := range starts {
			if over(task, s) {
				continue
			}
			left = append(left, s)
			l.workers[s.worker] = later(l.workers[s.worker], s.until)
		}
		if len(left) == 0 {
			delete(l.byTask, task)
		} else {
			l.byTask[task] = left
		}
	}
}

// workerOfLateStart returns the worker that may still execute an earlier start of a task, if it answers and can hold the task:
// the next run starts there and nowhere else, and waits until there is room. A restart that lets the worker execute the
// earlier start ends the next run first. p.mu is held.
func (p *Pool) workerOfLateStart(o contract.TaskOrder, now time.Time) *ownedHost {
	for _, s := range p.late.byTask[o.Key.Task()] {
		h := p.hosts[s.worker]
		if h != nil && !s.rejects && h.replies(now) && h.host.CanHold(o.Need, o.RequiredLabel) && !p.losesStarts(h, o.Key, now) {
			return h
		}
	}
	return nil
}

// losesStarts reports whether a worker has left the starts of a task without a reply for some time, and answered no other
// start since: it may lose all of them. p.mu is held.
func (p *Pool) losesStarts(h *ownedHost, key contract.RunKey, now time.Time) bool {
	first, last := p.late.between(key, h.address.Worker)
	return now.Sub(first) > maxLateStartWait && !h.startAnsweredAt.After(last)
}

// replies reports whether a worker that is owned, or whose next incarnation is being acquired, has replied lately.
func (h *ownedHost) replies(now time.Time) bool {
	return (h.host.Token != 0 || h.restarted) && now.Sub(h.host.Contacted()) <= silenceLimit && !h.host.Draining()
}

// startAtLateWorkers starts the queued tasks that have to run on one worker. Its suspension does not matter, since no other
// worker takes them. p.mu is held.
func (p *Pool) startAtLateWorkers(now time.Time, fx *effects) {
	if len(p.late.byTask) == 0 {
		return
	}
	for i := 0; i < len(p.waiting.runs); {
		r := p.waiting.runs[i]
		h := p.workerOfLateStart(r.order, now)
		if h == nil || !p.entrySuffices(h) || h.leaseLimit(now, p.o.Lease).Sub(now) < minStartLease ||
			!h.host.CanStartSuspended(r.order.Need, now) || !p.admits(h, r, now) {
			i++
			continue
		}
		p.waiting.remove(r)
		p.assign(r, h, now, fx)
	}
}

// logLateStarts records that a task starts that has an earlier start which may still be executed. p.mu is held.
func (p *Pool) logLateStarts(r *run, h *ownedHost) {
	starts := p.late.byTask[r.order.Key.Task()]
	if len(starts) == 0 {
		return
	}
	var workers []string
	for _, s := range starts {
		workers = append(workers, s.worker)
	}
	counter := metric.PoolStartsBesideLate
	if slices.Contains(workers, h.address.Worker) {
		counter = metric.PoolStartsWhereLate
	}
	p.counter(counter).Inc(1)
	p.o.Logger.Info("starting a task that has an earlier start which may still be executed", "task", r.order.Key.String(),
		"worker", h.address.Worker, "earlier_at", workers)
}

// hasLateStart reports whether a worker may execute a late start. p.mu is held.
func (p *Pool) hasLateStart(h *ownedHost) bool { return p.late.at(h.address.Worker) }

// mayHaveLateStart also reports that of a worker whose last owner may have left a start without a reply. p.mu is held.
func (p *Pool) mayHaveLateStart(h *ownedHost, now time.Time) bool {
	return p.hasLateStart(h) || now.Sub(h.takenOverAt) < contract.LateStartLimit
}
