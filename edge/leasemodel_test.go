package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model below explores every interleaving of one run of a task, its home, two owners and their worker. Messages are
// delayed, overtake each other or are lost, and a start is executed as late as the order of events allows. The property is the one
// that the next run of the task depends on: once the home treats the run as ended, its worker does not run it.
//
// Times are ticks before or after the present, up to a bound beyond which they make no difference, so the number of
// states is finite without a bound on the time. Their relations are those of the constants of pool and batch. Two delays
// are left out because they only shorten what the property is about: a timestamp arrives in the tick in which its owner
// sends it, since a later arrival makes the home wait longer, and a call that extends a lease is executed at once, since a
// later one is fenced or extends no further.
const (
	modelRefreshTimeout = 2 // pool.refreshTimeout
	modelLeaseAfter     = 3 // pool.leaseAfterRefresh
	modelMaxLease       = 2 // pool.maxLease
	// modelDrift is the time by which a lease may last longer because the worker's clock is slow.
	modelDrift     = 1
	modelRunExpiry = modelLeaseAfter + modelDrift // batch.runExpiry
	// modelTokens is the number of tokens, one for each time that the worker is acquired.
	modelTokens = 4
	// oldest is the age from which ages are not told apart.
	oldest = modelRunExpiry + 1
)

// modelMutation leaves out one clause of the argument.
type modelMutation string

const (
	noMutation          modelMutation = ""
	sharedLease         modelMutation = "a run starts under a lease that was granted for other runs"
	freeExtension       modelMutation = "a lease is extended whatever the last refresh of its runs"
	laterEcho           modelMutation = "a refresh echoes a contact later than the decision to send it"
	datedByArrival      modelMutation = "the owner dates an order by its arrival"
	extendsUnclaimed    modelMutation = "the next owner extends the lease of a run that no home has claimed"
	noDriftMargin       modelMutation = "the home allows for no drift of the worker's clock"
	expiryWithoutOwning modelMutation = "an owner that has lost the worker counts the lease by what it granted itself"
	forgetsGrantedLease modelMutation = "the next owner ignores the lease that the previous one has granted"
	noFencing           modelMutation = "the worker accepts the calls of the previous owner"
	endFromFormerOwner  modelMutation = "the home believes an end that a former owner of the run reports"
	claimOfEarlierToken modelMutation = "an owner believes a claim of its earlier ownership"
	endOfEarlierToken   modelMutation = "the home believes an end that the owner reported under an earlier token"
)

// homePhase is the state of the run at its home.
type homePhase uint8

const (
	homePlaced homePhase = iota
	homeLost
	homeOver
)

// ownerPhase is the state of the run at an owner.
type ownerPhase uint8

const (
	ownerUnaware ownerPhase = iota
	ownerQueued
	ownerStarted
	ownerUnclaimed
	ownerForgot
)

// modelOwner is an owner of the worker. The worker passes from the first owner to the second one, and back.
type modelOwner struct {
	phase ownerPhase
	// owning is set while the owner has not learned that the other one has acquired the worker, under a higher token.
	owning bool
	token  uint8
	// refreshAge is the age of the timestamp that the last refresh echoes, echoAge that of the newest one in a message of
	// the home to this owner. An earlier message that arrives later changes nothing, so it is not kept.
	refreshAge, echoAge uint8
	// granted is the time to the latest end of a lease that the owner knows of, with modelDrift added.
	granted uint8
}

// modelState is one state of the model.
type modelState struct {
	phase homePhase
	// token is the token of the owner that the home believes in. Even tokens belong to the first owner.
	token uint8
	// contactAge is the age of the newest contact that the home has echoed, expiresIn the time to the end of a lost run.
	contactAge, expiresIn uint8

	owners  [2]modelOwner
	started bool  // the start call has been sent
	startIn uint8 // time to the end of the lease in the start call
	// takeovers, claims and reports hold one bit for each token: an owner has announced the run, the home has claimed it, the
	// owner has reported its end.
	takeovers, claims, reports uint8

	fence   uint8 // highest token that the worker has seen
	leaseIn uint8 // time to the end of the lease by an exact clock
	lagging bool  // the lease has ended by an exact clock, but not by the worker's
	running bool
	ended   bool
}

func (s *modelState) violated() bool { return s.phase == homeOver && s.running }

// settled reports whether the run has ended or can never start, so that the property holds from now on.
func (s *modelState) settled(m modelMutation) bool {
	switch {
	case s.running:
		return false
	case s.ended:
		return true
	case s.started:
		return s.startIn == 0 || (s.fence > 0 && m != noFencing)
	default:
		return s.owners[0].phase == ownerForgot
	}
}

// next calls visit with every state that one event can lead to.
func (s modelState) next(m modelMutation, visit func(modelState)) {
	s.tick(visit)
	s.homeEvents(m, visit)
	for o := range s.owners {
		s.ownerEvents(uint8(o), m, visit)
	}
	if s.started && s.startIn > 0 && !s.running && !s.ended && (s.fence == 0 || m == noFencing) {
		s.running, s.leaseIn = true, max(s.leaseIn, s.startIn)
		visit(s)
	}
}

func older(age uint8) uint8 { return min(age+1, oldest) }

func sooner(in uint8) uint8 { return in - min(in, 1) }

// tick lets time pass. The worker ends its run when the lease ends, which a slow clock delays by up to modelDrift.
func (s modelState) tick(visit func(modelState)) {
	s.contactAge, s.expiresIn, s.startIn = older(s.contactAge), sooner(s.expiresIn), sooner(s.startIn)
	for o := range s.owners {
		w := &s.owners[o]
		w.refreshAge, w.echoAge, w.granted = older(w.refreshAge), older(w.echoAge), sooner(w.granted)
	}
	expired := s.leaseIn <= 1
	s.leaseIn = sooner(s.leaseIn)
	if !s.running || !expired {
		visit(s)
		return
	}
	if !s.lagging {
		slow := s
		slow.lagging = true
		visit(slow)
	}
	s.running, s.ended, s.lagging = false, true, false
	visit(s)
}

func (s modelState) homeEvents(m modelMutation, visit func(modelState)) {
	if s.phase == homePlaced {
		s.echo(s.token%2, m, visit)
		n := s
		expiry := uint8(modelRunExpiry)
		if m == noDriftMargin {
			expiry = modelLeaseAfter
		}
		n.phase, n.expiresIn = homeLost, expiry-min(s.contactAge, expiry)
		visit(n)
	}
	if s.phase == homeLost && s.expiresIn == 0 {
		n := s
		n.phase = homeOver
		visit(n)
	}
	if s.phase == homeOver {
		return
	}
	for token := range uint8(modelTokens) {
		if s.takeovers>>token&1 == 1 && token > s.token {
			n := s
			n.phase, n.token, n.expiresIn, n.claims = homePlaced, token, 0, s.claims|1<<token
			n.echo(token%2, m, visit)
		}
		if s.reports>>token&1 == 1 && s.believes(token, m) {
			n := s
			n.phase = homeOver
			visit(n)
		}
	}
}

// believes reports whether the home believes an end that was reported under a token.
func (s *modelState) believes(token uint8, m modelMutation) bool {
	switch m {
	case endFromFormerOwner:
		return true
	case endOfEarlierToken:
		return token%2 == s.token%2
	default:
		return token == s.token
	}
}

// echo sends a message about the run to an owner. It may echo any contact, since the last messages may have been lost.
func (s modelState) echo(owner uint8, m modelMutation, visit func(modelState)) {
	for age := range s.owners[owner].echoAge {
		n := s
		n.owners[owner].echoAge = age
		if m != laterEcho {
			n.contactAge = min(s.contactAge, age)
		}
		visit(n)
	}
}

func (s modelState) ownerEvents(o uint8, m modelMutation, visit func(modelState)) {
	s.ownershipEvents(o, m, visit)
	owner := s.owners[o]
	if owner.echoAge < owner.refreshAge && (owner.phase != ownerUnclaimed || s.claimed(owner.token, m)) {
		n := s
		n.owners[o].receive(m)
		visit(n)
	}
	if owner.owning {
		s.extend(o, m, visit)
	}
	if owner.phase == ownerQueued && owner.owning && owner.refreshAge <= modelRefreshTimeout {
		s.start(o, m, visit)
	}
	holds := owner.phase == ownerStarted || owner.phase == ownerUnclaimed
	if holds && (owner.owning || m == expiryWithoutOwning) && owner.granted == 0 {
		s.reports |= 1 << owner.token
		visit(s)
	}
}

// claimed reports whether the home has claimed the run of the ownership under a token.
func (s *modelState) claimed(token uint8, m modelMutation) bool {
	if m == claimOfEarlierToken && s.claims>>(token%2)&1 == 1 {
		return true
	}
	return s.claims>>token&1 == 1
}

// ownershipEvents lets an owner acquire the worker, or learn that it has lost it.
func (s modelState) ownershipEvents(o uint8, m modelMutation, visit func(modelState)) {
	if s.fence%2 != o && s.fence+1 < modelTokens {
		n := s
		n.acquire(&n.owners[o], m)
		visit(n)
	}
	if w := &s.owners[o]; w.owning && w.token != s.fence {
		w.owning = false
		if m != expiryWithoutOwning {
			w.phase = ownerForgot
		}
		visit(s)
	}
}

// receive handles the newest message of the home: an order, a refresh or a claim. A refresh without a claim does not keep
// a run alive that the owner has found on the worker.
func (w *modelOwner) receive(m modelMutation) {
	age := w.echoAge
	if m == datedByArrival {
		age = 0
	}
	switch w.phase {
	case ownerUnaware:
		if age > modelRefreshTimeout {
			w.phase = ownerForgot
			return
		}
		w.phase = ownerQueued
	case ownerUnclaimed:
		w.phase = ownerStarted
	}
	w.refreshAge = min(w.refreshAge, age)
}

// acquire makes an owner the owner of the worker. It finds the run there, or bars its start by its token.
func (s *modelState) acquire(w *modelOwner, m modelMutation) {
	s.fence++
	w.owning, w.token = true, s.fence
	if m == expiryWithoutOwning && w.phase == ownerStarted {
		s.takeovers |= 1 << s.fence
		return
	}
	if m != forgetsGrantedLease {
		w.granted = modelMaxLease + modelDrift
	}
	// Messages that were sent in an earlier ownership may still arrive.
	w.phase, w.refreshAge = ownerForgot, oldest
	if s.running {
		w.phase = ownerUnclaimed
		s.takeovers |= 1 << s.fence
	}
}

// limit returns the longest lease that an owner may grant now.
func (s *modelState) limit(o uint8, m modelMutation) uint8 {
	owner := s.owners[o]
	switch {
	case m == freeExtension:
	case owner.phase == ownerUnclaimed && m != extendsUnclaimed:
		return 0
	case owner.phase == ownerStarted || owner.phase == ownerQueued:
		return min(modelMaxLease, modelLeaseAfter-min(owner.refreshAge, modelLeaseAfter))
	}
	return modelMaxLease
}

// extend sends a call that extends the lease for the runs of another home. A queued run does not limit it.
func (s modelState) extend(o uint8, m modelMutation, visit func(modelState)) {
	w := &s.owners[o]
	length := s.limit(o, m)
	if w.phase == ownerQueued {
		length = modelMaxLease
	}
	if length == 0 || length+modelDrift <= w.granted {
		return
	}
	w.granted = length + modelDrift
	if w.token == s.fence || m == noFencing {
		s.leaseIn = max(s.leaseIn, length)
	}
	visit(s)
}

func (s modelState) start(o uint8, m modelMutation, visit func(modelState)) {
	w := &s.owners[o]
	length := s.limit(o, m)
	inTime := modelLeaseAfter - min(w.refreshAge, modelLeaseAfter)
	if w.granted > inTime+modelDrift && m != sharedLease {
		return
	}
	w.phase = ownerStarted
	w.granted = max(w.granted, length+modelDrift)
	s.started, s.startIn = true, length
	visit(s)
}

// exploreLeases visits all states that can be reached before the run is settled. It returns their number and, if the
// property does not hold, the events that lead there.
func exploreLeases(m modelMutation) (states int, violation []modelState) {
	none := modelOwner{refreshAge: oldest, echoAge: oldest}
	first := modelState{owners: [2]modelOwner{none, none}}
	first.owners[0].owning, first.owners[0].echoAge = true, 0
	parents := map[modelState]modelState{first: first}
	for queue := []modelState{first}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if s.violated() {
			for ; s != parents[s]; s = parents[s] {
				violation = append([]modelState{s}, violation...)
			}
			return len(parents), violation
		}
		s.next(m, func(n modelState) {
			if _, known := parents[n]; !known && !n.settled(m) {
				parents[n] = s
				queue = append(queue, n)
			}
		})
	}
	return len(parents), nil
}

// Guards against an end of a run that its home concludes from silence while the worker still runs it. The argument is
// in docs/platform.md; every clause of it is needed.
func TestLeaseModel(t *testing.T) {
	states, violation := exploreLeases(noMutation)
	t.Logf("%d states", states)
	fmt.Printf("lease model: %d states\n", states)
	for _, s := range violation {
		t.Logf("%+v", s)
	}
	require.Empty(t, violation)
	for _, m := range []modelMutation{
		sharedLease, freeExtension, laterEcho, datedByArrival, extendsUnclaimed, noDriftMargin, expiryWithoutOwning,
		forgetsGrantedLease, noFencing, endFromFormerOwner, endOfEarlierToken,
		claimOfEarlierToken,
	} {
		t.Run(string(m), func(t *testing.T) {
			states, violation := exploreLeases(m)
			t.Logf("%d states", states)
			require.NotEmpty(t, violation, "the model does not need this clause")
		})
	}
}
