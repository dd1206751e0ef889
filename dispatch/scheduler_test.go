package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	testSelf   = "entry-0"
	testRemote = "entry-1"
)

var testSpeeds = map[machine.WorkerID]float64{"own-slow": 0.5, "own-fast": 2, "slow": 0.5, "fast": 2}

func newTestScheduler(scarce *bool) *Scheduler {
	service := backend.NewService("test.v1.Work", []backend.KindSpec{{Name: "Short"}, {Name: "Long", Class: backend.ClassLong}})
	return NewScheduler(service, customer.NewQueue(customer.NewTeams(false)), SchedulerOptions{
		Speed: func(w machine.WorkerID) float64 { return testSpeeds[w] },
		Allocator: func(w machine.WorkerID) string {
			if w[:3] == "own" {
				return testSelf
			}
			return testRemote
		},
		Scarce: func(string) bool { return scarce != nil && *scarce },
		Self:   testSelf,
	})
}

func testItem(seq int, class backend.Class, expected time.Duration, now time.Time) customer.Item {
	return customer.Item{
		Task: contract.TaskID{Job: contract.JobID{Domain: 1, Home: 1, Seq: uint64(seq)}}, Class: class,
		Customer: "customer", Enqueued: now, Deadline: now.Add(time.Hour), Expected: expected,
	}
}

// schedulerModel carries out the plans of a scheduler and keeps its own count of slots and tasks.
type schedulerModel struct {
	t       *rapid.T
	sched   *Scheduler
	now     time.Time
	granted int
	running []Assignment
	waiting map[contract.TaskID]backend.Class
	seq     int
	// expires is the latest expiry of any grant.
	expires time.Time
}

func (m *schedulerModel) execute(p Plan) {
	for _, a := range p.Assignments {
		class, ok := m.waiting[a.Item.Task]
		require.True(m.t, ok, "task %v is started twice", a.Item.Task)
		delete(m.waiting, a.Item.Task)
		require.True(m.t, class == backend.ClassShort || a.Slot.Long, "long work on a slot for short work")
		require.True(m.t, m.now.Add(startMargin).Before(m.expires), "start on an expired grant")
		m.running = append(m.running, a)
	}
	for _, r := range p.Returns {
		m.granted -= r.Short + r.Long
	}
}

func (m *schedulerModel) takeRunning() (contract.Slot, bool) {
	if len(m.running) == 0 {
		return contract.Slot{}, false
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "running")
	s := m.running[i].Slot
	m.running = append(m.running[:i], m.running[i+1:]...)
	return s, true
}

func (m *schedulerModel) push() {
	class := backend.Class(rapid.IntRange(0, 1).Draw(m.t, "class"))
	var items []customer.Item
	for range rapid.IntRange(1, 6).Draw(m.t, "tasks") {
		m.seq++
		it := testItem(m.seq, class, time.Duration(rapid.IntRange(1, 9).Draw(m.t, "expected"))*time.Second, m.now)
		m.waiting[it.Task] = class
		items = append(items, it)
	}
	m.execute(m.sched.Push(items, m.now))
}

func (m *schedulerModel) grant() {
	var grants []contract.SlotGrant
	for w := range testSpeeds {
		g := contract.SlotGrant{Worker: w, TTL: zone.GrantTTL}
		g.Short = rapid.IntRange(0, 2).Draw(m.t, "short")
		g.Long = rapid.IntRange(0, 1).Draw(m.t, "long")
		m.granted += g.Short + g.Long
		grants = append(grants, g)
	}
	m.expires = m.now.Add(zone.GrantTTL)
	m.execute(m.sched.AddGrants(grants, m.now))
}

func (m *schedulerModel) check() {
	v := m.sched.View()
	require.Equal(m.t, len(m.running), v.Busy)
	require.Equal(m.t, m.granted, v.Busy+v.Idle, "slots held are those granted and not returned")
	held := 0
	for _, h := range m.sched.Held() {
		held += h.Short + h.Long
	}
	require.Equal(m.t, m.granted, held)
	short, long := 0, 0
	for _, class := range m.waiting {
		if class == backend.ClassLong {
			long++
		} else {
			short++
		}
	}
	require.Equal(m.t, short, v.Depth.Short)
	require.Equal(m.t, long, v.Depth.Long)
	require.False(m.t, short > 0 && v.Idle > 0, "a short task waits while a slot is idle")
	require.False(m.t, long > 0 && m.sched.holdings.IdleLong() > 0, "a long task waits while a long slot is idle")
	require.True(m.t, m.sched.Check())
}

// Guards against slots that are lost or used twice, tasks that are started twice or on a slot of the wrong class,
// usable slots that stay idle while a task waits, and slots that are held while nothing waits or runs.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scarce := rapid.Bool().Draw(t, "scarce")
		m := &schedulerModel{
			t: t, sched: newTestScheduler(&scarce), now: time.Unix(1000, 0),
			waiting: make(map[contract.TaskID]backend.Class),
		}
		action := func(f func()) func(*rapid.T) { return func(t *rapid.T) { m.t = t; f() } }
		t.Repeat(map[string]func(*rapid.T){
			"push":  action(m.push),
			"grant": action(m.grant),
			"release": action(func() {
				if s, ok := m.takeRunning(); ok {
					m.execute(m.sched.Release(s, m.now))
				}
			}),
			"reject": action(func() {
				if s, ok := m.takeRunning(); ok {
					m.execute(m.sched.Reject(s, true, m.now))
				}
			}),
			"recall": action(func() {
				wait := time.Duration(rapid.IntRange(0, 500).Draw(m.t, "wait")) * time.Millisecond
				m.execute(m.sched.Recall(testRemote, rapid.IntRange(1, 4).Draw(m.t, "slots"), wait, m.now))
			}),
			"renew": action(func() {
				m.expires = m.now.Add(zone.GrantTTL)
				m.sched.Renew(m.expires, func(machine.WorkerID) bool { return true })
			}),
			"time": action(func() {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(m.t, "ms")) * time.Millisecond)
				m.execute(m.sched.Tick(m.now))
			}),
			"": action(m.check),
		})
		m.t = t
		for len(m.running) > 0 || len(m.waiting) > 0 {
			if s, ok := m.takeRunning(); ok {
				m.execute(m.sched.Release(s, m.now))
			} else {
				m.grant()
				m.expires = m.now.Add(zone.GrantTTL)
			}
		}
		m.now = m.now.Add(idleTimeout)
		m.execute(m.sched.Tick(m.now))
		require.Zero(t, m.granted, "slots are held while nothing waits")
		m.check()
	})
}

// Guards against a wrong choice of slot: the longest short task has to get the fastest worker, long work the slowest.
func TestSchedulerChoosesWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newTestScheduler(nil)
	sched.Push([]customer.Item{testItem(1, backend.ClassShort, time.Second, now)}, now)
	sched.Push([]customer.Item{testItem(2, backend.ClassShort, 3*time.Second, now)}, now)
	sched.Push([]customer.Item{testItem(3, backend.ClassLong, 9*time.Second, now)}, now)
	plan := sched.AddGrants([]contract.SlotGrant{
		{Worker: "slow", Short: 1, Long: 1, TTL: time.Minute}, {Worker: "fast", Short: 1, Long: 1, TTL: time.Minute},
	}, now)
	workers := make(map[uint64]machine.WorkerID)
	for _, a := range plan.Assignments {
		workers[a.Item.Task.Job.Seq] = a.Slot.Worker
	}
	require.Equal(t, map[uint64]machine.WorkerID{1: "fast", 2: "fast", 3: "slow"}, workers)
	require.Equal(t, uint64(2), plan.Assignments[1].Item.Task.Job.Seq, "the longest short task comes first")
}

// Guards against slots that serve newer work while older work waits on another entry VM, and against giving them up for
// work that is hardly older.
func TestSchedulerRecall(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newTestScheduler(nil)
	var items []customer.Item
	for i := range 4 {
		items = append(items, testItem(i+1, backend.ClassShort, time.Second, now))
	}
	sched.Push(items, now)
	plan := sched.AddGrants([]contract.SlotGrant{{Worker: "fast", Short: 2, TTL: time.Minute}}, now)
	require.Len(t, plan.Assignments, 2)
	now = now.Add(100 * time.Millisecond)
	sched.Recall(testRemote, 1, 110*time.Millisecond, now)
	kept := sched.Release(plan.Assignments[0].Slot, now)
	require.Empty(t, kept.Returns, "the slot is kept, as the requesting member's work is hardly older")
	require.Len(t, kept.Assignments, 1)
	sched.Recall(testRemote, 1, 300*time.Millisecond, now)
	returned := sched.Release(plan.Assignments[1].Slot, now)
	require.Len(t, returned.Returns, 1)
	require.Empty(t, returned.Assignments)
	require.Empty(t, sched.Release(kept.Assignments[0].Slot, now).Returns, "no more slots are returned than were recalled")
}

// Guards against idle slots that are withheld from other entry VMs: slots of own workers are returned at once, others
// after the idle timeout, and sooner when free slots are scarce.
func TestSchedulerReturnsIdleSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	scarce := false
	sched := newTestScheduler(&scarce)
	plan := sched.AddGrants([]contract.SlotGrant{
		{Worker: "own-fast", Short: 1, TTL: time.Minute}, {Worker: "fast", Short: 1, TTL: time.Minute},
	}, now)
	require.Equal(t, []contract.SlotReturn{{Service: "test.v1.Work", Worker: "own-fast", Short: 1, Unused: 1}}, plan.Returns)
	require.Empty(t, sched.Tick(now.Add(idleTimeout-time.Millisecond)).Returns)
	require.Len(t, sched.Tick(now.Add(idleTimeout)).Returns, 1)
	scarce = true
	plan = sched.AddGrants([]contract.SlotGrant{{Worker: "fast", Short: 1, TTL: time.Minute}}, now)
	require.Empty(t, plan.Returns, "an unused slot is kept for a first task")
	require.Len(t, sched.Tick(now.Add(unusedTimeout)).Returns, 1)
	sched.AddGrants([]contract.SlotGrant{{Worker: "fast", Short: 1, TTL: time.Minute}}, now)
	plan = sched.Push([]customer.Item{testItem(1, backend.ClassShort, time.Second, now)}, now)
	require.Len(t, sched.Release(plan.Assignments[0].Slot, now).Returns, 1)
}

// Guards against baseline policies that start more tasks on a worker than it has slots, choose a worker that has just
// rejected a start, or choose the more loaded of two.
func TestPlacement(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, policy := range []Policy{PolicyRandom, PolicyBestOfTwo} {
		p := NewPlacement(policy, 1)
		var workers []PlacementWorker
		for i := range 5 {
			workers = append(workers, PlacementWorker{ID: machine.WorkerID(fmt.Sprint(i)), Service: "s", Slots: 2, Busy: i % 2})
		}
		p.SetWorkers(workers)
		counts := make(map[machine.WorkerID]int)
		for range 10 {
			w, ok := p.Choose("s", now)
			require.True(t, ok)
			counts[w]++
		}
		for w, n := range counts {
			require.Equal(t, 2, n, "starts on %s", w)
		}
		_, ok := p.Choose("s", now)
		require.False(t, ok, "all slots are in use")
		p.Reject("0", now)
		_, ok = p.Choose("s", now)
		require.False(t, ok, "the worker has just rejected a start")
		w, ok := p.Choose("s", now.Add(avoidDuration))
		require.True(t, ok)
		require.Equal(t, machine.WorkerID("0"), w)
		require.Equal(t, 10, p.InFlight("s"))
	}
	p := NewPlacement(PolicyBestOfTwo, 1)
	p.SetWorkers([]PlacementWorker{{ID: "idle", Service: "s", Slots: 8}, {ID: "loaded", Service: "s", Slots: 8, Busy: 5}})
	for range 5 {
		w, _ := p.Choose("s", now)
		require.Equal(t, machine.WorkerID("idle"), w)
	}
	require.Nil(t, NewPlacement(PolicyDefault, 1))
}

// Guards against changed policy names: settings and workload files use them.
func TestParsePolicy(t *testing.T) {
	for name, want := range map[string]Policy{
		"": PolicyDefault, "default": PolicyDefault, "random": PolicyRandom, "best-of-two": PolicyBestOfTwo,
	} {
		p, err := ParsePolicy(name)
		require.NoError(t, err)
		require.Equal(t, want, p)
	}
	_, err := ParsePolicy("fastest")
	require.Error(t, err)
}
