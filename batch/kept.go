package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// noRoomRetry is the time after which a client may submit a job for which there was no room: ended jobs are dropped all the time.
const noRoomRetry = time.Second

// keep adds a job to its shard, or replaces one that starts anew. The lock of the shard is held.
func (h *Home) keep(s *shard, j *job) {
	if _, known := s.jobs[j.batch.ID]; !known {
		h.kept.Add(1)
	}
	s.jobs[j.batch.ID] = j
}

// drop removes an ended job from its shard. The lock of the shard is held.
func (h *Home) drop(s *shard, id string) {
	delete(s.jobs, id)
	h.kept.Add(-1)
}

// refuseWithoutRoom refuses a job that is not known here while the home keeps as many jobs, ended ones among them, as it may. Those are not
// dropped before their time, since a copy of one would run again.
func (h *Home) refuseWithoutRoom(b *contract.Batch) (Answer, bool) {
	if h.o.MaxJobs <= 0 || h.kept.Load() < int64(h.o.MaxJobs) {
		return Answer{}, false
	}
	h.counter(metric.BatchJobsNoRoom).Inc(1)
	return Answer{Outcome: h.outcomeOfUnknown(b), Reason: "no room for another job", RetryAfter: noRoomRetry}, true
}

// outcomeOfUnknown returns the outcome of a job that is turned away and not known here. One that another member holds, or that has been
// cancelled, may have run.
func (h *Home) outcomeOfUnknown(b *contract.Batch) Outcome {
	if _, held := h.o.Held.Of(b.ID); held || h.o.Cancels.Cancelled(b.ID) {
		return Abandoned
	}
	return h.refusedOutcome(b)
}
