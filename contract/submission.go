package contract

import "time"

// JobRef names a job by its id or by the caller's own key.
type JobRef struct {
	ID  JobID
	Key *CallerKey
}

// Submission is a job as a caller hands it over.
type Submission struct {
	Ref      JobRef
	Service  string
	Customer string
	Team     string
	Tasks    []TaskSpec
	// Deadline is the time allowed from acceptance to the whole answer; zero takes that of the request kinds.
	Deadline time.Duration
	Priority int
}

// Change is a caller's change of a job that has not ended.
type Change struct {
	Deadline time.Duration
	Priority int
}
