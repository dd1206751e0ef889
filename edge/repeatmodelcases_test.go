package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// check explores the model and logs the events that lead to a violation.
func (r repeatRules) check(t *testing.T, violated func(repeatState) bool) (states int, violation []string) {
	t.Helper()
	states, violation = r.explore(violated)
	t.Logf("%d states", states)
	for i, event := range violation {
		t.Logf("%d. %s", i+1, event)
	}
	return states, violation
}

// rulesOfRepeatedStarts are the rules by which a start without a reply is repeated.
var rulesOfRepeatedStarts = repeatRules{clauses: everyRepeatClause, repeats: true, nextReplied: true}

// rulesOfSingleStarts are the rules by which it is made once, and the next run ordered at the worker that may execute it.
var rulesOfSingleStarts = repeatRules{clauses: clausesOfSingleStarts}

// repeatFaults describes each clause by what is done without it.
var repeatFaults = map[repeatClause]string{
	sameNumber:            "a stop or the lease ends a start without a reply, and the next number is started",
	sameNumberAtNextOwner: "the next owner starts the next number after a start without a reply",
	sameNumberAtNextHome:  "the next home orders the next number after a start without a reply",
	repeatedAtWorker:      "a start without a reply is repeated at any worker",
	orderedAtWorker:       "a home that has a record orders elsewhere",
	startedAtWorker:       "an owner that has a record starts on another of its workers",
	alsoSilent:            "a task with a record goes elsewhere while the worker is silent",
	alsoDraining:          "a task with a record goes elsewhere while the worker drains",
	alsoNextOwner:         "a task with a record goes elsewhere while the worker has another owner",
	reportedBeforeLoss:    "an owner is lost before anybody is told of the start",
	announcedToOwner:      "the next owner of the worker has no record",
	announcedToHome:       "the next home of the job has no record",
	keptOverReply:         "a reply to one copy ends the record",
	keptOverStops:         "an answered stop ends the record",
	keptOverNewOne:        "the acquisition of a new incarnation ends the record",
	keptOverList:          "a list with the run ends the record",
	endsWithList:          "the owner's record ends with the delay of calls, without a later list",
	outlastsLease:         "the records of others end with the delay of calls, without a lease",
	countsLastCopy:        "the delay is counted from the first copy",
	stopsFound:            "a run that is found on an acquired worker goes on beside a later one",
	waitsForFound:         "a run starts on the worker that lists an earlier one",
	waitsElsewhere:        "a run starts on another worker of the owner that knows of an earlier one",
	keptOutsideDomain:     "only members of the failure domain of the owner know of the start when it is lost",
}

// Guards against two runs of a task after starts without a reply at a worker that restarts, is silent, or passes to another
// owner, and whose job passes to another home. Every clause is needed.
func TestRepeatModel(t *testing.T) {
	states, violation := rulesOfRepeatedStarts.check(t, twoRunsAlive)
	fmt.Printf("model of repeated starts: %d states\n", states)
	require.Empty(t, violation)
	for clause := repeatClause(1); clause < lastRepeatClause; clause <<= 1 {
		t.Run(repeatFaults[clause], func(t *testing.T) {
			rules := rulesOfRepeatedStarts
			rules.clauses &^= clause
			_, violation := rules.check(t, twoRunsAlive)
			require.NotEmpty(t, violation, "the model does not need this clause")
		})
	}
}

// Guards against a model that is too coarse to show the pair of runs that was traced (docs/incidents/unanswered-starts-at-scale.md):
// two starts of a task at a worker got no reply, the next run goes elsewhere while that worker is silent, and its next
// incarnation executes the earliest start. Nobody is lost, and the worker does not drain.
func TestRepeatModelShowsTracedRuns(t *testing.T) {
	traced := func(s repeatState) bool {
		return s.number == 2 && s.phase == numberElsewhere && s.numbers[0].onA == runsOnA && s.numbers[1].underWay() &&
			!s.nextOwner && !s.nextHome
	}
	_, violation := rulesOfSingleStarts.check(t, traced)
	require.NotEmpty(t, violation)
	rules := rulesOfSingleStarts
	rules.clauses |= alsoSilent
	_, violation = rules.check(t, traced)
	require.Empty(t, violation)
}

// startedByRepeats are states that the rules of repeated starts must not prevent.
var startedByRepeats = map[string]func(repeatState) bool{
	"run 3 on the last incarnation while a copy of run 1 is under way": func(s repeatState) bool {
		return s.incarnation == restartIncarnations-1 && s.number == 2 && s.phase == numberOnA && s.numbers[2].onA == runsOnA &&
			s.numbers[0].underWay()
	},
	"copy of a repeated start on the last incarnation": func(s repeatState) bool {
		return s.incarnation == restartIncarnations-1 && s.number == 0 && s.phase == numberAtOwner && !s.known &&
			s.numbers[0].onA == runsOnA && s.numbers[0].older
	},
	"late start of run 3 under the next owner and home": func(s repeatState) bool {
		return s.nextOwner && s.nextHome && s.number == 2 && s.numbers[2].onA == runsOnA && s.numbers[2].newer
	},
	"run 1 executed late while run 2 waits": func(s repeatState) bool {
		return s.number == 1 && s.phase == numberAtOwner && s.acquired && s.numbers[0].onA == runsOnA && s.numbers[0].owner
	},
	"run elsewhere after the record of the home has ended": func(s repeatState) bool {
		return s.number == 1 && s.phase == numberElsewhere && s.numbers[0].others && !s.numbers[0].home
	},
	"number kept by the next home and owner until it is answered": func(s repeatState) bool {
		return s.nextHome && s.nextOwner && s.number == 0 && s.phase == numberOnA && s.numbers[0].older && !s.numbers[0].newer
	},
}

// Guards against a property that holds only because nothing is started: the model reaches each of these states.
func TestRepeatModelStartsRuns(t *testing.T) {
	for name, reached := range startedByRepeats {
		t.Run(name, func(t *testing.T) {
			_, events := rulesOfRepeatedStarts.check(t, reached)
			require.NotEmpty(t, events)
		})
	}
}

// Guards against a claim that repeated starts cover late starts under two numbers at one worker: the first number was answered,
// another copy of its start is still under way when its run ends, and a start under the next number gets no reply, or arrives
// after a restart. The next incarnation may execute both before it is acquired. Nothing else is left of them: they would break
// nothing if a worker rejected a start beside another run of the task, or if the next number waited for the record of the first.
func TestRepeatModelLeavesTwoNumbers(t *testing.T) {
	rules := rulesOfRepeatedStarts
	rules.nextReplied = false
	_, violation := rules.check(t, twoRunsAlive)
	require.NotEmpty(t, violation)
	rejecting, waiting := rules, rules
	rejecting.rejectsSecond, waiting.waitsForCopies = true, true
	for _, closed := range []repeatRules{rejecting, waiting} {
		_, violation = closed.check(t, twoRunsAlive)
		require.Empty(t, violation)
	}
}

// Guards against a claim that another worker at the address ends a record in every case: the first one may come back.
func TestRepeatModelLeavesReturnOfReplacedWorker(t *testing.T) {
	rules := rulesOfRepeatedStarts
	rules.returnsReplaced = true
	_, violation := rules.check(t, twoRunsAlive)
	require.NotEmpty(t, violation)
}
