package timeline

import (
	"encoding/json"
	"io"
	"strings"
)

// traceEvent is an event in the trace event format of browsers' trace viewers.
type traceEvent struct {
	Name     string         `json:"name"`
	Category string         `json:"cat,omitempty"`
	Phase    string         `json:"ph"`
	Micros   float64        `json:"ts"`
	Process  int            `json:"pid"`
	Thread   int            `json:"tid"`
	ID       string         `json:"id,omitempty"`
	Scope    string         `json:"s,omitempty"`
	Args     map[string]any `json:"args,omitempty"`
}

// Phases of the trace event format.
const (
	phaseBegin    = "b"
	phaseEnd      = "e"
	phaseInstant  = "i"
	phaseMetadata = "M"
)

// spanBegin and spanEnd map the event kinds that begin and end an interval within a process to the kind of interval.
var spanBegin = map[string]string{
	JobAccepted.String(): "job", TaskStarted.String(): "task", RunStarted.String(): "run",
}

var spanEnd = map[string]string{
	JobComplete.String(): "job", JobFailed.String(): "job", JobHandedOver.String(): "job",
	TaskDone.String(): "task", TaskFailed.String(): "task", TaskUnknown.String(): "task", TaskRejected.String(): "task",
	RunEnded.String(): "run",
}

// tracer converts records to trace events. It numbers the processes and tracks open intervals.
type tracer struct {
	processes map[string]int
	open      map[string]bool
	out       []traceEvent
}

// WriteTrace prints the timeline in the trace event format. Jobs, tasks and runs are intervals, all other events are
// instants. Times are the processes' wall clocks; args.lamport holds the causal order.
func (t Timeline) WriteTrace(w io.Writer) error {
	tr := &tracer{processes: map[string]int{}, open: map[string]bool{}}
	for i := range t.Records {
		tr.add(&t.Records[i])
	}
	return json.NewEncoder(w).Encode(map[string]any{
		"traceEvents": tr.out, "displayTimeUnit": "ms", "otherData": map[string]any{"gaps": t.Gaps},
	})
}

func (tr *tracer) add(r *Record) {
	e := traceEvent{
		Name: r.Kind, Micros: float64(r.Time.UnixNano()) / 1000, Process: tr.process(r), Thread: 1, Args: traceArgs(r),
	}
	subject := r.Task
	if subject == "" {
		subject = r.Job
	}
	key := r.Process + " " + r.Incarnation + " " + subject
	if span, ok := spanBegin[r.Kind]; ok {
		tr.open[span+key] = true
		tr.interval(e, span, subject, phaseBegin)
		return
	}
	if span, ok := spanEnd[r.Kind]; ok && tr.open[span+key] {
		delete(tr.open, span+key)
		tr.interval(e, span, subject, phaseEnd)
		return
	}
	e.Category, _, _ = strings.Cut(r.Kind, ".")
	e.Phase, e.Scope = phaseInstant, "p"
	tr.out = append(tr.out, e)
}

func (tr *tracer) interval(e traceEvent, span, subject, phase string) {
	e.Args["event"] = e.Name
	e.Name, e.Category, e.Phase, e.ID = span+" "+subject, span, phase, subject
	tr.out = append(tr.out, e)
}

// process returns the number of a process. For its first event it also emits the name of the process.
func (tr *tracer) process(r *Record) int {
	name := r.Process + " " + r.Incarnation
	n, ok := tr.processes[name]
	if !ok {
		n = len(tr.processes) + 1
		tr.processes[name] = n
		tr.out = append(tr.out, traceEvent{
			Name: "process_name", Phase: phaseMetadata, Process: n, Args: map[string]any{"name": name},
		})
	}
	return n
}

func traceArgs(r *Record) map[string]any {
	args := map[string]any{"lamport": r.Lamport}
	for name, value := range map[string]string{"worker": r.Worker, "peer": r.Peer, "detail": r.Detail} {
		if value != "" {
			args[name] = value
		}
	}
	if r.Count != 0 {
		args["count"] = r.Count
	}
	return args
}
