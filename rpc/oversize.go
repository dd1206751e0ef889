package rpc

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// oversizeCounter counts messages that gRPC rejects for their size before a handler receives them.
type oversizeCounter struct {
	counter metrics.Counter
}

// HandleRPC implements stats.Handler.
func (o oversizeCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	end, ok := s.(*stats.End)
	if !ok || status.Code(end.Error) != codes.ResourceExhausted {
		return
	}
	// Errors of the dispatcher have a type; an error without one comes from the transport.
	var typed *errorx.Error
	if !errors.As(errorFrom(end.Error), &typed) {
		o.counter.Inc(1)
	}
}

// TagRPC implements stats.Handler.
func (o oversizeCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (o oversizeCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (o oversizeCounter) HandleConn(context.Context, stats.ConnStats) {}
