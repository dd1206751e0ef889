package hostile

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cicadadale/cicadadale/api"
)

const (
	bookingService = "glashaus.v1.Booking"
	priceHire      = "PriceHire"
	// A large job has almost as many bytes as a job may have.
	largeJobTasks     = 62
	largePayloadBytes = 64 << 10
	// smallJobs and waitingLargeJobs are those of one client, one after another.
	smallJobs        = 4_000
	waitingLargeJobs = 5
	// submitTimeout bounds a submission that is neither answered nor refused.
	submitTimeout = 20 * time.Second
	longWaitMS    = 25_000
)

// submitAll lets the clients of a crowd submit a number of jobs each, one after another, over a connection each.
func (d *entryDaemon) submitAll(clients, jobs int, request func(number int) *api.SubmitRequest) {
	d.t.Helper()
	var crowd sync.WaitGroup
	for n := range clients {
		conn, err := grpc.NewClient(d.callers, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(d.t, err)
		d.t.Cleanup(func() { _ = conn.Close() })
		dispatcher := api.NewDispatcherClient(conn)
		crowd.Go(func() {
			for job := range jobs {
				ctx, cancel := context.WithTimeout(d.t.Context(), submitTimeout)
				// The job may be refused.
				_, _ = dispatcher.Submit(ctx, request(n*jobs+job))
				cancel()
			}
		})
	}
	crowd.Wait()
}

// Guards against large jobs that are inside the limits each and are all submitted at the same time.
func TestEntryLargeJobsAtTheSameTime(t *testing.T) {
	d := startEntry(t)
	d.submitAll(smallCrowd, 1, largeJob)
	d.requireServing()
}

// Guards against large jobs that have been accepted and whose callers do not wait for their answers.
func TestEntryLargeJobsThatWait(t *testing.T) {
	d := startEntry(t)
	d.submitAll(smallCrowd, waitingLargeJobs, func(number int) *api.SubmitRequest {
		r := largeJob(number)
		r.WaitMs, r.DeadlineMs = 1, hourMS
		return r
	})
	d.requireServing()
}

// Guards against what is kept of many small jobs, accepted or refused.
func TestEntryManySmallJobsOfEachClient(t *testing.T) {
	d := startEntry(t)
	d.submitAll(smallCrowd, smallJobs, smallJob)
	d.requireServing()
}

// jobKey returns the key of a job of the crowd.
func jobKey(number int) *api.JobRef {
	return &api.JobRef{Ref: &api.JobRef_Key{Key: &api.CallerKey{
		Customer: "hostile", Text: fmt.Sprint(number), CreatedUnixMs: time.Now().UnixMilli(),
	}}}
}

// largeJob returns the submission of a job whose payloads are long.
func largeJob(number int) *api.SubmitRequest {
	// A field that the request kind does not have.
	const unknownField = 100
	payload := protowire.AppendTag(nil, unknownField, protowire.BytesType)
	payload = protowire.AppendBytes(payload, make([]byte, largePayloadBytes-10))
	r := &api.SubmitRequest{Job: jobKey(number), Service: bookingService, WaitMs: longWaitMS}
	for range largeJobTasks {
		r.Tasks = append(r.Tasks, &api.Task{Kind: priceHire, Payload: payload})
	}
	return r
}

// smallJob returns the submission of a job of one task, whose caller does not wait for the answer.
func smallJob(number int) *api.SubmitRequest {
	return &api.SubmitRequest{
		Job: jobKey(number), Service: bookingService, WaitMs: 1, Tasks: []*api.Task{{Kind: priceHire, Payload: []byte{0x10, 0x02, 0x18, 0x02}}},
	}
}
