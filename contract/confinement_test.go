package contract

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	loadWorkers  = 48
	loadSlots    = 2
	loadStep     = 10 * time.Millisecond
	loadDowntime = 3500 * time.Millisecond
	loadLimit    = 1500 * time.Millisecond
	// The deadly route crashes workers from loadPoison on, and the tasks of other routes are counted from loadCounted on.
	loadPoison   = 2 * time.Second
	loadCounted  = 4 * time.Second
	loadDuration = 30 * time.Second
)

// loadRoute is a route of the played load: its tasks arrive at a rate per second and run for some time.
type loadRoute struct {
	name   string
	rate   float64
	run    time.Duration
	deadly float64
}

type loadTask struct {
	route   *loadRoute
	arrived time.Duration
	ends    time.Duration
	deadly  bool
}

type loadWorker struct {
	tasks  []loadTask
	downTo time.Duration
	life   int64
}

// playLoad plays a load on workers that crash under a share of the tasks of some routes, with or without confinement. It
// returns the share of the tasks that are done in time, by route.
func playLoad(routes []*loadRoute, confine bool) map[string]float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_000_000, 0)
	ledger, confinement := NewCrashLedger(), NewConfinement()
	workers := make([]loadWorker, loadWorkers)
	var queue []loadTask
	asked, done := make(map[string]float64), make(map[string]float64)
	for now := time.Duration(0); now < loadDuration; now += loadStep {
		for _, r := range routes {
			n := r.rate * loadStep.Seconds()
			for ; n > 0; n-- {
				if rng.Float64() < n {
					queue = append(queue, loadTask{route: r, arrived: now, deadly: now > loadPoison && rng.Float64() < r.deadly})
					if now >= loadCounted {
						asked[r.name]++
					}
				}
			}
		}
		for i := range workers {
			endTasks(&workers[i], fmt.Sprint(i), now, start, ledger, done)
		}
		if confine {
			confinement.Update(ledger.Crashes(), func(string) int { return loadWorkers }, start.Add(now))
		}
		queue = startTasks(workers, queue, now, confinement, rng)
	}
	for route := range asked {
		done[route] /= asked[route]
	}
	return done
}

// endTasks ends the tasks of a worker, or crashes it.
func endTasks(w *loadWorker, id string, now time.Duration, start time.Time, ledger *CrashLedger, done map[string]float64) {
	var running []loadTask
	crashes := false
	for _, t := range w.tasks {
		switch {
		case t.ends > now:
			running = append(running, t)
		case t.deadly:
			crashes = true
		case t.arrived >= loadCounted:
			done[t.route.name]++
		}
	}
	if !crashes {
		w.tasks = running
		return
	}
	c := WorkerCrash{Worker: id, StartTime: w.life, Backend: "s", At: start.Add(now)}
	for i, t := range w.tasks {
		c.Tasks = append(c.Tasks, CrashedTask{Key: RunKey{Batch: fmt.Sprint(t.arrived), Index: i}, Route: t.route.name})
	}
	ledger.Record(c, start.Add(now))
	w.tasks, w.downTo, w.life = nil, now+loadDowntime, w.life+1
}

// startTasks starts waiting tasks on workers with room, and returns those that still wait.
func startTasks(
	workers []loadWorker, queue []loadTask, now time.Duration, confinement *Confinement, rng *rand.Rand,
) []loadTask {
	var waiting []loadTask
	for _, t := range queue {
		if now-t.arrived > loadLimit {
			continue
		}
		usable := int(confinement.Share(t.route.name) * loadWorkers)
		started := false
		for _, i := range rng.Perm(usable) {
			w := &workers[i]
			if w.downTo <= now && len(w.tasks) < loadSlots {
				t.ends = now + t.route.run
				w.tasks = append(w.tasks, t)
				started = true
				break
			}
		}
		if !started {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

// Guards against one route whose tasks crash their workers taking all workers from the other routes.
func TestOtherRoutesAreServedWhileOneCrashesWorkers(t *testing.T) {
	routes := func(deadly float64) []*loadRoute {
		return []*loadRoute{
			{name: "deadly", rate: 100, run: 100 * time.Millisecond, deadly: deadly},
			{name: "short", rate: 150, run: 100 * time.Millisecond},
			{name: "long", rate: 25, run: time.Second},
		}
	}
	sound := playLoad(routes(0), true)
	without := playLoad(routes(0.3), false)
	with := playLoad(routes(0.3), true)
	t.Logf("served without crashes %v, without confinement %v, with it %v", sound, without, with)
	for _, route := range []string{"short", "long"} {
		require.Greater(t, with[route], 0.75*sound[route], route)
		require.Greater(t, with[route], 2*without[route], route)
	}
}

// crashesUnder returns crashes at intervals, each with one task of every route.
func crashesUnder(n int, at time.Time, interval time.Duration, routes ...string) []WorkerCrash {
	var all []WorkerCrash
	for i := range n {
		c := WorkerCrash{Worker: fmt.Sprint(routes, i), Backend: "s", At: at.Add(time.Duration(i) * interval)}
		for k, r := range routes {
			c.Tasks = append(c.Tasks, CrashedTask{Key: RunKey{Batch: fmt.Sprint(i, k)}, Route: r})
		}
		all = append(all, c)
	}
	return all
}

// Guards against routes that are confined for crashes that their tasks have not caused.
func TestInnocentRoutesAreNotConfined(t *testing.T) {
	workers := func(string) int { return 8 }
	start := time.Unix(1_000_000, 0)
	mixed := append(crashesUnder(4, start, 300*time.Millisecond, "deadly", "innocent"),
		crashesUnder(2, start, 300*time.Millisecond, "deadly")...)
	cases := map[string]struct {
		crashes []WorkerCrash
		want    []string
	}{
		"many workers at once":     {crashesUnder(8, start, 0, "a"), nil},
		"few crashes":              {crashesUnder(2, start, time.Second, "a"), nil},
		"neighbours of the deadly": {mixed, []string{"deadly"}},
		"two that look the same":   {crashesUnder(6, start, 300*time.Millisecond, "a", "b"), nil},
		"long ago":                 {crashesUnder(6, start.Add(-time.Minute), 300*time.Millisecond, "a"), nil},
	}
	for name, c := range cases {
		confined, _ := NewConfinement().Update(c.crashes, workers, start.Add(2*time.Second))
		require.Equal(t, c.want, confined, name)
	}
}

// Guards against a route that stays confined after its tasks have stopped to crash workers, and against one that is released
// while they do.
func TestRouteIsReleasedAfterTheLastCrash(t *testing.T) {
	workers := func(string) int { return 8 }
	start := time.Unix(1_000_000, 0)
	f := NewConfinement()
	crashes := crashesUnder(6, start, 300*time.Millisecond, "a")
	last := crashes[len(crashes)-1].At
	f.Update(crashes, workers, last)
	require.InDelta(t, severelyConfined, f.Share("a"), 0)
	_, released := f.Update(crashes, workers, last.Add(releaseAfter))
	require.Empty(t, released)
	_, released = f.Update(crashes, workers, last.Add(releaseAfter+time.Millisecond))
	require.Equal(t, []string{"a"}, released)
	require.InDelta(t, 1, f.Share("a"), 0)
}
