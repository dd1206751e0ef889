package load

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// Names of the checks, as reported.
const (
	CheckStartedOnce      = "task_started_once"
	CheckAnswerComplete   = "answer_complete_or_without_results"
	CheckResultsCorrect   = "results_right"
	CheckNotRunAccurate   = "not_run_true"
	CheckAnswerArrives    = "answer_within_bound"
	CheckKeyNamesOneJob   = "key_names_one_job"
	CheckNoLateStart      = "no_start_after_answer"
	CheckAnswersAgree     = "answers_agree"
	CheckNoStartOnLeaving = "leaving_worker_gets_no_start"
	CheckStopCutsNothing  = "planned_stop_cuts_no_request"
	CheckDaemonInvariants = "program_invariants"
	CheckDaemonRuns       = "daemon_runs"

	CheckConfigNeverReverts = "config_never_reverts"
	CheckConfigInEffect     = "config_in_effect"
)

// startGrace is how long after a job's final answer a start in progress may still arrive. A worker rejects starts whose
// start-by time, 1 s after the decision, has passed.
const startGrace = 2 * time.Second

// Violation is a violated invariant with the details needed to investigate it.
type Violation struct {
	Check    string
	Job      string
	Task     string
	At       time.Time
	Observed string
}

// String formats the line that is printed for a violation.
func (v Violation) String() string {
	return fmt.Sprintf("violation of %s at %s: job %s task %s: %s", v.Check, v.At.Format(time.RFC3339Nano), v.Job,
		v.Task, v.Observed)
}

// Checker compares the answers to a job with the starts that the workers recorded.
type Checker struct {
	Ledger *StartLedger
	// Faultless is set if no faults are injected, so that all answers to a job must agree.
	Faultless bool
}

// Check returns the violations in a job's answers. Call it only when all attempts have ended and no start of the job
// can be in progress.
func (c Checker) Check(r *JobRecord) []Violation {
	attempts := r.Attempts()
	var out []Violation
	for i, a := range attempts {
		if !a.Final() {
			continue
		}
		switch a.Answer.Verdict {
		case contract.VerdictComplete:
			out = append(out, c.checkComplete(r, a)...)
		case contract.VerdictFailed:
			out = append(out, c.checkFailed(r, a)...)
		case contract.VerdictRefused:
			out = append(out, c.checkRefused(r, attempts, i)...)
		}
		if !a.Answer.Consistent() {
			out = append(out, r.violation(CheckAnswerComplete, -1, a, "answer holds results without being complete"))
		}
	}
	out = append(out, c.checkLateStarts(r)...)
	if c.Faultless {
		out = append(out, checkVerdictsAgree(r, attempts)...)
	}
	if r.Key != nil {
		out = append(out, checkKey(r, attempts)...)
	}
	return out
}

// checkKey checks that complete answers to a caller's key belong to the same job.
func checkKey(r *JobRecord, attempts []Attempt) []Violation {
	var first Attempt
	for _, a := range attempts {
		if !a.Final() || a.Answer.Verdict != contract.VerdictComplete {
			continue
		}
		if first.Final() && a.Answer.Job != first.Answer.Job {
			return []Violation{r.violation(CheckKeyNamesOneJob, -1, a, fmt.Sprintf("key %s: answers of jobs %s and %s",
				r.Key, a.Answer.Job, first.Answer.Job))}
		}
		first = a
	}
	return nil
}

func (r *JobRecord) violation(check string, task int, a Attempt, observed string) Violation {
	v := Violation{Check: check, Job: r.ID.String(), Task: "-", At: a.Received}
	if r.Key != nil {
		v.Job = fmt.Sprintf("%s of key %s", a.Answer.Job, r.Key)
	}
	if task >= 0 {
		v.Task = r.TaskID(task)
	}
	v.Observed = fmt.Sprintf("%s (entry VM %s, answer %s %q, sent %s)", observed, a.Entry, a.Answer.Verdict,
		a.Answer.Reason, a.Sent.Format(time.RFC3339Nano))
	return v
}

func (c Checker) checkComplete(r *JobRecord, a Attempt) []Violation {
	if len(a.Answer.Results) != len(r.Plan.Tasks) || len(a.Answer.Reports) != len(r.Plan.Tasks) {
		return []Violation{r.violation(CheckAnswerComplete, -1, a, fmt.Sprintf(
			"complete with %d results and %d reports of %d tasks", len(a.Answer.Results), len(a.Answer.Reports),
			len(r.Plan.Tasks)))}
	}
	var out []Violation
	if r.Key == nil && a.Answer.Job != r.ID {
		out = append(out, r.violation(CheckResultsCorrect, -1, a, "answer belongs to job "+a.Answer.Job.String()))
	}
	for i, t := range r.Plan.Tasks {
		if want := ExpectedResult(t.Payload.Identity); !bytes.Equal(a.Answer.Results[i], want) {
			out = append(out, r.violation(CheckResultsCorrect, i, a, fmt.Sprintf("result %q instead of %q",
				a.Answer.Results[i], want)))
		}
		if c.Ledger.Identity(t.Payload.Identity).Count == 0 {
			out = append(out, r.violation(CheckResultsCorrect, i, a, "result of a task that no worker started"))
		}
	}
	return out
}

func (c Checker) checkFailed(r *JobRecord, a Attempt) []Violation {
	// A process that knows only the job's id answers without task reports.
	if n := len(a.Answer.Reports); n != 0 && n != len(r.Plan.Tasks) {
		return []Violation{r.violation(CheckAnswerComplete, -1, a, fmt.Sprintf("%d reports of %d tasks", n,
			len(r.Plan.Tasks)))}
	}
	var out []Violation
	for i, p := range a.Answer.Reports {
		st := c.Ledger.Identity(r.Plan.Tasks[i].Payload.Identity)
		if p.Outcome == contract.OutcomeNotRun && st.Count > 0 {
			out = append(out, r.violation(CheckNotRunAccurate, i, a, fmt.Sprintf(
				"reported not run, started %d times, first at %s on %s", st.Count, st.First.Format(time.RFC3339Nano), st.Worker)))
		}
		if p.Outcome == contract.OutcomeDone && st.Count == 0 {
			out = append(out, r.violation(CheckResultsCorrect, i, a, "reported done, never started"))
		}
	}
	return out
}

// checkRefused checks a refusal, which states that no task ran. It is wrong if a task started before the refused
// submission was sent. It is also wrong if a task started later, unless another submission may have started the task:
// one that was not refused and ended after the refused submission was sent.
func (c Checker) checkRefused(r *JobRecord, attempts []Attempt, n int) []Violation {
	a := attempts[n]
	otherMayHaveStarted := false
	for i, o := range attempts {
		otherMayHaveStarted = otherMayHaveStarted || i != n && !o.refused() && o.Received.After(a.Sent)
	}
	var out []Violation
	for i, t := range r.Plan.Tasks {
		st := c.Ledger.Identity(t.Payload.Identity)
		if st.Count == 0 || otherMayHaveStarted && st.First.After(a.Sent) {
			continue
		}
		out = append(out, r.violation(CheckNotRunAccurate, i, a, fmt.Sprintf(
			"refused, but started %d times, first at %s on %s", st.Count, st.First.Format(time.RFC3339Nano), st.Worker)))
	}
	return out
}

// checkLateStarts checks that no task starts after the final answer to its job: a home that was paused or partitioned
// must not continue a job that other entry VMs have answered as lost.
func (c Checker) checkLateStarts(r *JobRecord) []Violation {
	first, ok := r.FirstFinal()
	if !ok || first.refused() {
		return nil
	}
	var out []Violation
	for i, t := range r.Plan.Tasks {
		st := c.Ledger.Identity(t.Payload.Identity)
		if st.Count > 0 && st.First.After(first.Received.Add(startGrace)) {
			out = append(out, r.violation(CheckNoLateStart, i, first, fmt.Sprintf("first start at %s on %s, after the answer",
				st.First.Format(time.RFC3339Nano), st.Worker)))
		}
	}
	return out
}

// checkVerdictsAgree checks that all answers other than refusals have the same verdict.
func checkVerdictsAgree(r *JobRecord, attempts []Attempt) []Violation {
	verdict := contract.VerdictPending
	for _, a := range attempts {
		if !a.Final() || a.refused() {
			continue
		}
		if verdict != contract.VerdictPending && a.Answer.Verdict != verdict {
			return []Violation{r.violation(CheckAnswersAgree, -1, a, "another answer was "+verdict.String())}
		}
		verdict = a.Answer.Verdict
	}
	return nil
}
