package load

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const ledgerShards = 16

// TaskStart summarises the starts that workers recorded for a task id or a task identity.
type TaskStart struct {
	Count  int
	Worker machine.WorkerID
	First  time.Time
	// Task is the task id of the last start.
	Task string
}

// StartLedger counts the starts at all workers by the dispatcher's task id and by the identity that the caller gave the
// task. Its state is sharded; each shard has its own lock.
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

// Record counts a start and returns the counts for its task id and for its identity.
func (l *StartLedger) Record(st standin.Start, identity string) (byTask, byIdentity TaskStart) {
	byTask = l.tasks[shardIndex(st.Task)].add(st.Task, st)
	if identity != "" {
		byIdentity = l.identities[shardIndex(identity)].add(identity, st)
	}
	return byTask, byIdentity
}

// Task returns the starts recorded for a task id.
func (l *StartLedger) Task(id string) TaskStart { return l.tasks[shardIndex(id)].get(id) }

// Identity returns the starts recorded for a task identity.
func (l *StartLedger) Identity(id string) TaskStart { return l.identities[shardIndex(id)].get(id) }

// Totals returns the number of starts, and how many task ids or how many identities were started more than once,
// whichever is more: a second start under the same task id counts for both.
func (l *StartLedger) Totals() (starts, twice int) {
	identitiesTwice := 0
	for i := range ledgerShards {
		n, t := l.tasks[i].totals()
		_, s := l.identities[i].totals()
		starts += n
		twice += t
		identitiesTwice += s
	}
	return starts, max(twice, identitiesTwice)
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
