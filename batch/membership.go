package batch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// announceAfter is the age at which a job is announced to the other members, announceRepeat the pause before it is
	// announced again, in case a message was lost. Clients submit a job again 1.3 s after its channel has broken, and it was
	// accepted before that, so the members know of it in time without a message for each short job.
	announceAfter  = 400 * time.Millisecond
	announceRepeat = 600 * time.Millisecond
	// announceInterval is the time between announcements to a few members. It grows by announceSpacing with each member, up to
	// maxAnnounceInterval: all members must know of a job 1.3 s after its acceptance.
	announceInterval    = 100 * time.Millisecond
	announceSpacing     = 4 * time.Millisecond
	maxAnnounceInterval = 500 * time.Millisecond
	// contactSlack is added to the time of the last contact with a majority: an owner's timestamp arrives with the same
	// acknowledgement, a round trip after the message that is acknowledged was sent. The lease of a run is so much shorter
	// than the time after which clients submit jobs again.
	contactSlack = 50 * time.Millisecond
	// isolationTimeout is the time without a proof of the caller after which a job ends: its owners stop runs then that are
	// refreshed with so old an echo. orderProofLimit is the time from which no run is ordered, as owners would soon stop it.
	isolationTimeout = 800 * time.Millisecond
	orderProofLimit  = 600 * time.Millisecond
	// proofLapse is the time without a proof of the caller after which no run is alive any more, reproofDelay how long a home that
	// has a proof again orders nothing: by then it has heard of the homes to which its callers may have turned meanwhile.
	proofLapse   = 1200 * time.Millisecond
	reproofDelay = 500 * time.Millisecond
	// isolationWarning is the time without contact with a majority from which a home logs that it is isolated.
	isolationWarning = 500 * time.Millisecond
)

// Membership tells a home of the other members. The calls do not block and do not call the home.
type Membership interface {
	// Electorate returns the members on which a job that is accepted now depends.
	Electorate() *zone.Electorate
	// MajorityContact returns the latest time at which this process was in contact with a majority of an electorate.
	MajorityContact(e *zone.Electorate) time.Time
	// LastHeard returns when the last message of a member arrived, and whether it still counts as live.
	LastHeard(member string) (at time.Time, live bool)
	// CanHaveMajority reports whether a silent member may be in contact with a majority of the members.
	CanHaveMajority(member string) bool
	// Release asks the home of a job to release it, repeated requests also through other members.
	Release(r contract.JobRelease, repeated bool)
	// Count returns the number of other members.
	Count() int
	// AnnounceHeld tells the other members of jobs that this home holds, with the next statuses or at once.
	AnnounceHeld(jobs []contract.HeldJob, atOnce bool)
}

// provenAt returns the latest time at which no other member can have had a job. The lock of the job's shard is held.
func (o *outbox) provenAt(j *job) time.Time { return o.soleHomeProof(j).at }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// currentElectorate returns the members on which a job that is accepted now depends.
func (o *outbox) currentElectorate() *zone.Electorate {
	if o.electorate == nil {
		o.electorate = o.members.Electorate()
	}
	return o.electorate
}

// majorityContacts holds the last contacts with a majority of each electorate, as found by the last tick. mu guards the field
// below it.
type majorityContacts struct {
	mu sync.Mutex
	// at is replaced by each tick, never changed.
	at map[*zone.Electorate]time.Time
}

func (c *majorityContacts) set(at map[*zone.Electorate]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = at
}

func (c *majorityContacts) get() map[*zone.Electorate]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// majorityContact returns the last contact with a majority of an electorate, with contactSlack added. Between ticks, that of
// the last tick is used: an older contact is a weaker proof.
func (o *outbox) majorityContact(e *zone.Electorate) time.Time {
	if at, ok := o.lastMajorities[e]; ok {
		return at
	}
	at, ok := o.majorities[e]
	if !ok {
		at = o.members.MajorityContact(e).Add(contactSlack)
		o.majorities[e] = at
	}
	return at
}

// sinceMajority returns the time since the last contact with a majority of the members, or since the start of this home.
func (h *Home) sinceMajority(now time.Time, out *outbox) time.Duration {
	return now.Sub(later(out.majorityContact(out.currentElectorate()), h.started))
}

// majorityAttr returns the log attribute of the time since the last contact with a majority of the members. There was none if it
// is older than this home.
func (h *Home) majorityAttr(key string, now time.Time, out *outbox) slog.Attr {
	at := out.majorityContact(out.currentElectorate())
	if at.Before(h.started) {
		at = time.Time{}
	}
	return logattr.Since(key, now, at)
}

// answerBy returns the time by which a job has to end to be answered with a result: its deadline, or the time at which this home
// has to give it up if it is cut off from a majority of the members. The lock of the job's shard is held.
func (h *Home) answerBy(b contract.Batch, provenUntil, now time.Time, out *outbox) time.Time {
	if h.sinceMajority(now, out) <= isolationTimeout || h.pause.stalled(h.o.Now()) {
		return b.Deadline
	}
	return earlier(b.Deadline, provenUntil.Add(isolationTimeout))
}

// checkIsolation ends a job whose home has lost contact with a majority of the members: they may have accepted it again. A caller
// that is still there submits it again, and jobs accepted from then on depend on the members that are left. The lock of the
// job's shard is held.
func (h *Home) checkIsolation(j *job, now time.Time, out *outbox) {
	since := now.Sub(j.provenUntil)
	if j.state != jobActive || since <= isolationTimeout || h.pause.stalled(h.o.Now()) {
		return
	}
	h.counter(metric.BatchJobsIsolated).Inc(1)
	h.o.Logger.Warn("job ended: no contact with a majority of the members", "job", j.batch.ID, "route", j.batch.Route,
		out.soleHomeProof(j).attrs(now))
	h.endJob(j, Abandoned, "no contact with a majority of the members", now, out)
}

// checkProof lets a job depend on the present members. It defers the orders of a job whose caller is
// proven again after a lapse, as after a pause of the process, and has the job announced at once. The lock of the job's shard
// is held.
func (h *Home) checkProof(j *job, out *outbox) {
	// The caller may turn to members that have joined since the job was accepted.
	j.electorate = out.currentElectorate()
	proven := out.provenAt(j)
	if lapse := proven.Sub(j.provenUntil); lapse > proofLapse {
		h.o.Logger.Warn("caller of a job is proven again; ordering no run until other members have announced theirs",
			"job", j.batch.ID, "lapse", lapse, "delay", reproofDelay)
		// The process may have been paused since now was read.
		j.ordersFrom, j.announcedAt = h.o.Now().Add(reproofDelay), time.Time{}
	}
	j.provenUntil = later(j.provenUntil, proven)
}

// nextAnnouncement returns the time between announcements.
func (h *Home) nextAnnouncement() time.Duration {
	return min(max(time.Duration(h.o.Members.Count())*announceSpacing, announceInterval), maxAnnounceInterval)
}

// announce adds a job to the next announcement if it is due, or will be by the next check of a slow home. The lock of the job's shard is
// held.
func (o *outbox) announce(j *job, now time.Time) {
	if now.Sub(j.batch.Accepted)+o.nextCheck < announceAfter || now.Sub(j.announcedAt) < announceRepeat {
		return
	}
	j.announcedAt = now
	o.held = append(o.held, contract.HeldJob{Job: j.batch.ID, Accepted: j.submittedAt})
}

// logIsolation logs once when the home has lost contact with a majority of the members, and when it has it again.
func (h *Home) logIsolation(now time.Time, out *outbox) {
	since := h.sinceMajority(now, out)
	switch isolated := since > isolationWarning; {
	case isolated && !h.isolated:
		h.counter(metric.BatchIsolations).Inc(1)
		h.o.Logger.Warn("no contact with a majority of the members", "since", since, "jobs", h.Active())
	case !isolated && h.isolated:
		h.o.Logger.Info("in contact with a majority of the members again")
	}
	h.isolated = since > isolationWarning
}
