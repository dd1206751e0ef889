package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
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

// logOrders logs the runs of a job that have been ordered together.
func (h *Home) logOrders(j *job, now time.Time, out *outbox) {
	if len(out.ordered) > 0 {
		h.o.Logger.Info("tasks ordered", "job", j.batch.ID, "tasks", out.ordered,
			"since_caller_proof", max(now.Sub(out.provenAt(j)), 0))
		out.ordered = nil
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
