package edge

import "fmt"

// The model below adds to the restart models that starts are repeated and that the members share the records of them. A task is
// ordered under three numbers of runs, one after the other. Its starts at worker A may get no reply. Such a start is repeated
// at A under its number, and each incarnation of A may execute any copy of it, several times in a row, until the time passes
// for which a call can be under way. A crash of A ends its runs; a run elsewhere ends by itself, by a stop or by its lease.
// The owner of A may be lost with its memory, after which another one acquires A under a higher token, and the home of the job,
// after which another one orders the task again.
//
// The property is that no two runs of the task are alive at the same time, on any workers and incarnations. Two copies under
// one number are one run where one incarnation executes both, and two runs anywhere else.
//
// A report that a run is over is sound for the incarnation that it is about: leasemodel_test.go and restartmodel_test.go show
// that. It says nothing about the next incarnation.
//
// Left out: starts without a reply at other workers, so that there are never records for two workers; an owner or home that
// is taken for lost and acts on; members that have received only a part of the announcements, but for those of one failure domain; a
// second loss of the owner or of the home, but for the loss of both and A at once; a restart between the poll before a start and the arrival of the start under the next number; and time, but for the
// order in which the delay of calls and the leases pass.
type repeatRules struct {
	clauses repeatClause
	// repeats makes the copies of a start any number; without it there is one, which is executed once.
	repeats bool
	// nextReplied leaves out starts without a reply under a next number while a copy of a start under an earlier number that was
	// answered may be under way.
	nextReplied bool
	// waitsForCopies makes the owner start a next number on A only once no record of an earlier number is left.
	waitsForCopies bool
	// rejectsSecond makes A reject a start while it runs another run of the task. Workers are not known to do so.
	rejectsSecond bool
	// returnsReplaced lets A come back after another worker has been seen at its address.
	returnsReplaced bool
}

// repeatClause is a set of clauses of the rules.
type repeatClause uint32

const (
	// sameNumber keeps the number of a start without a reply: neither a stop nor the lease ends it.
	sameNumber repeatClause = 1 << iota
	// sameNumberAtNextOwner and sameNumberAtNextHome keep it over the loss of the owner and of the home.
	sameNumberAtNextOwner
	sameNumberAtNextHome
	// repeatedAtWorker makes A the only worker at which that number is repeated.
	repeatedAtWorker
	// orderedAtWorker makes a home that has a record order at the owner of A, startedAtWorker makes an owner that has one
	// start on A and on no other worker.
	orderedAtWorker
	startedAtWorker
	// alsoSilent, alsoDraining and alsoNextOwner keep to that while A is down, drains or has another owner.
	alsoSilent
	alsoDraining
	alsoNextOwner
	// reportedBeforeLoss has the home told of the start before the owner is lost.
	reportedBeforeLoss
	// announcedToOwner and announcedToHome have the record at the next owner and the next home.
	announcedToOwner
	announcedToHome
	// keptOverReply, keptOverStops, keptOverNewOne and keptOverList keep the record when a copy is answered, when a stop is
	// answered, when a new incarnation is acquired and when A lists the run.
	keptOverReply
	keptOverStops
	keptOverNewOne
	keptOverList
	// endsWithList ends the owner's record with a list that was asked for after the delay of calls, outlastsLease the records of
	// others a lease after that delay.
	endsWithList
	outlastsLease
	// countsLastCopy counts that delay from the last copy.
	countsLastCopy
	// stopsFound makes the owner stop a run on an acquired worker at once if its task has a later one.
	stopsFound
	// waitsForFound makes the owner start a run on A, waitsElsewhere on its other workers, only while A lists no earlier one.
	waitsForFound
	waitsElsewhere
	// keptOutsideDomain has a member of another failure domain know of the start before that of the owner is lost.
	keptOutsideDomain
	lastRepeatClause

	everyRepeatClause = lastRepeatClause - 1
	// clausesOfSingleStarts are those of the rule by which each unanswered start is made once.
	clausesOfSingleStarts = orderedAtWorker | startedAtWorker | repeatedAtWorker | alsoDraining | keptOverReply | keptOverStops |
		keptOverNewOne | endsWithList | outlastsLease | countsLastCopy | stopsFound | waitsForFound | waitsElsewhere | keptOutsideDomain
)

func (r repeatRules) has(c repeatClause) bool { return r.clauses&c != 0 }

// repeatPhase is what the home knows of the number under which the task is ordered.
type repeatPhase uint8

const (
	numberUnplaced repeatPhase = iota
	numberAtOwner
	numberOnA
	numberElsewhere
	numbersUsed
)

// onWorker is what the present incarnation of A knows of a number.
type onWorker uint8

const (
	unknownOnA onWorker = iota
	runsOnA
	barredOnA
)

// repeatNumbers is the number of run numbers.
const repeatNumbers = 3

// numberState is a run number at A.
type numberState struct {
	onA onWorker
	// Copies of the start may be under way: older ones, and such under the token of the last acquisition.
	older, newer bool
	// answered is set once A has answered a start.
	answered bool
	// Who has a record of a start without a reply: the owner, the home and all other members.
	owner, home, others bool
}

func (n *numberState) underWay() bool { return n.older || n.newer }

func (n *numberState) endRecords() { n.owner, n.home, n.others = false, false, false }

// repeatState is a state of the model.
type repeatState struct {
	incarnation uint8
	down        bool
	// acquired is set while the owner has acquired the present incarnation, fenced once that has seen the newest token.
	acquired, fenced bool
	// replaced is set once another worker has been seen at the address.
	replaced bool
	// nextOwner and nextHome are set once the first ones are lost.
	nextOwner, nextHome bool
	// The number under which the task is ordered: whether a start at A got no reply, and whether its last start or list was
	// that of the present incarnation.
	number     uint8
	phase      repeatPhase
	unanswered bool
	known      bool
	numbers    [repeatNumbers]numberState
}

// visitRepeat is called with an event in words and the state that it leads to.
type visitRepeat func(event string, n repeatState)

func (s *repeatState) runsAnyOnA() bool {
	for i := range s.numbers {
		if s.numbers[i].onA == runsOnA {
			return true
		}
	}
	return false
}

// twoRunsAlive reports whether two runs of the task are alive at the same time.
func twoRunsAlive(s repeatState) bool {
	alive := 0
	if s.phase == numberElsewhere {
		alive++
	}
	for i := range s.numbers {
		if s.numbers[i].onA == runsOnA {
			alive++
		}
	}
	return alive > 1
}

func (s repeatState) next(r repeatRules, visit visitRepeat) {
	s.workerEvents(r, visit)
	s.losses(r, visit)
	for i := range s.numbers {
		s.copyEvents(i, r, visit)
		s.recordEnds(i, r, visit)
		s.runEvents(i, r, visit)
	}
	if s.acquired {
		s.stops(r, visit)
	}
	switch s.phase {
	case numberUnplaced:
		s.place(r, visit)
	case numberAtOwner:
		s.startOnA(r, visit)
		s.startElsewhere(r, visit)
	case numberElsewhere:
		n := s
		n.over(true)
		visit(fmt.Sprintf("run %d ends at the other worker", s.number+1), n)
	}
	s.leasePasses(r, visit)
}

// workerEvents lets A crash, restart and be acquired.
func (s repeatState) workerEvents(r repeatRules, visit visitRepeat) {
	n := s
	switch {
	case s.down:
		if !s.replaced || r.returnsReplaced {
			n.down = false
			n.incarnation++
			visit(fmt.Sprintf("A restarts as incarnation %d", n.incarnation), n)
		}
		if !s.replaced {
			s.replace(r, visit)
		}
		return
	case s.incarnation+1 < restartIncarnations:
		n.crash()
		visit(fmt.Sprintf("incarnation %d of A crashes", s.incarnation), n)
	}
	if !s.acquired {
		s.acquire(r, visit)
	}
}

// crash ends the present incarnation of A.
func (s *repeatState) crash() {
	s.down, s.acquired, s.fenced, s.known = true, false, false, false
	for i := range s.numbers {
		s.numbers[i].onA = unknownOnA
	}
}

// replace lets another worker be seen at the address of A, which has ended.
func (s repeatState) replace(r repeatRules, visit visitRepeat) {
	s.replaced = true
	for i := range s.numbers {
		s.numbers[i].endRecords()
		if !r.returnsReplaced {
			s.numbers[i].older, s.numbers[i].newer = false, false
		}
	}
	visit("another worker is seen at the address of A", s)
}

// acquire lets the owner acquire A under a higher token and read its list.
func (s repeatState) acquire(r repeatRules, visit visitRepeat) {
	s.acquired, s.fenced = true, true
	for i := range s.numbers {
		w := &s.numbers[i]
		w.older, w.newer = w.underWay(), false
		if !r.has(keptOverNewOne) || (w.onA != unknownOnA && !r.has(keptOverList)) {
			w.endRecords()
		}
	}
	event := fmt.Sprintf("the owner acquires incarnation %d of A", s.incarnation)
	if s.number == repeatNumbers || s.phase == numberElsewhere {
		visit(event, s)
		return
	}
	w := &s.numbers[s.number]
	switch {
	case w.onA == runsOnA:
		n := s
		n.phase, n.known, n.unanswered, n.numbers[s.number].answered = numberOnA, true, false, true
		visit(fmt.Sprintf("%s, and the home claims run %d there", event, s.number+1), n)
		w.onA = barredOnA
		visit(fmt.Sprintf("%s and stops run %d, which no home claims", event, s.number+1), s)
	case s.phase == numberOnA || (w.onA == barredOnA && s.phase == numberAtOwner):
		w.answered = true
		s.over(true)
		visit(fmt.Sprintf("%s, which does not run run %d", event, s.number), s)
	default:
		visit(event, s)
	}
}

// losses lets the owner of A and the home be lost, one after the other or at once with A.
func (s repeatState) losses(r repeatRules, visit visitRepeat) {
	if !s.nextOwner && !s.nextHome && !s.down && s.incarnation+1 < restartIncarnations {
		n := s
		n.loseDomain(r)
		visit("the failure domain of A, its owner and the home is lost, and the leases of its runs pass", n)
	}
	if !s.nextOwner {
		n := s
		n.loseOwner(r)
		visit("the owner is lost", n)
	}
	if !s.nextHome {
		n := s
		n.loseHome(r)
		visit("the home is lost, and the leases of its runs pass", n)
	}
}

func (s *repeatState) loseDomain(r repeatRules) {
	for i := range s.numbers {
		w := &s.numbers[i]
		w.others = w.others && r.has(keptOutsideDomain)
	}
	s.crash()
	s.loseOwner(r)
	s.loseHome(r)
}

func (s *repeatState) loseOwner(r repeatRules) {
	s.nextOwner, s.acquired = true, false
	for i := range s.numbers {
		w := &s.numbers[i]
		w.owner = w.others && r.has(announcedToOwner)
	}
	if s.phase != numberAtOwner {
		return
	}
	s.phase = numberUnplaced
	if s.unanswered && !r.has(sameNumberAtNextOwner) {
		s.barIfKnown()
		s.over(false)
	}
}

func (s *repeatState) loseHome(r repeatRules) {
	s.nextHome = true
	for i := range s.numbers {
		w := &s.numbers[i]
		w.home = w.others && r.has(announcedToHome)
	}
	if s.phase == numbersUsed {
		return
	}
	s.barIfKnown()
	if s.phase == numberOnA || s.phase == numberElsewhere || (s.unanswered && !r.has(sameNumberAtNextHome)) {
		s.over(false)
	} else {
		s.phase = numberUnplaced
	}
}

// barIfKnown ends the ordered run on the incarnation that was known at its start, by a stop or by its lease.
func (s *repeatState) barIfKnown() {
	started := s.phase == numberOnA || s.unanswered
	if s.number < repeatNumbers && started && s.known {
		s.numbers[s.number].onA = barredOnA
	}
}

// over ends the number under which the task is ordered. reported is set if an owner reports that to the home.
func (s *repeatState) over(reported bool) {
	if reported {
		for i := range s.numbers {
			s.numbers[i].home = s.numbers[i].home || s.numbers[i].owner
		}
	}
	s.number++
	s.phase, s.unanswered, s.known = numberUnplaced, false, false
	if s.number == repeatNumbers {
		s.phase = numbersUsed
	}
}

// canonical clears what no later event depends on.
func (s repeatState) canonical() repeatState {
	for i := range s.numbers {
		w := &s.numbers[i]
		w.answered = w.answered && w.underWay()
		if i < int(s.number) && w.onA == barredOnA && !w.underWay() {
			w.onA = unknownOnA
		}
		w.others = w.others && (!s.nextOwner || !s.nextHome)
		if s.phase == numbersUsed {
			w.endRecords()
		}
	}
	if s.phase == numbersUsed {
		s.nextOwner, s.nextHome = true, true
	}
	return s
}

// explore returns the number of states and, if one of them is a violation, the events that lead to the nearest one.
func (r repeatRules) explore(violated func(repeatState) bool) (states int, violation []string) {
	type origin struct {
		from  repeatState
		event string
	}
	var first repeatState
	origins := map[repeatState]origin{first: {}}
	for queue := []repeatState{first}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if violated(s) {
			for ; s != first; s = origins[s].from {
				violation = append([]string{origins[s].event}, violation...)
			}
			return len(origins), violation
		}
		s.next(r, func(event string, n repeatState) {
			n = n.canonical()
			if _, known := origins[n]; !known {
				origins[n] = origin{s, event}
				queue = append(queue, n)
			}
		})
	}
	return len(origins), nil
}
