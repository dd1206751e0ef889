package load

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/rpc"
)

// Callers submits planned jobs to entry VMs, with one client for each VM. The clients have their own locks.
type Callers struct {
	clients []*rpc.Client
	// slack is added to a job's deadline and run time before its answer counts as missing.
	slack time.Duration
	// slowest is the speed of the slowest worker.
	slowest float64
}

// NewCallers creates a client for each entry VM.
func NewCallers(addresses []string, slowest float64, slack time.Duration) (*Callers, error) {
	c := &Callers{slack: slack, slowest: slowest}
	for _, a := range addresses {
		client, err := rpc.NewClient([]string{a}, nil)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

// Close closes all connections.
func (c *Callers) Close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// RoundTrip measures the median round trip of a call that an entry VM answers without another process.
func (c *Callers) RoundTrip(ctx context.Context) (time.Duration, error) {
	var trips []float64
	for range roundTrips {
		for _, client := range c.clients {
			id, err := client.NewJob(ctx)
			if err != nil {
				return 0, err
			}
			begin := time.Now()
			// The job was never submitted, so the entry VM answers at once that it is unknown.
			_, _ = client.Status(ctx, contract.JobRef{ID: id})
			trips = append(trips, time.Since(begin).Seconds())
		}
	}
	return seconds(quantile(trips, 0.5)), nil
}

// roundTrips is the number of calls that RoundTrip measures on each entry VM.
const roundTrips = 50

// Run submits a job and its resubmissions. It returns when all answers have arrived or count as missing.
func (c *Callers) Run(ctx context.Context, r *JobRecord) {
	limit := c.slack + r.Plan.Deadline
	for _, t := range r.Plan.Tasks {
		limit += time.Duration(float64(t.Payload.Nominal) / c.slowest / float64(len(r.Plan.Tasks)))
		limit = max(limit, c.slack+r.Plan.Deadline+time.Duration(float64(t.Payload.Nominal)/c.slowest))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	id, err := c.clients[r.Plan.Entry].NewJob(ctx)
	if err != nil {
		now := time.Now()
		r.Add(Attempt{Entry: strconv.Itoa(r.Plan.Entry), Sent: now, Received: now, Err: err})
		return
	}
	r.ID = id
	var wg sync.WaitGroup
	if r.Plan.ResubmitDuring > 0 {
		wg.Go(func() {
			time.Sleep(r.Plan.ResubmitDuring)
			c.submit(ctx, r, r.Plan.Other)
		})
	}
	c.submit(ctx, r, r.Plan.Entry)
	if r.Plan.ResubmitAfter {
		c.submit(ctx, r, r.Plan.Other)
	}
	wg.Wait()
}

func (c *Callers) submit(ctx context.Context, r *JobRecord, entry int) {
	a := Attempt{Entry: strconv.Itoa(entry), Sent: time.Now()}
	a.Answer, a.Err = c.clients[entry].Do(ctx, contract.Submission{
		Ref: contract.JobRef{ID: r.ID}, Service: serviceName, Customer: r.Plan.Customer, Tasks: r.Plan.Specs(),
		Deadline: r.Plan.Deadline,
	})
	a.Received = time.Now()
	r.Add(a)
}
