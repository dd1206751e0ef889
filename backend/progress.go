package backend

import "time"

// Progress is the state of a running task.
type Progress struct {
	Elapsed time.Duration
	Class   Class
	// Reclassified is set if the task already counts as long, ActionTaken if its straggler action was taken.
	Reclassified bool
	ActionTaken  bool
}

// Decision lists the actions to take for a running task: whether to reclassify it as long, and a straggler action.
type Decision struct {
	Reclassify bool
	Straggler  StragglerAction
}

// Evaluate compares the progress of a task on a worker of the given speed with the run times of its kind.
func (k *RequestKind) Evaluate(p Progress, speed float64) Decision {
	var d Decision
	if p.Elapsed <= LongThreshold {
		return d
	}
	d.Reclassify = p.Class == ClassShort && !p.Reclassified
	action := k.Spec().Straggler
	if !p.ActionTaken && action != StragglerWait && p.Elapsed > k.StragglerAfter(speed) {
		d.Straggler = action
	}
	return d
}
