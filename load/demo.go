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
	demoParallel = 8
	demoTasks    = 12
)

// DeploymentServices reads the schema files of both deployments.
func DeploymentServices() []*backend.Service {
	src := schema.Source{"glashaus.proto": schemas.Glashaus, "wakala.proto": schemas.Wakala}
	services, findings := schema.Load(src, "glashaus.proto", "wakala.proto")
	if len(findings) > 0 {
		panic(fmt.Sprintf("built-in schema files are invalid: %v", findings))
	}
	return services
}

// demoResult is the outcome of one job of the demo.
type demoResult struct {
	line string
	ok   bool
}

// Demo runs jobs of both deployments on two failure domains and checks every answer.
func Demo(ctx context.Context, w io.Writer, jobs int, logger *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := StartDeployment(DeploymentOptions{
		Domains: 2, EntryVMs: 3, Workers: 4, Slots: 8, Services: DeploymentServices, Work: standin.DeploymentWork,
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

// demoJob submits one job to one entry VM and fetches the answer again from another.
func demoJob(ctx context.Context, d *Deployment, n int) demoResult {
	fail := func(err error) demoResult { return demoResult{line: fmt.Sprintf("job %d: %v", n, err)} }
	addresses := d.Callers()
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
	id, err := client.NewJob(ctx)
	if err != nil {
		return fail(err)
	}
	sub, want := demoSubmission(n, id)
	begin := time.Now()
	answer, err := client.Do(ctx, sub)
	if err != nil {
		return fail(err)
	}
	took := time.Since(begin)
	again, err := other.Do(ctx, sub)
	if err != nil {
		return fail(err)
	}
	ok := correct(answer, want) && correct(again, want)
	return demoResult{ok: ok, line: fmt.Sprintf("job %s: %s, %d tasks, %.0f ms, response ratio %.3f, correct %t",
		id, answer.Verdict, len(answer.Reports), took.Seconds()*1000, ResponseRatio(took, answer), ok)}
}

func correct(a contract.Answer, want [][]byte) bool {
	if a.Verdict != contract.VerdictComplete || !a.Consistent() || len(a.Results) != len(want) {
		return false
	}
	for i := range want {
		if !bytes.Equal(a.Results[i], want[i]) {
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

// demoSubmission builds a job of one of the deployments and its expected results.
func demoSubmission(n int, id contract.JobID) (contract.Submission, [][]byte) {
	s := contract.Submission{Ref: contract.JobRef{ID: id}}
	var want [][]byte
	add := func(kind string, request, reply proto.Message) {
		s.Tasks = append(s.Tasks, contract.TaskSpec{Kind: kind, Payload: mustMarshal(request)})
		want = append(want, mustMarshal(reply))
	}
	for i := range demoTasks {
		name := fmt.Sprintf("%d-%d", n, i)
		if n%2 == 0 {
			s.Service, s.Customer = "glashaus.v1.Booking", "glashaus"
			add("PriceHire", &glashaus.PriceHireRequest{Venue: name, Heaters: uint32(i + 1), Days: 2},
				&glashaus.PriceHireReply{PriceCents: int64(i+1) * 2 * 2500})
		} else {
			s.Service, s.Customer = "wakala.v1.Orders", "wakala"
			add("IssueOrder", &wakala.IssueOrderRequest{Plot: name, Cutter: "cooperative", SquareMetres: 40},
				&wakala.IssueOrderReply{Order: "order-" + name})
		}
	}
	return s, want
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
