package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model below explores every interleaving of one run of a task whose start call got no reply yet, the owner of its
// worker, and crashes of the worker, which comes back under its id: without runs, tokens and stops, and with a new clock.
// The start call, one poll and its reply are late. Time is left out: the lease that the call carries may pass at any
// moment, and a late call carries one that has not passed on the clock of a later incarnation.
//
// The property is that a run that has been reported as over does not run on the incarnation of the worker that the proof
// is about. Nothing that an owner does keeps a late call from a later incarnation that it has not reached yet.
type restartRules struct {
	// acquires makes an owner acquire a restarted worker under a higher token before it concludes anything from its replies.
	acquires bool
	// stopsAgain makes an owner conclude from replies of a restarted worker only after that has answered a stop of the run.
	stopsAgain bool
	// lateCallsDie makes late calls end with the incarnation that they were sent to.
	lateCallsDie bool
	mutation     restartMutation
}

// restartMutation leaves out one clause of the argument.
type restartMutation string

const (
	noRestartMutation restartMutation = ""
	sameToken         restartMutation = "a restarted worker is acquired under the token of the calls to the earlier incarnation"
	forgetsBar        restartMutation = "a stop that an earlier incarnation has answered bars the start at the present one"
	staleReply        restartMutation = "the reply of an earlier incarnation counts for the present one"
	overAtEntry       restartMutation = "a run is over as soon as the entry of a later incarnation is read"
	earlierClock      restartMutation = "a lease on the clock of an earlier incarnation ends the run on the present one"
)

// restartIncarnations is the number of incarnations of the worker, from 0.
const restartIncarnations = 3

// restartState is a state of the model. Tokens are relative to that of the start call, which is 1.
type restartState struct {
	// The worker: its incarnation, highest token, whether it runs the run, and whether a stop bars the start.
	incarnation, fence uint8
	down               bool
	running, barred    bool
	// The start call: whether it has been executed, and whether its lease has passed on the clock of incarnation 0.
	executed, leasePassed bool
	// The owner: its token, the incarnation that it knows, and whether a stop of the run has been answered by it.
	token, known uint8
	stopped      bool
	// A reply to a poll that is under way: the token of the poll, the incarnation, and whether it lists the run.
	replyToken, replyFrom uint8
	replyLists, replied   bool
	// over is set once the run has been reported as over, by a proof about incarnation overAt.
	over   bool
	overAt uint8
}

func (s *restartState) violated(r restartRules) bool {
	return s.over && s.running && (r.lateCallsDie || s.overAt == s.incarnation)
}

// next calls visit with every state that one event can lead to.
func (s restartState) next(r restartRules, visit func(restartState)) {
	s.workerEvents(r, visit)
	if !s.down {
		s.ownerCalls(r, visit)
	}
	s.proofs(r, visit)
}

func (s restartState) workerEvents(r restartRules, visit func(restartState)) {
	n := s
	switch {
	case s.down:
		n.down = false
		visit(n)
	case s.incarnation+1 < restartIncarnations:
		n.incarnation, n.fence, n.running, n.barred, n.down = s.incarnation+1, 0, false, false, true
		visit(n)
	}
	late := s.incarnation > 0
	if !s.executed && !s.down && s.fence <= 1 && !s.barred && (late && !r.lateCallsDie || !late && !s.leasePassed) {
		n = s
		n.executed, n.running, n.fence = true, true, 1
		visit(n)
	}
	if !s.leasePassed {
		n = s
		n.leasePassed = true
		n.running = s.running && late
		visit(n)
	}
}

// ownerCalls lets the owner acquire a restarted worker, stop the run and poll. A poll under the token of an earlier
// incarnation reaches a later one too.
func (s restartState) ownerCalls(r restartRules, visit func(restartState)) {
	if s.known != s.incarnation {
		n := s
		n.known, n.stopped = s.incarnation, s.stopped && r.mutation == forgetsBar
		if r.acquires && r.mutation != sameToken {
			n.token++
		}
		n.fence = max(n.fence, n.token)
		visit(n)
		return
	}
	if s.token < s.fence {
		return
	}
	n := s
	n.fence, n.running, n.barred, n.stopped = s.token, false, true, true
	visit(n)
	n = s
	n.fence, n.replyToken, n.replyFrom, n.replyLists, n.replied = s.token, s.token, s.incarnation, s.running, true
	visit(n)
}

// proofs lets the owner report the run as over.
func (s restartState) proofs(r restartRules, visit func(restartState)) {
	if s.over {
		return
	}
	report := func(incarnation uint8) {
		n := s
		n.over, n.overAt = true, incarnation
		visit(n)
	}
	// A stop has been answered, or the start was sent under a lower token than that of the acquisition, and a later reply
	// does not list the run. The reply to the acquisition is such a one.
	current := s.replied && (r.mutation == staleReply || (s.replyFrom == s.known && s.replyToken == s.token))
	if current && !s.replyLists && s.cannotStart(r) {
		report(s.known)
	}
	if s.leasePassed && (s.known == 0 || r.mutation == earlierClock) {
		report(s.known)
	}
	if r.mutation == overAtEntry && s.incarnation > 0 {
		report(s.incarnation)
	}
}

// cannotStart reports whether the owner treats the start as barred on the incarnation that it knows.
func (s *restartState) cannotStart(r restartRules) bool {
	if s.stopped || s.known == 0 || r.stopsAgain {
		return s.stopped
	}
	return !r.acquires || s.token > 1 || r.mutation == sameToken
}

// exploreRestarts returns the number of states and, if the property does not hold, the events that lead there.
func exploreRestarts(r restartRules) (states int, violation []restartState) {
	first := restartState{token: 1, fence: 1}
	parents := map[restartState]restartState{first: first}
	for queue := []restartState{first}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if s.violated(r) {
			for ; s != parents[s]; s = parents[s] {
				violation = append([]restartState{s}, violation...)
			}
			return len(parents), violation
		}
		s.next(r, func(n restartState) {
			if _, known := parents[n]; !known {
				parents[n] = s
				queue = append(queue, n)
			}
		})
	}
	return len(parents), nil
}

// presentRules are the rules of the code: an owner acquires a restarted worker under a higher token before it concludes
// anything about the runs there.
var presentRules = restartRules{acquires: true}

// Guards against a run that is reported as over on a restarted worker and is started there afterwards by a late call.
func TestRestartModelOfPresentRules(t *testing.T) {
	states, violation := exploreRestarts(presentRules)
	t.Logf("%d states", states)
	for _, s := range violation {
		t.Logf("%+v", s)
	}
	require.Empty(t, violation)
}

// Guards against a rule for restarted workers that lacks a clause. Either rule is enough.
func TestRestartModel(t *testing.T) {
	for rules, mutations := range map[restartRules][]restartMutation{
		presentRules:         {sameToken, staleReply, overAtEntry, earlierClock},
		{stopsAgain: true}:   {forgetsBar, overAtEntry, earlierClock},
		{lateCallsDie: true}: nil,
	} {
		states, violation := exploreRestarts(rules)
		fmt.Printf("restart model: %d states with %+v\n", states, rules)
		for _, s := range violation {
			t.Logf("%+v", s)
		}
		require.Empty(t, violation)
		for _, m := range mutations {
			rules.mutation = m
			_, violation := exploreRestarts(rules)
			require.NotEmpty(t, violation, "the model does not need this clause: %s", m)
		}
	}
}
