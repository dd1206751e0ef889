package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// tableModel drives the tables of a home and its successor and records what was started where.
type tableModel struct {
	home, successor *JobTable
	now             time.Time
	ids             []JobID
	tasks           map[JobID]int
	starts          map[TaskID]int // starts that have happened or may have happened
	running         map[TaskID]*JobTable
	answers         map[JobID]Answer
	detached        []JobSpec
	homeClosed      bool
}

func (m *tableModel) anyTask(t *rapid.T) (TaskID, *JobTable) {
	if len(m.ids) == 0 {
		t.Skip("no job")
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "job")
	index := rapid.IntRange(0, m.tasks[id]-1).Draw(t, "task")
	table := m.home
	if rapid.Bool().Draw(t, "at successor") {
		table = m.successor
	}
	return TaskID{Job: id, Index: index}, table
}

func (m *tableModel) spec(id JobID) JobSpec {
	return JobSpec{ID: id, Service: "s", Tasks: make([]TaskSpec, m.tasks[id])}
}

func (m *tableModel) accept(t *rapid.T) {
	if ids := m.home.Mint(1); ids != nil {
		m.ids = append(m.ids, ids[0])
		m.tasks[ids[0]] = rapid.IntRange(1, 3).Draw(t, "tasks")
	}
	task, table := m.anyTask(t)
	// Repeated and refused submissions are part of the test; the start action checks that no task starts twice.
	_, _ = table.Accept(m.spec(task.Job), m.now)
}

func (m *tableModel) start(t *rapid.T) {
	task, table := m.anyTask(t)
	if _, ok := table.Start(task, "w"); ok {
		m.starts[task]++
		m.running[task] = table
	}
	require.LessOrEqual(t, m.starts[task], 1, "task %s started twice", task)
}

func (m *tableModel) notStarted(t *rapid.T) {
	task, _ := m.anyTask(t)
	if table, ok := m.running[task]; ok {
		delete(m.running, task)
		m.starts[task]--
		table.NotStarted(task, m.now)
	}
}

func (m *tableModel) finish(t *rapid.T) {
	task, _ := m.anyTask(t)
	table, ok := m.running[task]
	if !ok {
		return
	}
	delete(m.running, task)
	outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeFailed, OutcomeUnknown}).Draw(t, "outcome")
	table.Finish(task, TaskReport{Outcome: outcome}, []byte(task.String()), m.now)
}

func (m *tableModel) cancel(t *rapid.T) {
	task, table := m.anyTask(t)
	_, _ = table.Cancel(task.Job, "cancelled", m.now)
}

func (m *tableModel) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "minutes")) * time.Minute)
	m.home.Expire(m.now)
	m.successor.Expire(m.now)
}

// handOver closes the home and delivers jobs and answers to the successor; parts may be repeated and the last one may
// be missing.
func (m *tableModel) handOver(t *rapid.T) {
	m.home.Close()
	m.homeClosed = true
	m.detached = append(m.detached, m.home.Detach()...)
	for range rapid.IntRange(0, 2).Draw(t, "deliveries") {
		m.successor.Adopt(AdoptedHome{Home: 7})
		for _, s := range m.detached {
			m.successor.AdoptJob(s, m.now)
		}
		m.home.Answers(func(answers []Answer) {
			for _, a := range answers {
				m.successor.AdoptAnswer(a, m.now)
			}
		})
	}
	if rapid.Bool().Draw(t, "last part") {
		for _, h := range m.home.Homes() {
			m.successor.Adopt(h)
		}
	}
}

// check runs after every action.
func (m *tableModel) check(t *rapid.T) {
	for _, id := range m.ids {
		for _, table := range []*JobTable{m.home, m.successor} {
			a, _, err := table.Lookup(id)
			if err != nil || a.Verdict == VerdictPending {
				continue
			}
			require.True(t, a.Consistent())
			for i, r := range a.Reports {
				if r.Outcome == OutcomeNotRun {
					require.Zero(t, m.starts[TaskID{Job: id, Index: i}], "task reported as not run although it was started")
				}
			}
			if first, ok := m.answers[id]; ok {
				require.Equal(t, first, a, "answer changed")
			}
			m.answers[id] = a
		}
	}
}

// Guards against a second start of a task, a partial or changing answer and a false "not run" under any interleaving
// of acceptance, starts, proofs that a start did not happen, completions, cancellation, hand-over with repeated
// parts, and expiry.
func TestJobTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{
			home: NewJobTable(1, 7), successor: NewJobTable(1, 8), now: time.Unix(1000, 0),
			tasks: map[JobID]int{}, starts: map[TaskID]int{}, running: map[TaskID]*JobTable{}, answers: map[JobID]Answer{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "start": m.start, "not started": m.notStarted, "finish": m.finish, "cancel": m.cancel,
			"expire": m.expire, "hand over": m.handOver, "": m.check,
		})
	})
}
