package edge

import (
	"fmt"
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

// nextRunFaults describes each clause by what is done without it.
var nextRunFaults = map[nextRunClause]string{
	nextAtOwner:                 "the home orders the next run at any owner",
	nextAtWorker:                "the owner starts the next run on any of its workers",
	keptOverStop:                "the record of the start ends when a stop of its run is answered",
	keptOverAcquisition:         "the record of the start ends when a new incarnation is acquired",
	keptForTask:                 "only a start of the last run that got no reply is reported with its end",
	endsWithReply:               "the record of the start ends with the window, without a later reply",
	startsAfterEarlier:          "a run starts on the worker that lists an earlier run of the task",
	startsElsewhereAfterEarlier: "a run starts on another worker of the owner that knows of an earlier run on the first one",
	confirmsStart:               "the worker is not polled before the start of a next run",
	waitsForList:                "an answered stop counts as the end of an earlier run",
	pollsAfterStop:              "the reply to a poll that was sent before the stop was answered counts",
	reportsAfterEarlier:         "a run is reported as over at the acquisition although the new incarnation lists an earlier one",
	waitsForSilent:              "the next run goes elsewhere while the worker is silent",
}

// Guards against two runs of a task while a start of one of them may still be executed by a later incarnation of its
// worker: the next runs are ordered at that worker. Every clause of that rule and of the rules for run 1 is needed.
func TestRestartModelOfNextRunAtWorkerOfStart(t *testing.T) {
	states, violation := nextRunRules{clauses: everyNextRunClause}.check(t, twoRuns)
	fmt.Printf("restart model with next runs: %d states\n", len(states))
	require.Empty(t, violation)
	for clause := nextRunClause(1); clause < lastNextRunClause; clause <<= 1 {
		t.Run(nextRunFaults[clause], func(t *testing.T) {
			_, violation := nextRunRules{clauses: everyNextRunClause &^ clause}.check(t, twoRuns)
			require.NotEmpty(t, violation, "the model does not need this clause")
		})
	}
	for _, m := range []restartMutation{sameToken, staleReply, overAtEntry, earlierClock} {
		t.Run(string(m), func(t *testing.T) {
			_, violation := nextRunRules{clauses: everyNextRunClause, mutation: m}.check(t, twoRuns)
			require.NotEmpty(t, violation, "the model does not need this clause")
		})
	}
}

// Guards against a property that holds only because no next run is ever started: the model reaches each of these states.
func TestRestartModelStartsNextRuns(t *testing.T) {
	rules := nextRunRules{clauses: everyNextRunClause}
	for name, reached := range map[string]func(taskState) bool{
		"run 3 on the last incarnation": func(s taskState) bool {
			return s.incarnation == restartIncarnations-1 && s.runs[1].alive && !s.runs[1].elsewhere && !s.recordEnded
		},
		"run 1 executed late while run 2 is ordered": func(s taskState) bool {
			return s.incarnation > 0 && s.running && s.runs[0].phase == nextOrdered
		},
		"run 1 executed late after a crash under run 2": func(s taskState) bool {
			return s.incarnation > 0 && s.running && s.runs[0].phase == nextSent
		},
		"run 3 elsewhere after the record has ended": func(s taskState) bool {
			return s.recordEnded && !s.runs[0].elsewhere && s.runs[1].elsewhere && s.runs[1].alive
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, events := rules.check(t, reached)
			require.NotEmpty(t, events)
		})
	}
}

// Guards against a claim that the place of the next run prevents a start after an end that was taken note of: run 2 is done on
// A, which restarts then and executes the start of run 1. The property is that no run of a task starts once a later one has
// been reported as done. Only the bound of the window keeps it: the result of run 2 would have to wait until A has answered a
// poll after the window.
func TestRestartModelLeavesStartAfterDone(t *testing.T) {
	rules := nextRunRules{clauses: everyNextRunClause}
	_, violation := rules.check(t, runAfterDone)
	require.NotEmpty(t, violation)
	rules.doneAfterRecord = true
	_, violation = rules.check(t, runAfterDone)
	require.Empty(t, violation)
}
