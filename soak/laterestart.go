package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// minLateness and maxLateness bound the time from the first start that is held until the restart of its worker.
	minLateness = 2 * time.Second
	maxLateness = 8 * time.Second
	// maxHold bounds the time for which a worker holds starts.
	maxHold = 800 * time.Millisecond
	// maxLateDown bounds the time for which the worker is down, maxAfterRestart the time from its restart until the starts
	// are executed.
	maxLateDown     = 150 * time.Millisecond
	maxAfterRestart = 300 * time.Millisecond
	// runMargin is how long after the worker's restart the next runs of the tasks go on.
	runMargin = 2 * time.Second
	// One in ownerLossEvery faults kills the owner of the worker, at the latest ownerLossDelay after the worker has stopped
	// holding starts, and before its restart.
	ownerLossEvery = 3
	ownerLossDelay = 600 * time.Millisecond
	// lateJobLimit is the time limit of the jobs that are submitted while starts are held.
	lateJobLimit = 16 * time.Second
)

// lateTask is a task of which a start is held or a worker has been restarted, by the fault with that number. Its runs last at
// least until end.
type lateTask struct {
	fault int
	end   time.Time
}

// lateTasks are the tasks that worker_late_restart and domain_power concern, and its results. mu guards all fields.
type lateTasks struct {
	mu    sync.Mutex
	tasks map[contract.RunKey]lateTask
	// faults is the number of the last fault, holding the number of workers that hold starts, held the number of starts that
	// were held, executed the number of these that have begun a run after a restart, ownersKilled the number of owners that were
	// killed while starts of theirs were under way.
	faults, holding, held, executed, ownersKilled int
}

func newLateTasks() *lateTasks { return &lateTasks{tasks: make(map[contract.RunKey]lateTask)} }

// beginHold counts a worker that begins to hold starts, and returns the number of the fault.
func (l *lateTasks) beginHold() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding++
	l.faults++
	return l.faults
}

func (l *lateTasks) endHold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding--
}

// add records a start that is held. Later runs of its task last until end.
func (l *lateTasks) add(task contract.RunKey, fault int, end time.Time) {
	l.prolong(task, fault, end)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held++
}

// prolong makes later runs of a task last until end.
func (l *lateTasks) prolong(task contract.RunKey, fault int, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.tasks[task]
	if !ok {
		t.fault = fault
	}
	t.end = end
	l.tasks[task] = t
}

// limit returns the time limit of a job that is submitted now.
func (l *lateTasks) limit(drawn time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holding > 0 {
		return lateJobLimit
	}
	return drawn
}

// runTime returns the run time of a run that is started now, given the one that its key says.
func (l *lateTasks) runTime(key contract.RunKey, planned time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(planned, time.Until(l.tasks[key.Task()].end))
}

// claim records that a fault restarts the worker of some runs. It reports false if one of them is of a task that another
// fault concerns.
func (l *lateTasks) claim(fault int, runs []contract.RunKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range runs {
		if t, ok := l.tasks[key.Task()]; ok && t.fault != fault {
			return false
		}
	}
	for _, key := range runs {
		t := l.tasks[key.Task()]
		t.fault = fault
		l.tasks[key.Task()] = t
	}
	return true
}

// restartBeforeLateStarts makes a worker leave starts without an answer for a time, restarts it some seconds later and
// executes them then. Some faults kill the owner of the worker in between, and start it again. A worker is spared if it runs a task that an earlier fault concerns: a task that loses two workers is
// given up.
func (s *Soak) restartBeforeLateStarts(rng *rand.Rand) string {
	w := s.randomWorker(rng)
	if !w.crashing.TryLock() {
		return ""
	}
	defer w.crashing.Unlock()
	crash := time.Now().Add(minLateness + time.Duration(rng.Int64N(int64(maxLateness-minLateness))))
	hold := maxHold/4 + time.Duration(rng.Int64N(int64(3*maxHold/4)))
	down := time.Duration(rng.Int64N(int64(maxLateDown)))
	// The square makes short times frequent, in which the restart has not been noticed.
	after := time.Duration(math.Pow(rng.Float64(), 2) * float64(maxAfterRestart))
	silent := rng.IntN(2) == 0
	var loss sync.WaitGroup
	defer loss.Wait()
	if rng.IntN(ownerLossEvery) == 0 {
		at := hold/2 + time.Duration(rng.Int64N(int64(hold/2+ownerLossDelay)))
		back := faultDuration(rng) / 2
		loss.Go(func() { s.killOwner(w, at, back) })
	}
	fault := s.holdStarts([]*worker{w}, 1, crash.Add(runMargin), hold)
	held := len(w.host.Held())
	time.Sleep(time.Until(crash))
	if held == 0 || !s.late.claim(fault, s.runs.runsOn(w.id)) {
		w.host.DiscardHeld()
		return ""
	}
	s.restartWorker(w, silent, down)
	time.Sleep(after)
	executed := w.host.DeliverHeld()
	s.late.mu.Lock()
	s.late.executed += executed
	s.late.mu.Unlock()
	time.Sleep(faultDuration(rng) / 2)
	s.putEntry(w)
	return fmt.Sprintf("%s, %d of %d starts executed %v after the restart", w.id, executed, held, after)
}

// killOwner kills the owner of a worker after a time, if the worker holds starts then, and starts it again.
func (s *Soak) killOwner(w *worker, after, back time.Duration) {
	time.Sleep(after)
	source, begin := w.relay.LastSender(), time.Now()
	for _, d := range s.daemons {
		if d.source != source || len(w.host.Held()) == 0 || !d.reserve() {
			continue
		}
		defer d.release()
		d.terminate(syscall.SIGKILL, startTimeout)
		s.restart(d, back)
		s.late.mu.Lock()
		s.late.ownersKilled++
		s.late.mu.Unlock()
		s.recordFault("kill", d.vm+", owner of "+w.id, begin)
		return
	}
}

// restartWorker restarts a worker, whose connections break meanwhile unless it is silent.
func (s *Soak) restartWorker(w *worker, silent bool, down time.Duration) {
	if !silent {
		w.relay.StopListening()
	}
	w.host.Crash()
	time.Sleep(down)
	w.host.Restart()
	if silent {
		return
	}
	if err := w.relay.Listen(); err != nil {
		s.reportViolation("worker_listens", err.Error())
	}
}
