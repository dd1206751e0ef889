package batch

import "github.com/cicadadale/cicadadale/contract"

// HeldRun is a run that a home counts as possibly alive.
type HeldRun struct {
	Key     contract.RunKey
	Owner   string
	Token   uint64
	Started bool
	// Lost is set for a run that no owner reports.
	Lost bool
}

// HeldRuns returns the runs that are placed or lost.
func (h *Home) HeldRuns() []HeldRun {
	var runs []HeldRun
	for j := range h.lockedJobs() {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskPlaced || t.state == taskLost {
				runs = append(runs, HeldRun{Key: j.key(t), Owner: t.owner, Token: t.token, Started: t.started,
					Lost: t.state == taskLost})
			}
		}
	}
	return runs
}
