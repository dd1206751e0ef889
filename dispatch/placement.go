package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// avoidDuration is how long a worker that rejected a start is not chosen again. It bounds the rejected starts of a home
// node at peak load, when most workers are full.
const avoidDuration = 20 * time.Millisecond

// randomDraws is the number of uniform draws before the list is searched linearly. The linear search is biased towards
// workers that follow full ones.
const randomDraws = 4

// PlacementWorker is a worker that a baseline policy may choose.
type PlacementWorker struct {
	ID      machine.WorkerID
	Service string
	Slots   int
	// Busy is the number of slots in use according to the last status report.
	Busy int
}

// Placement chooses a worker for each task without grants, by one of the baseline policies. mu guards the fields below
// it.
type Placement struct {
	policy Policy

	mu       sync.Mutex
	random   *rand.Rand
	services map[string][]*candidate
	workers  map[machine.WorkerID]*candidate
}

type candidate struct {
	PlacementWorker
	inFlight   int
	avoidUntil time.Time
}

// NewPlacement returns the placement of a baseline policy, or nil for the default policy.
func NewPlacement(p Policy, seed uint64) *Placement {
	if p == PolicyDefault {
		return nil
	}
	return &Placement{
		policy: p, random: rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string][]*candidate), workers: make(map[machine.WorkerID]*candidate),
	}
}

// SetWorkers replaces the workers that may be chosen.
func (p *Placement) SetWorkers(workers []PlacementWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = make(map[string][]*candidate)
	known := make(map[machine.WorkerID]*candidate, len(workers))
	for _, w := range workers {
		x, ok := p.workers[w.ID]
		if !ok {
			x = &candidate{}
		}
		x.PlacementWorker = w
		known[w.ID] = x
		p.services[w.Service] = append(p.services[w.Service], x)
	}
	for id, x := range p.workers {
		if _, ok := known[id]; !ok && x.inFlight > 0 {
			// Its pending starts still have to be released.
			known[id] = x
		}
	}
	p.workers = known
}

// Choose returns the worker for the next start and counts the start as in flight. It returns false while every worker
// has as many starts of this home node in flight as slots or has just rejected one.
func (p *Placement) Choose(service string, now time.Time) (machine.WorkerID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.pick(p.services[service], now)
	if w == nil {
		return "", false
	}
	w.inFlight++
	return w.ID, true
}

// pick returns the worker that the policy chooses, or nil if none is usable. It expects p.mu to be held.
func (p *Placement) pick(all []*candidate, now time.Time) *candidate {
	first := p.pickOne(all, nil, now)
	if first == nil || p.policy == PolicyRandom {
		return first
	}
	second := p.pickOne(all, first, now)
	if second != nil && second.load() < first.load() {
		return second
	}
	return first
}

// pickOne returns a random usable worker other than except: one of a few random draws, or else the first usable one
// from a random position of the list. It expects p.mu to be held.
func (p *Placement) pickOne(all []*candidate, except *candidate, now time.Time) *candidate {
	if len(all) == 0 {
		return nil
	}
	usable := func(w *candidate) bool { return w != except && w.inFlight < w.Slots && !now.Before(w.avoidUntil) }
	for range randomDraws {
		if w := all[p.random.IntN(len(all))]; usable(w) {
			return w
		}
	}
	at := p.random.IntN(len(all))
	for range all {
		if usable(all[at]) {
			return all[at]
		}
		at = (at + 1) % len(all)
	}
	return nil
}

func (w *candidate) load() float64 {
	return float64(w.Busy+w.inFlight) / float64(max(1, w.Slots))
}

// Release records that a start has ended.
func (p *Placement) Release(id machine.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(id)
}

// release expects p.mu to be held.
func (p *Placement) release(id machine.WorkerID) *candidate {
	w, ok := p.workers[id]
	if ok && w.inFlight > 0 {
		w.inFlight--
	}
	return w
}

// Reject records that a start was rejected by the worker, which is then avoided for avoidDuration.
func (p *Placement) Reject(id machine.WorkerID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.release(id); w != nil {
		w.avoidUntil = now.Add(avoidDuration)
	}
}

// InFlight returns the number of starts of a service that have not ended.
func (p *Placement) InFlight(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		if w.Service == service {
			n += w.inFlight
		}
	}
	return n
}
