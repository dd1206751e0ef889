package machine

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const fleetShards = 16

// Fleet holds the known workers of a failure domain in shards by worker id.
type Fleet struct {
	shards [fleetShards]fleetShard
}

type fleetShard struct {
	mu      sync.Mutex
	workers map[WorkerID]*Worker
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].workers = make(map[WorkerID]*Worker)
	}
	return f
}

func (f *Fleet) shard(id WorkerID) *fleetShard {
	return &f.shards[xxhash.Sum64String(string(id))%fleetShards]
}

// Get returns the worker with the given id.
func (f *Fleet) Get(id WorkerID) (*Worker, bool) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[id]
	return w, ok
}

// Upsert adds a worker or updates its spec. It reports whether the worker is new.
func (f *Fleet) Upsert(spec WorkerSpec) (*Worker, bool) {
	s := f.shard(spec.ID)
	s.mu.Lock()
	w, ok := s.workers[spec.ID]
	if !ok {
		w = NewWorker(spec)
		s.workers[spec.ID] = w
	}
	s.mu.Unlock()
	if ok {
		w.UpdateSpec(spec)
	}
	return w, !ok
}

// Remove deletes a worker.
func (f *Fleet) Remove(id WorkerID) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.workers, id)
}

// All returns the workers ordered by id.
func (f *Fleet) All() []*Worker {
	var all []*Worker
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, w := range s.workers {
			all = append(all, w)
		}
		s.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Spec().ID < all[j].Spec().ID })
	return all
}

// CentreSpeeds scales the speeds of each service so that their geometric mean is 1. Run times and speeds are learned
// from each other, so without a fixed mean both could drift together.
func (f *Fleet) CentreSpeeds() {
	byService := make(map[string][]*Worker)
	for _, w := range f.All() {
		service := w.Spec().Service
		byService[service] = append(byService[service], w)
	}
	for _, workers := range byService {
		sum := 0.0
		for _, w := range workers {
			sum += math.Log(w.Speed())
		}
		for _, w := range workers {
			w.shiftSpeed(-sum / float64(len(workers)))
		}
	}
}

// Capacity returns the number of workers of a service and their usable slots, unweighted and weighted by speed.
func (f *Fleet) Capacity(service string, now time.Time) (workers, slots int, speed float64) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, w := range s.workers {
			if w.Spec().Service == service {
				n := w.UsableSlots(now)
				workers++
				slots += n
				speed += float64(n) * w.Speed()
			}
		}
		s.mu.Unlock()
	}
	return workers, slots, speed
}
