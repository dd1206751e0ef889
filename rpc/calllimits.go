package rpc

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/clientlimit"
)

const (
	// metadataFieldBytes is what a field of the metadata holds beside its name and its value.
	metadataFieldBytes = 128
	// jobIDBytes is what an id holds in the answer to CreateJobs.
	jobIDBytes = 64
)

// Errors for want of room say nothing of the job that a call names: it may have been submitted before. Callers may ask again under the
// same job id.
var (
	errNoCallRoom   = status.Error(codes.Unavailable, "too many open calls; the job's state is not known, ask again under the same job id")
	errNoAnswerRoom = status.Error(codes.Unavailable, "no room for the answer; ask again under the same job id")
	// errCallEvicted is the cause of a context whose call gave way to another caller's.
	errCallEvicted = errors.New("the call gave way to another caller's")
)

// callLimits returns the options that bound the calls of each connection and of the process.
func callLimits(clients *clientlimit.Process) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(uint32(clients.ConnectionCalls())),
		grpc.InTapHandle(admitCall),
		grpc.UnaryInterceptor(serveCall),
		grpc.StatsHandler(callEnds{}),
		// Without a handler the server does not report the ends of calls of unknown methods.
		grpc.UnknownServiceHandler(unknownMethod),
	}
}

func unknownMethod(any, grpc.ServerStream) error {
	return status.Error(codes.Unimplemented, "unknown method")
}

// callKey is the key of a call's clientlimit.OpenCall in its context.
type callKey struct{}

// callEnds gives back the room of calls when their handlers have ended.
type callEnds struct{}

// HandleRPC implements stats.Handler.
func (callEnds) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, ok := ctx.Value(callKey{}).(*clientlimit.OpenCall)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.Begin:
		call.Handled()
	case *stats.End:
		call.End()
	}
}

// TagRPC implements stats.Handler.
func (callEnds) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (callEnds) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (callEnds) HandleConn(context.Context, stats.ConnStats) {}

// connOf returns the connection of a call, nil if it is not limited.
func connOf(ctx context.Context) *clientlimit.CallConn {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	if info, ok := p.AuthInfo.(limitedAuth); ok {
		return info.conn
	}
	return nil
}

// admitCall takes room for a call when its head has been read, and refuses it otherwise.
func admitCall(ctx context.Context, info *tap.Info) (context.Context, error) {
	conn := connOf(ctx)
	if conn == nil {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	call, begun := conn.BeginCall(metadataBytes(info.Header), func() { cancel(errCallEvicted) })
	if !begun {
		cancel(nil)
		return nil, errNoCallRoom
	}
	context.AfterFunc(ctx, call.Cancelled)
	return context.WithValue(ctx, callKey{}, call), nil
}

// metadataBytes returns what the metadata of a call holds.
func metadataBytes(m metadata.MD) int {
	bytes := 0
	for name, values := range m {
		for _, value := range values {
			bytes += len(name) + len(value) + metadataFieldBytes
		}
	}
	return bytes
}

// serveCall serves a call if there is room for its answer.
func serveCall(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	conn := connOf(ctx)
	if conn == nil {
		return handler(ctx, req)
	}
	expected := expectedAnswerBytes(req)
	if !conn.ReserveAnswer(ctx, expected) {
		return nil, errNoAnswerRoom
	}
	resp, err := handler(ctx, req)
	conn.ReleaseAnswer(expected)
	evicted := errors.Is(context.Cause(ctx), errCallEvicted)
	switch {
	case err != nil && evicted:
		return nil, errNoCallRoom
	case err != nil, ctx.Err() != nil && !evicted:
		return resp, err
	}
	if m, ok := resp.(proto.Message); ok && !conn.ReserveAnswer(ctx, proto.Size(m)) {
		return nil, errNoAnswerRoom
	}
	return resp, nil
}

// expectedAnswerBytes returns the length of an answer that is made for the call alone, as far as the request tells. Other answers are those of
// jobs, which are there already.
func expectedAnswerBytes(req any) int {
	if r, ok := req.(*api.CreateJobsRequest); ok {
		return int(min(r.GetCount(), maxJobIDs)) * jobIDBytes
	}
	return 0
}
