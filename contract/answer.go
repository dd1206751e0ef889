package contract

import "time"

// Verdict is the overall result of a job.
type Verdict uint8

// Verdicts. A refused job was not executed and will not be.
const (
	VerdictPending Verdict = iota
	VerdictComplete
	VerdictFailed
	VerdictRefused
)

// String returns the name used in output.
func (v Verdict) String() string {
	names := [...]string{"pending", "complete", "failed", "refused"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Outcome is the known result of a task's execution.
type Outcome uint8

// Outcomes of a task.
const (
	OutcomePending Outcome = iota
	OutcomeDone
	OutcomeFailed
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the name used in output.
func (o Outcome) String() string {
	names := [...]string{"pending", "done", "failed", "not run", "outcome unknown"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// TaskReport is the outcome of one task.
type TaskReport struct {
	Outcome Outcome
	Detail  string
	RunTime time.Duration
	Worker  string
}

// Answer is the response to the caller of a job. Results is set only if the verdict is complete and then holds one
// result per task, so that a partial result cannot be mistaken for the whole.
type Answer struct {
	Job     JobID
	Verdict Verdict
	Reason  string
	Detail  string
	Results [][]byte
	Reports []TaskReport
}

// Consistent reports whether the answer is either complete with every result or without any.
func (a Answer) Consistent() bool {
	if a.Verdict != VerdictComplete {
		return a.Results == nil
	}
	if len(a.Results) != len(a.Reports) {
		return false
	}
	for _, r := range a.Reports {
		if r.Outcome != OutcomeDone {
			return false
		}
	}
	return true
}

// jobOverhead and reportOverhead estimate the memory of a job and of a task report beyond payloads and results, from
// the sizes of the structs and the map entry.
const (
	jobOverhead    = 832
	reportOverhead = 96
)

// bytes estimates the memory that the answer takes.
func (a Answer) bytes() int {
	n := jobOverhead + len(a.Detail)
	for _, r := range a.Reports {
		n += reportOverhead + len(r.Detail)
	}
	for _, r := range a.Results {
		n += len(r)
	}
	return n
}
