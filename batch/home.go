package batch

import (
	"context"
	"iter"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	shards = 16
	// tickInterval is the time between periodic checks of all jobs.
	tickInterval = 50 * time.Millisecond
	// refreshInterval is the time between refreshes of runs; owners stop runs that are not refreshed for 800 ms.
	refreshInterval = 200 * time.Millisecond
	// runExpiry is the time after the last contact that was echoed for a run at which the run has certainly ended: owners let
	// its lease end within 1.2 s, on workers' clocks that may run 2% slow.
	runExpiry = 1260 * time.Millisecond
	// answerRetention is how long the answer to a job is kept for repeated submissions.
	answerRetention = 30 * time.Second
	// moveAfter is the wait in an owner's queue after which a task moves to an owner with free capacity.
	moveAfter = 40 * time.Millisecond
	// recallRetry is the time after which a recall that had no effect is repeated.
	recallRetry = 200 * time.Millisecond
	// placeRetry is the pause before a task is placed again when no owner can take it.
	placeRetry = 30 * time.Millisecond
)

// Contact is the newest timestamp that an owner has sent, read from its own clock, and when it arrived here.
type Contact struct {
	Timestamp  uint64
	ReceivedAt time.Time
}

// Owners sends messages to the owners of workers, this VM included. The calls do not block and do not call the home.
type Owners interface {
	// LastContact returns the newest contact with an owner up to a time, the zero value if none is known.
	LastContact(owner string, limit time.Time) Contact
	// Order and Refresh echo the timestamp of a contact, from which the owner dates the message.
	Order(owner string, o contract.TaskOrder, echo Contact)
	Refresh(p PoolRef, keys []contract.RunKey, echo Contact)
	Withdraw(p PoolRef, keys []contract.RunKey)
	// Recall withdraws only runs that have not started.
	Recall(p PoolRef, keys []contract.RunKey)
	// JobStarted says that other tasks of the jobs of queued runs have started.
	JobStarted(p PoolRef, keys []contract.RunKey)
	Acknowledge(p PoolRef, keys []contract.RunKey)
}

// Options configure a home.
type Options struct {
	// Self is the id of this process.
	Self     string
	Owners   Owners
	Members  Membership
	Capacity *zone.CapacityView
	// Crashes records the workers that have crashed under tasks.
	Crashes *contract.CrashLedger
	// Cancels records the jobs that callers have cancelled at any member.
	Cancels *contract.CancelLedger
	// Held records the jobs that other members have announced.
	Held *contract.HeldLedger
	// LateStarts records the starts without a reply that workers may still execute.
	LateStarts *contract.LateStartLedger
	// OwnerOf returns the live member that owns a listed worker. It does not block and does not call the home.
	OwnerOf func(worker string) (owner string, ok bool)
	// Overload selects which waiting jobs are refused while there is too little room.
	Overload contract.OverloadPolicy
	// Fits reports whether any listed worker of a back end can hold a task. known is false if no worker of the back end
	// is listed.
	Fits func(backend string, need machine.Resources, label string) (fits, known bool)
	// Evacuated reports whether all listed workers of a back end that can hold a task are in evacuated failure domains. It does
	// not block and does not call the home; nil means that none are.
	Evacuated func(backend string, need machine.Resources, label string) bool
	// MaxJobs is the number of jobs that the home may keep, ended ones among them; 0 means any number.
	MaxJobs int
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Home holds the jobs that this VM has accepted.
type Home struct {
	o      Options
	kinds  *kinds
	runs   runNumbers
	cancel context.CancelFunc
	done   chan struct{}
	pause  pauseDetector
	// started is the time of the start.
	started time.Time
	// waits counts the waits for earlier homes of jobs.
	waits    atomic.Uint64
	contacts majorityContacts
	// announcedAt is the time of the last announcement of jobs, tickGap the time between the last two ticks, isolated is set while there
	// is no contact with a majority of the members. Only the goroutine of run uses them.
	announcedAt time.Time
	tickGap     time.Duration
	isolated    bool
	// refusesNew is set once the process ends as soon as its jobs are answered.
	refusesNew atomic.Bool
	shards     [shards]shard
	// kept is the number of jobs in all shards, ended ones among them.
	kept atomic.Int64
}

// shard holds the jobs whose ids hash to it. mu guards the map and the jobs in it.
type shard struct {
	mu   sync.Mutex
	jobs map[string]*job
}

// all yields the jobs of a shard while its lock is held. It reports whether all were wanted.
func (s *shard) all(yield func(*job) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if !yield(j) {
			return false
		}
	}
	return true
}

// lockedJobs yields all jobs. The lock of the shard of the present one is held meanwhile.
func (h *Home) lockedJobs() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for i := range h.shards {
			if !h.shards[i].all(yield) {
				return
			}
		}
	}
}

// New returns a home without jobs.
func New(o Options) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{o: o, kinds: newKinds(), runs: newRunNumbers(o.Self), cancel: cancel, done: make(chan struct{}),
		started: o.Now()}
	h.pause.lastTick = o.Now()
	for i := range h.shards {
		h.shards[i].jobs = make(map[string]*job)
	}
	go h.run(ctx)
	return h
}

// Close stops the home. The owners end its runs.
func (h *Home) Close() {
	h.cancel()
	<-h.done
}

func (h *Home) shard(id string) *shard { return &h.shards[xxhash.Sum64String(id)%shards] }

func (h *Home) run(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	refreshed := h.o.Now()
	checked, late := refreshed, false
	for {
		select {
		case <-ticker.C:
			now := h.o.Now()
			h.tickGap = now.Sub(checked)
			late = h.recordTick(h.tickGap, late)
			checked = now
			if pause := h.pause.tick(now); pause > 0 {
				h.counter(metric.BatchPauses).Inc(1)
				h.o.Logger.Warn("process was paused; ordering no run until callers that have left are noticed",
					"pause", pause, "recovery", pauseRecovery)
			}
			refresh := now.Sub(refreshed) >= refreshInterval
			if refresh {
				refreshed = now
			}
			h.tick(now, refresh)
		case <-ctx.Done():
			return
		}
	}
}

// recordTick records the time since the last check of all jobs, and logs once when the checks become late: a home that is so slow
// notices callers that have left late too. It reports whether this check was late.
func (h *Home) recordTick(gap time.Duration, lastLate bool) bool {
	metric.Histogram(metric.BatchTickDelay, h.o.Metrics).Update(max(gap-tickInterval, 0).Microseconds())
	late := gap > stallLimit
	if late && !lastLate {
		h.o.Logger.Warn("periodic checks of jobs are late", "gap", gap, "jobs", h.Active())
	}
	return late
}

// tick advances all jobs, drops expired answers and refreshes runs.
func (h *Home) tick(now time.Time, refresh bool) {
	out := newOutbox(h.o.Owners, h.o.Members)
	if h.tickGap > stallLimit {
		out.nextCheck, out.lateChecks = h.tickGap, true
	}
	announce := now.Sub(h.announcedAt) >= h.nextAnnouncement()
	if announce {
		h.announcedAt = now
		h.logIsolation(now, out)
	}
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for id, j := range s.jobs {
			if j.state == jobEnded {
				if now.Sub(j.endedAt) > answerRetention {
					h.drop(s, id)
				}
				continue
			}
			if refresh {
				h.checkCallers(j, now, out)
			}
			h.advance(j, now, out)
			if refresh {
				out.refresh(j)
			}
			if announce {
				out.announce(j, now)
			}
		}
		s.mu.Unlock()
	}
	h.contacts.set(out.majorities)
	out.send()
}

// Cancel ends a job. It reports whether the job is known. The cancel has been recorded before, so that a copy which arrives
// meanwhile is not accepted.
func (h *Home) Cancel(id string) bool {
	now := h.o.Now()
	out := h.newOutbox()
	s := h.shard(id)
	s.mu.Lock()
	j, ok := s.jobs[id]
	if ok && j.state == jobActive {
		h.endJob(j, Cancelled, "cancelled by a caller", now, out)
		h.advance(j, now, out)
	}
	s.mu.Unlock()
	out.send()
	return ok
}

// State returns the state of a job.
func (h *Home) State(id string) State {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	switch {
	case !ok:
		return StateUnknown
	case j.state == jobEnded && j.answer.Outcome == Completed:
		return StateCompleted
	case j.state == jobEnded && j.answer.Outcome == Failed:
		return StateFailed
	case j.state == jobEnded && (j.answer.Outcome == Refused || j.answer.Outcome == CallerLeft ||
		j.answer.Outcome == Superseded):
		return StateUnknown
	case j.state == jobEnded:
		return StateCancelled
	case j.queued():
		return StateQueued
	default:
		return StateRunning
	}
}

// Pending returns the number of accepted jobs of a route of which no task has started.
func (h *Home) Pending(route string) int {
	n := 0
	for j := range h.lockedJobs() {
		if j.state == jobActive && j.batch.Route == route && j.queued() {
			n++
		}
	}
	return n
}

// Active returns the number of jobs that have not ended, without those that are answered and wait only for an earlier home.
func (h *Home) Active() int {
	n := 0
	for j := range h.lockedJobs() {
		waits := j.state == jobEnding && len(j.waiters) == 0 && j.ownRunsOver()
		if j.state != jobEnded && !waits {
			n++
		}
	}
	return n
}

func (h *Home) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, h.o.Metrics)
}
