package edge

import "fmt"

// copyEvents lets A execute a copy of a start, and the last copy of it be lost.
func (s repeatState) copyEvents(i int, r repeatRules, visit visitRepeat) {
	w := &s.numbers[i]
	if !w.underWay() {
		return
	}
	n := s
	n.numbers[i].older, n.numbers[i].newer = false, false
	visit(fmt.Sprintf("no copy of the start of run %d is under way any more", i+1), n)
	if s.down || w.onA != unknownOnA || (s.fenced && !w.newer) || (r.rejectsSecond && s.runsAnyOnA()) {
		return
	}
	s.fenced = s.fenced || w.newer
	w.onA = runsOnA
	if !r.repeats {
		w.older, w.newer = false, false
	}
	visit(fmt.Sprintf("incarnation %d of A executes a copy of the start of run %d", s.incarnation, i+1), s)
}

// recordEnds lets the records of a number end.
func (s repeatState) recordEnds(i int, r repeatRules, visit visitRepeat) {
	w := &s.numbers[i]
	if w.underWay() && r.has(countsLastCopy) {
		return
	}
	if w.owner && (s.acquired || !r.has(endsWithList)) {
		n := s
		n.numbers[i].owner = false
		if r.has(endsWithList) {
			n.readList()
		}
		visit(fmt.Sprintf("the owner's record of run %d ends", i+1), n)
	}
	if !w.home && !w.others {
		return
	}
	if r.has(outlastsLease) {
		s.endUnclaimed(r)
	}
	for _, home := range []bool{true, false} {
		n := s
		v := &n.numbers[i]
		if home {
			v.home = false
			visit(fmt.Sprintf("the home's record of run %d ends", i+1), n)
			continue
		}
		v.others = false
		visit(fmt.Sprintf("the record of run %d ends at all other members", i+1), n)
	}
}

// readList lets the owner learn from a list of A what became of a start without a reply.
func (s *repeatState) readList() {
	if s.phase != numberAtOwner {
		return
	}
	w := &s.numbers[s.number]
	switch w.onA {
	case runsOnA:
		s.phase, s.known, s.unanswered, w.answered = numberOnA, true, false, true
	case barredOnA:
		w.answered = true
		s.over(true)
	}
}

// endUnclaimed lets the leases of runs pass that no home has claimed, after the delay of calls. An owner that does not stop them
// extends them. One that has acquired A has had a list meanwhile.
func (s *repeatState) endUnclaimed(r repeatRules) {
	if s.acquired {
		s.readList()
		if !r.has(stopsFound) {
			return
		}
	}
	for i := range s.numbers {
		unclaimed := !s.acquired || i < int(s.number) || s.phase == numberUnplaced
		if w := &s.numbers[i]; w.onA == runsOnA && unclaimed {
			w.onA = barredOnA
		}
	}
}

// runEvents lets a run on A end by itself, and the owner stop one that it finds beside a later one.
func (s repeatState) runEvents(i int, r repeatRules, visit visitRepeat) {
	if s.numbers[i].onA != runsOnA {
		return
	}
	n := s
	n.numbers[i].onA = barredOnA
	if i == int(s.number) && s.acquired && (s.phase == numberOnA || s.phase == numberAtOwner) {
		n.numbers[i].answered = true
		n.over(true)
	}
	visit(fmt.Sprintf("run %d fails on A", i+1), n)
	if s.acquired && i < int(s.number) && r.has(stopsFound) {
		s.numbers[i].onA = barredOnA
		visit(fmt.Sprintf("the owner stops run %d, which it has found beside a later one", i+1), s)
	}
}

// stops lets A answer a stop of the ordered run.
func (s repeatState) stops(r repeatRules, visit visitRepeat) {
	if s.phase != numberOnA && !s.unanswered {
		return
	}
	w := &s.numbers[s.number]
	w.onA = barredOnA
	if !r.has(keptOverStops) {
		w.endRecords()
	}
	event := fmt.Sprintf("A answers a stop of run %d", s.number+1)
	if s.phase == numberOnA || !r.has(sameNumber) {
		s.over(true)
	}
	visit(event, s)
}

// leasePasses lets the ordered run be reported as over by its lease.
func (s repeatState) leasePasses(r repeatRules, visit visitRepeat) {
	if s.phase != numberOnA && (s.phase != numberAtOwner || !s.unanswered || r.has(sameNumber)) {
		return
	}
	event := fmt.Sprintf("the lease of run %d passes, and it is reported as over", s.number+1)
	s.barIfKnown()
	s.over(true)
	visit(event, s)
}

// place lets the home order the task under its number.
func (s repeatState) place(r repeatRules, visit visitRepeat) {
	n := s
	n.phase = numberAtOwner
	visit(fmt.Sprintf("run %d is ordered at the owner of A", s.number+1), n)
	known := s.recorded(r, func(w *numberState) bool { return w.home })
	if known && r.has(orderedAtWorker) && !s.leavesA(r) {
		return
	}
	n.phase, n.unanswered = numberElsewhere, false
	visit(fmt.Sprintf("run %d is ordered and started elsewhere", s.number+1), n)
}

// recorded reports whether one of the numbers up to the ordered one has a record.
func (s *repeatState) recorded(r repeatRules, has func(w *numberState) bool) bool {
	last := int(s.number)
	if !r.has(repeatedAtWorker) {
		last--
	}
	for i := range s.numbers[:last+1] {
		if has(&s.numbers[i]) {
			return true
		}
	}
	return false
}

// leavesA reports whether the rules let a task with a record go elsewhere in this state.
func (s *repeatState) leavesA(r repeatRules) bool {
	return (s.down && !r.has(alsoSilent)) || !r.has(alsoDraining) || (s.nextOwner && !r.has(alsoNextOwner))
}

// findsEarlier reports whether the owner knows of a run on A that is earlier than the ordered one.
func (s *repeatState) findsEarlier() bool {
	if !s.acquired {
		return false
	}
	for i := range s.numbers[:s.number] {
		if s.numbers[i].onA == runsOnA {
			return true
		}
	}
	return false
}

// startOnA lets the owner start the task on A or repeat the start. Before that it has a reply to a poll.
func (s repeatState) startOnA(r repeatRules, visit visitRepeat) {
	if !s.acquired || (s.findsEarlier() && r.has(waitsForFound)) || (r.waitsForCopies && s.earlierRecord()) {
		return
	}
	if s.unanswered && !r.repeats {
		return
	}
	s.known = true
	n := s
	w := &n.numbers[s.number]
	w.answered = true
	if w.onA == barredOnA {
		n.over(true)
		visit(fmt.Sprintf("A rejects the start of run %d", s.number+1), n)
		return
	}
	w.onA, n.phase, n.unanswered = runsOnA, numberOnA, false
	if !r.has(keptOverReply) {
		w.endRecords()
	}
	visit(fmt.Sprintf("incarnation %d of A starts run %d", s.incarnation, s.number+1), n)
	s.startUnanswered(r, visit)
}

// startUnanswered makes a start on A without a reply.
func (s repeatState) startUnanswered(r repeatRules, visit visitRepeat) {
	w := &s.numbers[s.number]
	s.unanswered, w.owner = true, true
	event := fmt.Sprintf("the start of run %d gets no reply", s.number+1)
	if r.has(reportedBeforeLoss) {
		w.home, w.others = true, true
	} else {
		defer func() {
			s.numbers[s.number].home, s.numbers[s.number].others = true, true
			visit(event+", which all members are told", s)
		}()
	}
	if !r.nextReplied || !s.answeredUnderWay() {
		w.newer = true
	}
	visit(event, s)
}

// answeredUnderWay reports whether a copy of a start under an earlier number that was answered may be under way.
func (s *repeatState) answeredUnderWay() bool {
	for i := range s.numbers[:s.number] {
		if w := &s.numbers[i]; w.answered && w.underWay() {
			return true
		}
	}
	return false
}

// earlierRecord reports whether the owner has a record of an earlier number.
func (s *repeatState) earlierRecord() bool {
	for i := range s.numbers[:s.number] {
		if s.numbers[i].owner {
			return true
		}
	}
	return false
}

// startElsewhere lets the owner start the task on another of its workers.
func (s repeatState) startElsewhere(r repeatRules, visit visitRepeat) {
	known := s.recorded(r, func(w *numberState) bool { return w.owner })
	if (known && r.has(startedAtWorker) && !s.leavesA(r)) || (s.findsEarlier() && r.has(waitsElsewhere)) {
		return
	}
	if s.unanswered && !r.repeats {
		return
	}
	s.phase, s.unanswered = numberElsewhere, false
	visit(fmt.Sprintf("the owner starts run %d on another worker", s.number+1), s)
}
