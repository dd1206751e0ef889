package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	// faultyDeployments is the number of deployments with random faults, lateDeployments that of those with late orders, faultyTime how
	// long each of them lasts.
	faultyDeployments = 20
	lateDeployments   = 100
	faultyTime        = 40 * time.Second
)

// faultyDomains are the failure domains of the workers that fail, one of each.
var faultyDomains = []string{"a", "b", "c"}

// faultyWorkers is a pool whose workers fail at random, and a home that orders the next run of each task when the last one is
// over.
type faultyWorkers struct {
	*fixture
	rng *rand.Rand
	// runs holds the present run of each job, which has one task after the other.
	runs map[string]contract.RunKey
	// withdrawn holds the last run of each job that the home has withdrawn. It does not refresh these any more.
	withdrawn map[string]contract.RunKey
	// heldSince is when the starts that a worker holds began to be held, at the earliest.
	heldSince map[*standin.RunHost]time.Time
}

// Guards against two runs of a task that are alive together, or a task that gets no run any more, while workers leave starts
// without a reply, execute them up to 15 s later, and are restarted under their ids.
func TestLateStartsUnderRandomFaultsLeaveOneRunOfATask(t *testing.T) {
	playRandomFaults(t, faultyDeployments, (*faultyWorkers).fault)
}

// Guards against the same while failure domains are evacuated and taken back: an evacuation must not let a task run elsewhere
// that an evacuated worker may still execute.
func TestLateStartsUnderEvacuationsLeaveOneRunOfATask(t *testing.T) {
	returned := int64(0)
	playRandomFaults(t, faultyDeployments, func(w *faultyWorkers) {
		if w.rng.IntN(2) == 0 {
			first := w.rng.IntN(len(faultyDomains))
			w.evacuate(faultyDomains[first : first+w.rng.IntN(len(faultyDomains)-first+1)]...)
		}
		w.fault()
		returned += w.pool.counter(metric.PoolTasksEvacuated).Count()
	})
	require.Positive(t, returned)
}

// Guards against the same while workers that answer their lists leave starts and stops without an answer and execute them seconds later,
// with leases that count from then, and the home withdraws runs and orders the next ones.
func TestLateOrdersUnderRandomFaultsLeaveOneRunOfATask(t *testing.T) {
	begun := 0
	playRandomFaults(t, lateDeployments, func(w *faultyWorkers) {
		w.lateOrders()
		begun = max(begun, w.begunLate())
	})
	require.Positive(t, begun)
}

// Guards against the same if workers are silent for up to 1.5 s meanwhile: a late start of one task extends the lease of all runs of its
// worker, which their owner takes for over by the leases that it has granted.
func TestLateOrdersAtSilentWorkersLeaveOneRunOfATask(t *testing.T) {
	playRandomFaults(t, lateDeployments, func(w *faultyWorkers) {
		w.lateOrders()
		if w.rng.IntN(6) == 0 {
			h := w.randomWorker()
			h.SetDelay(time.Hour)
			w.proceed(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
			h.SetDelay(0)
		}
	})
}

func (w *faultyWorkers) randomWorker() *standin.RunHost {
	return w.calls.hosts[fmt.Sprintf("w%d", w.rng.IntN(len(w.calls.hosts)))]
}

// lateOrders makes the orders to a worker late or ends that, or withdraws a run.
func (w *faultyWorkers) lateOrders() {
	w.proceed(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
	h := w.randomWorker()
	switch w.rng.IntN(4) {
	case 0:
		h.SetLateOrders(standin.LateOrders{
			StartDelay: time.Duration(200+w.rng.IntN(6000)) * time.Millisecond,
			StopDelay:  time.Duration(200+w.rng.IntN(9000)) * time.Millisecond,
		})
	case 1:
		h.EndLateOrders()
	default:
		job := fmt.Sprintf("task-%d", w.rng.IntN(len(w.runs)))
		w.withdrawn[job] = w.runs[job]
		w.pool.Withdraw(testHome, []contract.RunKey{w.runs[job]})
	}
}

// playRandomFaults plays a home and random faults in several deployments, and checks the runs of the tasks.
func playRandomFaults(t *testing.T, deployments uint64, fault func(w *faultyWorkers)) {
	t.Helper()
	for seed := range deployments {
		synctest.Test(t, func(t *testing.T) {
			w := &faultyWorkers{fixture: newFixture(len(faultyDomains)), rng: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]contract.RunKey),
				withdrawn: make(map[string]contract.RunKey), heldSince: make(map[*standin.RunHost]time.Time)}
			defer w.pool.Close()
			w.setDomains(faultyDomains...)
			for i := range 4 {
				job := fmt.Sprintf("task-%d", i)
				w.setRunTime(job, time.Duration(1+i)*time.Second)
				w.runs[job] = contract.RunKey{Batch: job}
			}
			for end := time.Now().Add(faultyTime); time.Now().Before(end); {
				fault(w)
				w.proceed(time.Duration(w.rng.IntN(300)) * time.Millisecond)
			}
			require.Empty(t, w.observer.overlaps, "seed %d", seed)
			w.calls.dropStops.Store(false)
			w.evacuate()
			for _, h := range w.calls.hosts {
				w.heal(h)
			}
			before := maps.Clone(w.runs)
			w.proceed(contract.LateStartRetention + 10*time.Second)
			for job, key := range w.runs {
				require.Greater(t, key.Index, before[job].Index, "seed %d: %s", seed, key)
			}
			require.Empty(t, w.observer.overlaps, "seed %d", seed)
		})
	}
}

// proceed plays the home for a time.
func (w *faultyWorkers) proceed(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for job, key := range w.runs {
			if state := w.state(key); key.Run == 0 || state.Final() {
				key.Run++
				if state == contract.RunDone {
					key.Index, key.Run = key.Index+1, 1
				}
				w.runs[job] = key
				w.orderWith(job, func(o *contract.TaskOrder) { o.Key = key })
				continue
			}
			if w.withdrawn[job] != key {
				w.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
			}
		}
	}
}

// fault makes a worker fail in some way.
func (w *faultyWorkers) fault() {
	h := w.randomWorker()
	for _, host := range w.calls.hosts {
		if time.Since(w.heldSince[host]) > contract.LateStartLimit-5*time.Second {
			host.DiscardHeld()
			w.heldSince[host] = time.Now()
		}
	}
	switch w.rng.IntN(8) {
	case 0, 1:
		h.SetHoldingStarts(1 + w.rng.IntN(2))
	case 2:
		w.heal(h)
	case 3:
		h.SetLosingReplies(true)
	case 4:
		h.SetDelay(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
		w.proceed(time.Duration(w.rng.IntN(500)) * time.Millisecond)
		h.SetDelay(0)
	case 5:
		w.calls.dropStops.Store(!w.calls.dropStops.Load())
	default:
		h.Crash()
		h.SetRefusing(w.rng.IntN(2) == 0)
		w.proceed(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
		h.Restart()
		time.Sleep(time.Duration(w.rng.IntN(100)) * time.Millisecond)
		h.DeliverHeld()
		w.heldSince[h] = time.Now()
	}
}

// heal ends the faults of a worker, but for the starts that are under way.
func (w *faultyWorkers) heal(h *standin.RunHost) {
	h.SetHoldingStarts(0)
	h.SetLosingReplies(false)
	h.EndLateOrders()
	h.SetDelay(0)
}
