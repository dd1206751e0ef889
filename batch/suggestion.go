package batch

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// suggestionLife is how long an owner's suggestion counts: the free capacity that it is about does not last.
	suggestionLife = 50 * time.Millisecond
	// suggestedStay is how long a run that was ordered by a suggestion is not moved.
	suggestedStay = 200 * time.Millisecond
)

// suggestion is the owner that the last owner of a task has suggested for its next run. It proves nothing and permits nothing: the
// next run is ordered because the last one is over.
type suggestion struct {
	owner string
	at    time.Time
}

// suggestionOf returns the suggestion in the report of a run that never started.
func suggestionOf(r contract.RunReport, now time.Time) suggestion {
	if r.State != contract.RunEnded || r.MayHaveStarted || r.NextOwner == "" {
		return suggestion{}
	}
	return suggestion{owner: r.NextOwner, at: now}
}

// reserveSuggested counts a task at the suggested owner for its next run. It returns false if there is none, or if the task is
// better ordered where it would have been without.
func (h *Home) reserveSuggested(j *job, t *task) bool {
	s := t.suggestion
	if s.owner == "" || h.o.Now().Sub(s.at) > suggestionLife || slices.Contains(t.infeasibleOwners, s.owner) {
		return false
	}
	return h.o.Capacity.ReserveAt(s.owner, j.batch.Backend, j.batch.Priority, j.steps[t.step].expected)
}

// justSuggested reports whether the current run was ordered by a suggestion a short time ago.
func (t *task) justSuggested(now time.Time) bool {
	return t.suggested && now.Sub(t.placedAt) <= suggestedStay
}
