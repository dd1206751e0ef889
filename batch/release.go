package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// releaseRetry is the pause before the earlier home of a job is asked again. It grows by the same time with each
	// releaseRetryStep requests, up to maxReleaseRetry.
	releaseRetry     = 50 * time.Millisecond
	releaseRetryStep = 8
	maxReleaseRetry  = 500 * time.Millisecond
	// homeExpiry is the time after the last message of a home at which its runs are certainly over: their leases end 1.23 s
	// after its last contact with a majority, and members hear of each other every 300 ms.
	homeExpiry = 1600 * time.Millisecond
	// releaseTimeout is the shortest time for which a silent home is asked, through the members that may still reach it.
	releaseTimeout = 400 * time.Millisecond
	// sameSubmission is the difference of two times of acceptance below which it is not known which submission was the later
	// one. Clients submit a job again 1.3 s after its channel has broken, or at once if no process had read the request.
	sameSubmission = 600 * time.Millisecond
)

// earlierHome is the member that has announced a job which is submitted again here. The job starts when that member has ended
// its runs.
type earlierHome struct {
	contract.HeldJob
	// since is when the home was first asked to release the job, askedAt when it was last asked, requests how often.
	since    time.Time
	askedAt  time.Time
	requests int
	// wait numbers the waits of this home, so that the answer to an earlier one counts for no later one.
	wait uint64
}

// retryDelay returns the pause before the next request.
func (e *earlierHome) retryDelay() time.Duration {
	return min(releaseRetry*time.Duration(1+e.requests/releaseRetryStep), maxReleaseRetry)
}

// awaitRelease lets a job wait until the home that has announced it has ended its runs. The lock of the job's shard is held.
func (h *Home) awaitRelease(j *job, held contract.HeldJob, now time.Time) {
	j.earlier, j.mayHaveRun = &earlierHome{HeldJob: held, since: now, wait: h.waits.Add(1)}, true
	h.counter(metric.BatchHeldElsewhere).Inc(1)
	h.o.Logger.Warn("job is held by another member; waiting until it has ended its runs", "job", j.batch.ID,
		"home", held.Home, "accepted_ago", now.Sub(held.Accepted), "announced_ago", now.Sub(held.HeardAt))
}

// checkRelease asks the earlier home of a job to release it, or concludes from its silence that its runs are over. The lock
// of the job's shard is held.
func (h *Home) checkRelease(j *job, now time.Time, out *outbox) {
	e := j.earlier
	if e == nil {
		return
	}
	if j.state == jobEnding && now.Sub(j.endedAt) > contract.HeldRetention {
		// No other member waits for this home any more.
		h.clearEarlier(j, now)
		return
	}
	heard, live := h.o.Members.LastHeard(e.Home)
	heard = later(heard, e.HeardAt)
	silent := !live && now.Sub(heard) >= homeExpiry && now.Sub(e.since) >= releaseTimeout
	if silent && !h.o.Members.CanHaveMajority(e.Home) {
		h.o.Logger.Info("earlier home of a job is silent; its runs are over", "job", j.batch.ID, "home", e.Home,
			"since_message", now.Sub(heard), "waited", now.Sub(e.since))
		h.clearEarlier(j, now)
		return
	}
	if now.Sub(e.askedAt) < e.retryDelay() {
		return
	}
	e.askedAt = now
	e.requests++
	out.releases = append(out.releases, releaseRequest{
		JobRelease: contract.JobRelease{Job: j.batch.ID, Home: e.Home, Accepted: j.submittedAt, Wait: e.wait}, repeated: e.requests > 1,
	})
}

// clearEarlier lets a job start whose earlier home has no run of it any more, unless another member has announced it
// meanwhile. The lock of the job's shard is held.
func (h *Home) clearEarlier(j *job, now time.Time) {
	h.o.Held.Forget(j.batch.ID, j.earlier.Home)
	j.released, j.earlier = j.earlier.Home, nil
	if held, ok := h.o.Held.Of(j.batch.ID); ok && j.state == jobActive {
		h.awaitRelease(j, held, now)
	}
}

// Released records that the earlier home of a job has released it, with the result of the job if it had one.
func (h *Home) Released(r contract.JobReleased) {
	now := h.o.Now()
	for _, late := range r.LateStarts {
		h.o.LateStarts.Record(late)
	}
	out := h.newOutbox()
	s := h.shard(r.Job)
	s.mu.Lock()
	if j, ok := s.jobs[r.Job]; ok && j.earlier != nil && j.earlier.Home == r.Home && j.earlier.wait == r.Wait {
		h.o.Logger.Info("earlier home has released a job", "job", r.Job, "home", r.Home, "completed", r.Completed,
			"failed", r.Failed, "waited", now.Sub(j.earlier.since))
		h.clearEarlier(j, now)
		switch {
		case r.Completed:
			h.adoptResult(j, Completed, "completed at its earlier home", now, out)
		case r.Failed:
			h.adoptResult(j, Failed, "failed at its earlier home", now, out)
		}
		h.advance(j, now, out)
	}
	s.mu.Unlock()
	out.send()
}

// adoptResult ends a job with the result that it had at its earlier home. A job that has ended here without a result gets it too: its
// caller may submit the job again, or wait at a third home for this one. The lock of the job's shard is held.
func (h *Home) adoptResult(j *job, o Outcome, reason string, now time.Time, out *outbox) {
	if j.state == jobEnding && j.outcome.mayStartAnew() {
		j.outcome, j.answer = o, Answer{Outcome: o, Reason: reason}
		return
	}
	h.endJob(j, o, reason, now, out)
}

// Release ends the runs of a job that its caller has submitted to another member. over is false while a run may be alive, or
// if the caller has submitted the job here again since.
func (h *Home) Release(r contract.JobRelease) (released contract.JobReleased, over bool) {
	released = contract.JobReleased{Job: r.Job, Home: h.o.Self, Requester: r.Requester, Wait: r.Wait}
	now := h.o.Now()
	out := h.newOutbox()
	s := h.shard(r.Job)
	s.mu.Lock()
	j, ok := s.jobs[r.Job]
	if ok && j.state == jobActive && !r.Accepted.Before(j.submittedAt) {
		h.supersede(j, r.Requester, now, out)
	}
	// A home that waits for the requester itself has an answer too, once its own runs are over.
	over = !ok || j.state == jobEnded ||
		(j.state == jobEnding && j.ownRunsOver() && j.earlier != nil && j.earlier.Home == r.Requester)
	if ok && j.state == jobEnded {
		released.Completed, released.Failed = j.answer.Outcome == Completed, j.answer.Outcome == Failed
	}
	s.mu.Unlock()
	out.send()
	if over {
		released.LateStarts = h.o.LateStarts.OfJob(r.Job)
	}
	return released, over
}

// supersede ends a job that its caller has submitted to another member. The lock of the job's shard is held.
func (h *Home) supersede(j *job, member string, now time.Time, out *outbox) {
	h.counter(metric.BatchJobsSuperseded).Inc(1)
	h.o.Logger.Warn("job was submitted to another member; ending its runs", "job", j.batch.ID, "member", member,
		"accepted_ago", now.Sub(j.batch.Accepted), out.soleHomeProof(j).attrs(now))
	h.endJob(j, Superseded, "submitted to another member", now, out)
	h.advance(j, now, out)
}

// Held returns the jobs that have not ended.
func (h *Home) Held() []contract.HeldJob {
	var jobs []contract.HeldJob
	for j := range h.lockedJobs() {
		if j.state != jobEnded {
			jobs = append(jobs, contract.HeldJob{Job: j.batch.ID, Accepted: j.submittedAt})
		}
	}
	return jobs
}

// HeldElsewhere resolves the case that another member announces a job that this home has too, because neither knew of the
// other in time. The home to which the caller has turned last keeps it.
func (h *Home) HeldElsewhere(held contract.HeldJob) {
	s := h.shard(held.Job)
	s.mu.Lock()
	j, ok := s.jobs[held.Job]
	if !ok || j.state != jobActive {
		// Most announcements are of jobs that this home does not have.
		s.mu.Unlock()
		return
	}
	now := h.o.Now()
	out := h.newOutbox()
	switch {
	case j.earlier != nil && j.earlier.Home == held.Home:
		// The home is alive, as a member knows to which it has announced the job.
		j.earlier.HeldJob = held
	default:
		switch after := held.Accepted.Sub(j.submittedAt); {
		case after > sameSubmission, after > -sameSubmission && h.o.Self < held.Home:
			h.supersede(j, held.Home, now, out)
		case j.earlier != nil:
			// It is waited for once the present earlier home has released the job.
		case j.released == held.Home:
			// The announcement was sent before the release.
		default:
			h.awaitRelease(j, held, now)
			h.checkRelease(j, now, out)
		}
	}
	s.mu.Unlock()
	out.send()
}
