package load

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against a load run that loses jobs or reports violations of a correct dispatcher.
func TestShortLoadRunIsClean(t *testing.T) {
	w, err := ReadWorkload("../workloads/ci.toml")
	require.NoError(t, err)
	r, plot, err := RunLoad(context.Background(), Options{
		File: "ci.toml", Workload: w, Policy: "default", Seed: 1, Logger: slog.New(slog.DiscardHandler), Out: io.Discard,
	})
	require.NoError(t, err)
	require.Positive(t, r.JobsSubmitted)
	require.Equal(t, r.JobsSubmitted, r.JobsComplete+r.JobsFailed+r.JobsRefused+r.AnswersMissing)
	require.Positive(t, r.JobsComplete)
	require.Positive(t, r.TasksStarted)
	require.Zero(t, r.TasksStartedTwice)
	require.Zero(t, r.AnswersWrong)
	require.Zero(t, r.AnswersMissing)
	require.Zero(t, r.RefusalsFalse)
	for _, name := range []string{"run.png", "run.svg"} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, plot.Save(file))
		info, err := os.Stat(file)
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
}

// Guards against workload files in the repository that fail to parse.
func TestWorkloadFilesParse(t *testing.T) {
	files, err := filepath.Glob("../workloads/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := ReadWorkload(f)
		require.NoError(t, err, f)
	}
}

// Guards against findings that are reported one at a time or without their file, line and key.
func TestWorkloadFindingsAreComplete(t *testing.T) {
	_, err := ParseWorkload("w.toml", []byte("duration = \"-1s\"\nnonsense = 1\n[tasks]\nslow_share = 2.0\n[demand]\nbase = 0.0\n"))
	var findings config.Findings
	require.True(t, errors.As(err, &findings))
	require.Equal(t, config.Findings{
		{File: "w.toml", Line: 2, Key: "nonsense", Reason: "unknown key"},
		{File: "w.toml", Line: 4, Key: "tasks.slow_share", Reason: "must be 0 to 1"},
		{File: "w.toml", Line: 6, Key: "demand.base", Reason: "must be above 0 and at most 4"},
		{File: "w.toml", Line: 1, Key: "duration", Reason: "must be positive"},
	}, findings)
}

// Guards against a schedule that depends on anything other than the workload and the seed.
func TestScheduleFollowsSeed(t *testing.T) {
	w, err := ReadWorkload("../workloads/mixed.toml")
	require.NoError(t, err)
	require.Equal(t, NewSchedule(w, 7), NewSchedule(w, 7))
	require.NotEqual(t, NewSchedule(w, 7).Jobs, NewSchedule(w, 8).Jobs)
}

// answeredJob is a job of two tasks with one complete and correct answer. Tests record the starts and modify the
// answer.
type answeredJob struct {
	record  *JobRecord
	ledger  *StartLedger
	sent    time.Time
	attempt Attempt
}

func newAnsweredJob() *answeredJob {
	plan := &PlannedJob{Tasks: make([]PlannedTask, 2)}
	plan.setNumber(3)
	a := &answeredJob{
		record: &JobRecord{Plan: plan, ID: contract.JobID{Domain: 1, Home: 9, Seq: 5}}, ledger: NewStartLedger(),
		sent: time.Unix(1000, 0),
	}
	a.attempt = Attempt{Sent: a.sent, Received: a.sent.Add(time.Second), Answer: contract.Answer{
		Job: a.record.ID, Verdict: contract.VerdictComplete, Reports: make([]contract.TaskReport, 2),
	}}
	for i, t := range plan.Tasks {
		a.attempt.Answer.Reports[i].Outcome = contract.OutcomeDone
		a.attempt.Answer.Results = append(a.attempt.Answer.Results, ExpectedResult(t.Payload.Identity))
	}
	return a
}

func (a *answeredJob) start(task int, after time.Duration) {
	a.ledger.Record(standin.Start{Task: a.record.TaskID(task), At: a.sent.Add(after)},
		a.record.Plan.Tasks[task].Payload.Identity)
}

func (a *answeredJob) startAll() {
	a.start(0, time.Millisecond)
	a.start(1, time.Millisecond)
}

func (a *answeredJob) setFailed(outcome contract.Outcome) {
	a.attempt.Answer.Verdict, a.attempt.Answer.Results = contract.VerdictFailed, nil
	a.attempt.Answer.Reports = make([]contract.TaskReport, 2)
	for i := range a.attempt.Answer.Reports {
		a.attempt.Answer.Reports[i].Outcome = outcome
	}
}

func (a *answeredJob) setRefused() {
	a.attempt.Answer = contract.Answer{Job: a.record.ID, Verdict: contract.VerdictRefused}
}

func (a *answeredJob) violatedChecks() []string {
	a.record.Add(a.attempt)
	var names []string
	for _, v := range (Checker{Ledger: a.ledger, Faultless: true}).Check(a.record) {
		names = append(names, v.Check)
	}
	return names
}

// Guards against a checker that misses violations: each case violates one guarantee and names the check that must fail.
func TestCheckerReportsViolations(t *testing.T) {
	cases := map[string]struct {
		modify func(*answeredJob)
		want   []string
	}{
		"correct": {func(a *answeredJob) { a.startAll() }, nil},
		"wrong result": {func(a *answeredJob) {
			a.startAll()
			a.attempt.Answer.Results[1] = []byte("other")
		}, []string{CheckResultsCorrect}},
		"results mixed up": {func(a *answeredJob) {
			a.startAll()
			r := a.attempt.Answer.Results
			r[0], r[1] = r[1], r[0]
		}, []string{CheckResultsCorrect, CheckResultsCorrect}},
		"answer of another job": {func(a *answeredJob) {
			a.startAll()
			a.attempt.Answer.Job.Seq++
		}, []string{CheckResultsCorrect}},
		"partial": {func(a *answeredJob) {
			a.startAll()
			a.attempt.Answer.Results = a.attempt.Answer.Results[:1]
		}, []string{CheckAnswerComplete, CheckAnswerComplete}},
		"failed with results": {func(a *answeredJob) {
			a.startAll()
			results := a.attempt.Answer.Results
			a.setFailed(contract.OutcomeUnknown)
			a.attempt.Answer.Results = results
		}, []string{CheckAnswerComplete}},
		"result without a start": {func(a *answeredJob) { a.start(0, 0) }, []string{CheckResultsCorrect}},
		"not run, but started": {func(a *answeredJob) {
			a.start(1, time.Millisecond)
			a.setFailed(contract.OutcomeNotRun)
		}, []string{CheckNotRunAccurate}},
		"not run": {func(a *answeredJob) { a.setFailed(contract.OutcomeNotRun) }, nil},
		"false refusal": {func(a *answeredJob) {
			a.start(0, time.Hour)
			a.setRefused()
		}, []string{CheckNotRunAccurate}},
		"true refusal": {func(a *answeredJob) { a.setRefused() }, nil},
		"refused after a start, accepted elsewhere": {func(a *answeredJob) {
			a.start(0, -time.Second)
			a.record.Add(Attempt{Received: a.sent.Add(time.Minute), Err: context.DeadlineExceeded})
			a.setRefused()
		}, []string{CheckNotRunAccurate}},
		"refused before an accepted submission": {func(a *answeredJob) {
			a.start(0, time.Second)
			a.record.Add(Attempt{Received: a.sent.Add(time.Minute), Err: context.DeadlineExceeded})
			a.setRefused()
		}, nil},
		"started after the answer": {func(a *answeredJob) {
			a.startAll()
			a.setFailed(contract.OutcomeUnknown)
			a.attempt.Received = a.sent.Add(-time.Minute)
		}, []string{CheckNoLateStart, CheckNoLateStart}},
		"answers differ": {func(a *answeredJob) {
			a.startAll()
			a.record.Add(a.attempt)
			a.setFailed(contract.OutcomeUnknown)
		}, []string{CheckAnswersAgree}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAnsweredJob()
			c.modify(a)
			require.Equal(t, c.want, a.violatedChecks())
		})
	}
}

// Guards against a duplicate start that is not counted, under the same task id or under another id for the same task.
func TestLedgerCountsDuplicateStarts(t *testing.T) {
	a := newAnsweredJob()
	a.startAll()
	starts, twice := a.ledger.Totals()
	require.Equal(t, []int{2, 0}, []int{starts, twice})
	a.start(1, time.Second)
	starts, twice = a.ledger.Totals()
	require.Equal(t, []int{3, 1}, []int{starts, twice})

	b := newAnsweredJob()
	b.startAll()
	b.record.ID.Seq++
	b.start(0, time.Second)
	_, twice = b.ledger.Totals()
	require.Equal(t, 1, twice)
}

// Guards against waits that are not attributed to long work while it holds more of a worker's slots than its cap.
func TestWaitBehindLongWork(t *testing.T) {
	r := newWorkerRecord(machine.WorkerID("w"), 4)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	for i, span := range [][2]int{{0, 10}, {2, 6}, {4, 20}} {
		task := string(rune('a' + i))
		r.started(standin.Start{Task: task, Kind: kindReport, At: at(span[0])}, Payload{Long: true})
		r.ended(task, at(span[1]))
	}
	// The cap allows long work one of the four slots. It holds two or three from second 2 to second 10.
	blocked := union(r.blockedByLong(0.4, at(30)))
	require.Equal(t, []interval{{at(2), at(10)}}, blocked)
	require.Equal(t, 3*time.Second, overlap(interval{at(7), at(15)}, blocked))
}
