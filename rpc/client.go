package rpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
)

const (
	idBlock = 64
	// awaitSlice bounds one waiting call, so that a silent connection is noticed.
	awaitSlice  = 2 * time.Second
	callMargin  = time.Second
	retryPause  = 50 * time.Millisecond
	maxAttempts = 200
)

// Client submits jobs to a set of entry VMs. Its mutex guards the ids fetched ahead and the preferred address.
type Client struct {
	conns []*grpc.ClientConn

	mu        sync.Mutex
	preferred int
	ids       []string
}

// NewClient returns a client of the entry VMs at the given addresses. Credentials are optional.
func NewClient(addresses []string, creds credentials.TransportCredentials) (*Client, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	c := &Client{}
	for _, a := range addresses {
		conn, err := grpc.NewClient(a, grpc.WithTransportCredentials(creds),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		// A connection that was closed before is as good as closed.
		_ = conn.Close()
	}
}

func (c *Client) stub() api.DispatcherClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return api.NewDispatcherClient(c.conns[c.preferred])
}

// turn moves on to the next entry VM.
func (c *Client) turn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = (c.preferred + 1) % len(c.conns)
}

// NewJob returns a fresh job id.
func (c *Client) NewJob(ctx context.Context) (contract.JobID, error) {
	if id, ok := c.takeID(); ok {
		return contract.ParseJobID(id)
	}
	var out *api.CreateJobsResponse
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		var err error
		out, err = d.CreateJobs(ctx, &api.CreateJobsRequest{Count: idBlock})
		return err
	})
	if err != nil {
		return contract.JobID{}, err
	}
	c.mu.Lock()
	c.ids = append(c.ids, out.GetJobIds()[1:]...)
	c.mu.Unlock()
	return contract.ParseJobID(out.GetJobIds()[0])
}

func (c *Client) takeID() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ids) == 0 {
		return "", false
	}
	id := c.ids[0]
	c.ids = c.ids[1:]
	return id, true
}

// Do submits a job and waits for its final answer, resubmitting to other entry VMs as needed.
func (c *Client) Do(ctx context.Context, s contract.Submission) (contract.Answer, error) {
	var answer contract.Answer
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		a, err := d.Submit(ctx, wire.SubmissionTo(s, awaitSlice))
		if err != nil {
			return err
		}
		answer, err = wire.AnswerFrom(a)
		if err == nil && answer.Verdict == contract.VerdictPending {
			return errPending
		}
		return err
	})
	return answer, err
}

// Await waits for the final answer of a submitted job.
func (c *Client) Await(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	var answer contract.Answer
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		a, err := d.Await(ctx, &api.AwaitRequest{Job: wire.RefTo(r), WaitMs: awaitSlice.Milliseconds()})
		if err != nil {
			return err
		}
		answer, err = wire.AnswerFrom(a)
		if err == nil && answer.Verdict == contract.VerdictPending {
			return errPending
		}
		return err
	})
	return answer, err
}

// Cancel withdraws the tasks of a job that have not started.
func (c *Client) Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	var answer contract.Answer
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		a, err := d.Cancel(ctx, &api.CancelRequest{Job: wire.RefTo(r)})
		if err != nil {
			return err
		}
		answer, err = wire.AnswerFrom(a)
		return err
	})
	return answer, err
}

// Reconfigure changes a job that has not ended.
func (c *Client) Reconfigure(ctx context.Context, r contract.JobRef, ch contract.Change) (*api.JobStatus, error) {
	var out *api.JobStatus
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		var err error
		out, err = d.Reconfigure(ctx, &api.ReconfigureRequest{
			Job: wire.RefTo(r), DeadlineMs: ch.Deadline.Milliseconds(), Priority: int32(ch.Priority),
		})
		return err
	})
	return out, err
}

// Status reports a job's progress.
func (c *Client) Status(ctx context.Context, r contract.JobRef) (*api.JobStatus, error) {
	var out *api.JobStatus
	err := c.each(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		var err error
		out, err = d.Status(ctx, &api.StatusRequest{Job: wire.RefTo(r)})
		return err
	})
	return out, err
}

var errPending = fault.Unavailable.New("the answer is not final yet")

// each calls fn until it succeeds or fails for good. A call that may succeed elsewhere or later is repeated at the
// next entry VM; all calls of this client are idempotent.
func (c *Client) each(ctx context.Context, fn func(context.Context, api.DispatcherClient) error) error {
	var err error
	for range maxAttempts {
		callCtx, cancel := context.WithTimeout(ctx, awaitSlice+callMargin)
		err = errorFrom(fn(callCtx, c.stub()))
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errPending) {
			continue
		}
		if !repeatable(err) {
			return err
		}
		c.turn()
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func repeatable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return fault.IsRetriable(err)
	}
}
