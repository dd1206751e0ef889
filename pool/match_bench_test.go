package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Measures a decision with a long queue and workers whose free capacity is too small for any queued task, as at a demand
// peak: it is made at every order, start and end of a run.
func BenchmarkMatchWithoutRoom(b *testing.B) {
	const workers, queued = 24, 200
	f := newFixture(workers)
	defer f.pool.Close()
	for i := range workers + queued {
		job := fmt.Sprintf("job-%d", i)
		f.setRunTime(job, time.Hour)
		f.order(job, 1200, i%3, time.Hour, time.Hour)
	}
	time.Sleep(50 * time.Millisecond)
	b.ResetTimer()
	for b.Loop() {
		var fx effects
		f.pool.mu.Lock()
		f.pool.match(time.Now(), &fx)
		f.pool.mu.Unlock()
	}
}

// Measures a decision with a long queue and workers with free capacity, of which one run starts.
func BenchmarkMatchWithRoom(b *testing.B) {
	for _, shed := range []bool{false, true} {
		b.Run(fmt.Sprintf("shed=%v", shed), func(b *testing.B) { benchmarkMatchWithRoom(b, shed) })
	}
}

func benchmarkMatchWithRoom(b *testing.B, shed bool) {
	const workers, queued = 24, 200
	f := newFixture(workers)
	defer f.pool.Close()
	p := f.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.o.Overload.Shed = shed
	now := time.Now()
	b.ResetTimer()
	for b.Loop() {
		b.StopTimer()
		p.waiting.runs = p.waiting.runs[:0]
		for i := range queued {
			// One run fits the free capacity of the workers, and the others do not.
			cpu := 2500
			if i == queued/2 {
				cpu = 1200
			}
			p.waiting.push(&run{
				claimed: true, refreshedAt: now, queuedAt: now,
				order: contract.TaskOrder{
					Key: contract.RunKey{Batch: fmt.Sprintf("job-%d", i)}, Route: fmt.Sprintf("route-%d", i%3), Priority: i % 3,
					Need: machine.Resources{CPUMillis: cpu}, Accepted: now, Target: now.Add(time.Second + time.Duration(i*7919%1000)*time.Millisecond),
					Deadline: now.Add(time.Minute), Expected: 100 * time.Millisecond,
				},
			})
		}
		b.StartTimer()
		var fx effects
		p.match(now, &fx)
		b.StopTimer()
		for _, s := range fx.starts {
			p.detach(s.run)
		}
		clear(p.lastStarts)
		b.StartTimer()
	}
}
