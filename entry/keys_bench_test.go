package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/rpc"
)

// BenchmarkKeyedSubmission compares submissions by key and by minted id, alternating in one run, through 4 failure
// domains of two entry VMs. Tasks take 20 ms. Run it with -benchtime 1x.
func BenchmarkKeyedSubmission(b *testing.B) {
	for _, rate := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) { benchKeyed(b, rate) })
	}
}

func benchKeyed(b *testing.B, rate int) {
	d, err := load.StartDeployment(load.DeploymentOptions{
		Domains: 4, EntryVMs: 2, Workers: 4, Slots: 16, Services: load.DemoServices,
		Work: func(string, string, []byte) ([]byte, time.Duration, error) {
			return nil, 20 * time.Millisecond, nil
		},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	require.NoError(b, err)
	defer d.Close()
	var clients []*rpc.Client
	for _, a := range d.CallerAddresses() {
		c, err := rpc.NewClient([]string{a}, nil)
		require.NoError(b, err)
		defer c.Close()
		clients = append(clients, c)
	}
	// Wait until the delegates are elected and have read the stream.
	time.Sleep(time.Second)
	before := d.Platform.Stats().Appends
	begin := time.Now()
	n := 3 * rate
	took := make([]time.Duration, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			c := clients[(i/2)%len(clients)]
			s := keySubmission(fmt.Sprint(i), 1)
			if i%2 == 1 {
				id, err := c.NewJob(context.Background())
				if err != nil {
					b.Error(err)
					return
				}
				s.Ref = contract.JobRef{ID: id}
			}
			at := time.Now()
			a, err := c.Do(context.Background(), s)
			took[i] = time.Since(at)
			if err != nil || a.Verdict != contract.VerdictComplete {
				b.Errorf("submission %d: %v %v %s", i, err, a.Verdict, a.Detail)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(begin).Seconds()
	var byKind [2][]time.Duration
	for i, t := range took {
		byKind[i%2] = append(byKind[i%2], t)
	}
	for i, name := range []string{"key", "id"} {
		sort.Slice(byKind[i], func(x, y int) bool { return byKind[i][x] < byKind[i][y] })
		b.ReportMetric(byKind[i][len(byKind[i])/2].Seconds()*1000, name+"_p50_ms")
		b.ReportMetric(byKind[i][len(byKind[i])*99/100].Seconds()*1000, name+"_p99_ms")
	}
	b.ReportMetric(float64(d.Platform.Stats().Appends-before)/elapsed, "appends/s")
	b.ReportMetric(0, "ns/op")
}
