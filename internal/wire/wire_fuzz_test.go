package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

const seedID = "j-1-00c0ffee00c0ffee-17"

func mustMarshal(f *testing.F, m proto.Message) []byte {
	b, err := proto.Marshal(m)
	require.NoError(f, err)
	return b
}

// Guards against a submission that is changed by decoding, and against times that overflow into the past.
func FuzzSubmission(f *testing.F) {
	ref := &api.JobRef{Ref: &api.JobRef_JobId{JobId: seedID}}
	key := &api.JobRef{Ref: &api.JobRef_Key{Key: &api.CallerKey{Customer: "c", Text: "t", CreatedUnixMs: 5}}}
	for _, m := range []*api.SubmitRequest{
		{}, {Job: ref, Service: "s", Tasks: []*api.Task{{Kind: "k", Payload: []byte("p")}}, DeadlineMs: 5, WaitMs: 7},
		{Job: key, Priority: -3}, {Job: ref, DeadlineMs: -1}, {Job: ref, DeadlineMs: 1 << 62, WaitMs: -1 << 62},
		{Job: ref, Tasks: []*api.Task{nil}},
	} {
		f.Add(mustMarshal(f, m))
	}
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r api.SubmitRequest
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		if wait, err := WaitFrom(r.GetWaitMs()); err == nil {
			require.True(t, wait >= 0 && wait <= MaxWait)
		}
		s, err := SubmissionFrom(&r)
		if err != nil {
			require.Equal(t, fault.Invalid.FullName(), fault.Code(err))
			return
		}
		require.True(t, s.Deadline >= 0 && s.Deadline <= maxDeadline)
		again, err := SubmissionFrom(SubmissionTo(s, time.Second))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}

// Guards against a partial answer that is treated as complete.
func FuzzAnswer(f *testing.F) {
	done := []*api.TaskOutcome{{Index: 0, Outcome: api.Outcome_OUTCOME_DONE}, {Index: 1, Outcome: api.Outcome_OUTCOME_DONE}}
	both := []*api.TaskResult{{Index: 0, Payload: []byte("a")}, {Index: 1}}
	for _, m := range []*api.Answer{
		{}, {JobId: seedID, Verdict: api.Verdict_VERDICT_COMPLETE, Outcomes: done, Results: both},
		{JobId: seedID, Verdict: api.Verdict_VERDICT_COMPLETE, Outcomes: done, Results: both[:1]},
		{JobId: seedID, Verdict: api.Verdict_VERDICT_COMPLETE, Outcomes: done, Results: []*api.TaskResult{both[0], both[0]}},
		{JobId: seedID, Verdict: api.Verdict_VERDICT_FAILED, Outcomes: done[:1], Results: both},
		{JobId: seedID, Verdict: 99, Outcomes: []*api.TaskOutcome{{Index: 9}}}, {Verdict: api.Verdict_VERDICT_REFUSED},
	} {
		f.Add(mustMarshal(f, m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m api.Answer
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		a, err := AnswerFrom(&m)
		if err != nil {
			return
		}
		require.True(t, a.Consistent(), "%+v", a)
		if a.Verdict == contract.VerdictComplete {
			require.Len(t, a.Results, len(m.GetOutcomes()))
		}
	})
}

// Guards against a status that makes the decoder panic or that loses its job id or number of tasks.
func FuzzProgress(f *testing.F) {
	f.Add(mustMarshal(f, &api.JobStatus{JobId: seedID, Verdict: api.Verdict_VERDICT_PENDING, Tasks: 3, DeadlineMs: 1 << 62}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m api.JobStatus
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Unix(1, 0)
		p, err := ProgressFrom(&m, now)
		if err != nil {
			return
		}
		require.Equal(t, m.GetJobId(), p.ID.String())
		require.Equal(t, m.GetTasks(), ProgressTo(p, now).GetTasks())
	})
}
