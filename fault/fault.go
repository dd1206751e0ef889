// Package fault defines the error types of the dispatcher. A type says what is proven about the execution of the
// task or job that the error speaks of, and traits say whether a retry is safe.
package fault

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Traits of the error types.
var (
	// ProvenNotStarted marks errors after which nothing was or will be executed.
	ProvenNotStarted = errorx.RegisterTrait("proven_not_started")
	// Retriable marks errors after which the same call may succeed later.
	Retriable = errorx.RegisterTrait("retriable")
)

var namespace = errorx.NewNamespace("cicadadale")

// Error types.
var (
	// NotStarted says that a start was never written to a socket or was rejected by the worker.
	NotStarted = namespace.NewType("not_started", ProvenNotStarted, Retriable)
	// InDoubt says that a start was sent and not answered.
	InDoubt = namespace.NewType("in_doubt")
	// Refused says that a job was not accepted.
	Refused = namespace.NewType("refused", ProvenNotStarted)
	// Overloaded is a refusal for lack of capacity or quota.
	Overloaded = namespace.NewType("overloaded", ProvenNotStarted, Retriable)
	// Draining is a refusal by an entry VM that is stopping.
	Draining = namespace.NewType("draining", ProvenNotStarted, Retriable)
	// Invalid says that the input is malformed.
	Invalid = namespace.NewType("invalid", ProvenNotStarted)
	// UnknownJob says that the id was never minted or never submitted.
	UnknownJob = namespace.NewType("unknown_job")
	// Expired says that the answer is no longer kept.
	Expired = namespace.NewType("expired")
	// Unavailable says that the process which knows the answer cannot be reached now.
	Unavailable = namespace.NewType("unavailable", Retriable)
	// Failed says that the back end failed a task, or that the job of a finished task was not complete.
	Failed = namespace.NewType("failed")
	// HandedOver says that the job was handed over to the successor of its home, which answers for it.
	HandedOver = namespace.NewType("handed_over", Retriable)
	// NeverAccepted says that a complete hand-over proves that the job was never accepted by its home.
	NeverAccepted = namespace.NewType("never_accepted", ProvenNotStarted)
	// Lost says that the home of the job is gone without having handed the job over.
	Lost = namespace.NewType("lost")
	// Violation reports a broken invariant of the program.
	Violation = namespace.NewType("violation")
)

// ReasonProperty holds the machine-readable reason of an error.
var ReasonProperty = errorx.RegisterPrintableProperty("reason")

// ReasonNotSent is the reason of a NotStarted error when the start was never written to a socket.
const ReasonNotSent = "not sent"

// Reasons with which a job that did not run may be submitted under another id.
const (
	// ReasonDraining is the reason of a refusal by a home that stops.
	ReasonDraining = "draining"
	// ReasonHomeClosed is the reason of a refusal by the successor of a home that never accepted the job.
	ReasonHomeClosed = "home closed"
	// ReasonHomeGone says that the home was gone before the call could be forwarded to it. It proves that the job did
	// not run only to a caller that has sent no other copy.
	ReasonHomeGone = "home gone"
)

// ReasonIDTooOld is the reason of an Expired error for a submission that was not accepted. Like ReasonHomeGone it proves
// that the job did not run only to a caller that has sent no other copy.
const ReasonIDTooOld = "id too old"

// ReasonRunning is the reason of an Unavailable error when a worker has confirmed that a task in doubt still runs.
const ReasonRunning = "still running"

var byCode = map[string]*errorx.Type{}

func init() {
	for _, t := range []*errorx.Type{
		NotStarted, InDoubt, Refused, Overloaded, Draining, Invalid, UnknownJob, Expired, Unavailable, Violation,
		HandedOver, NeverAccepted, Lost, Failed,
	} {
		byCode[t.FullName()] = t
	}
}

// Code returns the name of the error's type for the wire, empty for foreign errors.
func Code(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return ""
	}
	return e.Type().FullName()
}

// FromCode rebuilds an error that another process reported.
func FromCode(code, text, reason string) error {
	t, ok := byCode[code]
	if !ok {
		t = Unavailable
	}
	return t.New("%s", text).WithProperty(ReasonProperty, reason)
}

// Reason returns the reason attached to the error, or its type's short name.
func Reason(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return "internal"
	}
	if r, ok := e.Property(ReasonProperty); ok {
		if s, ok := r.(string); ok && s != "" {
			return s
		}
	}
	return e.Type().FullName()
}

// With attaches a reason to a new error of type t.
func With(t *errorx.Type, reason, format string, args ...any) error {
	return t.New(format, args...).WithProperty(ReasonProperty, reason)
}

// IsProvenNotStarted reports whether err proves that nothing was executed.
func IsProvenNotStarted(err error) bool { return errorx.HasTrait(err, ProvenNotStarted) }

// IsRetriable reports whether the same call may succeed later.
func IsRetriable(err error) bool { return errorx.HasTrait(err, Retriable) }

// RetryAfterProperty holds the time after which a refused call may succeed.
var RetryAfterProperty = errorx.RegisterProperty("retry_after")

// Overload returns a refusal for lack of capacity with a hint when to retry.
func Overload(reason string, retryAfter time.Duration, format string, args ...any) error {
	text := fmt.Sprintf(format, args...) + ", retry after " + retryAfter.Round(time.Millisecond).String()
	return Overloaded.New("%s", text).WithProperty(ReasonProperty, reason).
		WithProperty(RetryAfterProperty, retryAfter)
}

// RetryAfter returns the hint attached to the error, zero if there is none.
func RetryAfter(err error) time.Duration {
	e := errorx.Cast(err)
	if e == nil {
		return 0
	}
	if v, ok := e.Property(RetryAfterProperty); ok {
		if d, ok := v.(time.Duration); ok {
			return d
		}
	}
	return 0
}
