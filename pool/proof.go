package pool

import "github.com/cicadadale/cicadadale/metric"

// endProof is the fact from which the pool concludes that a run is over, or why it leaves a run to the next owner of its
// worker.
type endProof uint8

const (
	// proofNotStarted means that the run was never sent, or that its start was provably not executed.
	proofNotStarted endProof = iota
	// proofListed means that the worker lists the end of the run.
	proofListed
	// proofStopped means that the worker has answered a stop and lists neither the run nor its end afterwards.
	proofStopped
	// proofUnlisted means that the worker had confirmed the run and lists neither the run nor its end, without a stop.
	proofUnlisted
	// proofDoubtUnlisted means that the worker does not list a withdrawn run whose start got no reply, and has answered no stop. It
	// proves that nothing runs, not that the start will not be executed any more.
	proofDoubtUnlisted
	// proofLeaseExpired means that the clock of a silent worker has passed every lease.
	proofLeaseExpired
	// proofDoubtExpired means the same of a withdrawn run whose start got no reply. It proves no more than proofDoubtUnlisted.
	proofDoubtExpired
	// proofRestarted means that a later incarnation of the worker does not list the run.
	proofRestarted
	// proofOtherWorker means that another worker answers at the address.
	proofOtherWorker

	// leftFenced means that the worker has rejected the fencing token of this VM.
	leftFenced
	// leftReassigned means that the worker has been assigned to another VM.
	leftReassigned
	// leftMoved means that the worker is listed at another address.
	leftMoved
	// leftNotOwned means that a call about the run returned after this VM had lost the worker.
	leftNotOwned
)

// proofs holds the name and the counter of each proof.
var proofs = [...]struct{ name, counter string }{
	proofNotStarted:    {"not started", metric.PoolEndsNotStarted},
	proofListed:        {"end listed", metric.PoolEndsListed},
	proofStopped:       {"stop answered", metric.PoolEndsStopped},
	proofUnlisted:      {"not listed", metric.PoolEndsUnlisted},
	proofDoubtUnlisted: {"not listed, start in doubt", metric.PoolEndsInDoubt},
	proofLeaseExpired:  {"lease expired on worker clock", metric.PoolEndsLeaseExpired},
	proofDoubtExpired:  {"lease expired, start in doubt", metric.PoolEndsDoubtExpired},
	proofRestarted:     {"worker restarted", metric.PoolEndsRestarted},
	proofOtherWorker:   {"other worker at address", metric.PoolEndsOtherWorker},
	leftFenced:         {"fenced", metric.PoolLeftFenced},
	leftReassigned:     {"worker reassigned", metric.PoolLeftReassigned},
	leftMoved:          {"worker at other address", metric.PoolLeftMoved},
	leftNotOwned:       {"worker not owned", metric.PoolLeftNotOwned},
}

// String returns the name of the proof in logs.
func (e endProof) String() string { return proofs[e].name }

// unlistedProof returns what proves the end of a run that the current incarnation of its worker does not list.
func (r *run) unlistedProof() endProof {
	switch {
	case r.workerStart != r.host.host.StartTime:
		return proofRestarted
	case r.stopAnswered:
		return proofStopped
	default:
		return proofUnlisted
	}
}
