package entry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// wastedTarget and controlTrafficTarget are the targets of the design page: rejected starts and unused grants per
	// task, and control traffic in bytes/s per entry VM. busyTarget is the minimum share of busy slots while the load
	// exceeds the capacity.
	wastedTarget         = 0.02
	controlTrafficTarget = 8 << 10
	busyTarget           = 0.95
)

// loadRun is a run of a cluster under load.
type loadRun struct {
	policy  dispatch.Policy
	workers int
	// loads are the loads offered to each entry VM, as fractions of the total capacity.
	loads  []float64
	tasks  int
	during time.Duration
	speeds func(worker int) float64
}

func (r loadRun) run(t *testing.T) summary {
	var s summary
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, r.policy, len(r.loads), r.workers)
		defer c.close()
		if r.speeds != nil {
			for i, w := range c.specs {
				c.speeds[w.ID] = r.speeds(i)
			}
		}
		var wg sync.WaitGroup
		for i, load := range r.loads {
			if load > 0 {
				wg.Go(func() {
					c.offerLoad(c.vms[i].ID, load*float64(r.workers*slotsPerWorker), r.tasks, r.during, uint64(i+1))
				})
			}
		}
		wg.Wait()
		s = c.summarise(r.during)
		t.Logf("%s: %v\n%v", r.policy, s, c.counterDeltas())
		require.Zero(t, c.count(metric.InvariantViolations))
		for task, n := range c.workers.started {
			require.Equal(t, 1, n, "starts of %v", task)
		}
	})
	return s
}

func evenLoads(vms int, load float64) []float64 {
	loads := make([]float64, vms)
	for i := range loads {
		loads[i] = load / float64(vms)
	}
	return loads
}

// Guards against excessive demands and grant messages: the cost of the default policy under even load at the target
// size.
func TestEvenLoad(t *testing.T) {
	s := loadRun{
		policy: dispatch.PolicyDefault, workers: 187, loads: evenLoads(8, 0.7), tasks: 12, during: 3 * time.Second,
	}.run(t)
	require.LessOrEqual(t, s.wasted, wastedTarget)
	require.LessOrEqual(t, s.bytesPerSecond, float64(controlTrafficTarget))
}

// Guards against slots stranded at idle members: one entry VM receives all the load and uses the slots of all members.
func TestOneBusyMember(t *testing.T) {
	s := loadRun{
		policy: dispatch.PolicyDefault, workers: 48, loads: []float64{0.7, 0, 0, 0}, tasks: 12, during: 3 * time.Second,
	}.run(t)
	require.LessOrEqual(t, s.wasted, wastedTarget)
	require.LessOrEqual(t, s.p50, 2*oneWayDelay+time.Millisecond)
}

// Guards against a lightly loaded member that waits while others have free slots: its jobs have more tasks than it has
// slots of its own and must start within about one round trip.
func TestLightlyLoadedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 4, 24)
		defer c.close()
		var wg sync.WaitGroup
		wg.Go(func() { c.offerLoad(c.vms[0].ID, 0.3*24*slotsPerWorker, 6, 4*time.Second, 1) })
		light := c.vms[3].ID
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			runs := make([]time.Duration, 70)
			for i := range runs {
				runs[i] = 50 * time.Millisecond
			}
			c.submit(light, shortKind, runs...)
		}
		wg.Wait()
		time.Sleep(time.Second)
		t.Logf("%v\n%v", c.summarise(4*time.Second), c.counterDeltas())
		waits := c.workers.waits[light]
		require.Len(t, waits, 20*70)
		slices.Sort(waits)
		require.LessOrEqual(t, waits[len(waits)*99/100], 3*oneWayDelay+time.Millisecond)
	})
}

// Guards against idle slots at peak load and against unequal waits of entry VMs with unequal load.
func TestPeakLoad(t *testing.T) {
	s := loadRun{
		policy: dispatch.PolicyDefault, workers: 48, loads: []float64{0.6, 0.3, 0.3, 0.3}, tasks: 12,
		during: 4 * time.Second,
	}.run(t)
	require.GreaterOrEqual(t, s.busy, busyTarget)
	require.LessOrEqual(t, s.wasted, wastedTarget)
	least, most := time.Duration(1<<62), time.Duration(0)
	for _, mean := range s.byHome {
		least, most = min(least, mean), max(most, mean)
	}
	require.LessOrEqual(t, most, 2*least, "mean waits %v", s.byHome)
}

// Guards against a default policy that is no better than choosing workers by stale load.
func TestPolicies(t *testing.T) {
	r := loadRun{workers: 48, loads: evenLoads(4, 0.7), tasks: 12, during: 3 * time.Second}
	waste := make(map[dispatch.Policy]float64)
	for _, p := range dispatch.Policies() {
		r.policy = p
		waste[p] = r.run(t).wasted
	}
	message := fmt.Sprint("rejected starts and unused grants per task, by policy: ", waste)
	require.LessOrEqual(t, waste[dispatch.PolicyDefault], waste[dispatch.PolicyRandom]/2, message)
	require.LessOrEqual(t, waste[dispatch.PolicyDefault], waste[dispatch.PolicyBestOfTwo]/2, message)
}

// freeSlots returns the number of free slots of all allocators.
func (c *testCluster) freeSlots() int {
	n := 0
	for _, m := range c.processes() {
		n += m.slots.service(testService).allocator.Free()
	}
	return n
}

// Guards against double grants after the loss of an allocator and against slots lost with a member: other members must
// grant the slots of its workers, no start may be rejected, and all slots must be returned.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 4, 24)
		defer c.close()
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { c.offerLoad(c.vms[i].ID, 0.2*24*slotsPerWorker, 6, 12*time.Second, uint64(i+1)) })
		}
		wg.Go(func() {
			time.Sleep(3 * time.Second)
			c.stop(c.vms[3].ID)
			time.Sleep(6 * time.Second)
			c.start(c.vms[3].ID)
		})
		wg.Wait()
		time.Sleep(5 * time.Second)
		s := c.summarise(12 * time.Second)
		t.Logf("%v\n%v", s, c.counterDeltas())
		require.Equal(t, 24*slotsPerWorker, c.freeSlots())
		require.LessOrEqual(t, s.wasted, wastedTarget)
		require.Zero(t, c.count(metric.InvariantViolations))
	})
}

// Guards against slot counts that stay wrong after a partition in which two members granted the slots of each worker.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 2, 12)
		defer c.close()
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { c.offerLoad(c.vms[i].ID, 0.6*12*slotsPerWorker, 6, 12*time.Second, uint64(i+1)) })
		}
		wg.Go(func() {
			time.Sleep(2 * time.Second)
			c.net.setCut(func(string, string) bool { return true })
			time.Sleep(6 * time.Second)
			c.net.setCut(nil)
		})
		wg.Wait()
		s := c.summarise(12 * time.Second)
		time.Sleep(15 * time.Second)
		t.Logf("%v\n%v", s, c.counterDeltas())
		require.Equal(t, 12*slotsPerWorker, c.freeSlots())
		require.Zero(t, c.count(metric.InvariantViolations))
		require.GreaterOrEqual(t, s.busy, busyTarget)
	})
}

// Guards against exceeding the cap of long work over all holders, and against short work that waits behind it.
func TestLongCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 4, 24)
		defer c.close()
		for _, vm := range c.vms {
			for range 40 {
				c.submit(vm.ID, longKind, 4*time.Second)
			}
		}
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { c.offerLoad(c.vms[i].ID, 0.08*24*slotsPerWorker, 3, 6*time.Second, uint64(i+1)) })
		}
		wg.Wait()
		s := c.summarise(6 * time.Second)
		t.Logf("%v, long %d\n%v", s, len(c.workers.longWait), c.counterDeltas())
		for w, n := range c.workers.maxLong {
			require.LessOrEqual(t, n, 3, "long tasks on %s", w)
		}
		require.GreaterOrEqual(t, len(c.workers.longWait), 24*3, "long work uses its share")
		require.LessOrEqual(t, s.p99, 10*time.Millisecond)
		time.Sleep(20 * time.Second)
		require.Equal(t, 24*slotsPerWorker, c.freeSlots())
	})
}
