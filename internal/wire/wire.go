// Package wire converts between protobuf messages and the types of package contract.
package wire

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

// RefFrom decodes and validates a job reference.
func RefFrom(r *api.JobRef) (contract.JobRef, error) {
	switch v := r.GetRef().(type) {
	case *api.JobRef_JobId:
		id, err := contract.ParseJobID(v.JobId)
		if err != nil {
			return contract.JobRef{}, fault.With(fault.Invalid, "job id", "%s", err)
		}
		return contract.JobRef{ID: id}, nil
	case *api.JobRef_Key:
		k := KeyFrom(v.Key)
		if k.Customer == "" || k.Text == "" {
			return contract.JobRef{}, fault.With(fault.Invalid, "key", "a key needs a customer and a text")
		}
		if len(k.Customer) > maxName || len(k.Text) > maxKeyText {
			return contract.JobRef{}, fault.With(fault.Invalid, "key", "a key has at most %d bytes of customer and %d of text",
				maxName, maxKeyText)
		}
		return contract.JobRef{Key: &k}, nil
	default:
		return contract.JobRef{}, fault.With(fault.Invalid, "job reference", "neither a job id nor a key is given")
	}
}

// KeyFrom decodes a caller's key.
func KeyFrom(k *api.CallerKey) contract.CallerKey {
	return contract.CallerKey{Customer: k.GetCustomer(), Text: k.GetText(), CreatedUnixMS: k.GetCreatedUnixMs()}
}

// KeyTo encodes a caller's key.
func KeyTo(k contract.CallerKey) *api.CallerKey {
	return &api.CallerKey{Customer: k.Customer, Text: k.Text, CreatedUnixMs: k.CreatedUnixMS}
}

// RefTo encodes a job reference.
func RefTo(r contract.JobRef) *api.JobRef {
	if r.Key != nil {
		return &api.JobRef{Ref: &api.JobRef_Key{Key: KeyTo(*r.Key)}}
	}
	return &api.JobRef{Ref: &api.JobRef_JobId{JobId: r.ID.String()}}
}

// SubmissionFrom decodes and validates a submission.
func SubmissionFrom(r *api.SubmitRequest) (contract.Submission, error) {
	ref, err := RefFrom(r.GetJob())
	if err != nil {
		return contract.Submission{}, err
	}
	deadline, err := DeadlineFrom(r.GetDeadlineMs())
	if err != nil {
		return contract.Submission{}, err
	}
	if err := checkNames(r); err != nil {
		return contract.Submission{}, err
	}
	s := contract.Submission{
		Ref: ref, Service: r.GetService(), Customer: r.GetCustomer(), Team: r.GetTeam(),
		Deadline: deadline, Priority: int(r.GetPriority()),
		Tasks: make([]contract.TaskSpec, len(r.GetTasks())),
	}
	for i, t := range r.GetTasks() {
		s.Tasks[i] = contract.TaskSpec{Kind: t.GetKind(), Payload: t.GetPayload()}
	}
	return s, nil
}

// SubmissionTo encodes a submission with the time that the call waits for the answer.
func SubmissionTo(s contract.Submission, wait time.Duration) *api.SubmitRequest {
	r := &api.SubmitRequest{
		Job: RefTo(s.Ref), Service: s.Service, Customer: s.Customer, Team: s.Team,
		DeadlineMs: s.Deadline.Milliseconds(), WaitMs: wait.Milliseconds(), Priority: int32(s.Priority),
		Tasks: make([]*api.Task, len(s.Tasks)),
	}
	for i, t := range s.Tasks {
		r.Tasks[i] = &api.Task{Kind: t.Kind, Payload: t.Payload}
	}
	return r
}

// AnswerTo encodes an answer.
func AnswerTo(a contract.Answer) *api.Answer {
	// The API's verdicts start at 1, because 0 is VERDICT_UNSPECIFIED.
	out := &api.Answer{
		JobId: a.Job.String(), Verdict: api.Verdict(a.Verdict) + 1, Reason: a.Reason, Detail: a.Detail,
	}
	for i, r := range a.Reports {
		out.Outcomes = append(out.Outcomes, &api.TaskOutcome{
			Index: uint32(i), Outcome: api.Outcome(r.Outcome), Detail: r.Detail,
			RunTimeUs: r.RunTime.Microseconds(), Worker: r.Worker,
		})
	}
	for i, r := range a.Results {
		out.Results = append(out.Results, &api.TaskResult{Index: uint32(i), Payload: r})
	}
	return out
}

// AnswerFrom decodes an answer. Results and outcomes are ordered by their index; a complete answer that lacks a
// result is an error.
func AnswerFrom(a *api.Answer) (contract.Answer, error) {
	id, err := contract.ParseJobID(a.GetJobId())
	if err != nil && a.GetVerdict() != api.Verdict_VERDICT_REFUSED {
		return contract.Answer{}, fault.Unavailable.Wrap(err, "decode answer")
	}
	out := contract.Answer{Job: id, Reason: a.GetReason(), Detail: a.GetDetail()}
	if v := a.GetVerdict(); v > api.Verdict_VERDICT_UNSPECIFIED && v <= api.Verdict_VERDICT_REFUSED {
		out.Verdict = contract.Verdict(v - 1)
	}
	n := len(a.GetOutcomes())
	if n > 0 {
		out.Reports = make([]contract.TaskReport, n)
	}
	for _, o := range a.GetOutcomes() {
		if int(o.GetIndex()) >= n {
			return contract.Answer{}, fault.Unavailable.New("answer names task %d of %d", o.GetIndex(), n)
		}
		out.Reports[o.GetIndex()] = contract.TaskReport{
			Outcome: contract.Outcome(o.GetOutcome()), Detail: o.GetDetail(),
			RunTime: time.Duration(o.GetRunTimeUs()) * time.Microsecond, Worker: o.GetWorker(),
		}
	}
	if out.Verdict != contract.VerdictComplete {
		return out, nil
	}
	if len(a.GetResults()) != n {
		return contract.Answer{}, fault.Unavailable.New("answer holds %d results of %d", len(a.GetResults()), n)
	}
	out.Results = make([][]byte, n)
	for _, r := range a.GetResults() {
		if int(r.GetIndex()) >= n {
			return contract.Answer{}, fault.Unavailable.New("answer holds result %d of %d", r.GetIndex(), n)
		}
		out.Results[r.GetIndex()] = append([]byte{}, r.GetPayload()...)
	}
	if slices.ContainsFunc(out.Results, func(r []byte) bool { return r == nil }) || !out.Consistent() {
		return contract.Answer{}, fault.Unavailable.New("answer is not whole")
	}
	return out, nil
}

// ProgressTo encodes the progress of a job at time now.
func ProgressTo(p contract.JobProgress, now time.Time) *api.JobStatus {
	s := &api.JobStatus{
		JobId: p.ID.String(), Verdict: api.Verdict(p.Verdict) + 1, Tasks: uint32(p.Tasks),
		Waiting: uint32(p.Waiting), Running: uint32(p.Running), Finished: uint32(p.Finished),
		Priority: int32(p.Priority),
	}
	if !p.Deadline.IsZero() {
		s.DeadlineMs = p.Deadline.Sub(now).Milliseconds()
	}
	return s
}

// ProgressFrom decodes the progress of a job.
func ProgressFrom(s *api.JobStatus, now time.Time) (contract.JobProgress, error) {
	id, err := contract.ParseJobID(s.GetJobId())
	if err != nil {
		return contract.JobProgress{}, fault.Unavailable.Wrap(err, "decode status")
	}
	p := contract.JobProgress{
		ID: id, Tasks: int(s.GetTasks()), Waiting: int(s.GetWaiting()), Running: int(s.GetRunning()),
		Finished: int(s.GetFinished()), Deadline: now.Add(millis(s.GetDeadlineMs())), Priority: int(s.GetPriority()),
	}
	if v := s.GetVerdict(); v > api.Verdict_VERDICT_UNSPECIFIED {
		p.Verdict = contract.Verdict(v - 1)
	}
	return p, nil
}

// RefusedAnswer converts an error that proves that nothing ran into an answer with the verdict refused.
func RefusedAnswer(id contract.JobID, err error) contract.Answer {
	return contract.Answer{Job: id, Verdict: contract.VerdictRefused, Reason: fault.Reason(err), Detail: err.Error()}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
