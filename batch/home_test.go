package batch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const testOwner = "edge-1/1"

// recorder keeps the messages to owners. mu guards them: the home sends from several goroutines.
type recorder struct {
	mu          sync.Mutex
	orders      []contract.TaskOrder
	orderOwners []string
	recalls     []contract.RunKey
	withdrawals []contract.RunKey
	// workerOwners holds the owners of the listed workers.
	workerOwners map[string]string
	acks         []contract.RunKey
	// urgent holds the runs of jobs that were said to have started.
	urgent []contract.RunKey
	held   []contract.HeldJob
	// announcedAtOnce is set if the last announcement does not wait for the next statuses.
	announcedAtOnce bool
	releases        []contract.JobRelease
	heard           time.Time
	majorityAt      time.Time
	electorate      *zone.Electorate
	// needsMajority is the only electorate to which majorityAt applies, nil for all.
	needsMajority *zone.Electorate
	// othersMayHaveMajority is the answer of CanHaveMajority.
	othersMayHaveMajority bool
	now                   func() time.Time
	// contact is the contact with all owners; nil for one of now.
	contact *Contact
	// refreshed and ordered are the contacts that the last refresh and the last order echoed.
	refreshed Contact
	ordered   Contact
}

func (r *recorder) LastContact(_ string, limit time.Time) Contact {
	if r.contact != nil {
		return *r.contact
	}
	if now := r.now(); now.Before(limit) {
		limit = now
	}
	return Contact{Timestamp: 1, ReceivedAt: limit}
}

func (r *recorder) Order(owner string, o contract.TaskOrder, echo Contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	r.orderOwners = append(r.orderOwners, owner)
	r.ordered = echo
}

// sentOrders returns a copy of the orders sent so far.
func (r *recorder) sentOrders() []contract.TaskOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}

func (r *recorder) Refresh(_ PoolRef, _ []contract.RunKey, echo Contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshed = echo
}

// echoes returns the contacts that the last order and the last refresh echoed.
func (r *recorder) echoes() (order, refresh Contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered, r.refreshed
}

func (r *recorder) Recall(_ PoolRef, keys []contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recalls = append(r.recalls, keys...)
}
func (r *recorder) Withdraw(_ PoolRef, keys []contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawals = append(r.withdrawals, keys...)
}
func (r *recorder) Acknowledge(_ PoolRef, keys []contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks = append(r.acks, keys...)
}

// JobStarted implements Owners.
func (r *recorder) JobStarted(_ PoolRef, keys []contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgent = append(r.urgent, keys...)
}

// withdrawn returns a copy of the withdrawals.
func (r *recorder) withdrawn() []contract.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.withdrawals)
}

// Electorate returns the one that the test has set, by default that of a home without other members.
func (r *recorder) Electorate() *zone.Electorate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.electorate == nil {
		r.electorate = zone.NewElectorate(nil)
	}
	return r.electorate
}

// MajorityContact returns the time that the test has set, that of the home's clock by default.
func (r *recorder) MajorityContact(e *zone.Electorate) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.majorityAt.IsZero() && (r.needsMajority == nil || r.needsMajority == e) {
		return r.majorityAt
	}
	return r.now()
}

// LastHeard returns the time that the test has set, of a member that is no longer live.
func (r *recorder) LastHeard(string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard, false
}

func (r *recorder) Count() int { return 2 }

// CanHaveMajority returns what the test has set.
func (r *recorder) CanHaveMajority(string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.othersMayHaveMajority
}

func (r *recorder) Release(request contract.JobRelease, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releases = append(r.releases, request)
}

// requests returns a copy of the requests for a release.
func (r *recorder) requests() []contract.JobRelease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.releases)
}

func (r *recorder) AnnounceHeld(jobs []contract.HeldJob, atOnce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, jobs...)
	r.announcedAtOnce = atOnce
}

func (r *recorder) setMajorityAt(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.majorityAt = at
}

// announced returns a copy of the announced jobs.
func (r *recorder) announced() []contract.HeldJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.held)
}

func newTestHome() (*Home, *recorder) { return newTestHomeAt(time.Now) }

// newTestHomeAt returns a home with a clock of its own.
func newTestHomeAt(now func() time.Time) (*Home, *recorder) { return newTestHomeOf("self/1", now) }

func newTestHomeOf(self string, now func() time.Time) (*Home, *recorder) {
	return newTestHomeWithLog(self, now, slog.New(slog.DiscardHandler))
}

func newTestHomeWithLog(self string, now func() time.Time, logger *slog.Logger) (*Home, *recorder) {
	capacity := zone.NewCapacityView("self/1", "z")
	capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": {Free: 100, Slots: 100}})
	out := &recorder{now: now}
	return New(Options{
		Self: self, Owners: out, Capacity: capacity, Crashes: contract.NewCrashLedger(), Cancels: contract.NewCancelLedger(),
		Members: out, Held: contract.NewHeldLedger(), LateStarts: contract.NewLateStartLedger(), OwnerOf: out.ownerOfWorker,
		Now: now, Logger: logger,
		Metrics: metrics.NewRegistry(),
		Fits:    func(_ string, need machine.Resources, _ string) (bool, bool) { return need.CPUMillis <= 64_000, true },
	}), out
}

func testBatch(tasks int, limit time.Duration) contract.Batch {
	return contract.Batch{
		ID: "00000000000000aa", Route: "r", Backend: "s", Attempts: 2, TargetFactor: 1.6, Accepted: time.Now(),
		Deadline: time.Now().Add(limit),
		Steps:    []contract.Step{{Count: tasks, Need: machine.Resources{CPUMillis: 1000}, Estimate: 100 * time.Millisecond}},
	}
}

// withOwner submits a job, lets f act as its owner, and returns the answer.
func withOwner(t *testing.T, b func() contract.Batch, f func(h *Home, out *recorder)) Answer {
	t.Helper()
	var answer Answer
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(context.Background(), b()) }()
		synctest.Wait()
		f(h, out)
		answer = <-done
	})
	return answer
}

func reportRun(h *Home, key contract.RunKey, state contract.RunState, mayHaveStarted bool) {
	h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
		Key: key, State: state, MayHaveStarted: mayHaveStarted, Token: 1,
	})
}

// Guards against refusing a job of which a run may have started: its owner became unreachable, and the lease of the
// run only expired.
func TestRefusalRequiresProofOfNoStart(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, 3*time.Second) }, func(h *Home, _ *recorder) {
		h.o.Capacity.Remove(testOwner)
		h.OwnerUnreachable(testOwner)
	})
	require.Equal(t, Abandoned, answer.Outcome)
}

// Guards against reporting that a job may have run although no run has started: its caller would not submit it
// elsewhere.
func TestUnstartedJobIsRefused(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		h.o.Capacity.Remove(testOwner)
		reportRun(h, out.sentOrders()[0].Key, contract.RunUnknown, false)
	})
	require.Equal(t, Refused, answer.Outcome)
}

// Guards against an answer before all tasks have ended, and against outcomes that are not acknowledged.
func TestJobIsAnsweredAfterAllTasks(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(3, time.Second) }, func(h *Home, out *recorder) {
		require.Len(t, out.sentOrders(), 3)
		for _, o := range out.sentOrders() {
			require.Equal(t, StateQueued, h.State("00000000000000aa"))
			reportRun(h, o.Key, contract.RunQueued, false)
		}
		for _, o := range out.sentOrders() {
			reportRun(h, o.Key, contract.RunStarted, true)
			require.Equal(t, StateRunning, h.State("00000000000000aa"))
			reportRun(h, o.Key, contract.RunDone, true)
			reportRun(h, o.Key, contract.RunDone, true)
		}
		require.Len(t, out.acks, 6)
		require.Equal(t, StateCompleted, h.State("00000000000000aa"))
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against more or fewer attempts of a task than its route allows.
func TestAttemptsAreCounted(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		reportRun(h, out.sentOrders()[0].Key, contract.RunFailed, true)
		require.Len(t, out.sentOrders(), 2)
		require.Greater(t, out.sentOrders()[1].Key.Run, out.sentOrders()[0].Key.Run)
		reportRun(h, out.sentOrders()[1].Key, contract.RunFailed, true)
		require.Len(t, out.sentOrders(), 2)
	})
	require.Equal(t, Failed, answer.Outcome)
}

// Guards against tasks that continue after their caller has disconnected.
func TestTasksAreWithdrawnWhenCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(ctx, testBatch(2, time.Second)) }()
		synctest.Wait()
		cancel()
		require.Equal(t, CallerLeft, (<-done).Outcome)
		require.Len(t, out.withdrawals, 2)
	})
}

// Guards against a job that waits until its deadline although no worker can hold it.
func TestInfeasibleJobFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		b := testBatch(1, time.Second)
		b.Steps[0].Need.CPUMillis = 100_000
		start := time.Now()
		require.Equal(t, Failed, h.Submit(context.Background(), b).Outcome)
		require.Equal(t, start, time.Now())
		require.Empty(t, out.sentOrders())
	})
}

// Guards against a job that runs twice because it is submitted again to the same home.
func TestRepeatedSubmissionJoinsTheJob(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		again := make(chan Answer, 1)
		go func() { again <- h.Submit(context.Background(), testBatch(1, time.Second)) }()
		synctest.Wait()
		require.Len(t, out.sentOrders(), 1)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-again).Outcome)
		require.Equal(t, Completed, h.Submit(context.Background(), testBatch(1, time.Second)).Outcome)
		require.Len(t, out.sentOrders(), 1)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a flood of orders: an owner whose messages are delayed rejects each order at once.
func TestRejectedOrdersAreSpaced(t *testing.T) {
	withOwner(t, func() contract.Batch { return testBatch(1, 3*time.Second) }, func(h *Home, out *recorder) {
		for begin, seen := time.Now(), 0; time.Since(begin) < time.Second; time.Sleep(time.Millisecond) {
			orders := out.sentOrders()
			for _, o := range orders[seen:] {
				reportRun(h, o.Key, contract.RunUnknown, false)
			}
			seen = len(orders)
		}
		h.Cancel("00000000000000aa")
		require.Less(t, len(out.sentOrders()), 10)
	})
}

// Guards against a step that starts before all tasks of the steps that it depends on are done, and against an answer
// before the last step.
func TestStepsWaitForDependencies(t *testing.T) {
	answer := withOwner(t, func() contract.Batch {
		b := testBatch(2, 3*time.Second)
		b.Steps = append(b.Steps, b.Steps[0], b.Steps[0])
		b.Steps[1].Count, b.Steps[1].DependsOn = 1, []int{0}
		b.Steps[2].Count, b.Steps[2].DependsOn = 1, []int{0, 1}
		return b
	}, func(h *Home, out *recorder) {
		steps := func() []int {
			var all []int
			for _, o := range out.sentOrders() {
				all = append(all, o.Key.Step)
			}
			return all
		}
		finish := func(n int) {
			key := out.sentOrders()[n].Key
			reportRun(h, key, contract.RunStarted, true)
			reportRun(h, key, contract.RunDone, true)
		}
		finish(0)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []int{0, 0}, steps())
		finish(1)
		require.Equal(t, []int{0, 0, 1}, steps())
		finish(2)
		require.Equal(t, []int{0, 0, 1, 2}, steps())
		finish(3)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against an answer after the deadline: a refusal waits for the proof that nothing has started, which an
// unreachable owner gives late or never.
func TestUnprovenRefusalIsAnsweredAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newTestHome()
		defer h.Close()
		begin := time.Now()
		time.AfterFunc(900*time.Millisecond, func() {
			h.o.Capacity.Remove(testOwner)
			h.OwnerUnreachable(testOwner)
		})
		answer := h.Submit(context.Background(), testBatch(1, time.Second))
		require.Equal(t, Abandoned, answer.Outcome)
		require.Less(t, time.Since(begin), 1100*time.Millisecond)
	})
}

// Guards against a run that its owner keeps alive after its home has treated it as ended: a message of the owner arrives
// between the decision to refresh a run and the refresh, which must not echo it.
func TestRefreshEchoesNoLaterContact(t *testing.T) {
	earlier := Contact{Timestamp: 1, ReceivedAt: time.Unix(1, 0)}
	owners := &recorder{contact: &earlier, now: time.Now}
	j := &job{
		batch: testBatch(1, time.Second), tasks: []task{{state: taskPlaced, owner: testOwner}}, electorate: owners.Electorate(),
	}
	out := newOutbox(owners, owners)
	out.refresh(j)
	owners.contact = &Contact{Timestamp: 2, ReceivedAt: time.Unix(2, 0)}
	out.send()
	require.Equal(t, earlier, owners.refreshed)
	require.Equal(t, earlier.ReceivedAt, j.tasks[0].contactAt)
}

// Guards against a run that its owner keeps alive after the home has lost contact with a majority of the members, and against
// one that is stopped since its refreshes echo no contact.
func TestMessagesAboutRunsEchoNoContactWithoutMajority(t *testing.T) {
	atHome(t, func(h *Home, out *recorder, submit func(contract.Batch) chan Answer) {
		submit(testBatch(1, 5*time.Second))
		key := out.sentOrders()[0].Key
		reportRun(h, key, contract.RunStarted, true)
		time.Sleep(500 * time.Millisecond)
		isolatedAt := time.Now()
		_, refresh := out.echoes()
		require.WithinDuration(t, isolatedAt, refresh.ReceivedAt, refreshInterval+tickInterval)
		out.setMajorityAt(isolatedAt)
		time.Sleep(orderProofLimit)
		reportRun(h, key, contract.RunEnded, true)
		order, refresh := out.echoes()
		require.Len(t, out.sentOrders(), 2)
		require.Equal(t, isolatedAt.Add(contactSlack), order.ReceivedAt)
		require.Equal(t, isolatedAt.Add(contactSlack), refresh.ReceivedAt)
	})
}

// Guards against an end that an owner reported before it lost the worker and acquired it again: the owner in between may
// have kept the run alive.
func TestEndUnderEarlierTokenIsIgnored(t *testing.T) {
	withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		key := out.sentOrders()[0].Key
		report := func(state contract.RunState, token uint64) {
			h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
				Key: key, State: state, MayHaveStarted: true, Token: token,
			})
		}
		report(contract.RunStarted, 3)
		report(contract.RunEnded, 1)
		require.Len(t, out.sentOrders(), 1, "orders after an end under an earlier token")
		report(contract.RunEnded, 3)
		require.Len(t, out.sentOrders(), 2, "orders after an end under the current token")
	})
}

// Guards against orders as fast as messages travel while no owner has a worker that can hold the task.
func TestInfeasibleTaskIsOrderedAtGrowingIntervals(t *testing.T) {
	orders := 0
	withOwner(t, func() contract.Batch { return testBatch(1, 6*time.Second) }, func(h *Home, out *recorder) {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			sent := out.sentOrders()
			for _, o := range sent[orders:] {
				reportRun(h, o.Key, contract.RunInfeasible, false)
			}
			orders = len(sent)
		}
	})
	t.Logf("%d orders in 5 s", orders)
	require.LessOrEqual(t, orders, 5+int(5*time.Second/maxPlaceRetry))
}
