package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The model below explores every interleaving of one task, its home and two owners that invite each other to give up its runs at any
// time: an invitation may be lost, late or repeated. Orders are lost or late, reports are lost, late, repeated, and overtake each other, and
// each owner may be lost. The home orders the next run at any owner, whatever was suggested. The property: no two runs of the task are
// alive on the workers of different owners.
//
// That a run of a lost owner is over when its home treats it so is what edge/leasemodel_test.go shows; here it is one event.

// stealMutation leaves out one clause of the argument.
type stealMutation string

const (
	noStealMutation    stealMutation = ""
	givesUpRunning     stealMutation = "a run that has started is given up"
	givesUpStarting    stealMutation = "a run whose start has been sent is given up"
	believesEarlierRun stealMutation = "the home believes the report of an earlier run"
	suggestionIsProof  stealMutation = "the home orders the next run when it hears of an invitation, before the last one is over"
	handsRunOver       stealMutation = "the invited owner passes the run to the inviting one itself"
	startsWhatItInvite stealMutation = "the inviting owner starts the run that it has asked for without an order"
	startsUnknown      stealMutation = "an owner that has answered for an unknown run starts it when its order arrives"
	givesUpBound       stealMutation = "neither the owner nor the home heeds a worker that may still execute an earlier start"
)

// stealPhase is the state of a run at an owner.
type stealPhase uint8

const (
	stealUnaware stealPhase = iota
	stealWaiting
	// stealStarting runs have a start under way, which the worker executes at any time.
	stealStarting
	stealRunning
	stealOver
)

// stealRuns is the number of runs of the task that are ordered.
const stealRuns = 3

// stealState is one state of the model.
type stealState struct {
	// run is the current run, at the owner that it was ordered at. placed is false once the owner is lost.
	run, at uint8
	placed  bool
	runs    [2][stealRuns]stealPhase
	// orders and reports hold one bit for each run, by owner: an order under way, and a run that was reported as over.
	orders, reports [2]uint8
	lost            [2]bool
	// late is set while the worker of the first owner may still execute an earlier start of the task, lateRuns while it does.
	late, lateRuns bool
}

func (s *stealState) alive(owner int) bool {
	for _, p := range s.runs[owner] {
		if p == stealRunning {
			return true
		}
	}
	return owner == 0 && s.lateRuns
}

func (s *stealState) violated() bool { return s.alive(0) && s.alive(1) }

// next calls visit with every state that one event can lead to.
func (s stealState) next(m stealMutation, visit func(stealState)) {
	s.homeEvents(m, visit)
	for o := range uint8(2) {
		for r := range uint8(stealRuns) {
			s.runEvents(o, r, m, visit)
		}
		if !s.lost[o] {
			s.loseOwner(o, visit)
		}
	}
	s.lateEvents(visit)
}

// homeEvents lets the home believe a report, or treat the run of a lost owner as over.
func (s stealState) homeEvents(m stealMutation, visit func(stealState)) {
	for o := range uint8(2) {
		for r := range uint8(stealRuns) {
			current := r == s.run && o == s.at
			earlier := m == believesEarlierRun && r < s.run
			if s.reports[o]>>r&1 == 1 && (current || earlier) {
				s.orderNext(m, visit)
			}
		}
	}
	if m == suggestionIsProof {
		s.orderNext(m, visit)
	}
	if !s.placed {
		n := s
		n.runs[s.at][s.run] = stealOver
		n.orders[s.at] &^= 1 << s.run
		n.orderNext(m, visit)
	}
	if !s.lost[s.at] && s.placed && s.runs[s.at][s.run] == stealUnaware {
		// The order is lost or late, and a refresh has arrived.
		n := s
		if m != startsUnknown {
			n.runs[s.at][s.run] = stealOver
		}
		n.reports[s.at] |= 1 << s.run
		visit(n)
	}
}

// orderNext orders the next run at any live owner. While a worker may still execute an earlier start, that is the owner of this
// worker.
func (s stealState) orderNext(m stealMutation, visit func(stealState)) {
	if s.run+1 == stealRuns {
		return
	}
	for o := range uint8(2) {
		if s.lost[o] || (s.late && o != 0 && m != givesUpBound) {
			continue
		}
		n := s
		n.run, n.at, n.placed = s.run+1, o, true
		n.orders[o] |= 1 << n.run
		visit(n)
	}
}

// runEvents lets an owner get an order, start a run, give it up or report its end.
func (s stealState) runEvents(o, r uint8, m stealMutation, visit func(stealState)) {
	set := func(p stealPhase, over bool) {
		n := s
		n.runs[o][r] = p
		if over {
			n.reports[o] |= 1 << r
		}
		visit(n)
	}
	if s.orders[o]>>r&1 == 1 {
		n := s
		n.orders[o] &^= 1 << r
		visit(n)
		if s.runs[o][r] == stealUnaware && !s.lost[o] {
			n.runs[o][r] = stealWaiting
			visit(n)
		}
	}
	switch s.runs[o][r] {
	case stealWaiting:
		if !s.lost[o] && (o != 0 || !s.lateRuns) {
			set(stealStarting, false)
		}
	case stealStarting:
		set(stealRunning, false)
	case stealRunning:
		set(stealOver, true)
	}
	if !s.lost[o] {
		s.invited(o, r, m, visit)
	}
}

// invited lets an owner handle an invitation of the other one.
func (s stealState) invited(o, r uint8, m stealMutation, visit func(stealState)) {
	p := s.runs[o][r]
	if p != stealWaiting && (m != givesUpStarting || p != stealStarting) && (m != givesUpRunning || p != stealRunning) {
		return
	}
	if o == 0 && s.late && m != givesUpBound {
		return
	}
	n := s
	if p == stealWaiting {
		n.runs[o][r] = stealOver
	}
	if m == handsRunOver || m == startsWhatItInvite {
		n.runs[1-o][r] = stealWaiting
	}
	if m == handsRunOver {
		// It holds the run no longer, and answers a refresh accordingly.
		n.runs[o][r] = stealUnaware
	} else {
		n.reports[o] |= 1 << r
	}
	visit(n)
}

// loseOwner ends an owner. What has been sent goes on; its home notices.
func (s stealState) loseOwner(o uint8, visit func(stealState)) {
	s.lost[o], s.orders[o] = true, 0
	for r, p := range s.runs[o] {
		if p == stealWaiting {
			s.runs[o][r] = stealOver
		}
	}
	if s.at == o {
		s.placed = false
	}
	visit(s)
}

// lateEvents lets the worker of the first owner execute the earlier start, after a restart that ends its other runs, and lets the owner
// stop it.
func (s stealState) lateEvents(visit func(stealState)) {
	if s.late && !s.lateRuns {
		n := s
		n.lateRuns = true
		for r, p := range n.runs[0] {
			if p == stealStarting || p == stealRunning {
				n.runs[0][r] = stealOver
				n.reports[0] |= 1 << r
			}
		}
		visit(n)
	}
	if s.lateRuns {
		n := s
		n.late, n.lateRuns = false, false
		visit(n)
	}
}

// exploreStealing visits all states that can be reached. It returns their number and whether the property holds in all.
func exploreStealing(m stealMutation) (states int, holds bool) {
	known := make(map[stealState]bool)
	var queue []stealState
	for _, late := range []bool{false, true} {
		first := stealState{placed: true, late: late, orders: [2]uint8{1, 0}}
		known[first] = true
		queue = append(queue, first)
	}
	for ; len(queue) > 0; queue = queue[1:] {
		if queue[0].violated() {
			return len(known), false
		}
		queue[0].next(m, func(n stealState) {
			if !known[n] {
				known[n] = true
				queue = append(queue, n)
			}
		})
	}
	return len(known), true
}

// Guards against two runs of a task that passes from one owner to another by an invitation. The argument is in
// docs/design/work-stealing.md; every clause of it is needed.
func TestStealingModel(t *testing.T) {
	states, holds := exploreStealing(noStealMutation)
	t.Logf("%d states", states)
	require.True(t, holds)
	for _, m := range []stealMutation{
		givesUpRunning, givesUpStarting, believesEarlierRun, suggestionIsProof, handsRunOver, startsWhatItInvite, startsUnknown, givesUpBound,
	} {
		t.Run(string(m), func(t *testing.T) {
			states, holds := exploreStealing(m)
			t.Logf("%d states", states)
			require.False(t, holds, "the model does not need this clause")
		})
	}
}
