package load

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// Attempt is one submission of a job and its answer.
type Attempt struct {
	Entry    string
	Sent     time.Time
	Received time.Time
	Answer   contract.Answer
	Err      error
}

// Final reports whether the attempt received a final answer.
func (a Attempt) Final() bool { return a.Err == nil && a.Answer.Verdict != contract.VerdictPending }

// refused reports whether the answer is a refusal, which states that no task ran.
func (a Attempt) refused() bool { return a.Final() && a.Answer.Verdict == contract.VerdictRefused }

// JobRecord is one job as recorded by its callers. mu guards the attempts; the other fields are set before the first
// attempt.
type JobRecord struct {
	Plan *PlannedJob
	ID   contract.JobID
	// Key is the caller's own key, if the job is submitted under one instead of a job id.
	Key *contract.CallerKey

	mu       sync.Mutex
	attempts []Attempt
}

// Ref returns the reference to the job in calls.
func (r *JobRecord) Ref() contract.JobRef {
	if r.Key != nil {
		return contract.JobRef{Key: r.Key}
	}
	return contract.JobRef{ID: r.ID}
}

// Add records a completed attempt.
func (r *JobRecord) Add(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// Attempts returns the completed attempts.
func (r *JobRecord) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.attempts...)
}

// FirstFinal returns the final answer that arrived first. A refusal is returned only if every final answer is one.
func (r *JobRecord) FirstFinal() (Attempt, bool) {
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

// TaskID returns the dispatcher's id of the i-th task.
func (r *JobRecord) TaskID(i int) string { return contract.TaskID{Job: r.ID, Index: i}.String() }
