package rpc_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/schemas/glashaus"
	"github.com/cicadadale/cicadadale/standin"
)

func startDeployment(t *testing.T) *load.Deployment {
	d, err := load.StartDeployment(load.DeploymentOptions{
		Domains: 1, EntryVMs: 1, Workers: 1, Slots: 4, Services: load.DemoServices, Work: standin.DemoWork,
		Logger: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(d.Close)
	require.NoError(t, err)
	return d
}

func dial(t *testing.T, d *load.Deployment) api.DispatcherClient {
	conn, err := grpc.NewClient(d.CallerAddresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(64<<20)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return api.NewDispatcherClient(conn)
}

func invalidRequests(d *load.Deployment) int64 {
	return metrics.GetOrRegisterCounter(metric.InvalidRequests, d.Entries[0].Metrics).Count()
}

func ref(id string) *api.JobRef { return &api.JobRef{Ref: &api.JobRef_JobId{JobId: id}} }

func tasks(n int, kind string, size int) []*api.Task {
	out := make([]*api.Task, n)
	for i := range out {
		out[i] = &api.Task{Kind: kind, Payload: make([]byte, size)}
	}
	return out
}

// Guards against malformed calls that are not counted, that return an error of another type, or that are answered as if
// the job had been refused.
func TestMalformedCallsAreRefusedAndCounted(t *testing.T) {
	d := startDeployment(t)
	stub := dial(t, d)
	ctx := context.Background()
	ids, err := stub.CreateJobs(ctx, &api.CreateJobsRequest{Count: 1})
	require.NoError(t, err)
	id := ref(ids.GetJobIds()[0])
	call := func(name string, fn func() error) {
		before := invalidRequests(d)
		err := fn()
		require.Equal(t, codes.InvalidArgument, status.Code(err), "%s: %v", name, err)
		require.Equal(t, before+1, invalidRequests(d), name)
	}
	submit := func(r *api.SubmitRequest) func() error {
		return func() error { _, err := stub.Submit(ctx, r); return err }
	}
	for _, n := range []uint32{0, 1 << 31} {
		call("count", func() error { _, err := stub.CreateJobs(ctx, &api.CreateJobsRequest{Count: n}); return err })
	}
	call("no job", submit(&api.SubmitRequest{}))
	call("malformed id", submit(&api.SubmitRequest{Job: ref("j-1-x-3")}))
	call("long id", submit(&api.SubmitRequest{Job: ref(strings.Repeat("-", 1<<20))}))
	call("negative deadline", submit(&api.SubmitRequest{Job: id, DeadlineMs: -1}))
	call("overflowing deadline", submit(&api.SubmitRequest{Job: id, DeadlineMs: 1 << 62}))
	call("negative wait", submit(&api.SubmitRequest{Job: id, WaitMs: -1}))
	call("long name", submit(&api.SubmitRequest{Job: id, Service: strings.Repeat("s", 300)}))
	call("await", func() error { _, err := stub.Await(ctx, &api.AwaitRequest{Job: id, WaitMs: -5}); return err })
	call("cancel", func() error { _, err := stub.Cancel(ctx, &api.CancelRequest{Job: ref("")}); return err })
	call("status", func() error { _, err := stub.Status(ctx, &api.StatusRequest{}); return err })
	call("reconfigure", func() error {
		_, err := stub.Reconfigure(ctx, &api.ReconfigureRequest{Job: id, DeadlineMs: -1})
		return err
	})
}

// Guards against invalid jobs that are accepted or get no answer, and against refusing a valid job after them.
func TestUnacceptableJobsAreRefusedNotRun(t *testing.T) {
	d := startDeployment(t)
	stub := dial(t, d)
	ctx := context.Background()
	const service, kind = "glashaus.v1.Booking", "PriceHire"
	for name, r := range map[string]*api.SubmitRequest{
		"unknown service": {Service: "glashaus.v1.Nothing", Tasks: tasks(1, kind, 1)},
		"unknown kind":    {Service: service, Tasks: tasks(1, "Nothing", 1)},
		"no tasks":        {Service: service},
		"501 tasks":       {Service: service, Tasks: tasks(contract.MaxTasks+1, kind, 1)},
		"payload":         {Service: service, Tasks: tasks(1, kind, contract.MaxPayloadBytes+1)},
		"job size":        {Service: service, Tasks: tasks(65, kind, contract.MaxPayloadBytes)},
	} {
		ids, err := stub.CreateJobs(ctx, &api.CreateJobsRequest{Count: 1})
		require.NoError(t, err)
		before := invalidRequests(d)
		r.Job = ref(ids.GetJobIds()[0])
		a, err := stub.Submit(ctx, r)
		require.NoError(t, err, name)
		require.Equal(t, api.Verdict_VERDICT_REFUSED, a.GetVerdict(), name)
		require.NotEmpty(t, a.GetDetail(), name)
		require.Equal(t, before+1, invalidRequests(d), name)
		st, err := stub.Status(ctx, &api.StatusRequest{Job: r.Job})
		require.NoError(t, err, name)
		require.Equal(t, api.Verdict_VERDICT_REFUSED, st.GetVerdict(), name)
	}
	before := invalidRequests(d)
	_, err := stub.Submit(ctx, &api.SubmitRequest{Service: service, Tasks: tasks(200, kind, contract.MaxPayloadBytes)})
	require.Equal(t, codes.ResourceExhausted, status.Code(err))
	require.Eventually(t, func() bool { return invalidRequests(d) == before+1 }, time.Minute, time.Millisecond)

	client, err := rpc.NewClient(d.CallerAddresses(), nil)
	require.NoError(t, err)
	defer client.Close()
	unknown, err := client.NewJob(ctx)
	require.NoError(t, err)
	unknown.Seq += 1 << 40
	_, err = client.Status(ctx, contract.JobRef{ID: unknown})
	require.Equal(t, fault.UnknownJob.FullName(), fault.Code(err))
	job, err := glashaus.NewBookingJob(ctx, client, rpc.JobOptions{Customer: "glashaus"})
	require.NoError(t, err)
	task := job.AddPriceHire(&glashaus.PriceHireRequest{Venue: "v", Heaters: 2, Days: 2})
	_, err = task.Result()
	require.Equal(t, fault.Invalid.FullName(), fault.Code(err))
	_, err = job.Submit(ctx)
	require.NoError(t, err)
	reply, err := task.Result()
	require.NoError(t, err)
	require.EqualValues(t, 2*2*2500, reply.GetPriceCents())
	job.AddPriceHire(&glashaus.PriceHireRequest{})
	_, err = job.Submit(ctx)
	require.Equal(t, fault.Invalid.FullName(), fault.Code(err), "a task added after submission")
}

// Guards against a malformed resubmission that is answered as refused although the job ran.
func TestMalformedResubmissionDoesNotDenyTheJob(t *testing.T) {
	d := startDeployment(t)
	stub := dial(t, d)
	ctx := context.Background()
	ids, err := stub.CreateJobs(ctx, &api.CreateJobsRequest{Count: 1})
	require.NoError(t, err)
	r := &api.SubmitRequest{
		Job: ref(ids.GetJobIds()[0]), Service: "glashaus.v1.Booking", Tasks: tasks(1, "PriceHire", 0), WaitMs: 20000,
	}
	a, err := stub.Submit(ctx, r)
	require.NoError(t, err)
	require.Equal(t, api.Verdict_VERDICT_COMPLETE, a.GetVerdict())
	r.DeadlineMs = -1
	_, err = stub.Submit(ctx, r)
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	r.DeadlineMs, r.Tasks, r.Service = 0, tasks(501, "Nothing", 1), "nothing"
	a, err = stub.Submit(ctx, r)
	require.NoError(t, err)
	require.Equal(t, api.Verdict_VERDICT_COMPLETE, a.GetVerdict())
}
