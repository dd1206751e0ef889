package batch

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// evacuationRetry is how long the caller of a job is told to wait that no worker may run because of evacuations. They end when
// an operator takes a failure domain back.
const evacuationRetry = 5 * time.Second

// evacuatedReason is the reason of a job that is refused because of evacuations.
const evacuatedReason = "all workers that can hold a task are evacuated"

// evacuated reports whether no worker may start the tasks of a step because of evacuations.
func (h *Home) evacuated(b *contract.Batch, step int) bool {
	s := &b.Steps[step]
	return h.o.Evacuated != nil && h.o.Evacuated(b.Backend, s.Need, s.RequiredLabel)
}

// anyStepEvacuated reports whether that holds for any step of a job.
func (h *Home) anyStepEvacuated(b *contract.Batch) bool {
	for step := range b.Steps {
		if h.evacuated(b, step) {
			return true
		}
	}
	return false
}

// hasEvacuatedTask reports whether a task of a job is to be placed and no worker may start it because of evacuations. One that
// is placed may be about to start. The lock of the job's shard is held.
func (h *Home) hasEvacuatedTask(j *job) bool {
	for step := range j.batch.Steps {
		if h.evacuated(&j.batch, step) && j.stepReady(step) && j.hasUnplaced(step) {
			return true
		}
	}
	return false
}

// hasUnplaced reports whether a task of a step is not at any owner.
func (j *job) hasUnplaced(step int) bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.step == step && t.state == taskUnplaced })
}
