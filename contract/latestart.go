package contract

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// LateStartLimit is the longest time after which a call to a worker that got no reply is executed. The platform says
	// "seconds" of it; calls have been executed 12 s later.
	LateStartLimit = 15 * time.Second
	// LateStartRetention adds the longest lease of a run that was started at the end of that time.
	LateStartRetention = LateStartLimit + 1300*time.Millisecond
	// expiryPause is the shortest time between two searches for records that have ended: many records are kept for their whole
	// time, and several callers expire them.
	expiryPause = 250 * time.Millisecond
	// maxLateStarts bounds the ledger against a flood of announcements; the starts that end first are dropped first.
	maxLateStarts = 50_000
)

// LateStart is a start of a task that got no reply. Its worker may still execute it, also as a later incarnation, which knows
// of no stop and has seen no fencing token. Until Until the next run of the task starts on that worker or nowhere: there, a
// restart that lets the worker execute the earlier start ends the next run first.
type LateStart struct {
	// Task names the run if this is known to be the only start of the task at the worker that got no reply.
	Task   RunKey
	Worker string
	Until  time.Time
}

// LateStartLedger records the starts without a reply that this VM has made or been told of. All members keep one, so that a
// record survives the owner of the worker and the home of the job. mu guards the fields below it.
type LateStartLedger struct {
	mu     sync.Mutex
	byTask map[RunKey]map[string]lateRecord
	// byWorker holds the tasks that have a record at each worker.
	byWorker map[string]map[RunKey]struct{}
	count    int
	// nextExpiry is the time before which no record has to be dropped.
	nextExpiry time.Time
}

// lateRecord is the record of a task at a worker. run is the only run whose start it stands for, zero if there may be others.
type lateRecord struct {
	until time.Time
	run   uint64
}

// NewLateStartLedger returns an empty ledger.
func NewLateStartLedger() *LateStartLedger {
	return &LateStartLedger{
		byTask: make(map[RunKey]map[string]lateRecord), byWorker: make(map[string]map[RunKey]struct{}),
	}
}

// Record adds a start. Of two records of a task at a worker the one that ends later is kept.
func (l *LateStartLedger) Record(s LateStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	task := s.Task.Task()
	workers := l.byTask[task]
	if workers == nil {
		workers = make(map[string]lateRecord)
		l.byTask[task] = workers
	}
	record, ok := workers[s.Worker]
	if !ok {
		record.run = s.Task.Run
		l.count++
		if l.byWorker[s.Worker] == nil {
			l.byWorker[s.Worker] = make(map[RunKey]struct{})
		}
		l.byWorker[s.Worker][task] = struct{}{}
	}
	if record.run != s.Task.Run {
		record.run = 0
	}
	if s.Until.After(record.until) {
		record.until = s.Until
	}
	workers[s.Worker] = record
	if l.count == 1 || s.Until.Before(l.nextExpiry) {
		l.nextExpiry = s.Until
	}
	if l.count > maxLateStarts {
		l.dropOldest()
	}
}

// Workers returns the workers that may still execute an earlier start of a task, in order.
func (l *LateStartLedger) Workers(task RunKey) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	workers := l.byTask[task.Task()]
	if len(workers) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(workers))
}

// Empty reports whether there is no record.
func (l *LateStartLedger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count == 0
}

// Has reports whether any worker may still execute an earlier start of a task.
func (l *LateStartLedger) Has(task RunKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byTask[task.Task()]) > 0
}

// HasWorker reports whether a worker may still execute a start.
func (l *LateStartLedger) HasWorker(worker string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byWorker[worker]) > 0
}

// Listed drops the starts at a worker that could not be executed any more when a list of its runs was asked for: what they
// have started is in the list.
func (l *LateStartLedger) Listed(worker string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.byWorker[worker] {
		if asked.After(l.byTask[task][worker].until.Add(LateStartLimit - LateStartRetention)) {
			l.drop(task, worker)
		}
	}
}

// Executed drops the record of a task at a worker that cannot execute any earlier start of it any more.
func (l *LateStartLedger) Executed(task RunKey, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(task.Task(), worker)
}

// Answered drops the record of a run at a worker that has answered its start after all, unless the record also stands for other
// starts of the task.
func (l *LateStartLedger) Answered(run RunKey, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record, ok := l.byTask[run.Task()][worker]; ok && run.Run != 0 && record.run == run.Run {
		l.drop(run.Task(), worker)
	}
}

// Replaced drops the records of a worker whose process has left its address for good.
func (l *LateStartLedger) Replaced(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.byWorker[worker] {
		l.drop(task, worker)
	}
}

// Expire drops the records that have ended, up to expiryPause later.
func (l *LateStartLedger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextExpiry) {
		return
	}
	next := now.Add(LateStartRetention)
	for task, workers := range l.byTask {
		for worker, record := range workers {
			if !now.Before(record.until) {
				l.drop(task, worker)
			} else if record.until.Before(next) {
				next = record.until
			}
		}
	}
	if earliest := now.Add(expiryPause); next.Before(earliest) {
		next = earliest
	}
	l.nextExpiry = next
}

// All returns the records, in no order.
func (l *LateStartLedger) All() []LateStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]LateStart, 0, l.count)
	for task, workers := range l.byTask {
		for worker, record := range workers {
			all = append(all, LateStart{Task: task, Worker: worker, Until: record.until})
		}
	}
	return all
}

// MadeSince returns the records of starts that were made after a time, in no order.
func (l *LateStartLedger) MadeSince(at time.Time) []LateStart {
	return slices.DeleteFunc(l.All(), func(s LateStart) bool { return !s.Until.After(at.Add(LateStartRetention)) })
}

// OfJob returns the records of the tasks of a job, in no order.
func (l *LateStartLedger) OfJob(job string) []LateStart {
	var list []LateStart
	for _, s := range l.All() {
		if s.Task.Batch == job {
			list = append(list, s)
		}
	}
	return list
}

// drop expects l.mu to be held.
func (l *LateStartLedger) drop(task RunKey, worker string) {
	workers := l.byTask[task]
	if _, ok := workers[worker]; !ok {
		return
	}
	delete(workers, worker)
	l.count--
	if len(workers) == 0 {
		delete(l.byTask, task)
	}
	delete(l.byWorker[worker], task)
	if len(l.byWorker[worker]) == 0 {
		delete(l.byWorker, worker)
	}
}

// dropOldest expects l.mu to be held.
func (l *LateStartLedger) dropOldest() {
	var oldest LateStart
	for task, workers := range l.byTask {
		for worker, record := range workers {
			if oldest.Until.IsZero() || record.until.Before(oldest.Until) {
				oldest = LateStart{Task: task, Worker: worker, Until: record.until}
			}
		}
	}
	l.drop(oldest.Task, oldest.Worker)
}
