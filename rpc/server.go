package rpc

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// maxMessageBytes allows for the largest job and the fields around its payloads.
	maxMessageBytes = contract.MaxJobBytes + 1<<20
	// maxJobIDs bounds the ids of one CreateJobs call.
	maxJobIDs = 10000
)

// Jobs is the dispatcher behind the front end. Callers receive an error of Submit that proves that no task ran as a
// refusal.
type Jobs interface {
	Create(ctx context.Context, n int) ([]contract.JobID, error)
	Submit(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error)
	Await(ctx context.Context, r contract.JobRef, wait time.Duration) (contract.Answer, error)
	Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error)
	Reconfigure(ctx context.Context, r contract.JobRef, c contract.Change) (contract.JobProgress, error)
	Status(ctx context.Context, r contract.JobRef) (contract.JobProgress, error)
}

// Server is the gRPC server for callers.
type Server struct {
	api.UnimplementedDispatcherServer
	jobs    Jobs
	now     func() time.Time
	invalid metrics.Counter
	grpc    *grpc.Server
}

// ServerOptions configure a server. Credentials may be nil for connections without TLS, Clients for callers without limits.
type ServerOptions struct {
	Now         func() time.Time
	Credentials credentials.TransportCredentials
	Clients     *clientlimit.Process
	Metrics     metrics.Registry
}

// Serve accepts callers on l in the background.
func Serve(l net.Listener, jobs Jobs, o ServerOptions) *Server {
	invalid := metrics.GetOrRegisterCounter(metric.InvalidRequests, o.Metrics)
	opts := append(connectionLimits(),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.StatsHandler(oversizeCounter{counter: invalid}),
	)
	creds := o.Credentials
	if o.Clients != nil {
		creds = limitCalls(creds, o.Clients)
		opts = append(opts, callLimits(o.Clients)...)
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := &Server{jobs: jobs, now: o.Now, invalid: invalid, grpc: grpc.NewServer(opts...)}
	api.RegisterDispatcherServer(s.grpc, s)
	if c, ok := jobs.(ConfigurationSource); ok {
		api.RegisterConfigurationServer(s.grpc, configurationServer{source: c})
	}
	go func() {
		// Serve returns when Stop closes the listener.
		_ = s.grpc.Serve(l)
	}()
	return s
}

// Stop waits for the calls in flight until ctx is done, then aborts the rest.
func (s *Server) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
}

// CreateJobs implements the generated interface.
func (s *Server) CreateJobs(ctx context.Context, r *api.CreateJobsRequest) (*api.CreateJobsResponse, error) {
	n := int(r.GetCount())
	if n < 1 || n > maxJobIDs {
		return nil, s.callError(fault.With(fault.Invalid, "count", "count of %d is not from 1 to %d", n, maxJobIDs))
	}
	ids, err := s.jobs.Create(ctx, n)
	if err != nil {
		return nil, s.callError(err)
	}
	out := &api.CreateJobsResponse{JobIds: make([]string, len(ids))}
	for i, id := range ids {
		out.JobIds[i] = id.String()
	}
	return out, nil
}

// Submit implements the generated interface.
func (s *Server) Submit(ctx context.Context, r *api.SubmitRequest) (*api.Answer, error) {
	sub, err := wire.SubmissionFrom(r)
	if err != nil {
		// This is not a refusal of the job: an earlier submission of the same id may have run.
		return nil, s.callError(err)
	}
	wait, err := wire.WaitFrom(r.GetWaitMs())
	if err != nil {
		return nil, s.callError(err)
	}
	a, err := s.jobs.Submit(ctx, sub, wait)
	return s.answerOf(a, sub.Ref.ID, err)
}

// Await implements the generated interface.
func (s *Server) Await(ctx context.Context, r *api.AwaitRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.callError(err)
	}
	wait, err := wire.WaitFrom(r.GetWaitMs())
	if err != nil {
		return nil, s.callError(err)
	}
	a, err := s.jobs.Await(ctx, ref, wait)
	if err != nil {
		return nil, s.callError(err)
	}
	return wire.AnswerTo(a), nil
}

// Cancel implements the generated interface.
func (s *Server) Cancel(ctx context.Context, r *api.CancelRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.callError(err)
	}
	a, err := s.jobs.Cancel(ctx, ref)
	if err != nil {
		return nil, s.callError(err)
	}
	return wire.AnswerTo(a), nil
}

// Reconfigure implements the generated interface.
func (s *Server) Reconfigure(ctx context.Context, r *api.ReconfigureRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.callError(err)
	}
	c, err := wire.ChangeFrom(r)
	if err != nil {
		return nil, s.callError(err)
	}
	p, err := s.jobs.Reconfigure(ctx, ref, c)
	if err != nil {
		return nil, s.callError(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// Status implements the generated interface.
func (s *Server) Status(ctx context.Context, r *api.StatusRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.callError(err)
	}
	p, err := s.jobs.Status(ctx, ref)
	if err != nil {
		return nil, s.callError(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// answerOf converts the result of a submission. An error that proves that no task ran becomes a refusal, which is an
// answer.
func (s *Server) answerOf(a contract.Answer, id contract.JobID, err error) (*api.Answer, error) {
	if err == nil {
		return wire.AnswerTo(a), nil
	}
	if fault.IsProvenNotStarted(err) {
		s.countInvalid(err)
		return wire.AnswerTo(wire.RefusedAnswer(id, err)), nil
	}
	return nil, s.callError(err)
}

// callError counts an invalid call and converts its error.
func (s *Server) callError(err error) error {
	s.countInvalid(err)
	return statusOf(err)
}

func (s *Server) countInvalid(err error) {
	if fault.Code(err) == fault.Invalid.FullName() {
		s.invalid.Inc(1)
	}
}
