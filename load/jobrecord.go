package load

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// Attempt is one submission of a job and what came back.
type Attempt struct {
	Entry    string
	Sent     time.Time
	Received time.Time
	Answer   contract.Answer
	Err      error
}

// Final reports whether the attempt brought a final answer.
func (a Attempt) Final() bool { return a.Err == nil && a.Answer.Verdict != contract.VerdictPending }

// refused reports whether the answer states that nothing ran.
func (a Attempt) refused() bool { return a.Final() && a.Answer.Verdict == contract.VerdictRefused }

// JobRecord is what the callers know of one job. mu guards the attempts; the other fields are set before the first one.
type JobRecord struct {
	Plan *PlannedJob
	ID   contract.JobID
	// Key is the caller's own key instead of a job id, nil for none.
	Key *contract.CallerKey

	mu       sync.Mutex
	attempts []Attempt
}

// Ref returns how the job is named in calls.
func (r *JobRecord) Ref() contract.JobRef {
	if r.Key != nil {
		return contract.JobRef{Key: r.Key}
	}
	return contract.JobRef{ID: r.ID}
}

// Add records an attempt that has ended.
func (r *JobRecord) Add(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// Attempts returns the attempts that have ended.
func (r *JobRecord) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.attempts...)
}

// First returns the final answer that arrived first; a refusal counts only if there is nothing else.
func (r *JobRecord) First() (Attempt, bool) {
	var best Attempt
	found := false
	for _, a := range r.Attempts() {
		if !a.Final() {
			continue
		}
		better := best.refused() && !a.refused() || best.refused() == a.refused() && a.Received.Before(best.Received)
		if !found || better {
			best, found = a, true
		}
	}
	return best, found
}

// TaskID returns the dispatcher's id of a task.
func (r *JobRecord) TaskID(i int) string { return contract.TaskID{Job: r.ID, Index: i}.String() }
