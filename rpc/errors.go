package rpc

import (
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/fault"
)

const (
	// errorDomain identifies the error details that this package writes.
	errorDomain = "cicadadale"
	reasonField = "reason"
)

// codesByFault maps error types to status codes. All other types map to Internal.
var codesByFault = map[string]codes.Code{
	fault.Invalid.FullName():       codes.InvalidArgument,
	fault.UnknownJob.FullName():    codes.NotFound,
	fault.Expired.FullName():       codes.FailedPrecondition,
	fault.Overloaded.FullName():    codes.ResourceExhausted,
	fault.Unavailable.FullName():   codes.Unavailable,
	fault.Draining.FullName():      codes.Unavailable,
	fault.HandedOver.FullName():    codes.Unavailable,
	fault.JobLost.FullName():       codes.DataLoss,
	fault.NeverAccepted.FullName(): codes.FailedPrecondition,
}

// statusOf converts an error to a gRPC status. The details carry its type and reason, so that errorFrom can restore it.
func statusOf(err error) error {
	code, ok := codesByFault[fault.Code(err)]
	if !ok {
		code = codes.Internal
	}
	if fault.Reason(err) == fault.ReasonIDTooOld {
		code = codes.OutOfRange
	}
	s := status.New(code, err.Error())
	if detailed, failed := s.WithDetails(&errdetails.ErrorInfo{
		Reason: fault.Code(err), Domain: errorDomain, Metadata: map[string]string{reasonField: fault.Reason(err)},
	}); failed == nil {
		s = detailed
	}
	return s.Err()
}

// errorFrom restores the type of an error that statusOf converted. It returns other errors unchanged: they come from
// the connection and prove nothing about the call.
func errorFrom(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	for _, d := range s.Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.GetDomain() == errorDomain && info.GetReason() != "" {
			return fault.FromCode(info.GetReason(), s.Message(), info.GetMetadata()[reasonField])
		}
	}
	return err
}
