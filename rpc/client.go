package rpc

import (
	"context"
	"errors"
	"slices"
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
	// idBlockSize is the number of job ids that are requested at a time.
	idBlockSize = 64
	// maxCallWait bounds the wait within one call, so that a silent connection is detected. A call without a reply times
	// out callMargin later.
	maxCallWait = 2 * time.Second
	callMargin  = time.Second
	// minRetryDelay is the delay before the first retry; it doubles with each further one up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	maxAttempts   = 200
	// maxIDsPerJob bounds the ids that Run tries for one job.
	maxIDsPerJob = 8
)

// Client submits jobs to a set of entry VMs. mu guards the prefetched ids and the preferred address.
type Client struct {
	conns []*grpc.ClientConn

	mu        sync.Mutex
	preferred int
	ids       []string
}

// NewClient returns a client of the entry VMs at the given addresses. creds may be nil.
func NewClient(addresses []string, creds credentials.TransportCredentials) (*Client, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	c := &Client{}
	for _, a := range addresses {
		conn, err := grpc.NewClient(a, grpc.WithTransportCredentials(creds),
			grpc.WithDefaultCallOptions(
				grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		// The only error is that the connection is already closed.
		_ = conn.Close()
	}
}

func (c *Client) stub() (api.DispatcherClient, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return api.NewDispatcherClient(c.conns[c.preferred]), c.preferred
}

// failOver switches to the next entry VM, unless another call has already done so since this one began.
func (c *Client) failOver(from int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == from {
		c.preferred = (from + 1) % len(c.conns)
	}
}

// NewJob returns a fresh job id.
func (c *Client) NewJob(ctx context.Context) (contract.JobID, error) {
	text, ok := c.takeID()
	if !ok {
		var out *api.CreateJobsResponse
		err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
			var err error
			out, err = d.CreateJobs(ctx, &api.CreateJobsRequest{Count: idBlockSize})
			return err
		})
		if err != nil {
			return contract.JobID{}, err
		}
		text = out.GetJobIds()[0]
		c.mu.Lock()
		c.ids = append(c.ids, out.GetJobIds()[1:]...)
		c.mu.Unlock()
	}
	return contract.ParseJobID(text)
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

// dropIDs discards the prefetched ids that have the same home as a rejected id. A job's home is the entry VM that
// minted its id and answers for it.
func (c *Client) dropIDs(rejected contract.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = slices.DeleteFunc(c.ids, func(text string) bool {
		id, err := contract.ParseJobID(text)
		return err != nil || id.Home == rejected.Home
	})
}

// Do submits a job and waits for its final answer. It resubmits the job under the same id to other entry VMs as needed.
func (c *Client) Do(ctx context.Context, s contract.Submission) (contract.Answer, error) {
	answer, _, err := c.do(ctx, s)
	return answer, err
}

// do is Do, and also returns the number of copies that were sent.
func (c *Client) do(ctx context.Context, s contract.Submission) (contract.Answer, int, error) {
	sent := 0
	var answer contract.Answer
	err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		sent++
		var err error
		answer, err = submit(ctx, d, s)
		return err
	})
	if provenNotRun(answer, err, true) {
		// The home is stopping or gone, or its ids are too old: its other ids would fail in the same way, whether this job
		// ran or not.
		c.dropIDs(s.Ref.ID)
	}
	return answer, sent, err
}

// Run submits a job under an id of the client's choice and waits for its final answer, which contains the id. The job
// is submitted under another id only if it is proven not to have run under the previous one: the home refused it
// because it is stopping or has stopped, or the home was gone or the id too old when the only copy of the submission
// was sent.
func (c *Client) Run(ctx context.Context, s contract.Submission) (contract.Answer, error) {
	for range maxIDsPerJob {
		id, err := c.NewJob(ctx)
		if err != nil {
			return contract.Answer{}, err
		}
		s.Ref = contract.JobRef{ID: id}
		answer, sent, err := c.do(ctx, s)
		if !provenNotRun(answer, err, sent == 1) {
			return answer, err
		}
	}
	return contract.Answer{}, fault.Unavailable.New("all entry VMs that were tried are stopping")
}

func submit(ctx context.Context, d api.DispatcherClient, s contract.Submission) (contract.Answer, error) {
	a, err := d.Submit(ctx, wire.SubmissionTo(s, maxCallWait))
	if err != nil {
		return contract.Answer{}, err
	}
	return finalAnswer(a)
}

// finalAnswer decodes an answer. It returns errPending for a pending one.
func finalAnswer(a *api.Answer) (contract.Answer, error) {
	answer, err := wire.AnswerFrom(a)
	if err == nil && answer.Verdict == contract.VerdictPending {
		return answer, errPending
	}
	return answer, err
}

// provenNotRun reports whether the job is proven not to have run, so that it may be submitted under another id.
// onlyCopy means that the submission was sent only once.
func provenNotRun(a contract.Answer, err error, onlyCopy bool) bool {
	if err != nil {
		return onlyCopy && fault.Code(err) == fault.Expired.FullName() && fault.Reason(err) == fault.ReasonIDTooOld
	}
	if a.Verdict == contract.VerdictRefused {
		return a.Reason == fault.ReasonDraining || a.Reason == fault.ReasonHomeClosed
	}
	return onlyCopy && a.Verdict == contract.VerdictFailed && a.Reason == fault.ReasonHomeGone
}

// Await waits for the final answer of a submitted job.
func (c *Client) Await(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	var answer contract.Answer
	err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		a, err := d.Await(ctx, &api.AwaitRequest{Job: wire.RefTo(r), WaitMs: maxCallWait.Milliseconds()})
		if err != nil {
			return err
		}
		answer, err = finalAnswer(a)
		return err
	})
	return answer, err
}

// Cancel cancels the tasks of a job that have not started.
func (c *Client) Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	var answer contract.Answer
	err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		a, err := d.Cancel(ctx, &api.CancelRequest{Job: wire.RefTo(r)})
		if err != nil {
			return err
		}
		answer, err = wire.AnswerFrom(a)
		return err
	})
	return answer, err
}

// Reconfigure changes the deadline or priority of a job that has not ended.
func (c *Client) Reconfigure(ctx context.Context, r contract.JobRef, ch contract.Change) (*api.JobStatus, error) {
	var out *api.JobStatus
	err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
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
	err := c.withRetry(ctx, func(ctx context.Context, d api.DispatcherClient) error {
		var err error
		out, err = d.Status(ctx, &api.StatusRequest{Job: wire.RefTo(r)})
		return err
	})
	return out, err
}

var errPending = fault.Unavailable.New("the answer is not final yet")

// withRetry calls fn until it succeeds or fails permanently. A call that may succeed elsewhere or later is retried at
// the next entry VM; all calls of this client are idempotent.
func (c *Client) withRetry(ctx context.Context, fn func(context.Context, api.DispatcherClient) error) error {
	var err error
	delay := minRetryDelay
	for range maxAttempts {
		callCtx, cancel := context.WithTimeout(ctx, maxCallWait+callMargin)
		stub, at := c.stub()
		err = errorFrom(fn(callCtx, stub))
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errPending) {
			continue
		}
		if !isRetryable(err) {
			return err
		}
		c.failOver(at)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return err
}

func isRetryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return fault.IsRetriable(err)
	}
}
