package batch

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
)

// Explanation is what a home would decide on a job now.
type Explanation struct {
	// Known is the state of the job if a submission would join it here, StateUnknown if it would be a new job.
	Known State
	// Accepted is set if the job would be accepted. Otherwise Answer is what its caller would get.
	Accepted bool
	Answer   Answer
	// Expected is the run time of the job on idle workers, Wait the shortest expected wait of its tasks. OwnerKnown is false if no
	// owner of workers of its back end is known.
	Expected, Wait time.Duration
	OwnerKnown     bool
	// TargetIn is the time to the latency target, AnswerIn the time by which the job has to be answered. Both count from now; they are
	// zero for a job that is not accepted.
	TargetIn, AnswerIn time.Duration
	// EarlierHome is the member that has to release the job first; empty for none.
	EarlierHome string
	Tasks       []TaskPlan
}

// TaskPlan is where the first run of a task would be ordered.
type TaskPlan struct {
	Step, Index int
	// Owner is empty if the task would wait, for the Reason.
	Owner string
	// OnlyWorker is the worker to which the run would be bound; empty for any.
	OnlyWorker string
	// Alone is set if the run would be alone on its worker.
	Alone  bool
	Reason string
}

// Explain returns what the home would decide on a job that is submitted now. It decides on a copy of its state: nothing is accepted,
// reserved, sent, counted or logged.
func (h *Home) Explain(b contract.Batch) Explanation {
	now := h.o.Now()
	r := h.rehearsal()
	e := Explanation{Known: h.joinable(b.ID)}
	e.Wait, e.OwnerKnown = r.expectedWait(&b)
	_, e.Expected, _ = r.plan(b)
	out := r.newOutbox()
	answer, ended := r.join(b, &waiter{answer: make(chan Answer, 1)}, now, out)
	j := r.shard(b.ID).jobs[b.ID]
	switch {
	case ended:
		e.Answer = answer
		return e
	case j.state != jobActive:
		e.Answer = j.answer
		return e
	}
	e.Accepted = true
	e.TargetIn, e.AnswerIn = j.target.Sub(now), r.answerBy(b, j.provenUntil, now, out).Sub(now)
	if j.earlier != nil {
		e.EarlierHome = j.earlier.Home
	}
	for i := range j.tasks {
		e.Tasks = append(e.Tasks, j.planOf(&j.tasks[i]))
	}
	return e
}

// joinable returns the state of a job that a submission under its id would join, StateUnknown if there is none.
func (h *Home) joinable(id string) State {
	s := h.shard(id)
	s.mu.Lock()
	j, ok := s.jobs[id]
	joins := ok && !j.startsAnew()
	s.mu.Unlock()
	if !joins {
		return StateUnknown
	}
	return h.State(id)
}

// rehearsal returns a home without jobs that decides as this one does now. Its view of the capacity, its counters and its log are its
// own.
func (h *Home) rehearsal() *Home {
	o := h.o
	o.Capacity, o.Logger, o.Metrics = h.o.Capacity.Clone(), slog.New(slog.DiscardHandler), metrics.NewRegistry()
	r := &Home{o: o, kinds: h.kinds, runs: h.runs, started: h.started}
	for i := range r.shards {
		r.shards[i].jobs = make(map[string]*job)
	}
	r.refusesNew.Store(h.refusesNew.Load())
	r.contacts.set(h.contacts.get())
	r.pause.set(h.pause.get())
	return r
}

// planOf describes where a task of a rehearsed job was ordered.
func (j *job) planOf(t *task) TaskPlan {
	p := TaskPlan{Step: t.step, Index: t.index, OnlyWorker: t.onlyWorker, Alone: t.alone}
	switch {
	case t.state == taskPlaced:
		p.Owner = t.owner
	case j.earlier != nil:
		p.Reason = "waits until the earlier home of the job has released it"
	case !j.stepReady(t.step):
		p.Reason = "waits for earlier steps"
	case t.lateWait != "":
		p.Reason = "a worker may still execute an earlier start: " + t.lateWait
	default:
		p.Reason = "waits for an owner of workers"
	}
	return p
}
