package timeline

import (
	"sort"
	"time"
)

// Record is the encoded form of an event.
type Record struct {
	Lamport     uint64    `json:"lamport"`
	Process     string    `json:"process"`
	Incarnation string    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	Time        time.Time `json:"time"`
	Kind        string    `json:"kind"`
	Job         string    `json:"job,omitempty"`
	Task        string    `json:"task,omitempty"`
	Worker      string    `json:"worker,omitempty"`
	Peer        string    `json:"peer,omitempty"`
	Detail      string    `json:"detail,omitempty"`
	Count       int64     `json:"count,omitempty"`
}

// Part is the contribution of one process to a timeline.
type Part struct {
	// Source is the address that the part was collected from.
	Source      string `json:"source,omitempty"`
	Process     string `json:"process"`
	Incarnation string `json:"incarnation"`
	// Off is set if recording is disabled in the process.
	Off bool `json:"off,omitempty"`
	// Overwritten counts the events that the ring has overwritten; the latest of them has Lamport time LostThrough.
	Overwritten uint64 `json:"overwritten,omitempty"`
	LostThrough uint64 `json:"lost_through,omitempty"`
	// Withheld counts the matching events left out because of the request's limit; they are the oldest ones.
	Withheld int      `json:"withheld,omitempty"`
	Error    string   `json:"error,omitempty"`
	Records  []Record `json:"records"`
}

// Part returns the events of the ring that match the filter; if limit is positive, at most the latest limit ones.
func (r *Ring) Part(f Filter, limit int) Part {
	if r == nil {
		return Part{Off: true}
	}
	s := r.Snapshot(func(e *Event) bool { return f.matches(r.process.VM, e) })
	sort.Slice(s.Events, func(i, j int) bool { return s.Events[i].Lamport < s.Events[j].Lamport })
	p := Part{
		Process: s.Process.VM, Incarnation: s.Process.Incarnation.String(), Off: r.disabled.Load(),
		Overwritten: s.Overwritten, LostThrough: s.LostThrough, Records: []Record{},
	}
	if limit > 0 && len(s.Events) > limit {
		p.Withheld = len(s.Events) - limit
		s.Events = s.Events[p.Withheld:]
	}
	for i := range s.Events {
		p.Records = append(p.Records, s.Events[i].record(s.Process))
	}
	return p
}

func (e *Event) record(p Process) Record {
	r := Record{
		Lamport: e.Lamport, Process: p.VM, Incarnation: p.Incarnation.String(), Sequence: e.Sequence,
		Time: time.Unix(0, e.Wall).UTC(), Kind: e.Kind.String(), Worker: string(e.Worker), Peer: e.Peer,
		Detail: e.Detail, Count: e.Count,
	}
	if e.Task.Job.Seq != 0 {
		r.Job = e.Task.Job.String()
		if e.Kind.concernsTask() {
			r.Task = e.Task.String()
		}
	}
	return r
}

// concernsTask reports whether the task index of an event of this kind is meaningful.
func (k Kind) concernsTask() bool { return k >= TaskStarted && k <= RunFenced }

// Timeline is the merged history of several processes.
type Timeline struct {
	Records []Record `json:"records"`
	// Gaps describes the parts that are missing or incomplete.
	Gaps []string `json:"gaps"`
}

// Merge merges the parts into one order in which every event comes after its causes.
func Merge(parts []Part) Timeline {
	t := Timeline{Records: []Record{}, Gaps: []string{}}
	for _, p := range parts {
		t.Records = append(t.Records, p.Records...)
		t.Gaps = append(t.Gaps, p.gaps()...)
	}
	sort.SliceStable(t.Records, func(i, j int) bool { return t.Records[i].before(&t.Records[j]) })
	return t
}

func (r *Record) before(o *Record) bool {
	if r.Lamport != o.Lamport {
		return r.Lamport < o.Lamport
	}
	if r.Process != o.Process {
		return r.Process < o.Process
	}
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	return r.Sequence < o.Sequence
}
