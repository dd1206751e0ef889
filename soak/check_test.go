package soak

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
