package pool

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which the work of a route is forgotten.
	shareMemory = time.Second
	// priorityWeight is the weight of a route relative to that of a route of the next higher priority.
	priorityWeight = 0.5
	// maxWeighedPriority is the lowest priority that has a weight of its own.
	maxWeighedPriority = 16
	// minRememberedWork is the work in core seconds below which a route is forgotten.
	minRememberedWork = 1e-3
	// largeFactor is the size from which a run counts as large, relative to a typical one.
	largeFactor = 1.2
	// largeShare is the share of the large runs that start, relative to that of the others, below which a worker is kept free for them.
	largeShare = 0.8
)

func isLarge(cpuMillis, typical int) bool { return float64(cpuMillis) > largeFactor*float64(typical) }

// decaying is a sum whose parts count for less the older they are, with the time constant shareMemory.
type decaying struct {
	sum float64
	at  time.Time
}

// now returns the sum as it counts at a time.
func (w decaying) now(now time.Time) float64 {
	return w.sum * math.Exp(-max(now.Sub(w.at), 0).Seconds()/shareMemory.Seconds())
}

// shares holds what each route has used of the workers lately. Routes share them by the weights of their priorities: the one
// that has used the least for its weight goes first. The lock of the pool guards it.
type shares struct {
	routes map[string]decaying
	// large and other count the runs that were ordered and started lately, by size.
	large, other struct{ ordered, started decaying }
}

// count records a run of a size, started or only ordered.
func (s *shares) count(large, started bool, now time.Time) {
	size := &s.other
	if large {
		size = &s.large
	}
	sum := &size.ordered
	if started {
		sum = &size.started
	}
	*sum = decaying{sum.now(now) + 1, now}
}

// largeBehind reports whether a smaller share of the large runs than of the others has started lately, by more than largeShare.
func (s *shares) largeBehind(now time.Time) bool {
	return s.large.started.now(now)*s.other.ordered.now(now) < largeShare*s.other.started.now(now)*s.large.ordered.now(now)
}

func newShares() shares { return shares{routes: make(map[string]decaying)} }

// add records a started run of a route by its expected run time and its cores.
func (s *shares) add(route string, expected time.Duration, cpuMillis int, now time.Time) {
	work := expected.Seconds() * float64(cpuMillis) / 1000
	s.routes[route] = decaying{s.routes[route].now(now) + work, now}
}

// used returns the recent work of a route, divided by the weight of a priority.
func (s *shares) used(route string, priority int, now time.Time) float64 {
	weight := math.Pow(priorityWeight, float64(min(max(priority, 0), maxWeighedPriority)))
	return s.routes[route].now(now) / weight
}

// dropUnused forgets routes without recent work.
func (s *shares) dropUnused(now time.Time) {
	for route, w := range s.routes {
		if w.now(now) < minRememberedWork {
			delete(s.routes, route)
		}
	}
}
