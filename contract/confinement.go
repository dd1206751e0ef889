package contract

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// A route whose tasks crash a quarter of the workers within crashWindow may use half of the workers, one that crashes
	// half of them a quarter. With more workers such a route would not complete more tasks, and would take capacity from the
	// others.
	confiningCrashes, confinedShare            = 0.25, 0.5
	severelyConfiningCrashes, severelyConfined = 0.5, 0.25
	// crashWindow is the time over which crashes are counted; a crashed worker is away for about as long.
	crashWindow = 4 * time.Second
	// minConfiningCrashes is the smallest number of crashes that confines a route, whatever the number of workers.
	minConfiningCrashes = 3
	// crashBucket is the length of the intervals in which crashes are counted. Crashes in one interval count as one event,
	// since a fault that takes down many workers at once is not caused by a task. minCrashBuckets is the smallest number of
	// events that confines a route.
	crashBucket     = 250 * time.Millisecond
	minCrashBuckets = 3
	// releaseAfter is the time without a crash under a confined route after which it is released.
	releaseAfter = 4 * time.Second
)

// Confinement decides which routes crash so many workers that their tasks are confined to some of them, so that the other
// routes keep the rest. mu guards the field below it.
type Confinement struct {
	mu       sync.Mutex
	confined map[string]*confinedRoute
}

// confinedRoute is a route whose tasks start only on a share of the workers.
type confinedRoute struct {
	share     float64
	lastCrash time.Time
}

// NewConfinement returns a confinement without routes.
func NewConfinement() *Confinement { return &Confinement{confined: make(map[string]*confinedRoute)} }

// Share returns the share of the workers on which tasks of a route start.
func (f *Confinement) Share(route string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.confined[route]; ok {
		return r.share
	}
	return 1
}

// Any reports whether any route is confined.
func (f *Confinement) Any() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.confined) > 0
}

// Update decides again from the crashes known at a time. workers returns the number of workers of a back end. Update
// returns the routes that it has confined or released.
func (f *Confinement) Update(crashes []WorkerCrash, workers func(backend string) int, now time.Time) (confined, released []string) {
	recent := recentCrashes(crashes, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for backend, crashes := range recent {
		for route, blamed := range blameRoutes(crashes) {
			share := shareAfter(blamed, workers(backend))
			switch r, ok := f.confined[route]; {
			case ok:
				r.share = min(r.share, share)
			case share < 1:
				confined = append(confined, route)
				f.confined[route] = &confinedRoute{share: share}
			}
		}
		for _, c := range crashes {
			for _, t := range c.Tasks {
				if r, ok := f.confined[t.Route]; ok && c.At.After(r.lastCrash) {
					r.lastCrash = c.At
				}
			}
		}
	}
	for route, r := range f.confined {
		if now.Sub(r.lastCrash) > releaseAfter {
			released = append(released, route)
			delete(f.confined, route)
		}
	}
	return confined, released
}

// recentCrashes returns the crashes within crashWindow by back end, but for those in waves.
func recentCrashes(crashes []WorkerCrash, now time.Time) map[string][]WorkerCrash {
	recent := make(map[string][]WorkerCrash)
	for _, c := range withoutWaves(crashes) {
		if !c.Refuted && now.Sub(c.At) <= crashWindow {
			recent[c.Backend] = append(recent[c.Backend], c)
		}
	}
	return recent
}

// shareAfter returns the share of the workers that a route keeps after the crashes for which it is blamed.
func shareAfter(blamed []WorkerCrash, workers int) float64 {
	moments := make(map[int64]bool)
	for _, c := range blamed {
		moments[c.At.UnixNano()/int64(crashBucket)] = true
	}
	if len(moments) < minCrashBuckets || len(blamed) < minConfiningCrashes {
		return 1
	}
	switch crashed := float64(len(blamed)) / float64(max(workers, 1)); {
	case crashed >= severelyConfiningCrashes:
		return severelyConfined
	case crashed >= confiningCrashes:
		return confinedShare
	default:
		return 1
	}
}

// blameRoutes attributes crashes to routes. A crash accuses the routes of all tasks that were on the worker, so the route
// that explains most crashes is blamed for them, then the one that explains most of the others. Of two that explain the same
// number the one that was more often without others on the worker is blamed, neither if that does not tell them apart.
func blameRoutes(crashes []WorkerCrash) map[string][]WorkerCrash {
	blamed := make(map[string][]WorkerCrash)
	for len(crashes) > 0 {
		route, ok := mostBlamed(crashes)
		if !ok {
			break
		}
		for _, c := range crashes {
			if c.underRoute(route) {
				blamed[route] = append(blamed[route], c)
			}
		}
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c WorkerCrash) bool { return c.underRoute(route) })
	}
	return blamed
}

// evidence counts the crashes that accuse a route, and those that accuse no other.
type evidence struct {
	crashes, only int
}

func (e evidence) compare(o evidence) int {
	if e.crashes != o.crashes {
		return e.crashes - o.crashes
	}
	return e.only - o.only
}

// mostBlamed returns the route with the most evidence. It returns false if there is none or two have the same.
func mostBlamed(crashes []WorkerCrash) (string, bool) {
	all := make(map[string]evidence)
	for _, c := range crashes {
		routes := c.routes()
		for _, route := range routes {
			e := all[route]
			e.crashes++
			if len(routes) == 1 {
				e.only++
			}
			all[route] = e
		}
	}
	best, unique := "", false
	for _, route := range slices.Sorted(maps.Keys(all)) {
		switch d := all[route].compare(all[best]); {
		case best == "" || d > 0:
			best, unique = route, true
		case d == 0:
			unique = false
		}
	}
	return best, unique
}

// routes returns the routes of the tasks that were on the worker. A task whose home was not known yet has none.
func (c *WorkerCrash) routes() []string {
	var routes []string
	for _, t := range c.Tasks {
		if t.Route != "" && !slices.Contains(routes, t.Route) {
			routes = append(routes, t.Route)
		}
	}
	return routes
}

func (c *WorkerCrash) underRoute(route string) bool {
	return slices.ContainsFunc(c.Tasks, func(t CrashedTask) bool { return t.Route == route })
}
