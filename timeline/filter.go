package timeline

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Filter selects events. Zero fields select everything.
type Filter struct {
	Job *contract.JobID
	// Task also selects the events of its job, which include the submission and the answer.
	Task   *contract.TaskID
	Worker machine.WorkerID
	// VM selects the events recorded by the VM and those that name it as peer.
	VM string
	// Kinds are names or their prefixes before a dot, for example "grant.issued" or "grant".
	Kinds []string
	From  time.Time
	To    time.Time
}

// Names of the query parameters of GET /events.
const (
	paramJob    = "job"
	paramTask   = "task"
	paramWorker = "worker"
	paramVM     = "vm"
	paramKind   = "kind"
	paramFrom   = "from"
	paramTo     = "to"
)

// ParseFilter parses a filter from query parameters.
func ParseFilter(q url.Values) (Filter, error) {
	f := Filter{Worker: machine.WorkerID(q.Get(paramWorker)), VM: q.Get(paramVM), Kinds: q[paramKind]}
	if text := q.Get(paramJob); text != "" {
		id, err := contract.ParseJobID(text)
		if err != nil {
			return f, err
		}
		f.Job = &id
	}
	if text := q.Get(paramTask); text != "" {
		id, err := contract.ParseTaskID(text)
		if err != nil {
			return f, err
		}
		f.Task = &id
	}
	for _, k := range f.Kinds {
		if !knownKind(k) {
			return f, fmt.Errorf("unknown kind %q; kinds are %s", k, strings.Join(Kinds(), ", "))
		}
	}
	var err error
	if f.From, err = parseTime(q.Get(paramFrom)); err != nil {
		return f, err
	}
	f.To, err = parseTime(q.Get(paramTo))
	return f, err
}

// Query returns the filter as query parameters.
func (f Filter) Query() url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	if f.Job != nil {
		set(paramJob, f.Job.String())
	}
	if f.Task != nil {
		set(paramTask, f.Task.String())
	}
	set(paramWorker, string(f.Worker))
	set(paramVM, f.VM)
	for _, k := range f.Kinds {
		q.Add(paramKind, k)
	}
	if !f.From.IsZero() {
		set(paramFrom, f.From.Format(time.RFC3339Nano))
	}
	if !f.To.IsZero() {
		set(paramTo, f.To.Format(time.RFC3339Nano))
	}
	return q
}

func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, fmt.Errorf("time %q is not of the form 2006-01-02T15:04:05.999Z", text)
	}
	return t, nil
}

func knownKind(pattern string) bool {
	for _, name := range kindNames[1:] {
		if kindMatches(pattern, name) {
			return true
		}
	}
	return false
}

func kindMatches(pattern, name string) bool {
	return name == pattern || strings.HasPrefix(name, pattern+".")
}

func (f *Filter) matches(vm string, e *Event) bool {
	return f.matchesTask(e) && f.matchesMachine(vm, e) && f.matchesKind(e.Kind) && f.matchesTime(e.Wall)
}

func (f *Filter) matchesTask(e *Event) bool {
	if f.Job != nil && e.Task.Job != *f.Job {
		return false
	}
	if f.Task == nil {
		return true
	}
	if e.Kind.concernsTask() {
		return e.Task == *f.Task
	}
	return e.Task.Job == f.Task.Job
}

func (f *Filter) matchesMachine(vm string, e *Event) bool {
	if f.Worker != "" && e.Worker != f.Worker {
		return false
	}
	return f.VM == "" || vm == f.VM || e.Peer == f.VM
}

func (f *Filter) matchesKind(k Kind) bool {
	if len(f.Kinds) == 0 {
		return true
	}
	for _, pattern := range f.Kinds {
		if kindMatches(pattern, k.String()) {
			return true
		}
	}
	return false
}

func (f *Filter) matchesTime(wall int64) bool {
	if !f.From.IsZero() && wall < f.From.UnixNano() {
		return false
	}
	return f.To.IsZero() || wall <= f.To.UnixNano()
}
