package contract

import (
	"context"

	"github.com/qmuntal/stateless"
)

// JobState is the state of a job at its home.
type JobState uint8

// Job states.
const (
	JobWaiting JobState = iota
	JobRunning
	JobComplete
	JobFailed
	JobHandedOver
)

// String returns the name used in the timeline.
func (s JobState) String() string {
	names := [...]string{"waiting", "running", "complete", "failed", "handed over"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

type jobEvent uint8

const (
	jobEventStarted jobEvent = iota
	jobEventCompleted
	jobEventFailed
	jobEventHandedOver
)

type jobStateKey struct{}

// jobMachine is shared by all jobs; the state is kept in the job.
var jobMachine = newJobMachine()

func newJobMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return *ctx.Value(jobStateKey{}).(*JobState), nil
		},
		func(ctx context.Context, s stateless.State) error {
			*ctx.Value(jobStateKey{}).(*JobState) = s.(JobState)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(JobWaiting).
		Permit(jobEventStarted, JobRunning).
		Permit(jobEventFailed, JobFailed).
		Permit(jobEventHandedOver, JobHandedOver)
	m.Configure(JobRunning).
		Permit(jobEventCompleted, JobComplete).
		Permit(jobEventFailed, JobFailed).
		// A running job may be handed over too, if all of its starts were proven not to have happened.
		Permit(jobEventHandedOver, JobHandedOver)
	return m
}

// fireJob returns an error for an event that the state does not allow. It expects the shard lock of the job to be
// held.
func fireJob(s *JobState, e jobEvent) error {
	return jobMachine.FireCtx(context.WithValue(context.Background(), jobStateKey{}, s), e)
}
