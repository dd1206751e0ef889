package rpc

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

// JobOptions are the optional properties of a job.
type JobOptions struct {
	Customer string
	Team     string
	// Deadline is the time from submission to the complete answer; 0 uses the deadline of the request kinds.
	Deadline time.Duration
	// Priority orders the jobs of one customer; the highest runs first.
	Priority int
}

// Job is a batch of tasks with one answer, for use by generated stubs. mu guards the fields below it.
type Job struct {
	client *Client

	mu         sync.Mutex
	submission contract.Submission
	submitted  bool
	addErr     error // first error of add
	answer     *contract.Answer
}

// NewJob returns a job of a service with a fresh id.
func NewJob(ctx context.Context, c *Client, service string, o JobOptions) (*Job, error) {
	id, err := c.NewJob(ctx)
	if err != nil {
		return nil, err
	}
	return &Job{client: c, submission: contract.Submission{
		Ref: contract.JobRef{ID: id}, Service: service, Customer: o.Customer, Team: o.Team, Deadline: o.Deadline,
		Priority: o.Priority,
	}}, nil
}

// ID returns the job's id, with which any process can request the job's status and answer.
func (j *Job) ID() contract.JobID { return j.submission.Ref.ID }

// Submission returns the job in untyped form, so that it can be resubmitted through another client.
func (j *Job) Submission() contract.Submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.submission
	s.Tasks = append([]contract.TaskSpec(nil), s.Tasks...)
	return s
}

// add appends a task and returns its index. If that fails, Submit returns the error.
func (j *Job) add(kind string, request proto.Message) int {
	payload, err := proto.Marshal(request)
	j.mu.Lock()
	defer j.mu.Unlock()
	index := len(j.submission.Tasks)
	switch {
	case j.addErr != nil:
	case err != nil:
		j.addErr = fault.Invalid.Wrap(err, "task %d, kind %s", index, kind)
	case j.submitted:
		j.addErr = fault.With(fault.Invalid, "submitted", "task %d, kind %s: the job has been submitted", index, kind)
	default:
		j.submission.Tasks = append(j.submission.Tasks, contract.TaskSpec{Kind: kind, Payload: payload})
	}
	return index
}

// Submit submits the job and waits for its final answer. It may be called again after an error that leaves open whether
// the job ran; no task of the job runs twice.
func (j *Job) Submit(ctx context.Context) (contract.Answer, error) {
	j.mu.Lock()
	j.submitted = true
	s, addErr := j.submission, j.addErr
	j.mu.Unlock()
	if addErr != nil {
		return contract.Answer{}, addErr
	}
	a, err := j.client.Do(ctx, s)
	if err != nil {
		return a, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answer = &a
	return a, nil
}

// Cancel cancels the tasks that have not started.
func (j *Job) Cancel(ctx context.Context) (contract.Answer, error) {
	return j.client.Cancel(ctx, j.submission.Ref)
}

// Reconfigure changes the deadline or priority of a job that has not ended.
func (j *Job) Reconfigure(ctx context.Context, c contract.Change) (*api.JobStatus, error) {
	return j.client.Reconfigure(ctx, j.submission.Ref, c)
}

// Status reports the job's progress.
func (j *Job) Status(ctx context.Context) (*api.JobStatus, error) {
	return j.client.Status(ctx, j.submission.Ref)
}

// Task is a task of a job whose result has type R.
type Task[R proto.Message] struct {
	job   *Job
	index int
}

// AddTask adds a task of the given kind to a job that has not been submitted.
func AddTask[R proto.Message](j *Job, kind string, request proto.Message) Task[R] {
	return Task[R]{job: j, index: j.add(kind, request)}
}

// Index returns the task's index in the job.
func (t Task[R]) Index() int { return t.index }

// Report returns the report on the task's execution. It is available once the job has its answer.
func (t Task[R]) Report() (contract.TaskReport, bool) {
	t.job.mu.Lock()
	defer t.job.mu.Unlock()
	a := t.job.answer
	if a == nil || t.index >= len(a.Reports) {
		return contract.TaskReport{}, false
	}
	return a.Reports[t.index], true
}

// Result returns the typed result. If the job is not complete there are no results, and the error distinguishes a task
// that was proven not to have run, one that failed, and one whose outcome is unknown.
func (t Task[R]) Result() (R, error) {
	var none R
	t.job.mu.Lock()
	a := t.job.answer
	t.job.mu.Unlock()
	if a == nil {
		return none, fault.With(fault.Invalid, "not submitted", "the job has no answer yet")
	}
	if a.Verdict != contract.VerdictComplete || t.index >= len(a.Results) {
		return none, t.failure(a)
	}
	result := none.ProtoReflect().Type().New().Interface().(R)
	if err := proto.Unmarshal(a.Results[t.index], result); err != nil {
		return none, fault.Failed.Wrap(err, "result of task %d", t.index)
	}
	return result, nil
}

func (t Task[R]) failure(a *contract.Answer) error {
	if a.Verdict == contract.VerdictRefused {
		return fault.With(fault.Refused, a.Reason, "the job was refused: %s", a.Detail)
	}
	if r, ok := t.Report(); ok {
		switch r.Outcome {
		case contract.OutcomeNotRun:
			return fault.With(fault.Refused, r.Outcome.String(), "task %d was not run: %s", t.index, r.Detail)
		case contract.OutcomeUnknown:
			return fault.With(fault.InDoubt, r.Outcome.String(), "the outcome of task %d is unknown: %s", t.index,
				r.Detail)
		case contract.OutcomeFailed:
			return fault.With(fault.Failed, r.Outcome.String(), "task %d failed: %s", t.index, r.Detail)
		}
	}
	return fault.With(fault.Failed, a.Reason, "the job is %s: %s", a.Verdict, a.Detail)
}
