package rpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
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
	jobs Jobs
	now  func() time.Time
	grpc *grpc.Server
}

// Serve accepts callers on l in the background. Credentials are optional.
func Serve(l net.Listener, jobs Jobs, now func() time.Time, creds credentials.TransportCredentials) *Server {
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes)}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := &Server{jobs: jobs, now: now, grpc: grpc.NewServer(opts...)}
	api.RegisterDispatcherServer(s.grpc, s)
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
		return nil, status.Errorf(codes.InvalidArgument, "count must be 1 to %d", maxMint)
	}
	ids, err := s.jobs.Create(ctx, n)
	if err != nil {
		return nil, statusOf(err)
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
		return answerOf(contract.Answer{}, sub.Ref.ID, err)
	}
	a, err := s.jobs.Submit(ctx, sub, time.Duration(r.GetWaitMs())*time.Millisecond)
	return answerOf(a, sub.Ref.ID, err)
}

// Await implements the generated interface.
func (s *Server) Await(ctx context.Context, r *api.AwaitRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, statusOf(err)
	}
	a, err := s.jobs.Await(ctx, ref, time.Duration(r.GetWaitMs())*time.Millisecond)
	if err != nil {
		return nil, statusOf(err)
	}
	return wire.AnswerTo(a), nil
}

// Cancel implements the generated interface.
func (s *Server) Cancel(ctx context.Context, r *api.CancelRequest) (*api.Answer, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, statusOf(err)
	}
	a, err := s.jobs.Cancel(ctx, ref)
	if err != nil {
		return nil, statusOf(err)
	}
	return wire.AnswerTo(a), nil
}

// Reconfigure implements the generated interface.
func (s *Server) Reconfigure(ctx context.Context, r *api.ReconfigureRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, statusOf(err)
	}
	c := contract.Change{
		Deadline: time.Duration(r.GetDeadlineMs()) * time.Millisecond, Priority: int(r.GetPriority()),
	}
	p, err := s.jobs.Reconfigure(ctx, ref, c)
	if err != nil {
		return nil, statusOf(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// Status implements the generated interface.
func (s *Server) Status(ctx context.Context, r *api.StatusRequest) (*api.JobStatus, error) {
	ref, err := wire.RefFrom(r.GetJob())
	if err != nil {
		return nil, statusOf(err)
	}
	p, err := s.jobs.Status(ctx, ref)
	if err != nil {
		return nil, statusOf(err)
	}
	return wire.ProgressTo(p, s.now()), nil
}

// answerOf writes the answer to a submission. A refusal is an answer, since it states that nothing ran.
func answerOf(a contract.Answer, id contract.JobID, err error) (*api.Answer, error) {
	if err == nil {
		return wire.AnswerTo(a), nil
	}
	if fault.IsProvenNotStarted(err) {
		return wire.AnswerTo(wire.RefusalOf(id, err)), nil
	}
	return nil, statusOf(err)
}

func statusOf(err error) error {
	code := codes.Internal
	switch fault.Code(err) {
	case fault.Invalid.FullName():
		code = codes.InvalidArgument
	case fault.UnknownJob.FullName():
		code = codes.NotFound
	case fault.Expired.FullName():
		code = codes.FailedPrecondition
		if fault.Reason(err) == fault.ReasonIDTooOld {
			code = codes.OutOfRange
		}
	case fault.NeverAccepted.FullName():
		code = codes.FailedPrecondition
	case fault.Lost.FullName():
		code = codes.DataLoss
	case fault.Overloaded.FullName():
		code = codes.ResourceExhausted
	case fault.Unavailable.FullName(), fault.Draining.FullName(), fault.HandedOver.FullName():
		code = codes.Unavailable
	}
	return status.Error(code, err.Error())
}
