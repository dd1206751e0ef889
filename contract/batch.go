package contract

import (
	"strconv"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// RunKey identifies one run of one task of a batch. Runs of a task are numbered; a higher number is a later run.
type RunKey struct {
	Batch string
	Step  int
	Index int
	Run   uint64
}

// Task returns the key without the run, so that two runs of one task compare equal.
func (k RunKey) Task() RunKey {
	k.Run = 0
	return k
}

// InStep reports whether two keys belong to tasks of the same step.
func (k RunKey) InStep(o RunKey) bool { return k.Batch == o.Batch && k.Step == o.Step }

// String returns the key in the form batch.step.index#run.
func (k RunKey) String() string {
	b := append([]byte(k.Batch), '.')
	b = strconv.AppendInt(b, int64(k.Step), 10)
	b = strconv.AppendInt(append(b, '.'), int64(k.Index), 10)
	return string(strconv.AppendUint(append(b, '#'), k.Run, 10))
}

// Step is a set of identical tasks of a batch.
type Step struct {
	Count         int
	Need          machine.Resources
	Estimate      time.Duration
	RequiredLabel string
	PreferredRack string
	// PerWorkerLimit is the number of tasks of the step that may run on one worker; zero for any.
	PerWorkerLimit int
	// DependsOn lists earlier steps whose tasks must all be done before a task of this step starts.
	DependsOn []int
}

// Batch is a job whose answer is the reply to its submission: nothing of it is retained when its home (the member
// that accepted it) stops.
type Batch struct {
	ID    string
	Route string
	// Backend names the workers that run the tasks.
	Backend  string
	Spec     []byte
	Steps    []Step
	Priority int
	// Attempts is the number of failed runs of one task after which the batch fails.
	Attempts int
	// The latency target is TargetFactor times the expected run time plus TargetSlack.
	TargetFactor float64
	TargetSlack  time.Duration
	// Accepted is when the submission arrived, Deadline when its caller stops waiting.
	Accepted time.Time
	Deadline time.Time
}

// MaxSpecBytes bounds the specification of the tasks of a batch. Each start of a task carries a copy.
const MaxSpecBytes = 4_000

// MaxBatchTasks bounds the tasks of a batch, so that one submission cannot use up the memory of its home.
const MaxBatchTasks = 10_000

// Tasks returns the number of tasks of all steps.
func (b *Batch) Tasks() int {
	n := 0
	for _, s := range b.Steps {
		n += s.Count
	}
	return n
}

// TaskOrder is the order to run a task that the home of a batch sends to the owner of workers.
type TaskOrder struct {
	Key      RunKey
	Backend  string
	Spec     []byte
	Need     machine.Resources
	Priority int
	// Accepted is when the job arrived, Target when its answer becomes late, Deadline when its caller stops waiting.
	Accepted      time.Time
	Target        time.Time
	Deadline      time.Time
	Expected      time.Duration
	RequiredLabel string
	PreferredRack string
	// PerWorkerLimit is the number of tasks of the step that may run on one worker; zero for any.
	PerWorkerLimit int
	// Claim is set if the home claims a run that has already been started: an owner without a record of the run must not
	// start it.
	Claim bool
	// ClaimToken is the fencing token of the takeover that a claim answers.
	ClaimToken uint64
	// OnlyWorker is the worker that may still execute an earlier start of the task. The run starts there and on no other
	// worker. Empty for any worker.
	OnlyWorker string
	// JobStarted is set if another task of the job has started.
	JobStarted bool
	// Route is the route of the job.
	Route string
	// Alone is set for a task under which a worker has crashed: it runs on a worker without other runs, so that its next
	// crash proves who caused it.
	Alone bool
	// Suggested is set if the owner that had the task before has suggested this one, on its invitation.
	Suggested bool
}

// RunState is the state of a run as known to the owner of its worker.
type RunState uint8

// States of runs. RunDone and all later ones are final.
const (
	RunQueued RunState = iota
	RunStarted
	RunDone
	// RunFailed means that the worker ended the run without success.
	RunFailed
	// RunEnded means that the run has ended for another reason, or never started, and never starts later.
	RunEnded
	// RunUnknown means that the owner has no record of the run and does not start it later.
	RunUnknown
	// RunInfeasible means that no worker of the owner can hold the task.
	RunInfeasible
	// RunLost means that the owner has lost the worker to another VM: the run may continue until its lease expires, and
	// the new owner of the worker has a record of it.
	RunLost
	// RunCrashed means that the run has ended with its worker, which has crashed.
	RunCrashed
)

// String returns the state's name for logs.
func (s RunState) String() string {
	names := [...]string{"queued", "started", "done", "failed", "ended", "unknown", "infeasible", "lost", "crashed"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Final reports whether the state can no longer change.
func (s RunState) Final() bool { return s >= RunDone }

// RunReport is an owner's report of a run to the home of its batch.
type RunReport struct {
	Key    RunKey
	State  RunState
	Worker string
	// Token is the fencing token under which the run was started, zero for a run that was not.
	Token uint64
	// MayHaveStarted is set if a start of the run was sent and not provably rejected.
	MayHaveStarted bool
	// MayStartLate is set if the only worker in LateWorkers belongs to the sender. Homes go by LateWorkers.
	MayStartLate bool
	// LateWorkers are the workers that may still execute an earlier start of the task, or a start of this run that has had no
	// reply yet. The next run is ordered at such a worker or not at all.
	LateWorkers []string
	// NextOwner is the owner that has invited this one to give up the run, which never started. It is a hint where to order the
	// next run; empty for none.
	NextOwner string
	// RunTime is how long the run took, for final reports of runs that started.
	RunTime time.Duration
}

// Takeover announces that a VM now owns a worker, and which runs it found there.
type Takeover struct {
	Worker string
	// StartTime identifies the incarnation of the worker, as in machine.Listing.
	StartTime int64
	// Token is the fencing token of the new owner.
	Token uint64
	Runs  []RunKey
}
