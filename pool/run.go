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
	// mayHaveRun is set when a start call is made, and cleared only if the run has provably not started.
	mayHaveRun bool

	// committed is set once another task of the job has been started in this pool.
	committed bool
	// veryLateAfter is the time after which an answer is worth little, class the lateness found by the last sort.
	veryLateAfter time.Time
	class         lateness

	queuedAt    time.Time
	refreshedAt time.Time
	token       uint64
	// startedAt is when the start call was made, or when the run was found on a worker.
	startedAt time.Time
	// confirmedAt is when a reply of the worker last settled whether the run had started. Replies to polls that were sent
	// earlier prove nothing about the run.
	confirmedAt time.Time
	// progress is a percentage, progressAt when it last changed.
	progress   int
	progressAt time.Time
	endedAt    time.Time
	outcome    contract.RunReport
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
	reports []report
}

// startEffect is a start call with the values fixed by the decision.
type startEffect struct {
	run      *run
	host     *ownedHost
	token    uint64
	leaseEnd time.Duration
}

// report adds a report of the run's current state. A run is reported as started only once its worker has confirmed it:
// until then it may still move to another worker, and the next owner of the worker must not be able to declare it
// ended.
func (fx *effects) report(r *run) {
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
	}
	fx.reports = append(fx.reports, report{r.home, msg})
}

// apply makes the calls. No lock is held.
func (p *Pool) apply(fx effects) {
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
}

// finish records the outcome of a run and frees its capacity. p.mu is held.
func (p *Pool) finish(r *run, state contract.RunState, took time.Duration, fx *effects) {
	if r.state == runFinal {
		return
	}
	now := p.o.Now()
	worker := ""
	if r.host != nil {
		worker = r.host.host.Listing.Worker
	}
	p.detach(r)
	r.state, r.endedAt = runFinal, now
	r.outcome = contract.RunReport{Key: r.order.Key, State: state, Worker: worker, Token: r.token,
		MayHaveStarted: r.mayHaveRun, RunTime: took}
	fx.report(r)
	p.o.Logger.Info("run ended", "task", r.order.Key.String(), "state", state.String(), "worker", worker,
		"run_time", took, "home", r.home)
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
	r.host = nil
}

// requeue returns a run to the queue that has provably not started. p.mu is held.
func (p *Pool) requeue(r *run, fx *effects) {
	r.mayHaveRun = false
	if r.cancelled {
		p.finish(r, contract.RunEnded, 0, fx)
		return
	}
	p.detach(r)
	r.state = runWaiting
	p.waiting.push(r)
	p.counter(metric.PoolStartsRejected).Inc(1)
}
