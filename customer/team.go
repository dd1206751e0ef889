package customer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	teamShards = 16
	// RateUnits is the number of units into which a quota that limits only the start rate is divided.
	RateUnits = 1000
)

// Permit is the reply to a team's request to start a task. If OK is not set, the team waits until one of its tasks
// ends, or until Retry if that is set. A charged permit has to be released when the task has ended.
type Permit struct {
	OK      bool
	Charged bool
	Retry   time.Time
}

// Team is a team with its limits on this entry VM. The lock of its shard guards all fields.
type Team struct {
	spec TeamSpec
	// share is this VM's part of the quota, as a number of slots or of the RateUnits.
	share   int
	running int
	// waiting is set if tasks of the team may be waiting for quota.
	waiting bool
	bucket  bucket
}

// bucket is a token bucket that limits the start rate.
type bucket struct {
	tokens float64
	last   time.Time
}

// units returns the quota as an integer that can be divided into shares; 0 means no quota.
func (s TeamSpec) units() int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case s.StartsPerSecond > 0:
		return RateUnits
	default:
		return 0
	}
}

// rate returns this VM's part of the start rate and of the burst.
func (t *Team) rate() (perSecond, burst float64) {
	fraction := float64(t.share) / float64(t.spec.units())
	burst = t.spec.Burst
	if burst == 0 {
		burst = t.spec.StartsPerSecond
	}
	return t.spec.StartsPerSecond * fraction, math.Max(1, burst*fraction)
}

// tokens refills the bucket and returns the number of starts that the rate allows at now.
func (t *Team) tokens(now time.Time) float64 {
	perSecond, burst := t.rate()
	if t.bucket.last.IsZero() {
		t.bucket = bucket{tokens: burst, last: now}
	}
	if now.After(t.bucket.last) {
		t.bucket.tokens += now.Sub(t.bucket.last).Seconds() * perSecond
		t.bucket.last = now
	}
	t.bucket.tokens = math.Min(t.bucket.tokens, burst)
	return t.bucket.tokens
}

// retryAt returns the time at which the next token is available.
func (t *Team) retryAt(now time.Time) time.Time {
	perSecond, _ := t.rate()
	if perSecond <= 0 {
		// The share is empty; quota has to be transferred to this VM first.
		return now.Add(time.Second)
	}
	due := time.Duration((1 - t.bucket.tokens) / perSecond * float64(time.Second))
	return now.Add(max(time.Millisecond, due))
}

// startable returns the number of tasks that may start now within the team's own quota.
func (t *Team) startable(now time.Time) int {
	startable := math.MaxInt
	if t.spec.Slots > 0 {
		startable = max(0, t.share-t.running)
	}
	if t.spec.StartsPerSecond > 0 {
		startable = min(startable, int(t.tokens(now)))
	}
	return startable
}

// full reports whether the team's own quota has no slot left.
func (t *Team) full() bool { return t.spec.Slots > 0 && t.running >= t.share }

// tryStart charges the start of a task to the team's own quota if possible.
func (t *Team) tryStart(now time.Time) Permit {
	if t.full() {
		t.waiting = true
		return Permit{}
	}
	if p, ok := t.takeToken(now); !ok {
		return p
	}
	t.running++
	return Permit{OK: true, Charged: true}
}

// takeToken takes a token if the start rate is limited. It returns false with the time of the next token if there is
// none.
func (t *Team) takeToken(now time.Time) (Permit, bool) {
	if t.spec.StartsPerSecond <= 0 {
		return Permit{}, true
	}
	if t.tokens(now) < 1 {
		return Permit{Retry: t.retryAt(now)}, false
	}
	t.bucket.tokens--
	return Permit{}, true
}

// balance returns the unused part of the slot quota and the number of running tasks beyond it.
func (t *Team) balance() (idle, borrowed int64) {
	if t.spec.Slots == 0 {
		return 0, 0
	}
	free := int64(t.share - t.running)
	return max(0, free), max(0, -free)
}

type teamShard struct {
	mu    sync.Mutex
	teams map[TeamKey]*Team
}

// weights is the part of the settings that is read without a lock. It is replaced as a whole and never modified.
type weights struct {
	customers map[string]float64
	teams     map[TeamKey]float64
	domains   []uint16
}

// Teams holds the limits of all teams on this entry VM, in shards by name. Teams without a quota are not recorded. mu
// guards the fields below it.
type Teams struct {
	shards [teamShards]teamShard
	// idle and borrowed are sums over the shards: the unused slot quota and the running tasks beyond their team's quota.
	idle     atomic.Int64
	borrowed atomic.Int64
	weights  atomic.Pointer[weights]

	mu       sync.Mutex
	revision uint64
	// distributed is set if shares are assigned by SetShare; otherwise this VM holds the whole quota.
	distributed bool
}

// NewTeams returns a registry without teams. If distributed is set, a team's share is zero until SetShare is called.
func NewTeams(distributed bool) *Teams {
	t := &Teams{distributed: distributed}
	for i := range t.shards {
		t.shards[i].teams = make(map[TeamKey]*Team)
	}
	t.weights.Store(&weights{})
	return t
}

func (t *Teams) shard(k TeamKey) *teamShard {
	return &t.shards[(xxhash.Sum64String(k.Customer)+31*xxhash.Sum64String(k.Team))%teamShards]
}

// Apply applies settings unless their revision is older than the one in effect, and reports whether it did.
func (t *Teams) Apply(s Settings) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision < t.revision {
		return false
	}
	t.revision = s.Revision
	w := &weights{
		customers: make(map[string]float64), teams: make(map[TeamKey]float64), domains: slices.Clone(s.Domains),
	}
	limited := make(map[TeamKey]TeamSpec)
	for _, c := range s.Customers {
		w.customers[c.Name] = c.Weight
		for _, spec := range c.Teams {
			k := TeamKey{Customer: c.Name, Team: spec.Name}
			w.teams[k] = spec.Weight
			if spec.units() > 0 {
				limited[k] = spec
			}
		}
	}
	t.weights.Store(w)
	t.removeUnlimited(limited)
	for k, spec := range limited {
		t.applyTeam(k, spec)
	}
	return true
}

// removeUnlimited removes the teams that no longer have limits. The release of their running tasks has no effect.
func (t *Teams) removeUnlimited(limited map[TeamKey]TeamSpec) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, team := range s.teams {
			if _, ok := limited[k]; !ok {
				t.update(team, func() { *team = Team{} })
				delete(s.teams, k)
			}
		}
		s.mu.Unlock()
	}
}

func (t *Teams) applyTeam(k TeamKey, spec TeamSpec) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		team = &Team{}
		s.teams[k] = team
	}
	t.update(team, func() {
		team.spec = spec
		if !t.distributed {
			team.share = spec.units()
		}
	})
}

// update changes a team by fn and updates the sums. It expects the shard lock to be held.
func (t *Teams) update(team *Team, fn func()) {
	idle, borrowed := team.balance()
	fn()
	idleNow, borrowedNow := team.balance()
	t.idle.Add(idleNow - idle)
	t.borrowed.Add(borrowedNow - borrowed)
}

// SetShare sets this VM's share of a team's quota and reports whether tasks of the team may be waiting for it.
func (t *Teams) SetShare(k TeamKey, share int) bool {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		return false
	}
	grown := share > team.share
	t.update(team, func() { team.share = max(0, share) })
	waiting := team.waiting
	if grown {
		team.waiting = false
	}
	return grown && waiting
}

// TryStart requests the start of a task on the team's own quota.
func (t *Teams) TryStart(k TeamKey, now time.Time) Permit {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		return Permit{OK: true}
	}
	var p Permit
	t.update(team, func() { p = team.tryStart(now) })
	return p
}

// TryBorrow requests a start beyond the team's own quota, on quota that other teams leave unused. The lending teams
// have precedence for every slot that becomes free, so a loan is returned when the tasks that use it end.
func (t *Teams) TryBorrow(k TeamKey, now time.Time) Permit {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		return Permit{OK: true}
	}
	if !team.full() {
		var p Permit
		t.update(team, func() { p = team.tryStart(now) })
		return p
	}
	if !t.reserveLoan() {
		return Permit{}
	}
	if p, ok := team.takeToken(now); !ok {
		t.borrowed.Add(-1)
		return p
	}
	// The loan is already included in t.borrowed.
	team.running++
	return Permit{OK: true, Charged: true}
}

func (t *Teams) reserveLoan() bool {
	for {
		borrowed := t.borrowed.Load()
		if borrowed >= t.idle.Load() {
			return false
		}
		if t.borrowed.CompareAndSwap(borrowed, borrowed+1) {
			return true
		}
	}
}

// Release releases a charged permit and reports whether tasks of the team may be waiting for it. The token of a start
// that did not happen is returned to the bucket.
func (t *Teams) Release(k TeamKey, started bool) bool {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		return false
	}
	// The limits may have been removed and set again while the task ran.
	t.update(team, func() { team.running = max(0, team.running-1) })
	if !started && team.spec.StartsPerSecond > 0 {
		team.bucket.tokens++
	}
	if team.full() {
		return false
	}
	waiting := team.waiting
	team.waiting = false
	return waiting
}

// Startable returns the number of tasks that a team may start now within its own quota, and whether it has one. If
// there are none for lack of a token, retry is the time of the next token. If there are fewer than want, the team is
// marked as waiting for released quota.
func (t *Teams) Startable(k TeamKey, want int, now time.Time) (startable int, retry time.Time, limited bool) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[k]
	if !ok {
		return 0, time.Time{}, false
	}
	startable = team.startable(now)
	if startable < want {
		team.waiting = true
	}
	if startable == 0 && !team.full() {
		retry = team.retryAt(now)
	}
	return startable, retry, true
}

// Spare returns the number of further tasks that may start on unused quota of other teams.
func (t *Teams) Spare() int { return int(max(0, t.idle.Load()-t.borrowed.Load())) }

// Weights returns the weights of a customer and a team; unknown ones count as 1.
func (t *Teams) Weights(customer, team string) (float64, float64) {
	w := t.weights.Load()
	return weightOrDefault(w.customers[customer]), weightOrDefault(w.teams[TeamKey{Customer: customer, Team: team}])
}

// Flow returns the team under which the work of k is scheduled. Once customers are configured, all unknown names share
// one flow; otherwise a caller could monopolise the queue by using a new name for each job.
func (t *Teams) Flow(k TeamKey) TeamKey {
	w := t.weights.Load()
	if len(w.customers) == 0 {
		return k
	}
	if _, ok := w.customers[k.Customer]; !ok {
		return TeamKey{}
	}
	if _, ok := w.teams[k]; !ok {
		return TeamKey{Customer: k.Customer}
	}
	return k
}

func weightOrDefault(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// Usage is the share and usage of a team's quota on this entry VM.
type Usage struct {
	Key      TeamKey
	Quota    int
	Revision uint64
	Share    int
	Running  int
	Waiting  bool
}

// Usages returns the usage of all teams with a quota, in no particular order.
func (t *Teams) Usages() []Usage {
	var out []Usage
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, team := range s.teams {
			out = append(out, Usage{
				Key: k, Quota: team.spec.units(), Revision: team.spec.QuotaRevision, Share: team.share, Running: team.running, Waiting: team.waiting,
			})
		}
		s.mu.Unlock()
	}
	return out
}

// Running returns the number of tasks that a team with a quota runs on this entry VM.
func (t *Teams) Running(k TeamKey) int {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if team, ok := s.teams[k]; ok {
		return team.running
	}
	return 0
}

// Domains returns the failure domains among which the quotas are divided initially.
func (t *Teams) Domains() []uint16 { return t.weights.Load().domains }
