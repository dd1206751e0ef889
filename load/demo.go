package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/schema"
	"github.com/cicadadale/cicadadale/schemas"
	"github.com/cicadadale/cicadadale/schemas/glashaus"
	"github.com/cicadadale/cicadadale/schemas/wakala"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	demoTimeout  = 50 * time.Second
	demoParallel = 8  // jobs at the same time
	demoTasks    = 12 // tasks of each job
)

// DemoServices reads the schema files of both example deployments, glashaus and wakala.
func DemoServices() []*backend.Service {
	src := schema.Source{"glashaus.proto": schemas.Glashaus, "wakala.proto": schemas.Wakala}
	services, findings := schema.Load(src, "glashaus.proto", "wakala.proto")
	if len(findings) > 0 {
		panic(fmt.Sprintf("built-in schema files are invalid: %v", findings))
	}
	return services
}

// demoResult is the result of one job of the demo.
type demoResult struct {
	line string
	ok   bool
}

// Demo runs jobs of both example deployments on two failure domains and checks every answer.
func Demo(ctx context.Context, w io.Writer, jobs int, logger *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := StartDeployment(DeploymentOptions{
		Domains: 2, EntryVMs: 3, Workers: 4, Slots: 8, Services: DemoServices, Work: standin.DemoWork,
		Logger: logger,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	results := make([]demoResult, jobs)
	var wg sync.WaitGroup
	limit := make(chan struct{}, demoParallel)
	for i := range jobs {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			results[i] = demoJob(ctx, d, i)
		})
	}
	wg.Wait()
	return printDemo(w, results)
}

func printDemo(w io.Writer, results []demoResult) error {
	good := 0
	for _, r := range results {
		if r.ok {
			good++
		}
		if _, err := fmt.Fprintln(w, r.line); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "%d jobs, %d answered completely and correctly\n", len(results), good); err != nil {
		return err
	}
	if good != len(results) {
		return fmt.Errorf("%d answers are missing or wrong", len(results)-good)
	}
	return nil
}

// demoJob submits one job to an entry VM and fetches its answer again from another.
func demoJob(ctx context.Context, d *Deployment, n int) demoResult {
	fail := func(err error) demoResult { return demoResult{line: fmt.Sprintf("job %d: %v", n, err)} }
	addresses := d.CallerAddresses()
	client, err := rpc.NewClient(addresses[n%len(addresses):n%len(addresses)+1], nil)
	if err != nil {
		return fail(err)
	}
	defer client.Close()
	other, err := rpc.NewClient(addresses[(n+1)%len(addresses):(n+1)%len(addresses)+1], nil)
	if err != nil {
		return fail(err)
	}
	defer other.Close()
	work, err := newDemoWork(ctx, client, n)
	if err != nil {
		return fail(err)
	}
	begin := time.Now()
	answer, err := work.submit(ctx)
	if err != nil {
		return fail(err)
	}
	took := time.Since(begin)
	again, err := other.Do(ctx, work.submission())
	if err != nil {
		return fail(err)
	}
	ok := work.check() == nil && sameAnswer(answer, again)
	return demoResult{ok: ok, line: fmt.Sprintf("job %s: %s, %d tasks, %.0f ms, response ratio %.3f, correct %t",
		answer.Job, answer.Verdict, len(answer.Reports), took.Seconds()*1000, ResponseRatio(took, answer), ok)}
}

// sameAnswer reports whether a resubmission received the same complete answer as the first submission.
func sameAnswer(a, b contract.Answer) bool {
	if !a.Consistent() || !b.Consistent() || b.Verdict != contract.VerdictComplete || len(a.Results) != len(b.Results) {
		return false
	}
	for i := range a.Results {
		if !bytes.Equal(a.Results[i], b.Results[i]) {
			return false
		}
	}
	return true
}

// callerRoundTrip is the round trip between a caller and an entry VM on loopback.
const callerRoundTrip = 200 * time.Microsecond

// ResponseRatio divides the response time by the ideal: the longest task's run time plus one round trip.
func ResponseRatio(took time.Duration, a contract.Answer) float64 {
	var longest time.Duration
	for _, r := range a.Reports {
		longest = max(longest, r.RunTime)
	}
	return float64(took) / float64(longest+callerRoundTrip)
}

// demoWork is a job of one of the example deployments, built with the generated stubs.
type demoWork struct {
	submit     func(context.Context) (contract.Answer, error)
	submission func() contract.Submission
	checks     []func() error
}

// check compares the typed results with the expected ones.
func (w *demoWork) check() error {
	for _, c := range w.checks {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func newDemoWork(ctx context.Context, client *rpc.Client, n int) (*demoWork, error) {
	if n%2 == 0 {
		return newBookingWork(ctx, client, n)
	}
	return newOrdersWork(ctx, client, n)
}

func newBookingWork(ctx context.Context, client *rpc.Client, n int) (*demoWork, error) {
	j, err := glashaus.NewBookingJob(ctx, client, rpc.JobOptions{Customer: "glashaus"})
	if err != nil {
		return nil, err
	}
	w := &demoWork{submit: j.Submit, submission: j.Submission}
	for i := range demoTasks {
		t := j.AddPriceHire(&glashaus.PriceHireRequest{Venue: fmt.Sprintf("%d-%d", n, i), Heaters: uint32(i + 1), Days: 2})
		w.checks = append(w.checks, expect(t, &glashaus.PriceHireReply{PriceCents: int64(i+1) * 2 * 2500}))
	}
	return w, nil
}

func newOrdersWork(ctx context.Context, client *rpc.Client, n int) (*demoWork, error) {
	j, err := wakala.NewOrdersJob(ctx, client, rpc.JobOptions{Customer: "wakala"})
	if err != nil {
		return nil, err
	}
	w := &demoWork{submit: j.Submit, submission: j.Submission}
	for i := range demoTasks {
		plot := fmt.Sprintf("%d-%d", n, i)
		t := j.AddIssueOrder(&wakala.IssueOrderRequest{Plot: plot, Cutter: "cooperative", SquareMetres: 40})
		w.checks = append(w.checks, expect(t, &wakala.IssueOrderReply{Order: "order-" + plot}))
	}
	return w, nil
}

// expect returns a check that compares a task's result with the expected one.
func expect[R proto.Message](t rpc.Task[R], want R) func() error {
	return func() error {
		got, err := t.Result()
		if err == nil && !proto.Equal(got, want) {
			err = fmt.Errorf("task %d: got %v, want %v", t.Index(), got, want)
		}
		return err
	}
}
