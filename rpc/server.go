package rpc

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// maxMessageBytes leaves room for the fields around the payloads of the largest job.
	maxMessageBytes = contract.MaxJobBytes + 1<<20
	maxMint         = 10000
)

// Jobs is what the front end calls. Errors that prove that nothing ran become refusals.
type Jobs interface {
	Create(ctx context.Context, n int) ([]contract.JobID, error)
	Submit(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error)
	Await(ctx context.Context, r contract.JobRef, wait time.Duration) (contract.Answer, error)
	Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error)
	Reconfigure(ctx context.Context, r contract.JobRef, c contract.Change) (contract.JobProgress, error)
	Status(ctx context.Context, r contract.JobRef) (contract.JobProgress, error)
}

// Server serves callers.
type Server struct {
	api.UnimplementedDispatcherServer
	jobs    Jobs
	now     func() time.Time
	invalid metrics.Counter
	grpc    *grpc.Server
}

// Serve accepts callers on l in the background. Credentials are optional.
func Serve(
	l net.Listener, jobs Jobs, now func() time.Time, creds credentials.TransportCredentials, r metrics.Registry,
) *Server {
	invalid := metrics.GetOrRegisterCounter(metric.InvalidRequests, r)
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.StatsHandler(oversizeCounter{counter: invalid}),
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := &Server{jobs: jobs, now: now, invalid: invalid, grpc: grpc.NewServer(opts...)}
	api.RegisterDispatcherServer(s.grpc, s)
	if c, ok := jobs.(Configured); ok {
		api.RegisterConfigurationServer(s.grpc, configurationServer{source: c})
	}
	go func() {
		// Serve ends when the listener is closed by Stop.
		_ = s.grpc.Serve(l)
	}()
	return s
}

// Stop waits for calls in flight until ctx ends, then cuts the rest.
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
	if n < 1 || n > maxMint {
		return nil, s.failed(fault.With(fault.Invalid, "count", "count of %d is not from 1 to %d", n, maxMint))
	}
	ids, err := s.jobs.Create(ctx, n)
	if err != nil {
		return nil, s.failed(err)
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
		// This is no refusal of the job: an earlier submission of the same id may have run.
		return nil, s.failed(err)
	}
	wait, err := wire.WaitFrom(r.GetWaitMs())
	if err != nil {
		return nil, s.failed(err)
	}
	a, err := s.jobs.Submit(ctx, sub, wait)
	return s.answerOf(a, sub.Ref.ID, err)
}

// Await implements the generated interface.
func (s *Server) Await(ctx context.Context, r *api.AwaitRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.failed(err)
	}
	wait, err := wire.WaitFrom(r.GetWaitMs())
	if err != nil {
		return nil, s.failed(err)
	}
	a, err := s.jobs.Await(ctx, ref, wait)
	if err != nil {
		return nil, s.failed(err)
	}
	return wire.AnswerTo(a), nil
}

// Cancel implements the generated interface.
func (s *Server) Cancel(ctx context.Context, r *api.CancelRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.failed(err)
	}
	a, err := s.jobs.Cancel(ctx, ref)
	if err != nil {
		return nil, s.failed(err)
	}
	return wire.AnswerTo(a), nil
}

// Reconfigure implements the generated interface.
func (s *Server) Reconfigure(ctx context.Context, r *api.ReconfigureRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.failed(err)
	}
	c, err := wire.ChangeFrom(r)
	if err != nil {
		return nil, s.failed(err)
	}
	p, err := s.jobs.Reconfigure(ctx, ref, c)
	if err != nil {
		return nil, s.failed(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// Status implements the generated interface.
func (s *Server) Status(ctx context.Context, r *api.StatusRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, s.failed(err)
	}
	p, err := s.jobs.Status(ctx, ref)
	if err != nil {
		return nil, s.failed(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// answerOf writes the answer to a submission. A refusal is an answer, since it states that nothing ran.
func (s *Server) answerOf(a contract.Answer, id contract.JobID, err error) (*api.Answer, error) {
	if err == nil {
		return wire.AnswerTo(a), nil
	}
	if fault.IsProvenNotStarted(err) {
		s.countInvalid(err)
		return wire.AnswerTo(wire.RefusalOf(id, err)), nil
	}
	return nil, s.failed(err)
}

// failed counts a malformed call and writes its error.
func (s *Server) failed(err error) error {
	s.countInvalid(err)
	return statusOf(err)
}

func (s *Server) countInvalid(err error) {
	if fault.Code(err) == fault.Invalid.FullName() {
		s.invalid.Inc(1)
	}
}
