package edge

import "fmt"

// The model below adds the next runs of the task to the restart model. Run 1 is the run of that model: its start call at
// worker A got no reply and may be executed by any incarnation of A until its window passes, the longest time for which a
// call can be under way. Runs 2 and 3 are ordered once the run before has been reported as over, at the owner of A or
// elsewhere: elsewhere are all workers but A, whether A's owner or another one starts the run there. A crash of A ends its
// runs; a run elsewhere ends by itself, by a stop or by its lease.
//
// The property is that no two runs of the task are alive at the same time, on any workers and incarnations.
//
// That A answers means that its last poll got a reply. This says nothing about A at the time of the order: A may be down, a
// later incarnation may have executed the start of run 1, and A may crash before the start or after it. So the model lets the
// home order at A in every state.
//
// Starts of runs 2 and 3 without a reply, the loss of A's owner and of the home, and records that other members have are the
// subject of repeatmodel_test.go.
type nextRunRules struct {
	clauses nextRunClause
	// doneAfterRecord makes the owner report a run as done only once it has no record of a start without a reply.
	doneAfterRecord bool
	// mutation leaves out a clause of the rules for run 1.
	mutation restartMutation
}

// nextRunClause is a set of clauses of the rule that the next run is ordered at the worker of the start without a reply.
type nextRunClause uint16

const (
	// nextAtOwner makes the home order the next run at the owner that reports such a start with the end of the last run.
	nextAtOwner nextRunClause = 1 << iota
	// nextAtWorker makes that owner start it on A and on no other worker.
	nextAtWorker
	// keptOverStop keeps the record of the start when a stop of its run has been answered.
	keptOverStop
	// keptOverAcquisition keeps it when a new incarnation of A has been acquired.
	keptOverAcquisition
	// keptForTask makes the owner report it with the end of every later run of the task.
	keptForTask
	// endsWithReply ends the record with a reply to a poll that was sent after the window, not with the window.
	endsWithReply
	// startsAfterEarlier makes the owner start a run on A only while A lists no earlier run of the task.
	startsAfterEarlier
	// startsElsewhereAfterEarlier makes the owner wait for that on its other workers too.
	startsElsewhereAfterEarlier
	// confirmsStart makes the owner poll A before the start, which then reaches the incarnation that it knows. A restart
	// between that reply and the arrival of the start is left out.
	confirmsStart
	// waitsForList makes the owner treat an earlier run as listed until a list lacks it, not until A answers a stop of it.
	waitsForList
	// pollsAfterStop makes the owner ignore replies to polls that were sent before A answered the stop of run 1.
	pollsAfterStop
	// reportsAfterEarlier makes the owner report a run of an earlier incarnation as over only while A lists no earlier run.
	reportsAfterEarlier
	// waitsForSilent makes a next run wait while A is down, so that no poll of it is answered.
	waitsForSilent
	lastNextRunClause

	everyNextRunClause = lastNextRunClause - 1
	// anyWorkerClauses let the next run go to any worker, with the rules that hold for its last run there.
	anyWorkerClauses = waitsForList | pollsAfterStop | reportsAfterEarlier
)

func (r nextRunRules) has(c nextRunClause) bool { return r.clauses&c != 0 }

// nextRunPhase is what the home and the owners know of a next run.
type nextRunPhase uint8

const (
	nextNotOrdered nextRunPhase = iota
	nextOrdered
	nextSent
	nextOver
)

// nextRun is run 2 or run 3.
type nextRun struct {
	phase nextRunPhase
	// elsewhere is set if the run was ordered or started at another worker than A.
	elsewhere, alive bool
	// The start call at A: the incarnation that the owner knew and the token.
	sentTo, token uint8
}

// taskState is a state of the model: run 1 with A and its owner, and the next runs.
type taskState struct {
	restartState
	// windowPassed is set once the start of run 1 cannot be executed any more, recordEnded once the owner has no record of it.
	windowPassed, recordEnded bool
	// listed is set while the newest list that the owner has from A names run 1.
	listed bool
	// hints holds one bit for each run that was reported as over: the report names a start without a reply at A.
	hints uint8
	// done is set once the task has been reported as done.
	done bool
	runs [2]nextRun
}

// visitTask is called with an event in words and the state that it leads to.
type visitTask func(event string, n taskState)

func (s *taskState) alive() int {
	alive := 0
	for _, runs := range []bool{s.running, s.runs[0].alive, s.runs[1].alive} {
		if runs {
			alive++
		}
	}
	return alive
}

// twoRuns reports whether two runs of the task are alive at the same time.
func twoRuns(s taskState) bool { return s.alive() > 1 }

// runAfterDone reports whether run 1 runs although a later run has been reported as done.
func runAfterDone(s taskState) bool { return s.done && s.running }

func (s taskState) next(r nextRunRules, visit visitTask) {
	rules := presentRules
	rules.mutation = r.mutation
	s.restartState.next(rules, func(n restartState) {
		s.firstRunEvent(n, r, visit)
	})
	s.recordEvents(r, visit)
	for i := range s.runs {
		switch s.runs[i].phase {
		case nextNotOrdered:
			s.order(i, r, visit)
		case nextOrdered:
			s.startOnA(i, r, visit)
			s.startElsewhere(i, r, visit)
		case nextSent:
			s.ends(i, r, visit)
			s.proofsOf(i, r, visit)
		}
	}
}

// firstRunEvent completes an event of the restart model by what it means for the next runs.
func (s taskState) firstRunEvent(to restartState, r nextRunRules, visit visitTask) {
	n := s
	n.restartState = to
	n.update(s.restartState, r)
	stopped := stopsFirstRun(s.restartState, to)
	if to.over || (stopped && r.has(pollsAfterStop)) {
		// Replies to earlier polls prove nothing more.
		n.replyToken, n.replyFrom, n.replyLists, n.replied = 0, 0, false, false
	}
	event := firstRunWords(s.restartState, to)
	visit(event, n)
	if stopped {
		n.running = true
		visit(event+", which has not ended yet", n)
	}
}

// update applies an event of the restart model to what that model does not hold.
func (s *taskState) update(from restartState, r nextRunRules) {
	switch {
	case s.incarnation != from.incarnation:
		s.endRunsOnA()
	case s.known != from.known:
		s.listed = s.running
		s.recordEnded = s.recordEnded || s.running || !r.has(keptOverAcquisition)
	case s.stopped && !from.stopped:
		s.listed = s.listed && r.has(waitsForList)
		s.recordEnded = s.recordEnded || !r.has(keptOverStop)
	case s.over && !from.over && !s.recordEnded:
		s.hints |= 1
	}
}

// stopsFirstRun reports whether an event of the restart model is a stop of run 1 while it runs.
func stopsFirstRun(from, to restartState) bool {
	return from.running && !to.running && to.incarnation == from.incarnation && to.leasePassed == from.leasePassed
}

// endRunsOnA ends the next runs on A when it crashes.
func (s *taskState) endRunsOnA() {
	for i := range s.runs {
		w := &s.runs[i]
		w.alive = w.alive && w.elsewhere
	}
}

// firstRunWords describes an event of the restart model.
func firstRunWords(from, to restartState) string {
	switch {
	case to.incarnation != from.incarnation:
		return fmt.Sprintf("incarnation %d of A crashes", from.incarnation)
	case from.down && !to.down:
		return fmt.Sprintf("A restarts as incarnation %d", to.incarnation)
	case to.executed && !from.executed:
		return fmt.Sprintf("incarnation %d of A executes the start of run 1", to.incarnation)
	case to.known != from.known:
		return fmt.Sprintf("the owner acquires incarnation %d of A", to.known)
	case to.stopped && !from.stopped:
		return fmt.Sprintf("incarnation %d of A answers a stop of run 1", to.incarnation)
	case to.leasePassed != from.leasePassed:
		return "the lease of the start of run 1 passes on the clock of incarnation 0"
	case to.over != from.over:
		return "run 1 is reported as over"
	default:
		return "A answers a poll"
	}
}

// recordEvents lets the window of the start of run 1 pass, run 1 end by itself, and the owner get a list from A. A list
// that names run 1 proves that its start has been executed.
func (s taskState) recordEvents(r nextRunRules, visit visitTask) {
	if !s.windowPassed {
		n := s
		n.windowPassed, n.executed = true, true
		n.recordEnded = n.recordEnded || !r.has(endsWithReply)
		visit("the window of the start of run 1 passes", n)
	}
	if s.down || s.known != s.incarnation {
		return
	}
	n := s
	n.listed = s.running
	n.recordEnded = s.recordEnded || s.running || s.windowPassed
	visit("the owner gets a list from A", n)
	if s.running {
		n = s
		n.running, n.listed, n.barred, n.recordEnded, n.over = false, false, true, true, true
		visit("run 1 ends by itself", n)
	}
}

// order lets the home order the next run after the last one has been reported as over.
func (s taskState) order(i int, r nextRunRules, visit visitTask) {
	if s.done || (i == 0 && !s.over) || (i > 0 && s.runs[i-1].phase != nextOver) {
		return
	}
	n := s
	n.runs[i].phase = nextOrdered
	visit(fmt.Sprintf("run %d is ordered at the owner of A", i+2), n)
	if s.hints>>i&1 == 0 || !r.has(nextAtOwner) || (s.down && !r.has(waitsForSilent)) {
		n.runs[i].elsewhere = true
		visit(fmt.Sprintf("run %d is ordered elsewhere", i+2), n)
	}
}

// listsEarlier reports whether the owner knows of a run on A that is earlier than run i.
func (s *taskState) listsEarlier(i int) bool {
	return s.listed || (i > 0 && s.runs[0].alive && !s.runs[0].elsewhere && s.known == s.incarnation)
}

// startOnA lets the owner start a run on A. The call is executed at once or never.
func (s taskState) startOnA(i int, r nextRunRules, visit visitTask) {
	if s.down || s.runs[i].elsewhere || (s.known != s.incarnation && r.has(confirmsStart)) || s.token < s.fence {
		return
	}
	if r.has(startsAfterEarlier) && s.listsEarlier(i) {
		return
	}
	n := s
	w := &n.runs[i]
	w.phase, w.sentTo, w.token = nextSent, s.known, s.token
	visit(fmt.Sprintf("the start of run %d is lost", i+2), n)
	w.alive, n.fence = true, s.token
	visit(fmt.Sprintf("incarnation %d of A starts run %d", s.incarnation, i+2), n)
}

// startElsewhere starts a run that was ordered elsewhere, or lets A's owner start it on another of its workers.
func (s taskState) startElsewhere(i int, r nextRunRules, visit visitTask) {
	silent := s.down && !r.has(waitsForSilent)
	if !s.runs[i].elsewhere && !silent && r.has(nextAtWorker) && !s.mayLeaveA(i, r) {
		return
	}
	w := &s.runs[i]
	w.phase, w.elsewhere, w.alive = nextSent, true, true
	visit(fmt.Sprintf("another worker starts run %d", i+2), s)
}

// mayLeaveA reports whether A's owner may start a run on another of its workers.
func (s *taskState) mayLeaveA(i int, r nextRunRules) bool {
	if !s.recordEnded {
		return false
	}
	return !r.has(startsElsewhereAfterEarlier) || !s.listsEarlier(i)
}

// ends lets a run that is alive end by itself, done or failed. Its end bars earlier runs on the incarnation.
func (s taskState) ends(i int, r nextRunRules, visit visitTask) {
	w := s.runs[i]
	if !w.alive || (!w.elsewhere && s.known != s.incarnation) {
		return
	}
	n := s
	n.runs[i].alive = false
	if !w.elsewhere {
		n.barred = true
	}
	n.report(i, r)
	visit(fmt.Sprintf("run %d fails", i+2), n)
	if !r.doneAfterRecord || s.recordEnded {
		n.done = true
		visit(fmt.Sprintf("run %d is done, and reported as done", i+2), n)
	}
}

// proofsOf lets a run be reported as over by an answered stop, by its lease, or by a later incarnation of A.
func (s taskState) proofsOf(i int, r nextRunRules, visit visitTask) {
	w := s.runs[i]
	over := func(event string, alive bool) {
		n := s
		n.runs[i].alive = alive
		n.report(i, r)
		visit(fmt.Sprintf(event, i+2), n)
	}
	if w.elsewhere {
		over("run %d is stopped or its lease passes", false)
		return
	}
	if w.sentTo == s.known {
		over("the lease of run %d passes, and it is reported as over", w.alive && s.incarnation != w.sentTo)
	}
	if s.down || s.known != s.incarnation {
		return
	}
	if w.sentTo == s.known {
		s.barred = true
		over("A answers a stop of run %d, which is reported as over", false)
		return
	}
	if !w.alive && (!r.has(reportsAfterEarlier) || !s.listsEarlier(i)) {
		over("the new incarnation does not list run %d, which is reported as over", false)
	}
}

// report records the report that a run is over.
func (s *taskState) report(i int, r nextRunRules) {
	s.runs[i].phase = nextOver
	if r.has(keptForTask) && !s.recordEnded {
		s.hints |= 1 << (i + 1)
	}
}

// exploreNextRuns returns the states and, if one of them is a violation, the events that lead to the nearest one.
func exploreNextRuns(r nextRunRules, violated func(taskState) bool) (states map[taskState]taskState, violation []string) {
	first := taskState{restartState: restartState{token: 1, fence: 1}}
	states = map[taskState]taskState{first: first}
	events := map[taskState]string{}
	for queue := []taskState{first}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if violated(s) {
			for ; s != first; s = states[s] {
				violation = append([]string{events[s]}, violation...)
			}
			return states, violation
		}
		s.next(r, func(event string, n taskState) {
			if _, known := states[n]; !known {
				states[n], events[n] = s, event
				queue = append(queue, n)
			}
		})
	}
	return states, nil
}
