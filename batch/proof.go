package batch

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/metric"
)

// endProof is the fact from which a home concludes that the current run of a task is over.
type endProof uint8

const (
	// proofReported means that the owner has reported the end of the run.
	proofReported endProof = iota
	// proofFailed means that the owner has reported a failure of the run.
	proofFailed
	// proofInfeasible means that no worker of the owner can hold the task.
	proofInfeasible
	// proofUnknown means that the owner does not know the run and never starts it.
	proofUnknown
	// proofTakeover means that the next owner of the worker has not found the run there.
	proofTakeover
	// proofExpired means that runExpiry has passed since the last contact that was echoed for the run.
	proofExpired
)

// proofs holds the name and the counter of each proof.
var proofs = [...]struct{ name, counter string }{
	proofReported:   {"reported by owner", metric.BatchEndsReported},
	proofFailed:     {"failure reported by owner", metric.BatchEndsFailed},
	proofInfeasible: {"infeasible at owner", metric.BatchEndsInfeasible},
	proofUnknown:    {"not known to owner", metric.BatchEndsUnknown},
	proofTakeover:   {"not listed at takeover", metric.BatchEndsTakeover},
	proofExpired:    {"time since last contact", metric.BatchEndsExpired},
}

// String returns the name of the proof in logs.
func (e endProof) String() string { return proofs[e].name }

// recordEnd logs and counts why the current run of a task is over. source is the member that the proof comes from, token
// the fencing token that it carries.
func (h *Home) recordEnd(j *job, t *task, proof endProof, source string, token uint64, ran bool) {
	h.counter(proofs[proof].counter).Inc(1)
	h.o.Logger.Info("run is over; its task may be ordered again", "task", j.key(t).String(), "proof", proof.String(),
		"source", source, "source_token", token, "owner", t.owner, "worker", t.worker, "token", t.token,
		"started", t.started, "may_have_run", ran, "withdrawn", t.withdrawn)
}

// soleHomeProof is the fact from which a home concludes that no other member has a job.
type soleHomeProof struct {
	// by is bySubmission or byMajority.
	by string
	at time.Time
}

const (
	// bySubmission means that the caller submitted the job here at that time; it submits it elsewhere 1.3 s later at the
	// earliest.
	bySubmission = "submission"
	// byMajority means that this home was in contact with a majority of the members of the job's electorate at that time.
	byMajority = "majority of electorate"
)

// soleHomeProof returns the latest proof that no other member has a job. It says nothing of the caller, which may have left
// without notice. The lock of the job's shard is held.
func (o *outbox) soleHomeProof(j *job) soleHomeProof {
	if at := o.majorityContact(j.electorate); at.After(j.submittedAt) {
		return soleHomeProof{byMajority, at}
	}
	return soleHomeProof{bySubmission, j.submittedAt}
}

// attrs returns the log attributes of a proof.
func (p soleHomeProof) attrs(now time.Time) slog.Attr {
	return slog.Group("sole_home", "by", p.by, logattr.Since("ago", now, p.at))
}

// logOrders logs the runs of a job that have been ordered together, and why no other home can have the job.
func (h *Home) logOrders(j *job, now time.Time, out *outbox) {
	for tasks := range slices.Chunk(out.ordered, logattr.TasksPerLine) {
		h.o.Logger.Info("tasks ordered", "job", j.batch.ID, "tasks", tasks, out.soleHomeProof(j).attrs(now),
			"released_by", j.released)
	}
	out.ordered = nil
}

// logUnreachable logs the runs at an owner that can no longer be reached.
func (h *Home) logUnreachable(owner string, runs []string) {
	for tasks := range slices.Chunk(runs, logattr.TasksPerLine) {
		h.o.Logger.Warn("owner of workers is unreachable; its runs are in doubt", "owner", owner, "runs", len(runs),
			"tasks", tasks)
	}
}

// logRerunDone logs the end of a task that has had several runs.
func (h *Home) logRerunDone(j *job, t *task, owner string, r contract.RunReport) {
	if t.run > h.runs.first(j.batch.Accepted, 0) {
		h.o.Logger.Info("task done after several runs", "task", r.Key.String(), "source", owner, "source_token", r.Token,
			"worker", r.Worker, "owner", t.owner, "token", t.token)
	}
}

// logIgnored logs a report without effect.
func (h *Home) logIgnored(owner string, r contract.RunReport, reason string) {
	if r.State == contract.RunQueued {
		return
	}
	h.o.Logger.Info("report of a run ignored", "task", r.Key.String(), "reason", reason, "state", r.State.String(),
		"source", owner, "source_token", r.Token, "worker", r.Worker, "may_have_run", r.MayHaveStarted)
}
