package backend

import "time"

// Progress is what is known of a running task.
type Progress struct {
	Elapsed time.Duration
	Class   Class
	// Outgrown says that the task has been counted as long already, Acted that its straggler action was taken.
	Outgrown bool
	Acted    bool
}

// Step is what is to be done about a running task.
type Step struct {
	Outgrow bool
	Act     StragglerAction
}

// Judge compares the progress of a task on a worker of the given speed with the expectation for its kind.
func (k *RequestKind) Judge(p Progress, speed float64) Step {
	var s Step
	if p.Elapsed <= LongThreshold {
		return s
	}
	s.Outgrow = p.Class == ClassShort && !p.Outgrown
	action := k.Spec().Straggler
	if !p.Acted && action != StragglerWait && p.Elapsed > k.StragglerAfter(speed) {
		s.Act = action
	}
	return s
}
