// Package fault defines the error types of the dispatcher. The type of an error states what is proven about the
// execution of its task or job; the traits of the type state whether a retry is safe.
package fault

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Traits of the error types.
var (
	// ProvenNotStarted marks errors that prove that nothing has been or will be executed.
	ProvenNotStarted = errorx.RegisterTrait("proven_not_started")
	// Retriable marks errors after which the same call may succeed later.
	Retriable = errorx.RegisterTrait("retriable")
	// ConnectionRefused marks errors that show that the machine answers and no process listens at the address.
	ConnectionRefused = errorx.RegisterTrait("connection_refused")
	// Answered marks errors of calls that got an answer which says nothing reliable about their execution. A call without any
	// answer may be executed long afterwards, these were when they were answered.
	Answered = errorx.RegisterTrait("answered")
)

var namespace = errorx.NewNamespace("cicadadale")

// Error types.
var (
	// NotStarted means that a start was never written to a socket or was rejected by the worker.
	NotStarted = namespace.NewType("not_started", ProvenNotStarted, Retriable)
	// NotListening means that a connection was refused, so that nothing was written to a socket.
	NotListening = namespace.NewType("not_listening", ProvenNotStarted, Retriable, ConnectionRefused)
	// InDoubt means that a start was sent and no reply was received.
	InDoubt = namespace.NewType("in_doubt")
	// AnsweredInDoubt means that a start was sent and its reply is not whole, or may be that to another call.
	AnsweredInDoubt = InDoubt.NewSubtype("answered", Answered)
	// Refused means that a job was not accepted, or that a task of it was not run.
	Refused = namespace.NewType("refused", ProvenNotStarted)
	// Overloaded is a refusal for lack of capacity or quota.
	Overloaded = namespace.NewType("overloaded", ProvenNotStarted, Retriable)
	// Draining is a refusal by an entry VM that is stopping.
	Draining = namespace.NewType("draining", ProvenNotStarted, Retriable)
	// Invalid means that the input is malformed.
	Invalid = namespace.NewType("invalid", ProvenNotStarted)
	// UnknownJob means that the id was never issued or never submitted.
	UnknownJob = namespace.NewType("unknown_job")
	// Expired means that the job's id, key or answer is older than its retention.
	Expired = namespace.NewType("expired")
	// Unavailable means that the process that holds the answer is currently unreachable.
	Unavailable = namespace.NewType("unavailable", Retriable)
	// Failed means that the back end failed a task, or that a task has no result because its job is not complete.
	Failed = namespace.NewType("failed")
	// HandedOver means that the job was handed over to the successor of its home, which answers for it.
	HandedOver = namespace.NewType("handed_over", Retriable)
	// NeverAccepted means that the home never accepted the job, as its complete handover proves.
	NeverAccepted = namespace.NewType("never_accepted", ProvenNotStarted)
	// JobLost means that the home of the job is gone and did not hand the job over.
	JobLost = namespace.NewType("lost")
	// Violation means that an invariant of the program is violated.
	Violation = namespace.NewType("violation")
)

// ReasonProperty holds the machine-readable reason of an error.
var ReasonProperty = errorx.RegisterPrintableProperty("reason")

// ReasonNotSent is the reason of a NotStarted error when the start was never written to a socket.
const ReasonNotSent = "not sent"

// Reasons after which a job that did not run may be submitted under another id.
const (
	// ReasonDraining is the reason of a refusal by a home that is stopping.
	ReasonDraining = "draining"
	// ReasonHomeClosed is the reason of a refusal by the successor of a home that never accepted the job.
	ReasonHomeClosed = "home closed"
	// ReasonHomeGone means that the home was gone before the call could be forwarded to it. It proves that the job did
	// not run only if the caller has sent no other copy.
	ReasonHomeGone = "home gone"
)

// ReasonIDTooOld is the reason of an Expired error for a submission that was not accepted. Like ReasonHomeGone it
// proves that the job did not run only if the caller has sent no other copy.
const ReasonIDTooOld = "id too old"

// ReasonRunning is the reason of an Unavailable error if a worker has confirmed that a task in doubt is still running.
const ReasonRunning = "still running"

var byCode = map[string]*errorx.Type{}

func init() {
	for _, t := range []*errorx.Type{
		NotStarted, NotListening, InDoubt, Refused, Overloaded, Draining, Invalid, UnknownJob, Expired, Unavailable, Violation,
		HandedOver, NeverAccepted, JobLost, Failed,
	} {
		byCode[t.FullName()] = t
	}
}

// Code returns the wire name of the error's type, or an empty string for an error of another package.
func Code(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return ""
	}
	return e.Type().FullName()
}

// FromCode reconstructs an error that another process reported. An unknown code becomes Unavailable.
func FromCode(code, text, reason string) error {
	t, ok := byCode[code]
	if !ok {
		t = Unavailable
	}
	return t.New("%s", text).WithProperty(ReasonProperty, reason)
}

// Reason returns the reason attached to the error, or else the full name of its type. For an error of another package
// it returns "internal".
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

// With returns a new error of type t with a reason.
func With(t *errorx.Type, reason, format string, args ...any) error {
	return t.New(format, args...).WithProperty(ReasonProperty, reason)
}

// IsProvenNotStarted reports whether err proves that nothing has been or will be executed.
func IsProvenNotStarted(err error) bool { return errorx.HasTrait(err, ProvenNotStarted) }

// IsConnectionRefused reports whether err shows that no process listens at the address.
func IsConnectionRefused(err error) bool { return errorx.HasTrait(err, ConnectionRefused) }

// IsRetriable reports whether the same call may succeed later.
func IsRetriable(err error) bool { return errorx.HasTrait(err, Retriable) }

// RetryAfterProperty holds the duration after which a refused call may succeed.
var RetryAfterProperty = errorx.RegisterProperty("retry_after")

// Overload returns a refusal for lack of capacity with a hint about when to retry.
func Overload(reason string, retryAfter time.Duration, format string, args ...any) error {
	text := fmt.Sprintf(format, args...) + ", retry after " + retryAfter.Round(time.Millisecond).String()
	return Overloaded.New("%s", text).WithProperty(ReasonProperty, reason).
		WithProperty(RetryAfterProperty, retryAfter)
}

// RetryAfter returns the retry hint attached to the error, or zero if there is none.
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
