package contract

import "time"

// JobRef names a job by its id or by the caller's own key.
type JobRef struct {
	ID  JobID
	Key *CallerKey
}

// Submission is a job as submitted by a caller.
type Submission struct {
	Ref      JobRef
	Service  string
	Customer string
	Team     string
	Tasks    []TaskSpec
	// Deadline is the time allowed from acceptance to the complete answer; zero selects that of the request kinds.
	Deadline time.Duration
	Priority int
}

// Change is a caller's change to a job that has not ended.
type Change struct {
	Deadline time.Duration
	Priority int
}
