package pool

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	loadPools, loadWorkers = 8, 6
	loadInvited            = 2
	loadTime               = 6 * time.Second
	loadRunTime            = 200 * time.Millisecond
	loadLatency            = 2 * time.Millisecond
	loadTarget             = 2 * loadRunTime
)

// loadedPools are the pools of several owners in one process, each owner with a home of its own: it orders tasks by the statuses of all
// owners, moves those that wait for long, and follows suggestions. mu guards the fields below it.
type loadedPools struct {
	pools    []*Pool
	views    []*zone.CapacityView
	registry metrics.Registry

	mu     sync.Mutex
	rng    *rand.Rand
	tasks  map[string]*loadedTask
	inTime int
	ended  int
}

type loadedTask struct {
	home     int
	owner    int
	order    contract.TaskOrder
	placedAt time.Time
	recalled bool
}

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) Started(string, contract.RunKey)                             {}
func (noObserver) Ended(string, contract.RunKey, contract.RunState, time.Time) {}

func ownerName(i int) string { return fmt.Sprint(i) }

func ownerNumber(name string) int {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return i
}

// newLoadedPools returns pools whose workers have 32 cores, a third of them 48 cores and 2.4 times the speed.
func newLoadedPools(steal bool) *loadedPools {
	l := &loadedPools{rng: rand.New(rand.NewPCG(1, 2)), tasks: make(map[string]*loadedTask), registry: metrics.NewRegistry()}
	listings := make([][]machine.Listing, loadPools)
	for i := range loadPools {
		calls := &hostCalls{hosts: make(map[string]*standin.RunHost)}
		for w := range loadWorkers {
			capacity, speed := machine.Resources{CPUMillis: 32_000, MemoryMB: 1000}, 1.0
			if w%3 == 0 {
				capacity.CPUMillis, speed = 48_000, 2.4
			}
			id := fmt.Sprintf("w%d-%d", i, w)
			h := standin.NewRunHost(standin.RunHostOptions{ID: id, Capacity: capacity, MaxLease: time.Second, Observer: noObserver{},
				Plan: func(contract.RunKey) standin.RunPlan {
					return standin.RunPlan{Duration: time.Duration(float64(loadRunTime) / speed)}
				},
				Need: func(k contract.RunKey) machine.Resources { return l.task(k).order.Need },
			})
			calls.hosts[id] = h
			listings[i] = append(listings[i], machine.Listing{Worker: id, Backend: "s", Address: id, StartTime: h.StartTime(), Capacity: capacity})
		}
		o := Options{
			Backend: "s", Calls: calls, Lease: time.Second, Policy: Policy{GuardsCapacity: true, SoleBackend: true}, Now: time.Now,
			Logger: slog.New(slog.DiscardHandler), Metrics: l.registry, Takeover: func(contract.Takeover) {},
			Confinement: contract.NewConfinement(), Crashed: func(contract.WorkerCrash) {},
			Report: func(_ string, r contract.RunReport) { time.AfterFunc(loadLatency, func() { l.report(i, r) }) },
		}
		if steal {
			o.Room = func() { l.invite(i) }
		}
		l.pools = append(l.pools, New(o))
		l.views = append(l.views, zone.NewCapacityView(ownerName(i), "z"))
	}
	for i, p := range l.pools {
		p.SetHosts(listings[i])
	}
	return l
}

func (l *loadedPools) task(k contract.RunKey) *loadedTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tasks[k.Batch]
}

// invite offers free capacity to loaded owners, as a daemon does.
func (l *loadedPools) invite(from int) {
	owners := l.views[from].LoadedOwners("s", loadInvited)
	if len(owners) == 0 {
		return
	}
	gaps := l.pools[from].Offer()
	if len(gaps) == 0 {
		return
	}
	for _, owner := range owners {
		l.views[from].RecordInvitation(owner, "s")
		metrics.GetOrRegisterCounter(metric.PoolInvitationsSent, l.registry).Inc(1)
		time.AfterFunc(loadLatency, func() { l.pools[ownerNumber(owner)].GiveUp(ownerName(from), gaps) })
	}
}

// arrive accepts a task at a home.
func (l *loadedPools) arrive(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, job := time.Now(), fmt.Sprint("job-", n)
	cpu := min(max(int(16_000*(1+0.2*l.rng.NormFloat64())), 4000), 24_000)
	t := &loadedTask{home: l.rng.IntN(loadPools), order: contract.TaskOrder{
		Key: contract.RunKey{Batch: job, Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: cpu}, Accepted: now,
		Target: now.Add(loadTarget), Deadline: now.Add(time.Minute), Expected: loadRunTime,
	}}
	l.tasks[job] = t
	l.place(t, "")
}

// place orders the next run of a task at the suggested owner, or where it is expected to start first. l.mu is held.
func (l *loadedPools) place(t *loadedTask, suggested string) {
	view := l.views[t.home]
	if suggested == "" || !view.ReserveAt(suggested, "s", 0, loadRunTime) {
		suggested, _ = view.Reserve("s", 0, loadRunTime, func(string) bool { return false })
	}
	t.owner, t.placedAt, t.recalled = ownerNumber(suggested), time.Now(), false
	p, o, home := l.pools[t.owner], t.order, ownerName(t.home)
	time.AfterFunc(loadLatency, func() { p.Order(home, o, time.Now()) })
}

// report processes a report of an owner.
func (l *loadedPools) report(owner int, r contract.RunReport) {
	if r.State.Final() {
		defer l.pools[owner].Acknowledge([]contract.RunKey{r.Key})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[r.Key.Batch]
	if t.order.Key != r.Key {
		return
	}
	switch r.State {
	case contract.RunDone:
		t.order.Key.Run = 0
		l.ended++
		if !time.Now().After(t.order.Target) {
			l.inTime++
		}
	case contract.RunEnded:
		t.order.Key.Run++
		l.place(t, r.NextOwner)
	}
}

// exchange sends the statuses of all owners, refreshes all runs and moves tasks that wait for long.
func (l *loadedPools) exchange() {
	for i, p := range l.pools {
		c := p.FreeCapacity()
		for _, v := range l.views {
			v.Update(ownerName(i), "z", false, map[string]*zone.BackendCapacity{"s": {Free: c.Free, Slots: c.Slots, Waiting: c.Waiting}})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tasks {
		if t.order.Key.Run == 0 || time.Since(t.placedAt) < 40*time.Millisecond {
			continue
		}
		p, home, keys := l.pools[t.owner], ownerName(t.home), []contract.RunKey{t.order.Key}
		time.AfterFunc(loadLatency, func() { p.Refresh(home, keys, time.Now()) })
		if !t.recalled && l.views[t.home].ShouldMove("s", ownerName(t.owner), loadRunTime) {
			t.recalled = true
			time.AfterFunc(loadLatency, func() { p.Recall(home, keys) })
		}
	}
}

// play lets tasks arrive at a rate and returns the share that was done in time.
func (l *loadedPools) play(rate float64) float64 {
	defer func() {
		for _, p := range l.pools {
			p.Close()
		}
	}()
	time.Sleep(200 * time.Millisecond)
	l.exchange()
	end := time.Now().Add(loadTime)
	arrivals := rand.New(rand.NewPCG(3, 4))
	next, status := time.Now(), time.Now()
	n := 0
	for time.Now().Before(end) {
		if status.Before(next) {
			time.Sleep(time.Until(status))
			l.exchange()
			status = status.Add(100 * time.Millisecond)
			continue
		}
		time.Sleep(time.Until(next))
		l.arrive(n)
		n++
		next = next.Add(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		l.exchange()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.inTime) / float64(n)
}

// Guards against stealing that costs callers instead of helping them: 8 owners of 6 workers, a third of which are larger and faster,
// get tasks of half a worker at random times, at a rate that nearly fills them.
func TestStealingServesMoreTasksInTime(t *testing.T) {
	const rate = 800
	share := func(steal bool) (inTime float64, given, invitations int64) {
		synctest.Test(t, func(*testing.T) {
			l := newLoadedPools(steal)
			inTime = l.play(rate)
			given = metrics.GetOrRegisterCounter(metric.PoolRunsGivenUp, l.registry).Count()
			invitations = metrics.GetOrRegisterCounter(metric.PoolInvitationsSent, l.registry).Count()
		})
		return inTime, given, invitations
	}
	without, none, _ := share(false)
	with, given, invitations := share(true)
	t.Logf("in time: %.3f without stealing, %.3f with; %d invitations, %d runs given up", without, with, invitations, given)
	require.Zero(t, none)
	require.Positive(t, given)
	require.Greater(t, with, without+0.03)
}
