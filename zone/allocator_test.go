package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/machine"
)

const testSelf = "entry-0"

func testOffers(workers, slots int) []Offer {
	var out []Offer
	for i := range workers {
		out = append(out, Offer{Worker: machine.WorkerID(fmt.Sprintf("w%d", i)), Slots: slots, Speed: float64(i%4) + 0.5})
	}
	return out
}

// allocatorModel simulates members that hold the slots granted to them.
type allocatorModel struct {
	t         *rapid.T
	allocator *SlotAllocator
	now       time.Time
	offers    []Offer
	held      map[string]map[machine.WorkerID]Count
	need      map[string]Count
	number    map[string]uint64
	gone      map[string]bool
}

func (m *allocatorModel) receive(allocations []Allocation) {
	for _, a := range allocations {
		require.False(m.t, m.gone[a.Member], "slots granted to %s, which is gone", a.Member)
		require.Positive(m.t, a.Slots.Sum())
		if m.held[a.Member] == nil {
			m.held[a.Member] = make(map[machine.WorkerID]Count)
		}
		c := m.held[a.Member][a.Worker]
		m.held[a.Member][a.Worker] = Count{Short: c.Short + a.Slots.Short, Long: c.Long + a.Slots.Long}
		n := m.need[a.Member]
		n = Count{Short: n.Short - a.Slots.Short, Long: n.Long - a.Slots.Long}
		require.GreaterOrEqual(m.t, n.Short, 0, "granted more than %s requested", a.Member)
		require.GreaterOrEqual(m.t, n.Long, 0, "granted more than %s requested", a.Member)
		m.need[a.Member] = n
		m.number[a.Member] = a.Number
	}
}

// check compares the allocator with the members.
func (m *allocatorModel) check() {
	free, longFree := 0, false
	for _, o := range m.offers {
		var sum Count
		for _, held := range m.held {
			sum.Short += held[o.Worker].Short
			sum.Long += held[o.Worker].Long
		}
		require.LessOrEqual(m.t, sum.Sum(), o.Slots, "slots held of %s", o.Worker)
		require.LessOrEqual(m.t, float64(sum.Long), max(1, maxLongShare*float64(o.Slots)), "long slots held of %s", o.Worker)
		free += o.Slots - sum.Sum()
		longFree = longFree || (sum.Sum() < o.Slots && float64(sum.Long+1) <= max(1, maxLongShare*float64(o.Slots)))
	}
	require.Equal(m.t, free, m.allocator.Free())
	for name, n := range m.need {
		require.False(m.t, n.Short > 0 && free > 0, "short work of %s waits although a slot is free", name)
		require.False(m.t, n.Long > 0 && longFree, "long work of %s waits although it may use a free slot", name)
	}
	c := m.allocator.TakeChecks()
	require.Zero(m.t, c.Violated)
	require.Positive(m.t, c.Made)
}

func (m *allocatorModel) members() []string {
	return []string{testSelf, "entry-1", "entry-2", "entry-3"}
}

func (m *allocatorModel) demand(name string) {
	n := Count{Short: rapid.IntRange(0, 20).Draw(m.t, "short"), Long: rapid.IntRange(0, 5).Draw(m.t, "long")}
	wait := time.Duration(rapid.IntRange(0, 500).Draw(m.t, "wait")) * time.Millisecond
	delete(m.gone, name)
	m.need[name] = n
	m.receive(m.allocator.Demand(name, Need{Tasks: n, ShortWait: wait, LongWait: wait, Received: m.number[name]}, m.now))
}

func (m *allocatorModel) returnSlots(name string) {
	for _, o := range m.offers {
		c := m.held[name][o.Worker]
		if c.Sum() == 0 {
			continue
		}
		r := Count{Short: rapid.IntRange(0, c.Short).Draw(m.t, "short"), Long: rapid.IntRange(0, c.Long).Draw(m.t, "long")}
		m.held[name][o.Worker] = Count{Short: c.Short - r.Short, Long: c.Long - r.Long}
		m.receive(m.allocator.Return(name, []Held{{Worker: o.Worker, Slots: r}}, m.now))
	}
}

func (m *allocatorModel) report(name string) {
	var held []Held
	for w, c := range m.held[name] {
		if c.Sum() > 0 {
			held = append(held, Held{Worker: w, Slots: c})
		}
	}
	m.receive(m.allocator.Report(name, held, m.number[name], false, m.now))
}

// Guards against an allocator that grants more slots than a worker has, more long slots than their share allows, or
// slots to a member that is gone, that leaves a slot free while a demand could use it, or that loses returned slots.
func TestAllocatorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &allocatorModel{
			t: t, allocator: NewSlotAllocator(testSelf, 1), now: time.Unix(1000, 0),
			offers: testOffers(rapid.IntRange(1, 5).Draw(t, "workers"), rapid.IntRange(1, 9).Draw(t, "slots")),
			held:   make(map[string]map[machine.WorkerID]Count), need: make(map[string]Count),
			number: make(map[string]uint64), gone: make(map[string]bool),
		}
		m.allocator.Assign(m.offers, nil, nil, m.now)
		member := rapid.SampledFrom(m.members())
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) { m.t = t; m.demand(member.Draw(t, "member")) },
			"return": func(t *rapid.T) { m.t = t; m.returnSlots(member.Draw(t, "member")) },
			"report": func(t *rapid.T) { m.t = t; m.report(member.Draw(t, "member")) },
			"gone": func(t *rapid.T) {
				m.t = t
				name := rapid.SampledFrom(m.members()[1:]).Draw(t, "member")
				m.gone[name] = true
				delete(m.held, name)
				delete(m.need, name)
				m.receive(m.allocator.MemberGone(name, m.now))
			},
			"time": func(t *rapid.T) {
				m.t = t
				m.now = m.now.Add(100 * time.Millisecond)
				for _, name := range m.members() {
					if m.gone[name] {
						continue
					}
					// Members renew their grants and refresh their demands.
					m.report(name)
					n := m.need[name]
					m.receive(m.allocator.Demand(name, Need{Tasks: n, Received: m.number[name]}, m.now))
				}
				m.receive(m.allocator.Tick(m.now))
			},
			"": func(t *rapid.T) { m.t = t; m.check() },
		})
		m.t = t
		for _, name := range m.members() {
			m.need[name] = Count{}
			m.receive(m.allocator.Demand(name, Need{Received: m.number[name]}, m.now))
		}
		for _, name := range m.members() {
			for w, c := range m.held[name] {
				m.held[name][w] = Count{}
				m.receive(m.allocator.Return(name, []Held{{Worker: w, Slots: c}}, m.now))
			}
		}
		m.check()
		for _, w := range m.allocator.workers {
			require.Empty(t, w.held)
		}
	})
}

// Guards against granting slots of workers taken over that members already hold: nothing is granted before all
// members have reported or TakeoverWait has passed, and the reported slots count.
func TestAllocatorTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	offers := testOffers(1, 8)
	need := Need{Tasks: Count{Short: 20}}
	allocator := NewSlotAllocator(testSelf, 1)
	require.True(t,
		allocator.Assign(offers, []Held{{Worker: "w0", Slots: Count{Short: 1}}}, []string{"entry-1", "entry-2"}, now))
	require.Empty(t, allocator.Demand(testSelf, need, now))
	require.Empty(t, allocator.Report("entry-1", []Held{{Worker: "w0", Slots: Count{Short: 2}}}, 0, true, now))
	require.Empty(t, allocator.Tick(now.Add(TakeoverWait-time.Millisecond)))
	out := allocator.Report("entry-2", []Held{{Worker: "w0", Slots: Count{Short: 2, Long: 1}}}, 0, true, now)
	require.Len(t, out, 1)
	require.Equal(t, 2, out[0].Slots.Short, "eight slots minus one of its own and five reported")

	allocator = NewSlotAllocator(testSelf, 2)
	require.True(t, allocator.Assign(offers, nil, []string{"entry-1"}, now))
	require.Empty(t, allocator.Demand(testSelf, need, now))
	require.Len(t, allocator.Tick(now.Add(TakeoverWait)), 1,
		"a member that does not answer delays grants for TakeoverWait only")
}

// Guards against slots lost with a holder that stops reporting, and against a report that removes grants in transit.
func TestAllocatorRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewSlotAllocator(testSelf, 1)
	allocator.Assign(testOffers(1, 8), nil, nil, now)
	out := allocator.Demand("entry-1", Need{Tasks: Count{Short: 3}}, now)
	require.Len(t, out, 1)
	allocator.Report("entry-1", nil, 0, false, now.Add(time.Millisecond))
	require.Equal(t, 5, allocator.Free(), "the grant had not arrived when the report was sent")
	allocator.Report("entry-1", []Held{{Worker: "w0", Slots: Count{Short: 2}}}, out[0].Number, false, now.Add(time.Second))
	require.Equal(t, 6, allocator.Free())
	allocator.Tick(now.Add(time.Second + GrantTTL))
	require.Equal(t, 6, allocator.Free())
	allocator.Tick(now.Add(time.Second + GrantTTL + time.Millisecond))
	require.Equal(t, 8, allocator.Free(), "grants expire")
}

// Guards against repeated grants of a slot that another allocator has granted: it is withheld, granted again later,
// and free immediately once the member that may hold it has reported.
func TestAllocatorReject(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewSlotAllocator(testSelf, 1)
	allocator.Assign(testOffers(1, 2), nil, nil, now)
	out := allocator.Demand(testSelf, Need{Tasks: Count{Short: 2}}, now)
	require.Equal(t, 2, out[0].Slots.Short)
	require.Empty(t, allocator.Reject(testSelf, []Held{{Worker: "w0", Slots: Count{Short: 1}}}, now))
	require.Zero(t, allocator.Free())
	allocator.Tick(now.Add(withholdTime + time.Millisecond))
	require.Equal(t, 1, allocator.Free())

	allocator.Reject(testSelf, []Held{{Worker: "w0", Slots: Count{Short: 1}}}, now)
	allocator.AwaitReport("entry-1", now)
	require.Zero(t, allocator.Free())
	allocator.Report("entry-1", nil, 0, true, now)
	require.Equal(t, 2, allocator.Free())
}

// Guards against older work that waits while clearly younger work keeps its slots, against recalls from work of about
// the same age, and against further recalls while the difference shrinks.
func TestAllocatorRecalls(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewSlotAllocator(testSelf, 1)
	allocator.Assign(testOffers(2, 8), nil, nil, now)
	allocator.Demand("entry-1", Need{Tasks: Count{Short: 30}}, now)
	require.Zero(t, allocator.Free())
	demand := func(name string, wait time.Duration, at time.Time) {
		allocator.Demand(name, Need{Tasks: Count{Short: 10}, ShortWait: wait, Received: 9}, at)
	}
	demand("entry-1", 100*time.Millisecond, now)
	demand("entry-2", 110*time.Millisecond, now)
	require.Empty(t, allocator.Recalls(now), "about the same age")
	demand("entry-2", 300*time.Millisecond, now)
	recalls := allocator.Recalls(now)
	require.Len(t, recalls, 1)
	require.Equal(t, "entry-1", recalls[0].Member)
	require.Equal(t, 300*time.Millisecond, recalls[0].Wait)
	require.Empty(t, allocator.Recalls(now), "no second recall within recallInterval")

	later := now.Add(time.Second)
	demand("entry-1", 120*time.Millisecond, later)
	demand("entry-2", 250*time.Millisecond, later)
	require.Empty(t, allocator.Recalls(later), "the difference shrinks")
}

// Guards against long work that takes the fast workers: short work must get the fastest free worker, long work the
// slowest.
func TestAllocatorWorkerChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewSlotAllocator(testSelf, 1)
	allocator.Assign([]Offer{{Worker: "slow", Slots: 2, Speed: 0.5}, {Worker: "fast", Slots: 2, Speed: 2}}, nil, nil, now)
	out := allocator.Demand(testSelf, Need{Tasks: Count{Short: 1, Long: 1}}, now)
	require.Len(t, out, 2)
	require.Equal(t, machine.WorkerID("fast"), out[0].Worker)
	require.Equal(t, Count{Short: 1}, out[0].Slots)
	require.Equal(t, machine.WorkerID("slow"), out[1].Worker)
	require.Equal(t, Count{Long: 1}, out[1].Slots)
}

// Guards against requesting slots for a task twice or not at all: the parts of the demand must add up to the need.
func TestDemandPlannerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewDemandPlanner(testSelf)
		slots := map[string]int{testSelf: 8, "entry-1": 16, "entry-2": 0, "entry-3": 40}
		p.SetAllocators(slots)
		now := time.Unix(1000, 0)
		sent := make(map[string]Count)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for name, n := range slots {
				if rapid.Bool().Draw(t, "hint") {
					p.RecordReply(name, rapid.IntRange(0, n).Draw(t, "free"), now)
				}
			}
			need := Count{Short: rapid.IntRange(0, 60).Draw(t, "short"), Long: rapid.IntRange(0, 10).Draw(t, "long")}
			for _, part := range p.Plan(need, now) {
				sent[part.Allocator] = part.Tasks
			}
			// Changes may be delayed by their interval; after it the parts add up to the need.
			now = now.Add(demandRefreshInterval)
			for _, part := range p.Plan(need, now) {
				sent[part.Allocator] = part.Tasks
			}
			var sum Count
			for _, c := range sent {
				sum.Short += c.Short
				sum.Long += c.Long
			}
			require.Equal(t, need, sum)
		}
	})
}

// Guards against a demand that is spread over allocators without free slots while one has enough.
func TestDemandPlannerPrefersFreeSlots(t *testing.T) {
	p := NewDemandPlanner(testSelf)
	p.SetAllocators(map[string]int{testSelf: 8, "entry-1": 8, "entry-2": 8})
	now := time.Unix(1000, 0)
	p.RecordReply("entry-1", 2, now)
	p.RecordReply("entry-2", 6, now)
	parts := p.Plan(Count{Short: 5}, now)
	require.Equal(t, []DemandPart{{Allocator: "entry-2", Tasks: Count{Short: 5}}}, parts)
	p.RecordReply("entry-1", 8, now)
	require.Empty(t, p.Plan(Count{Short: 5}, now), "a reply is still in transit")
	p.RecordUnsolicited("entry-2", 0, now)
	require.Empty(t, p.Plan(Count{Short: 5}, now), "an older report does not answer the demand")
	require.Equal(t, []DemandPart{{Allocator: "entry-2"}}, p.Plan(Count{}, now), "a demand without a need is withdrawn")
}

// Guards against a slot that is granted twice because a report lacks a grant on its way to the scheduler of the VM that
// reports.
func TestReportOmitsNoGrantInTransit(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewSlotAllocator(testSelf, 1)
	allocator.Assign(testOffers(1, 8), nil, nil, now)

	allocator.Demand(testSelf, Need{Tasks: Count{Short: 2}}, now)
	last, delivered := allocator.OwnGrants()
	require.False(t, delivered, "the scheduler has not got the grant")
	allocator.Delivered()
	_, delivered = allocator.OwnGrants()
	require.True(t, delivered)
	held := []Held{{Worker: "w0", Slots: Count{Short: 2}}}
	allocator.Demand(testSelf, Need{Tasks: Count{Short: 3}}, now)
	allocator.ReportOwn(held, last, now)
	require.Equal(t, 3, allocator.Free(), "a grant was made after the holdings were read")

	grant := allocator.Demand("entry-1", Need{Tasks: Count{Short: 1}}, now)
	allocator.Demand("entry-1", Need{Received: grant[0].Number}, now)
	allocator.Report("entry-1", nil, 0, false, now)
	require.Equal(t, 2, allocator.Free(), "received, but not in the report")
	allocator.Report("entry-1", nil, grant[0].Number, false, now)
	require.Equal(t, 3, allocator.Free(), "in the report")
}
