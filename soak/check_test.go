package soak

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a retry that is reported as cut by a planned stop although it waited until the time limit of its job, and against
// one that fails before and is not reported.
func TestRequestIsLostBeforeItsOwnTimeLimit(t *testing.T) {
	const limit = 2 * time.Second
	tests := []struct {
		name          string
		left, elapsed time.Duration
		lost          bool
	}{
		{"first attempt fails", limit, 1900 * time.Millisecond, true},
		{"first attempt waits", limit, limit, false},
		{"retry fails", 700 * time.Millisecond, 650 * time.Millisecond, true},
		{"retry waits", 700 * time.Millisecond, 700*time.Millisecond + answerSlack, false},
		{"retry after the limit", -time.Millisecond, answerSlack - time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			d, begin := &daemon{vm: "edge"}, time.Now()
			s := &Soak{o: Options{Out: &out}, stops: []stopRecord{{d, begin, begin.Add(grace)}}}
			s.report.InvariantChecks = make(map[string]int)
			s.checkLostRequest(&job{limit: limit, patience: limit}, attempt{
				daemon: d, sent: begin.Add(grace / 8), left: test.left, elapsed: test.elapsed, err: errors.New("no answer"),
			})
			require.Equal(t, test.lost, s.report.Violations > 0, out.String())
		})
	}
}

// Guards against a start in an evacuated domain that is not reported, and against one that is reported although it was in time or
// its owner need not have known.
func TestStartInEvacuatedDomainIsReported(t *testing.T) {
	begin := time.Now()
	end := begin.Add(evacuationBound + 10*time.Second)
	at := func(d time.Duration) time.Time { return begin.Add(evacuationBound + d) }
	paused := period{kind: "pause", begin: at(time.Second), end: at(2 * time.Second)}
	for _, test := range []struct {
		name, worker string
		started      time.Time
		faults       []period
		violations   int
	}{
		{"late", "inside", at(time.Millisecond), nil, 1},
		{"in time", "inside", at(-time.Millisecond), nil, 0},
		{"after the end", "inside", end.Add(time.Millisecond), nil, 0},
		{"in another domain", "outside", at(time.Second), nil, 0},
		{"a fault that excuses it", "inside", at(2*time.Second + contactTime/2), []period{paused}, 0},
		{"long after that fault", "inside", at(3*time.Second + contactTime), []period{paused}, 1},
		{"before that fault", "inside", at(time.Second / 2), []period{paused}, 1},
		{"a fault that excuses nothing", "inside", at(time.Second), []period{{kind: "store_silent", begin: begin, end: end}}, 1},
	} {
		var out bytes.Buffer
		s := &Soak{o: Options{Out: &out}, runs: newRunRecorder(), injected: test.faults,
			workers:   []*worker{{id: "inside", domain: "a"}, {id: "outside", domain: "b"}},
			evacuated: []period{{"evacuation", "a", begin, end}},
		}
		s.report.InvariantChecks = make(map[string]int)
		s.runs.Started(test.worker, contract.RunKey{Batch: "job"})
		s.runs.tasks[contract.RunKey{Batch: "job"}][0].begin = test.started
		s.checkEvacuated()
		require.Equal(t, test.violations, s.report.Violations, test.name)
	}
}
