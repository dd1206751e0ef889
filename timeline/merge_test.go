package timeline

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against ordering by wall clocks: the worker's clock is an hour behind that of the home, but its events must
// come between the start and the outcome.
func TestMergeFollowsOneTaskAcrossProcesses(t *testing.T) {
	home, worker := &Clock{}, &Clock{}
	id := contract.TaskID{Job: contract.JobID{Domain: 1, Home: 7, Seq: 3}, Index: 2}
	other := contract.TaskID{Job: id.Job, Index: 4}
	h := NewRing(Process{VM: "entry-1", Incarnation: 7}, 64, home, fixedNow)
	w := NewRing(Process{VM: "worker-1", Incarnation: 9}, 64, worker, func() time.Time { return fixedNow().Add(-time.Hour) })
	h.Job(JobAccepted, id.Job, "service", 5)
	h.Task(TaskStarted, id, "worker-1", "")
	h.Task(TaskStarted, other, "worker-1", "")
	worker.Observe(home.Tick())
	w.Task(RunStarted, id, "worker-1", "")
	w.Task(RunEnded, id, "worker-1", "")
	home.Observe(worker.Tick())
	h.Task(TaskDone, id, "worker-1", "")
	h.Job(JobComplete, id.Job, "", 5)

	f := Filter{Task: &id}
	merged := Merge([]Part{w.Part(f, 0), h.Part(f, 0), {Source: "127.0.0.1:1", Error: "connection refused"}})
	var kinds []string
	for _, r := range merged.Records {
		kinds = append(kinds, r.Kind)
	}
	require.Equal(t, []string{"job.accepted", "task.started", "run.started", "run.ended", "task.done", "job.complete"}, kinds)
	require.Equal(t, []string{"process at 127.0.0.1:1: unreachable: connection refused"}, merged.Gaps)

	var text, trace bytes.Buffer
	require.NoError(t, merged.WriteText(&text))
	require.Equal(t, 7, strings.Count(text.String(), "\n"))
	require.NoError(t, merged.WriteTrace(&trace))
	var got struct {
		TraceEvents []struct{ Ph, ID string }
	}
	require.NoError(t, json.Unmarshal(trace.Bytes(), &got))
	phases := map[string]int{}
	for _, e := range got.TraceEvents {
		phases[e.Ph]++
	}
	require.Equal(t, map[string]int{"M": 2, "b": 3, "e": 3}, phases)
}

func parseQuery(text string) (Filter, error) {
	q, err := url.ParseQuery(text)
	if err != nil {
		return Filter{}, err
	}
	return ParseFilter(q)
}

// Guards against filters that pass non-matching events or drop matching ones, against a filter that changes when it is
// encoded as a query and parsed again, and against events left out by the limit that are not counted.
func TestFilters(t *testing.T) {
	r := NewRing(Process{VM: "entry-1", Incarnation: 7}, 64, &Clock{}, fixedNow)
	r.Record(Event{Kind: GrantIssued, Peer: "entry-2", Worker: "worker-1"})
	r.Record(Event{Kind: MemberChanged, Peer: "entry-3"})
	r.Record(Event{Kind: LinkOpened, Peer: "entry-2"})
	for query, want := range map[string]int{
		"": 3, "vm=entry-2": 2, "vm=entry-1": 3, "kind=grant": 1, "kind=grant.issued&kind=link": 2, "worker=worker-1": 1,
		"from=1970-01-01T00:00:02Z": 0, "to=1970-01-01T00:00:01Z": 3, "job=j-1-0000000000000007-1": 0,
	} {
		f, err := parseQuery(query)
		require.NoError(t, err, query)
		again, err := ParseFilter(f.Query())
		require.NoError(t, err, query)
		require.Equal(t, f, again, query)
		require.Len(t, r.Part(f, 0).Records, want, query)
	}
	for _, bad := range []string{"kind=gr", "job=x", "task=j-1-0000000000000007-1", "from=yesterday"} {
		_, err := parseQuery(bad)
		require.Error(t, err, bad)
	}
	require.Equal(t, 2, r.Part(Filter{}, 1).Withheld)
}
