package wire

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

// Limits of callers' fields.
const (
	// MaxWait bounds one waiting call; a longer wait is cut, and the caller asks again. It stays below the time for
	// which a forwarded call may wait.
	MaxWait = 25 * time.Second
	// maxDeadline refuses values that come from a wrong unit and would overflow a duration.
	maxDeadline = 24 * time.Hour
	maxName     = 256
	maxKeyText  = 1024
)

// WaitFrom reads how long a call may wait.
func WaitFrom(ms int64) (time.Duration, error) {
	if ms < 0 {
		return 0, fault.With(fault.Invalid, "wait", "wait_ms of %d is negative", ms)
	}
	return millis(min(ms, MaxWait.Milliseconds())), nil
}

// DeadlineFrom reads the time allowed to a job.
func DeadlineFrom(ms int64) (time.Duration, error) {
	if ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, fault.With(fault.Invalid, "deadline", "deadline_ms of %d is not from 0 to %d", ms, maxDeadline.Milliseconds())
	}
	return millis(ms), nil
}

// ChangeFrom reads a change of a job.
func ChangeFrom(r *api.ReconfigureRequest) (contract.Change, error) {
	d, err := DeadlineFrom(r.GetDeadlineMs())
	return contract.Change{Deadline: d, Priority: int(r.GetPriority())}, err
}

// checkName refuses names that would only burden queues, logs and metrics.
func checkName(field, name string) error {
	if len(name) > maxName {
		return fault.With(fault.Invalid, field, "%s of %d bytes exceeds %d", field, len(name), maxName)
	}
	return nil
}

// checkNames checks all names of a submission.
func checkNames(r *api.SubmitRequest) error {
	for _, f := range []struct{ field, name string }{
		{"service", r.GetService()}, {"customer", r.GetCustomer()}, {"team", r.GetTeam()},
	} {
		if err := checkName(f.field, f.name); err != nil {
			return err
		}
	}
	return nil
}
