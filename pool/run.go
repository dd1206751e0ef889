package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// runState is the state of a run at its owner.
type runState uint8

const (
	// runWaiting runs are in the queue.
	runWaiting runState = iota
	// runStarting runs have a start call in progress.
	runStarting
	// runInDoubt runs have a start call that got no reply.
	runInDoubt
	runRunning
	runFinal
)

// run is one run of a task. The pool's lock guards it.
type run struct {
	order contract.TaskOrder
	home  string
	state runState
	host  *ownedHost
	// claimed is false for a run that was found on a worker and has not been claimed by its home yet.
	claimed   bool
	cancelled bool
	// withdrawn is set once the home has withdrawn the run.
	withdrawn bool
	// mayHaveRun is set when a start call is made, and cleared only if the run has provably not started.
	mayHaveRun bool
	// begun is set once the worker has accepted the start of the run or has listed it, as the incarnation workerStart.
	begun bool
	// crashed is set if the worker has crashed while the run may have been on it. It says nothing about when the run ends.
	crashed bool

	// committed is set once another task of the job is known to have been started.
	committed bool
	// class is the usefulness found by the last sort.
	class contract.Usefulness

	queuedAt    time.Time
	refreshedAt time.Time
	token       uint64
	// workerStart is the start time of the incarnation of the worker to which the run was sent or which listed it last.
	workerStart int64
	// listedBy is the start time of the incarnation whose list has named the run last; zero if none has.
	listedBy int64
	// doubtSince is when the start call was given up without a reply.
	doubtSince time.Time
	// stopAnswered is set once the worker has answered a stop of the run.
	stopAnswered bool
	// reportedUnanswered is set once the home has been told that the start call has had no reply so far.
	reportedUnanswered bool
	// startUnanswered is set once the start call of the run has ended without a reply: it may still be executed.
	startUnanswered bool
	// sentTo is the worker of the last start call. firstLate is set if that call got no reply and the task has no earlier start
	// which that worker may still execute.
	sentTo    string
	firstLate bool
	// repeating is set while the start call of a run in doubt is repeated. resolve wakes the goroutine that repeats it.
	repeating bool
	resolve   chan struct{}
	// onlyWorker is the worker on which a queued run has to start; empty for any. unplaceable is set if no worker of the pool
	// may start it.
	onlyWorker  string
	unplaceable bool
	// listedAt is when the worker has listed the run last; zero if it has not.
	listedAt time.Time
	// executedLate is set for a run that was found on the worker although this VM has not ordered it, or has reported it as over.
	executedLate bool
	// awaitsBar is set once the queued run has waited for the stop of an earlier one.
	awaitsBar bool
	// startedAt is when the start call was made, or when the run was found on a worker.
	startedAt time.Time
	// confirmedAt is when a reply of the worker last settled whether the run had started. Replies to polls that were sent
	// earlier prove nothing about the run.
	confirmedAt time.Time
	// confirmedClock is the worker's clock in the latest reply which shows that the worker knows the run. A list with a clock
	// that reads no more may be older.
	confirmedClock time.Duration
	// progress is a percentage, progressAt when it last changed.
	progress   int
	progressAt time.Time
	endedAt    time.Time
	outcome    contract.RunReport
}

// barredRun is a run that the pool does not hold and must not start. Its state is reported to homes: RunUnknown if the
// run was never here, RunLost if it may be alive on a worker that another VM has acquired, RunEnded or RunCrashed if it is
// over and a start of it may still be executed.
type barredRun struct {
	at    time.Time
	state contract.RunState
	// token is the one under which a run that is over has ended.
	token uint64
}

// isOver reports whether this pool has reported a run as over. p.mu is held.
func (p *Pool) isOver(key contract.RunKey) bool {
	if r, ok := p.runs[key]; ok {
		return r.state == runFinal
	}
	state := p.barredRuns[key].state
	return state == contract.RunEnded || state == contract.RunCrashed
}

// report is a message to a home.
type report struct {
	home string
	contract.RunReport
}

// effects are the calls that result from a decision. They are made after the pool's lock is released.
type effects struct {
	starts  []startEffect
	stops   []*run
	inDoubt []*run
	bars    []barEffect
	reports []report
	crashes []contract.WorkerCrash
	// lateStarts are start calls that got no reply, replaced the workers whose processes have left their addresses.
	lateStarts []contract.LateStart
	replaced   []string
	// room is set if the workers have free capacity to offer to other owners.
	room bool
}

// startEffect is a start call with the values fixed by the decision.
type startEffect struct {
	run      *run
	host     *ownedHost
	token    uint64
	domain   string
	leaseEnd time.Duration
	// decidedAt is the time of the decision, workerStart the start time of the worker's incarnation known then, entryStart that
	// of the incarnation which the worker's entry described.
	decidedAt   time.Time
	workerStart int64
	entryStart  int64
	// sendBy is the time after which the call is not written any more. Its lease would be too short, and an incarnation of the
	// worker that has restarted unnoticed would not see that it is over.
	sendBy time.Time
	// firstLate is what the run had before a repeated call.
	firstLate bool
}

// report adds a report of the run's current state to its home. A run that no home has claimed has none.
func (fx *effects) report(r *run) { fx.answer(r.home, r) }

// answer adds a report of the run's current state to the home that has asked for it. A run is reported as started only once
// its worker has confirmed it: until then it may still move to another worker, and the next owner of the worker must not be
// able to declare it ended.
func (fx *effects) answer(home string, r *run) {
	msg := r.outcome
	switch r.state {
	case runFinal:
	case runRunning:
		msg = contract.RunReport{Key: r.order.Key, State: contract.RunStarted, Token: r.token, MayHaveStarted: true}
		if r.host != nil {
			msg.Worker = r.host.host.Listing.Worker
		}
	default:
		msg = contract.RunReport{Key: r.order.Key, State: contract.RunQueued, MayHaveStarted: r.mayHaveRun}
		if r.host != nil {
			msg.Worker = r.host.address.Worker
			msg.LateWorkers = []string{msg.Worker}
		}
	}
	fx.reports = append(fx.reports, report{home, msg})
}

// apply makes the calls. No lock is held.
func (p *Pool) apply(fx effects) {
	// Homes have to know of a crash before they order the next runs of its tasks.
	for _, c := range fx.crashes {
		p.o.Crashed(c)
	}
	// They also have to know which workers may still execute a start before they order the next run of its task.
	for _, s := range fx.lateStarts {
		if p.o.LateStart != nil {
			p.o.LateStart(s)
		}
	}
	for _, worker := range fx.replaced {
		if p.o.WorkerReplaced != nil {
			p.o.WorkerReplaced(worker)
		}
	}
	p.completeReports(fx.reports)
	for _, r := range fx.reports {
		if r.home != "" {
			p.o.Report(r.home, r.RunReport)
		}
	}
	for _, s := range fx.starts {
		p.spawn(func() { p.start(s) })
	}
	for _, r := range fx.stops {
		p.spawn(func() { p.stop(r) })
	}
	for _, r := range fx.inDoubt {
		p.spawn(func() { p.resolveInDoubt(r) })
	}
	for _, b := range fx.bars {
		p.spawn(func() { p.bar(b) })
	}
	if fx.room {
		p.o.Room()
	}
}

// finish records the outcome of a run and frees its capacity. p.mu is held.
func (p *Pool) finish(r *run, state contract.RunState, proof endProof, took time.Duration, fx *effects) {
	if r.state == runFinal {
		return
	}
	now := p.o.Now()
	worker := ""
	var clock []any
	if r.host != nil {
		worker = r.host.host.Listing.Worker
		clock = []any{"lease_end", r.host.host.LeaseEnd(), "worker_clock", r.host.host.ClockAt(now)}
	}
	if state == contract.RunEnded && r.crashed {
		state = contract.RunCrashed
	}
	p.detach(r)
	r.state, r.endedAt = runFinal, now
	r.outcome = contract.RunReport{Key: r.order.Key, State: state, Worker: worker, Token: r.token,
		MayHaveStarted: r.mayHaveRun, RunTime: took}
	fx.report(r)
	p.counter(proofs[proof].counter).Inc(1)
	p.o.Logger.Info("run ended", append([]any{"task", r.order.Key.String(), "state", state.String(), "worker", worker,
		"proof", proof.String(), "token", r.token, "worker_start", r.workerStart, "start_unanswered", r.startUnanswered,
		"stop_answered", r.stopAnswered, "run_time", took, "home", r.home},
		clock...)...)
}

// forget drops a run whose outcome another owner decides. p.mu is held.
func (p *Pool) forget(r *run, reason endProof, fx *effects) {
	now := p.o.Now()
	h := r.host.host
	worker := h.Listing.Worker
	var lateWorkers []string
	if r.state == runStarting || r.state == runInDoubt {
		// The start call under way may get no reply.
		lateWorkers = []string{worker}
	}
	p.counter(proofs[reason].counter).Inc(1)
	p.o.Logger.Info("run is left to the next owner of its worker", "task", r.order.Key.String(), "worker", worker,
		"reason", reason.String(), "token", r.token, "worker_start", r.workerStart, "lease_end", h.LeaseEnd(),
		"worker_clock", h.ClockAt(now), "home", r.home)
	p.detach(r)
	delete(p.runs, r.order.Key)
	p.barredRuns[r.order.Key] = barredRun{at: now, state: contract.RunLost}
	fx.reports = append(fx.reports, report{r.home, contract.RunReport{
		Key: r.order.Key, State: contract.RunLost, Worker: worker, MayHaveStarted: r.mayHaveRun, LateWorkers: lateWorkers,
	}})
}

// detach removes a run from the queue and frees its capacity. p.mu is held.
func (p *Pool) detach(r *run) {
	if r.state == runWaiting {
		p.waiting.remove(r)
	}
	if r.host == nil {
		return
	}
	r.host.host.Release(r.order.Need)
	delete(r.host.runs, r.order.Key)
	r.host.leftAt[r.order.Key] = p.o.Now()
	r.host = nil
	p.releaseTask(r.order.Key)
}

// releaseTask records that one run less of a task is on workers. p.mu is held.
func (p *Pool) releaseTask(key contract.RunKey) {
	task := key.Task()
	if p.onWorkers[task]--; p.onWorkers[task] <= 0 {
		delete(p.onWorkers, task)
	}
}

// addToHost records that a run is on a worker, or that its start is sent there. p.mu is held.
func (p *Pool) addToHost(r *run, h *ownedHost) {
	if _, ok := h.runs[r.order.Key]; !ok {
		p.onWorkers[r.order.Key.Task()]++
	}
	h.runs[r.order.Key] = r
}

// requeue returns a run to the queue that has provably not started. p.mu is held.
func (p *Pool) requeue(r *run, fx *effects) {
	r.mayHaveRun = false
	if r.cancelled {
		p.finish(r, contract.RunEnded, proofNotStarted, 0, fx)
		return
	}
	if r.reportedUnanswered {
		// The home takes the start for one that may still be executed.
		r.reportedUnanswered = false
		fx.reports = append(fx.reports, report{r.home, contract.RunReport{
			Key: r.order.Key, State: contract.RunQueued, Worker: r.sentTo,
		}})
	}
	p.detach(r)
	r.state, r.crashed, r.begun = runWaiting, false, false
	p.waiting.push(r)
	p.counter(metric.PoolStartsRejected).Inc(1)
	if !p.feasible(r.order) {
		p.returnRun(r, fx)
	}
}
