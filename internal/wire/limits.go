package wire

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

// Limits of fields in callers' requests.
const (
	// MaxWait bounds the wait of one call; a longer wait is truncated, and the caller repeats the call. It must stay
	// below the timeout of forwarded calls.
	MaxWait = 25 * time.Second
	// maxDeadline rejects values in a wrong unit, which could overflow a duration.
	maxDeadline = 24 * time.Hour
	// maxName and maxKeyText are in bytes.
	maxName    = 256
	maxKeyText = 1024
)

// WaitFrom decodes the wait of a call and limits it to MaxWait.
func WaitFrom(ms int64) (time.Duration, error) {
	if ms < 0 {
		return 0, fault.With(fault.Invalid, "wait", "wait_ms of %d is negative", ms)
	}
	return millis(min(ms, MaxWait.Milliseconds())), nil
}

// DeadlineFrom decodes and validates the time allowed for a job.
func DeadlineFrom(ms int64) (time.Duration, error) {
	if ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, fault.With(fault.Invalid, "deadline", "deadline_ms of %d is not from 0 to %d", ms, maxDeadline.Milliseconds())
	}
	return millis(ms), nil
}

// ChangeFrom decodes a change of a job.
func ChangeFrom(r *api.ReconfigureRequest) (contract.Change, error) {
	d, err := DeadlineFrom(r.GetDeadlineMs())
	return contract.Change{Deadline: d, Priority: int(r.GetPriority())}, err
}

// checkName rejects names so long that they would burden queues, logs and metrics.
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
