package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	overlapDuration = 25 * time.Second
	// overlapSubmissionInterval is the mean time between submissions.
	overlapSubmissionInterval = 200 * time.Millisecond
	// overlapFaults is the number of faults that are active at the same time.
	overlapFaults = 5
	// maxLateness bounds the time after which a late call is executed.
	maxLateness = 12 * time.Second
	// listingDelay bounds the time after which the entry of a restarted worker is in the store.
	listingDelay = 1500 * time.Millisecond
	// overlapFaultsVariable replaces the faults of the mixes, by names separated by commas.
	overlapFaultsVariable = "EDGE_CHAOS_FAULTS"
	// overlapLogVariable names a directory for the logs of failed seeds.
	overlapLogVariable = "EDGE_CHAOS_LOGS"
)

// overlapMix is a selection of the faults that overlap. A fault that is named twice is twice as frequent.
type overlapMix struct {
	name   string
	faults []string
	// lateSurvives makes late calls reach a worker that has been restarted since they were sent.
	lateSurvives bool
	seeds        []uint64
}

var overlapMixes = []overlapMix{
	{name: "restarts", seeds: []uint64{1, 2, 3, 4}, faults: []string{
		"kill", "stop", "cutDaemon", "cutZone", "cutOneWay", "cutWorkers", "delayDaemon", "storeUnavailable", "isolate", "reset",
		"lostReplies", "lateCalls", "lateCalls", "restart", "restart", "suspend", "suspend",
	}},
	{name: "late-calls-at-restarted-workers", seeds: []uint64{1, 2}, lateSurvives: true,
		faults: []string{"lateCalls", "restart", "restart"}},
	{name: "channels-broken-during-suspensions", seeds: []uint64{1, 2}, faults: []string{"suspendBroken", "suspendBroken", "suspend"}},
	{name: "isolated-homes-with-workers", seeds: []uint64{1, 2}, faults: []string{"isolateWithWorkers", "lateCalls", "cutOneWay"}},
	{name: "late-orders-at-answering-workers", seeds: []uint64{10453021, 1077058010, 1097430348}, faults: []string{"lateOrders", "lateOrders", "lateOrders", "reset"}},
	{name: "late-orders-and-lost-owners", seeds: []uint64{2780357274, 3275951950}, faults: []string{"lateOrders", "lateOrders", "lateOrders", "reset", "kill", "stop"}},
	{name: "entries-of-earlier-incarnations", seeds: []uint64{1, 2}, faults: []string{"staleEntry", "lateCalls"}},
}

// overlap is a chaos with faults of longer duration, of which several are always active, and with long tasks, so that
// reruns are alive when late calls arrive. The fields after workers are guarded by the mutex of chaos.
type overlap struct {
	*chaos
	net *workerNetwork
	// waiting allows one goroutine at a time to wait until all others are blocked.
	waiting chan struct{}

	busy     map[string]bool
	channels map[string][]chan time.Duration
	moves    int
}

// Guards against tasks with two runs at the same time when late calls, restarted workers, suspended and killed daemons,
// cuts, stale entries and repeated submissions overlap.
func TestOverlappingFaultsBreakNoInvariant(t *testing.T) {
	for _, mix := range overlapMixes {
		if names := os.Getenv(overlapFaultsVariable); names != "" {
			mix.faults = strings.Split(names, ",")
		}
		if s, err := strconv.ParseUint(os.Getenv(chaosSeedVariable), 10, 64); err == nil {
			mix.seeds = []uint64{s}
		}
		if n, err := strconv.Atoi(os.Getenv(chaosCountVariable)); err == nil {
			mix.seeds = nil
			for range n {
				mix.seeds = append(mix.seeds, rand.Uint64N(1<<32))
			}
		}
		t.Run(mix.name, func(t *testing.T) {
			for _, seed := range mix.seeds {
				t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) { runOverlap(t, mix, seed) })
				})
			}
		})
	}
}

func runOverlap(t *testing.T, mix overlapMix, seed uint64) {
	w := newWorkerNetwork(seed, mix.lateSurvives)
	d := newDeploymentOver(w, t, chaosZones, chaosDaemons, chaosWorkers)
	c := &overlap{
		chaos: &chaos{
			d: d, rng: rand.New(rand.NewPCG(seed, 1)), cuts: make(map[int]func(from, to string) bool),
			delays: make(map[int]func(from, to string) bool), refused: make(map[string]bool),
		},
		net: w, waiting: make(chan struct{}, 1), busy: make(map[string]bool), channels: make(map[string][]chan time.Duration),
	}
	work := rand.New(rand.NewPCG(seed, 2))
	var workMu sync.Mutex
	d.plan = func(k contract.RunKey) standin.RunPlan {
		workMu.Lock()
		defer workMu.Unlock()
		if k.Batch[0] == 'f' {
			// A job of checkService.
			return standin.RunPlan{Duration: 100 * time.Millisecond}
		}
		if work.IntN(3) == 0 {
			return standin.RunPlan{Duration: time.Duration(1000+work.IntN(8000)) * time.Millisecond}
		}
		return standin.RunPlan{Duration: time.Duration(50+work.IntN(1000)) * time.Millisecond}
	}
	var clients sync.WaitGroup
	end := time.Now().Add(overlapDuration)
	clients.Go(func() { c.inject(mix.faults, end) })
	requests := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Now().Before(end); i++ {
		id, zone, limit := fmt.Sprintf("%016x", i), requests.IntN(chaosZones),
			time.Duration(3000+requests.IntN(12_000))*time.Millisecond
		tasks, pick := 1+requests.IntN(3), requests.Uint64()
		clients.Go(func() { c.client(id, zone, tasks, limit, pick) })
		time.Sleep(time.Duration(1+requests.IntN(2*int(overlapSubmissionInterval/time.Millisecond))) * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(maxLateness)
	defer func() {
		c.keepLog(seed)
		c.close()
	}()
	// Daemons have learned from the long tasks that tasks may take 9 s.
	c.checkService(t, 30*time.Second)
}

// client submits a job, and submits it to another daemon after its channel has broken.
func (c *overlap) client(id string, zone, tasks int, limit time.Duration, pick uint64) {
	deadline := time.Now().Add(limit)
	refusals, attempts := 0, 0
	for ; time.Now().Before(deadline); attempts++ {
		daemon := c.choose(zone, pick+uint64(attempts))
		if daemon == nil {
			time.Sleep(100 * time.Millisecond)
			attempts--
			continue
		}
		vm, broken := daemon.o.Self.VM, make(chan time.Duration, 1)
		c.mu.Lock()
		c.channels[vm] = append(c.channels[vm], broken)
		c.mu.Unlock()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		answers := make(chan batch.Answer, 1)
		job := testJob(id, tasks, time.Until(deadline))
		c.d.wg.Go(func() { answers <- daemon.Submit(ctx, job) })
		var answer batch.Answer
		select {
		case answer = <-answers:
			cancel()
		case told := <-broken:
			// The daemon learns late, or after its suspension, that the channel is broken.
			c.d.wg.Go(func() {
				time.Sleep(told)
				c.net.awaitRunning(vm)
				time.Sleep(time.Duration(pick%3000) * time.Microsecond)
				cancel()
			})
			answer.Outcome = batch.Abandoned
		}
		switch answer.Outcome {
		case batch.Refused:
			refusals++
		case batch.Failed:
			c.requireCrashes(id, tasks, answer.Reason)
		case batch.Completed:
			c.requireDone(id, tasks)
		case batch.Abandoned:
			time.Sleep(resendDelay)
			continue
		}
		break
	}
	if attempts >= 0 && refusals > 0 && attempts+1 == refusals {
		time.Sleep(maxLateness + time.Second)
		require.Zero(c.d.t, c.d.observer.startsOf(id), "starts of refused job %s", id)
	}
}

// requireCrashes fails the test unless two workers have crashed under a task of a job that was answered as failed. Tasks
// do not fail by themselves here.
func (c *overlap) requireCrashes(id string, tasks int, reason string) {
	for i := range tasks {
		crashes := 0
		for _, line := range c.d.log.linesWith(fmt.Sprintf("%s.0.%d#0", id, i)) {
			if strings.Contains(line, "worker has crashed with its runs") {
				crashes++
			}
		}
		if crashes >= 2 {
			return
		}
	}
	c.d.t.Errorf("job %s failed, and none of its tasks has: %s", id, reason)
}

// requireDone fails the test if a task of a job that was answered as completed has no run that has ended as done.
func (c *overlap) requireDone(id string, tasks int) {
	c.d.observer.mu.Lock()
	defer c.d.observer.mu.Unlock()
	for i := range tasks {
		if c.d.observer.done[contract.RunKey{Batch: id, Index: i}] == 0 {
			c.d.t.Errorf("job %s was answered as completed, and its task %d is not done", id, i)
		}
	}
}

// breakChannels breaks the channels of the clients of a daemon, which is told of it after a time.
func (c *overlap) breakChannels(vm string, told time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, broken := range c.channels[vm] {
		select {
		case broken <- told:
		default:
		}
	}
	c.channels[vm] = nil
}

// inject keeps several faults active until shortly before end, and waits for all of them to finish.
func (c *overlap) inject(names []string, end time.Time) {
	kinds := map[string]func(rng *rand.Rand) string{
		"kill": c.kill, "stop": c.stop, "cutDaemon": c.cutDaemon, "cutZone": c.cutZone, "cutOneWay": c.cutOneWay,
		"cutWorkers": c.cutWorkers, "delayDaemon": c.delayDaemon, "storeUnavailable": c.storeUnavailable,
		"lateCalls": c.lateCalls, "lostReplies": c.lossyReplies, "restart": c.restartWorkers, "suspend": c.suspendDaemons,
		"suspendBroken": c.suspendWithBrokenChannels, "isolate": c.isolateHome, "reset": c.resetChannels,
		"isolateWithWorkers": c.isolateHomeWithWorkers, "staleEntry": c.staleEntry, "lateOrders": c.lateOrders,
	}
	begin := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for range overlapFaults {
		rng := rand.New(rand.NewPCG(c.rng.Uint64(), 0))
		faults.Go(func() {
			for time.Now().Before(end.Add(-8 * time.Second)) {
				time.Sleep(time.Duration(50+rng.IntN(400)) * time.Millisecond)
				at := time.Since(begin)
				description := kinds[names[rng.IntN(len(names))]](rng)
				c.mu.Lock()
				c.trace = append(c.trace, fmt.Sprintf("%v to %v: %s", at, time.Since(begin), description))
				c.mu.Unlock()
			}
		})
	}
}

// keepLog writes the log of a seed that has failed to the directory that overlapLogVariable names.
func (c *overlap) keepLog(seed uint64) {
	directory := os.Getenv(overlapLogVariable)
	if directory == "" || (!c.d.t.Failed() && len(c.d.observer.overlaps) == 0) {
		return
	}
	lines := append(slices.Clone(c.trace), c.d.observer.overlaps...)
	for _, line := range c.d.log.linesWith("") {
		lines = append(lines, strings.TrimSuffix(line, "\n"))
	}
	path := filepath.Join(directory, strconv.FormatUint(seed, 10)+".log")
	require.NoError(c.d.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
}
