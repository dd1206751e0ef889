package rpc

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/contract"
)

// waitingJobs is an entry VM whose jobs get no answer until their callers leave.
type waitingJobs struct {
	fakeJobs
	waiting chan struct{}
	// ready is set if the answers come at the moment when the callers have to leave.
	ready bool
}

// Await implements Jobs.
func (w *waitingJobs) Await(ctx context.Context, _ contract.JobRef, _ time.Duration) (contract.Answer, error) {
	w.waiting <- struct{}{}
	<-ctx.Done()
	if w.ready {
		return complete(oneTask)
	}
	return contract.Answer{}, ctx.Err()
}

// limitedServer is a server on a VM with little memory, so that few calls use up the room.
type limitedServer struct {
	t       *testing.T
	jobs    *waitingJobs
	address string
	calls   int
}

func startLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	clients := clientlimit.NewProcess(clientlimit.VM{MemoryMB: 1}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	l, err := clientlimit.Listen("127.0.0.1:0", clients.Calls())
	require.NoError(t, err)
	jobs := &waitingJobs{waiting: make(chan struct{})}
	s := Serve(l, jobs, ServerOptions{Now: time.Now, Clients: clients, Metrics: metrics.NewRegistry()})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Stop(ctx)
	})
	return &limitedServer{t: t, jobs: jobs, address: l.Addr().String(), calls: clients.ConnectionCalls()}
}

func (s *limitedServer) dial() api.DispatcherClient {
	s.t.Helper()
	conn, err := grpc.NewClient(s.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return api.NewDispatcherClient(conn)
}

// awaitAll begins calls that wait for an answer and returns when they wait. The results follow when they have ended.
func (s *limitedServer) awaitAll(ctx context.Context, c api.DispatcherClient, calls int) <-chan error {
	results := make(chan error, calls)
	request := &api.AwaitRequest{Job: &api.JobRef{Ref: &api.JobRef_JobId{JobId: contract.JobID{Domain: 1, Home: 1, Seq: 1}.String()}}}
	for range calls {
		go func() {
			_, err := c.Await(ctx, request)
			results <- err
		}()
	}
	for range calls {
		<-s.jobs.waiting
	}
	return results
}

func createJob(ctx context.Context, c api.DispatcherClient) error {
	_, err := c.CreateJobs(ctx, &api.CreateJobsRequest{Count: 1})
	return err
}

// Guards against callers with many calls that keep another caller out, against calls that are told anything but to ask again when they
// give way, and against room that is not given back when calls end.
func TestCallsGiveWayToThoseOfOtherCallers(t *testing.T) {
	s := startLimitedServer(t)
	for range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		first := s.awaitAll(ctx, s.dial(), s.calls)
		second := s.awaitAll(ctx, s.dial(), s.calls)
		require.NoError(t, createJob(ctx, s.dial()))
		var err error
		select {
		case err = <-first:
		case err = <-second:
		}
		require.Equal(t, codes.Unavailable, status.Code(err), "%v", err)
		cancel()
		require.Equal(t, 2*s.calls-1, len(drain(first, second, 2*s.calls-1)))
	}
}

// Guards against an answer that is ready and is withheld since its call has to give way.
func TestReadyAnswersOfEvictedCallsAreDelivered(t *testing.T) {
	s := startLimitedServer(t)
	s.jobs.ready = true
	ctx, cancel := context.WithCancel(t.Context())
	first := s.awaitAll(ctx, s.dial(), s.calls)
	second := s.awaitAll(ctx, s.dial(), s.calls)
	require.NoError(t, createJob(ctx, s.dial()))
	var err error
	select {
	case err = <-first:
	case err = <-second:
	}
	require.NoError(t, err)
	cancel()
	drain(first, second, 2*s.calls-1)
}

// drain returns a number of results.
func drain(first, second <-chan error, results int) []error {
	var all []error
	for range results {
		select {
		case err := <-first:
			all = append(all, err)
		case err := <-second:
			all = append(all, err)
		}
	}
	return all
}

// Guards against room that is lost with calls which have no handler.
func TestCallsWithoutAHandlerGiveTheirRoomBack(t *testing.T) {
	s := startLimitedServer(t)
	conn, err := grpc.NewClient(s.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	for range 5 * s.calls {
		for _, method := range []string{"/none", "/cicadadale.v1.Dispatcher/None", "/none/none"} {
			err := conn.Invoke(t.Context(), method, &api.CreateJobsRequest{}, &api.CreateJobsResponse{})
			require.Equal(t, codes.Unimplemented, status.Code(err), "%s: %v", method, err)
		}
	}
	require.NoError(t, createJob(t.Context(), api.NewDispatcherClient(conn)))
}

// Guards against calls beyond the limit of a connection that end with an error instead of waiting for their turn.
func TestCallsBeyondTheLimitOfAConnectionWait(t *testing.T) {
	s := startLimitedServer(t)
	c := s.dial()
	ctx, cancel := context.WithCancel(t.Context())
	waiting := s.awaitAll(ctx, c, s.calls)
	var others sync.WaitGroup
	errs := make([]error, 5)
	for n := range errs {
		others.Go(func() { errs[n] = createJob(t.Context(), c) })
	}
	cancel()
	for range s.calls {
		require.Equal(t, codes.Canceled, status.Code(<-waiting))
	}
	others.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
}

// Guards against metadata that is not counted, against a call that is refused for its metadata while there is room, and against calls that
// give way to one which is refused all the same.
func TestCallsTakeRoomForTheirMetadata(t *testing.T) {
	s := startLimitedServer(t)
	large := metadata.AppendToOutgoingContext(t.Context(), "large", strings.Repeat("m", 60_000))
	require.NoError(t, createJob(large, s.dial()))
	ctx, cancel := context.WithCancel(t.Context())
	first := s.awaitAll(ctx, s.dial(), s.calls)
	second := s.awaitAll(ctx, s.dial(), s.calls)
	require.Equal(t, codes.Unavailable, status.Code(createJob(large, s.dial())))
	cancel()
	for _, err := range drain(first, second, 2*s.calls) {
		require.Equal(t, codes.Canceled, status.Code(err), "%v", err)
	}
}

// Guards against an answer that is made although there is no room for it.
func TestAnswersWithoutRoomAreNotMade(t *testing.T) {
	s := startLimitedServer(t)
	c := s.dial()
	_, err := c.CreateJobs(t.Context(), &api.CreateJobsRequest{Count: maxJobIDs})
	require.Equal(t, codes.Unavailable, status.Code(err))
	require.NoError(t, createJob(t.Context(), c))
}
