package load

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const ledgerShards = 16

// TaskStart is what the workers recorded of a task id or an identity.
type TaskStart struct {
	Count  int
	Worker machine.WorkerID
	First  time.Time
	// Task is the id under which the last start arrived.
	Task string
}

// StartLedger counts the starts at all workers, by the dispatcher's task id and by the caller's identity of the task.
// Its state lies in shards, each under its own lock.
type StartLedger struct {
	tasks, identities [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu     sync.Mutex
	starts map[string]TaskStart
}

// NewStartLedger returns an empty ledger.
func NewStartLedger() *StartLedger {
	l := &StartLedger{}
	for i := range ledgerShards {
		l.tasks[i].starts = make(map[string]TaskStart)
		l.identities[i].starts = make(map[string]TaskStart)
	}
	return l
}

func shardIndex(key string) uint64 { return xxhash.Sum64String(key) % ledgerShards }

func (s *ledgerShard) add(key string, st standin.Start) TaskStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.starts[key]
	if t.Count == 0 {
		t.First, t.Worker = st.At, st.Worker
	}
	t.Count++
	t.Task = st.Task
	s.starts[key] = t
	return t
}

func (s *ledgerShard) get(key string) TaskStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[key]
}

// Record counts a start and returns the counts of its task id and of its identity.
func (l *StartLedger) Record(st standin.Start, identity string) (task, same TaskStart) {
	task = l.tasks[shardIndex(st.Task)].add(st.Task, st)
	if identity != "" {
		same = l.identities[shardIndex(identity)].add(identity, st)
	}
	return task, same
}

// Task returns what is recorded of a task id.
func (l *StartLedger) Task(id string) TaskStart { return l.tasks[shardIndex(id)].get(id) }

// Identity returns what is recorded of a caller's task.
func (l *StartLedger) Identity(id string) TaskStart { return l.identities[shardIndex(id)].get(id) }

// Totals returns the number of starts and the number of task ids or identities started more than once.
func (l *StartLedger) Totals() (starts, twice int) {
	same := 0
	for i := range ledgerShards {
		n, t := l.tasks[i].totals()
		_, s := l.identities[i].totals()
		starts += n
		twice += t
		same += s
	}
	return starts, max(twice, same)
}

func (s *ledgerShard) totals() (starts, twice int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.starts {
		starts += t.Count
		if t.Count > 1 {
			twice++
		}
	}
	return starts, twice
}
