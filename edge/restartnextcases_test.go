package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// check explores the model. It logs the events that lead to a violation and returns them with the states.
func (r nextRunRules) check(t *testing.T, violated func(taskState) bool) (map[taskState]taskState, []string) {
	t.Helper()
	states, violation := exploreNextRuns(r, violated)
	t.Logf("%d states", len(states))
	for i, event := range violation {
		t.Logf("%d. %s", i+1, event)
	}
	return states, violation
}

// Guards against a model that is too coarse to show two runs of a task: the next run goes to any worker while the start of
// the last one may still be executed by a later incarnation of its worker. A stop or the lease has ended the last one.
func TestRestartModelOfNextRunAtAnyWorker(t *testing.T) {
	anyWorker := nextRunRules{clauses: anyWorkerClauses}
	for name, violated := range map[string]func(taskState) bool{
		"on any workers":       twoRuns,
		"stopped on A":         func(s taskState) bool { return twoRuns(s) && s.runs[0].elsewhere && !s.leasePassed },
		"A silent, lease over": func(s taskState) bool { return twoRuns(s) && s.runs[0].elsewhere && s.leasePassed },
	} {
		t.Run(name, func(t *testing.T) {
			_, violation := anyWorker.check(t, violated)
			require.NotEmpty(t, violation)
		})
	}
}
