package pool

import (
	"fmt"
	"testing"
	"time"
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
