package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// runState is where a run stands at its owner.
type runState uint8

const (
	// runWaiting runs are in the queue.
	runWaiting runState = iota
	// runStarting runs have a start call under way.
	runStarting
	// runDoubtful runs have a start call that was not answered.
	runDoubtful
	runRunning
	runFinal
)

// run is one run of a task. The pool's lock guards it.
type run struct {
	order contract.TaskOrder
	home  string
	state runState
	host  *ownedHost
	// claimed is false for a run that was found on a worker and that no home has asked for yet.
	claimed  bool
	unwanted bool
	// ran is set while a start is under way, and stays set unless the worker has provably rejected it.
	ran bool

	// committed is set once another task of the job has been started here.
	committed bool
	// veryLate is when an answer is worth little, class the lateness that the last sorting found.
	veryLate time.Time
	class    lateness

	queued     time.Time
	refreshed  time.Time
	token      uint64
	started    time.Time
	answered   time.Time
	progress   int
	progressAt time.Time
	ended      time.Time
	outcome    contract.RunReport
}

// report is a message to a home.
type report struct {
	home string
	contract.RunReport
}

// effects are the calls that a decision leads to. They are made after the pool's lock is released.
type effects struct {
	starts  []startEffect
	stops   []*run
	doubts  []*run
	reports []report
}

// startEffect is a start call, with the values that the decision has fixed.
type startEffect struct {
	run      *run
	host     *ownedHost
	token    uint64
	leaseEnd time.Duration
}

// report adds a report on the run's present state. A run counts as started only once its worker has confirmed it: until
// then it may still go to another worker, and the worker's next owner must not be able to declare it over.
func (fx *effects) report(r *run) {
	msg := r.outcome
	switch r.state {
	case runFinal:
	case runRunning:
		msg = contract.RunReport{Key: r.order.Key, State: contract.RunStarted, Token: r.token, Ran: true}
		if r.host != nil {
			msg.Worker = r.host.host.Listing.Worker
		}
	default:
		msg = contract.RunReport{Key: r.order.Key, State: contract.RunQueued, Ran: r.ran}
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
	for _, r := range fx.doubts {
		p.spawn(func() { p.resolve(r) })
	}
}

// finish records the end of a run and frees its room. p.mu is held.
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
	r.state, r.ended = runFinal, now
	r.outcome = contract.RunReport{Key: r.order.Key, State: state, Worker: worker, Token: r.token, Ran: r.ran, RunTime: took}
	fx.report(r)
	p.o.Logger.Info("run ended", "task", r.order.Key.String(), "state", state.String(), "worker", worker,
		"run_time", took, "home", r.home)
}

// detach frees what a run holds. p.mu is held.
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

// requeue puts a run back whose start has provably not happened. p.mu is held.
func (p *Pool) requeue(r *run, fx *effects) {
	r.ran = false
	if r.unwanted {
		p.finish(r, contract.RunEnded, 0, fx)
		return
	}
	p.detach(r)
	r.state = runWaiting
	p.waiting.push(r)
	p.counter(metric.PoolStartsRejected).Inc(1)
}
