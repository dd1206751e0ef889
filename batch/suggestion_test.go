package batch

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

const suggestedOwner = "edge-2/1"

// newSuggestionTest returns a home that has ordered the only task of a job at testOwner, which has free capacity. suggestedOwner is farther
// away and full by its last report.
func newSuggestionTest() (h *Home, out *recorder, first contract.TaskOrder, end func()) {
	h, out = newTestHome()
	ctx, cancel := context.WithCancel(context.Background())
	full := map[string]*zone.BackendCapacity{"s": {Slots: 10, Waiting: [zone.Priorities]time.Duration{time.Second}}}
	h.o.Capacity.Update(suggestedOwner, "other zone", false, full)
	b := testBatch(1, 10*time.Second)
	go h.Submit(ctx, b)
	synctest.Wait()
	return h, out, out.sentOrders()[0], func() {
		cancel()
		synctest.Wait()
		h.Close()
	}
}

// owners returns a copy of the owners of the orders sent so far.
func (r *recorder) owners() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orderOwners)
}

// Guards against a task that goes back to the queue of a full owner although its last owner has named one that can start it, and against
// a suggestion that counts where it must not. By the view of the home testOwner has free capacity and the suggested one is full and
// farther away, so that it is chosen by the suggestion only.
func TestNextRunIsOrderedAtTheSuggestedOwner(t *testing.T) {
	report := func(o contract.TaskOrder) contract.RunReport {
		return contract.RunReport{Key: o.Key, State: contract.RunEnded, NextOwner: suggestedOwner}
	}
	for name, c := range map[string]struct {
		prepare func(h *Home, o contract.TaskOrder)
		change  func(r *contract.RunReport)
		source  string
		// want is the owner of the second order, empty if there is none.
		want string
	}{
		"suggested":               {want: suggestedOwner},
		"no suggestion":           {change: func(r *contract.RunReport) { r.NextOwner = "" }, want: testOwner},
		"the run may have begun":  {change: func(r *contract.RunReport) { r.MayHaveStarted = true }, want: testOwner},
		"unknown to its owner":    {change: func(r *contract.RunReport) { r.State = contract.RunUnknown }, want: testOwner},
		"unknown owner":           {change: func(r *contract.RunReport) { r.NextOwner = "edge-9/1" }, want: testOwner},
		"report of another run":   {change: func(r *contract.RunReport) { r.Key.Run-- }},
		"report of another owner": {source: suggestedOwner},
		"owner is leaving": {want: testOwner, prepare: func(h *Home, _ contract.TaskOrder) {
			h.o.Capacity.Update(suggestedOwner, "other zone", true, map[string]*zone.BackendCapacity{"s": {Slots: 10}})
		}},
		"owner is gone": {want: testOwner, prepare: func(h *Home, _ contract.TaskOrder) { h.o.Capacity.Remove(suggestedOwner) }},
		"infeasible there": {want: testOwner, prepare: func(h *Home, _ contract.TaskOrder) {
			for j := range h.lockedJobs() {
				j.tasks[0].infeasibleOwners = []string{suggestedOwner}
			}
		}},
		"bound to a worker elsewhere": {want: testOwner, prepare: func(h *Home, o contract.TaskOrder) {
			h.o.LateStarts.Record(contract.LateStart{Task: o.Key.Task(), Worker: "w", Until: time.Now().Add(time.Minute)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, out, first, end := newSuggestionTest()
				defer end()
				out.workerOwners = map[string]string{"w": testOwner}
				if c.prepare != nil {
					c.prepare(h, first)
				}
				r, source := report(first), testOwner
				if c.change != nil {
					c.change(&r)
				}
				if c.source != "" {
					source = c.source
				}
				h.Report(PoolRef{Owner: source, Backend: "s"}, r)
				time.Sleep(2 * tickInterval)
				if c.want == "" {
					require.Len(t, out.sentOrders(), 1)
					return
				}
				require.Len(t, out.sentOrders(), 2)
				second := out.sentOrders()[1]
				require.Equal(t, c.want, out.owners()[1])
				require.Equal(t, c.want == suggestedOwner, second.Suggested)
				require.Greater(t, second.Key.Run, first.Key.Run, "number of the next run")
			})
		})
	}
}

// Guards against a suggestion that is followed when the free capacity is gone: the home may not order the task at once.
func TestOldSuggestionIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out, first, end := newSuggestionTest()
		defer end()
		for j := range h.lockedJobs() {
			j.ordersFrom = time.Now().Add(2 * suggestionLife)
		}
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
			Key: first.Key, State: contract.RunEnded, NextOwner: suggestedOwner,
		})
		time.Sleep(4 * suggestionLife)
		require.Equal(t, []string{testOwner, testOwner}, out.owners())
	})
}

// Guards against a task that its home moves away while the owner that has invited it is about to start it. By the view of the home another owner has free
// capacity all the time.
func TestSuggestedRunIsNotRecalledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out, first, end := newSuggestionTest()
		defer end()
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
			Key: first.Key, State: contract.RunEnded, NextOwner: suggestedOwner,
		})
		time.Sleep(suggestedStay - tickInterval)
		require.Empty(t, out.recalled())
		time.Sleep(3 * tickInterval)
		require.NotEmpty(t, out.recalled(), "a run that waits there for long is moved")
	})
}
