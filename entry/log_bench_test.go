package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/standin"
)

const benchTime = 3 * time.Second

func benchPlatform(b *testing.B) (*standin.Platform, func() platform.Log) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	p := standin.NewPlatform(l)
	b.Cleanup(func() { _ = p.Close() })
	return p, func() platform.Log {
		log := platform.NewHTTPLog(p.URL())
		return log
	}
}

func reportQuantiles(b *testing.B, name string, d []time.Duration) {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	for _, q := range []int{50, 99} {
		b.ReportMetric(d[min(len(d)-1, len(d)*q/100)].Seconds()*1000, fmt.Sprintf("%s_p%d_ms", name, q))
	}
}

// BenchmarkClaim measures the wait for the claim of a key and the rate of appends, with one delegate for each failure
// domain and claims at fixed rates. Run it with -benchtime 1x.
func BenchmarkClaim(b *testing.B) {
	for _, domains := range []int{4, 23} {
		for _, rate := range []int{20, 200, 2000, 10000} {
			b.Run(fmt.Sprintf("domains=%d/rate=%d", domains, rate), func(b *testing.B) { benchClaims(b, domains, rate) })
		}
	}
}

func benchClaims(b *testing.B, domains, rate int) {
	p, openLog := benchPlatform(b)
	var delegates []*claimDelegate
	for i := range domains {
		c := newClaimDelegate(claimDelegateOptions{
			Self: machine.Incarnation(i + 1), Log: openLog(), Budget: platform.NewBudget(appendBudget / float64(domains)),
			Now: time.Now, Metrics: metrics.NewRegistry(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		c.start()
		b.Cleanup(c.close)
		delegates = append(delegates, c)
	}
	time.Sleep(200 * time.Millisecond)
	before := p.Stats().Appends
	begin := time.Now()
	n := rate * int(benchTime/time.Second)
	waits := make([]time.Duration, n)
	var failed sync.Map
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			at := time.Now()
			key := contract.CallerKey{Customer: "c", Text: fmt.Sprint(i), CreatedUnixMS: at.UnixMilli()}
			home := machine.Incarnation(i%domains + 1)
			id := contract.JobID{Domain: 1, Home: home, Seq: uint64(i + 1)}
			got, err := delegates[i%domains].claim(context.Background(), contract.Claim{Key: key, Job: id})
			if err != nil || got != id {
				failed.Store(i, err)
			}
			waits[i] = time.Since(at)
		})
	}
	wg.Wait()
	took := time.Since(begin)
	failed.Range(func(i, err any) bool {
		b.Errorf("claim %v: %v", i, err)
		return false
	})
	reportQuantiles(b, "wait", waits)
	b.ReportMetric(float64(p.Stats().Appends-before)/took.Seconds(), "appends/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConfigInEffect measures the time from a publication until all of 24 readers have it in effect. Run it with
// -benchtime 1x.
func BenchmarkConfigInEffect(b *testing.B) {
	_, openLog := benchPlatform(b)
	const readers, changes = 24, 200
	var mu sync.Mutex
	inEffect := make(map[uint64]int)      // number of readers that have a revision in effect
	reached := make(map[uint64]time.Time) // time at which all readers have it in effect
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range readers {
		c := newTestReplica(openLog())
		last := uint64(0)
		c.o.Apply = func(v contract.ConfigView) {
			mu.Lock()
			defer mu.Unlock()
			// Several changes in one page are applied together.
			for ; last < v.Revision; last++ {
				if inEffect[last+1]++; inEffect[last+1] == readers {
					reached[last+1] = time.Now()
				}
			}
		}
		wg.Go(func() { c.tail(ctx) })
	}
	log := openLog()
	var published []time.Time
	for n := range changes {
		published = append(published, time.Now())
		publishWeight(b, log, n, uint64(n))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	var took []time.Duration
	for n, at := range published {
		end, ok := reached[uint64(n+1)]
		require.True(b, ok, "revision %d is not in effect", n+1)
		took = append(took, end.Sub(at))
	}
	reportQuantiles(b, "in_force", took)
	b.ReportMetric(0, "ns/op")
}
