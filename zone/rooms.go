package zone

import (
	"sync"
	"time"
)

// Priorities is the number of priorities whose waiting work owners tell apart; the last holds all lower ones.
const Priorities = 4

// BackendRoom is what the workers of one owner and back end can take.
type BackendRoom struct {
	// Free and Slots count tasks of typical size: those that could start now, and those that fit when all workers idle.
	Free  int
	Slots int
	// Waiting is the work in the owner's queue by priority, in run time at the mean speed.
	Waiting [Priorities]time.Duration
}

// Wait estimates how long a task of a priority waits for room.
func (r *BackendRoom) Wait(priority int) time.Duration {
	if r.Slots == 0 {
		return noWorkers
	}
	if r.Free > 0 {
		return 0
	}
	var ahead time.Duration
	for p := 0; p <= min(priority, Priorities-1); p++ {
		ahead += r.Waiting[p]
	}
	return fullWait + ahead/time.Duration(r.Slots)
}

const (
	// noWorkers is the wait at an owner without workers.
	noWorkers = time.Hour
	// fullWait is the least wait at an owner without room.
	fullWait = 10 * time.Millisecond
	// neighbourCost and remoteCost are what an order to another VM costs in time, within the failure domain and beyond.
	neighbourCost = time.Millisecond
	remoteCost    = 4 * time.Millisecond
)

// owner is what is known of a member that owns workers.
type owner struct {
	domain  string
	leaving bool
	rooms   map[string]*BackendRoom
}

// Rooms is the view that the homes of jobs have of the owners of workers. Its mutex guards all fields.
type Rooms struct {
	self   string
	domain string

	mu     sync.Mutex
	owners map[string]*owner
}

// NewRooms returns an empty view of a member in a failure domain.
func NewRooms(self, domain string) *Rooms {
	return &Rooms{self: self, domain: domain, owners: make(map[string]*owner)}
}

// Update replaces what is known of an owner.
func (r *Rooms) Update(id, domain string, leaving bool, rooms map[string]*BackendRoom) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[id] = &owner{domain: domain, leaving: leaving, rooms: rooms}
}

// Remove forgets an owner.
func (r *Rooms) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.owners, id)
}

// Reserve chooses the owner at which a task is expected to start first, and counts the task there until the owner's
// next report. Owners in exclude are passed over.
func (r *Rooms) Reserve(
	backend string, priority int, expected time.Duration, exclude func(id string) bool,
) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, room, _ := r.best(backend, priority, exclude)
	if room == nil {
		return "", false
	}
	if room.Free > 0 {
		room.Free--
	} else {
		room.Waiting[min(max(priority, 0), Priorities-1)] += expected
	}
	return best, true
}

// Wait returns the shortest expected wait of a task of that priority.
func (r *Rooms) Wait(backend string, priority int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, room, wait := r.best(backend, priority, func(string) bool { return false })
	return wait, room != nil
}

// FreeElsewhere reports whether an owner other than id has room.
func (r *Rooms) FreeElsewhere(backend, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, o := range r.owners {
		if other == id || o.leaving {
			continue
		}
		if room := o.rooms[backend]; room != nil && room.Free > 0 {
			return true
		}
	}
	return false
}

// best returns the owner with the least wait and cost. r.mu is held.
func (r *Rooms) best(backend string, priority int, exclude func(id string) bool) (string, *BackendRoom, time.Duration) {
	var bestID string
	var bestRoom *BackendRoom
	var bestWait time.Duration
	bestCost := time.Duration(-1)
	for id, o := range r.owners {
		room := o.rooms[backend]
		if o.leaving || room == nil || room.Slots == 0 || exclude(id) {
			continue
		}
		wait := room.Wait(priority)
		cost := wait + r.distance(id, o)
		if bestCost < 0 || cost < bestCost || (cost == bestCost && preferred(room, bestRoom, id, bestID)) {
			bestID, bestRoom, bestWait, bestCost = id, room, wait, cost
		}
	}
	return bestID, bestRoom, bestWait
}

// preferred breaks ties by the share of free room, so that equally near owners fill up evenly.
func preferred(a, b *BackendRoom, aID, bID string) bool {
	if d := a.Free*b.Slots - b.Free*a.Slots; d != 0 {
		return d > 0
	}
	return aID < bID
}

func (r *Rooms) distance(id string, o *owner) time.Duration {
	switch {
	case id == r.self:
		return 0
	case o.domain == r.domain:
		return neighbourCost
	default:
		return remoteCost
	}
}
