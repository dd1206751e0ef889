package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runStep is the distance between the numbers of two runs of a task. The remainder identifies the home: two homes that
	// accept a job in the same millisecond must not use the same number, since owners would take their runs for one.
	runStep = 1 << 10
	// unstartedRunGap is the additional number of steps to the next run when the previous one has ended without having run.
	// The worker may have rejected it because an earlier home of the job has used higher numbers.
	unstartedRunGap = 10_000
)

// runEpoch is the origin of the run numbers of a job. With it they stay below 2^53, up to which every JSON decoder reads
// integers exactly.
var runEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// runNumbers issues the numbers of the runs that one home orders.
type runNumbers struct{ remainder uint64 }

func newRunNumbers(home string) runNumbers {
	return runNumbers{remainder: xxhash.Sum64String(home) % runStep}
}

// first returns the number of the first run of each task of a job. It follows from the time at which the job was accepted,
// since a job that is submitted again to another home must get higher numbers than its first runs, which workers refuse to
// repeat. It is higher than the numbers that this home has already used for the job, up to last.
func (n runNumbers) first(accepted time.Time, last uint64) uint64 {
	millis := uint64(max(accepted.Sub(runEpoch).Milliseconds(), 1))
	number := millis*runStep + n.remainder
	if number <= last {
		number = last + runStep
	}
	return number
}

// nextRun returns the number of the run after one that has ended.
func nextRun(run uint64, ran bool) uint64 {
	if !ran {
		run += unstartedRunGap * runStep
	}
	return run + runStep
}
