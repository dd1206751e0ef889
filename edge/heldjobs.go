package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// maxHeldAge bounds the age of a job in an announcement. No job is older than its longest time limit.
const maxHeldAge = time.Hour

// maxJobID is the length in bytes up to which a job in an announcement is recorded.
const maxJobID = 64

// membership implements batch.Membership.
type membership struct{ d *Daemon }

// Electorate implements batch.Membership.
func (s membership) Electorate() *zone.Electorate { return s.d.members.Electorate() }

// MajorityContact implements batch.Membership.
func (s membership) MajorityContact(e *zone.Electorate) time.Time {
	if s.d.knowsNoMembers() {
		return time.Time{}
	}
	return s.d.members.MajorityContact(e, s.d.o.Now())
}

// Count implements batch.Membership.
func (s membership) Count() int { return s.d.members.Count() }

// AnnounceHeld implements batch.Membership.
func (s membership) AnnounceHeld(jobs []contract.HeldJob, atOnce bool) {
	m := s.d.encodeHeldJobs("", jobs)
	if atOnce {
		// A slow process counts members as silent whose messages it has not read yet.
		s.d.members.Broadcast(m)
		return
	}
	s.d.toAnnounce.add(jobs)
	s.d.members.BroadcastOthers(m)
}

// LastHeard implements batch.Membership.
func (s membership) LastHeard(member string) (at time.Time, live bool) {
	return s.d.members.LastHeard(member)
}

// CanHaveMajority implements batch.Membership.
func (s membership) CanHaveMajority(member string) bool {
	s.d.mu.Lock()
	stopping := s.d.stopping
	s.d.mu.Unlock()
	return s.d.members.CanHaveMajority(member, stopping, s.d.o.Now())
}

// Release implements batch.Membership.
func (s membership) Release(r contract.JobRelease, repeated bool) {
	d := s.d
	r.Requester = d.self
	d.members.Send(r.Home, d.encodeRelease(r, r.Home))
	if !repeated {
		return
	}
	for _, id := range d.members.Live() {
		if id != r.Home {
			d.members.Send(id, d.encodeRelease(r, id))
		}
	}
}

// handleRelease releases a job that is held here, or forwards the request of a member that may be out of contact with the
// job's home.
func (d *Daemon) handleRelease(id string, m *api.JobRelease) {
	if m.GetHome() != d.self {
		if id == m.GetRequester() {
			d.forwardRelease(m)
		}
		return
	}
	if released, over := d.home.Release(d.decodeRelease(m)); over {
		d.members.Send(id, encodeReleased(released, d.o.Now()))
	}
}

// forwardRelease passes a request on to the job's home. The request may have been delayed on its way here, so the time since
// the timestamp that it echoes is added to the age of the requester's job: an older one ends no job that was submitted since.
func (d *Daemon) forwardRelease(m *api.JobRelease) {
	now, sent := d.o.Now(), d.sentAt(m.GetStampMs())
	if sent.IsZero() {
		return
	}
	m.AgeMs = clampMillis(jobAge(m.GetAgeMs()) + now.Sub(sent))
	m.StampMs = d.members.LastContact(m.GetHome(), now).Timestamp
	d.members.Send(m.GetHome(), &api.PeerMessage{Body: &api.PeerMessage_JobRelease{JobRelease: m}})
}

// handleReleased passes the answer to a request for a release to the home, or forwards it to the requester.
func (d *Daemon) handleReleased(id string, m *api.JobReleased) {
	switch {
	case m.GetRequester() == d.self:
		d.home.Released(contract.JobReleased{
			Job: m.GetJob(), Home: m.GetHome(), Requester: d.self, Wait: m.GetWait(),
			Completed: m.GetCompleted(), Failed: m.GetFailed(), LateStarts: decodeStarts(m.GetLateStarts(), d.o.Now()),
		})
	case id == m.GetHome():
		d.members.Send(m.GetRequester(), &api.PeerMessage{Body: &api.PeerMessage_JobReleased{JobReleased: m}})
	}
}

// encodeRelease encodes a request that is sent to a member, whose timestamp it echoes.
func (d *Daemon) encodeRelease(r contract.JobRelease, to string) *api.PeerMessage {
	now := d.o.Now()
	return &api.PeerMessage{Body: &api.PeerMessage_JobRelease{JobRelease: &api.JobRelease{
		Job: r.Job, Home: r.Home, Requester: r.Requester, AgeMs: clampMillis(now.Sub(r.Accepted)), Wait: r.Wait,
		StampMs: d.members.LastContact(to, now).Timestamp,
	}}}
}

// decodeRelease dates the request by the timestamp that it echoes, since it may have been delayed.
func (d *Daemon) decodeRelease(m *api.JobRelease) contract.JobRelease {
	return contract.JobRelease{
		Job: m.GetJob(), Home: m.GetHome(), Requester: m.GetRequester(), Wait: m.GetWait(),
		Accepted: d.sentAt(m.GetStampMs()).Add(-jobAge(m.GetAgeMs())),
	}
}

func encodeReleased(r contract.JobReleased, now time.Time) *api.PeerMessage {
	return &api.PeerMessage{Body: &api.PeerMessage_JobReleased{JobReleased: &api.JobReleased{
		Job: r.Job, Home: r.Home, Requester: r.Requester, Completed: r.Completed, Failed: r.Failed, Wait: r.Wait,
		LateStarts: encodeStarts(r.LateStarts, now),
	}}}
}

// handleHeldJobs records the jobs that another member has announced, and passes its own announcement on to members that do
// not hear it.
func (d *Daemon) handleHeldJobs(id string, m *api.HeldJobs) {
	now := d.o.Now()
	home := m.GetHome()
	if home == d.self {
		return
	}
	var requesters []string
	if home == "" {
		home = id
		requesters = d.relays.requesters(home, now)
	}
	jobs := decodeHeldJobs(home, m, now, d.members.SentAt(id, m.GetStampMs(), now))
	for _, requester := range requesters {
		d.members.Send(requester, d.encodeHeldJobs(home, jobs))
	}
	for _, h := range jobs {
		d.held.Record(h)
		d.home.HeldElsewhere(h)
	}
}

// requestHeldJobs asks the members in contact to pass on what the silent ones announce.
func (d *Daemon) requestHeldJobs(now time.Time) {
	silent := d.members.Silent(now)
	if len(silent) == 0 || !d.relays.due(now) {
		return
	}
	d.members.BroadcastContacts(&api.PeerMessage{Body: &api.PeerMessage_HeldJobsRequest{
		HeldJobsRequest: &api.HeldJobsRequest{Homes: silent},
	}})
}

// handleHeldJobsRequest sends a member the jobs that silent members have announced here, and passes on what they announce.
func (d *Daemon) handleHeldJobsRequest(id string, m *api.HeldJobsRequest) {
	now := d.o.Now()
	for _, home := range m.GetHomes() {
		if _, live := d.members.LastHeard(home); !live {
			continue
		}
		d.relays.add(home, id, now)
		if jobs := d.held.HeldBy(home); len(jobs) > 0 {
			d.members.Send(id, d.encodeHeldJobs(home, jobs))
		}
	}
}

// heldList returns the announcement of all jobs held here, for a member that has just joined or was out of contact.
func (d *Daemon) heldList() []*api.PeerMessage {
	jobs := d.home.Held()
	if len(jobs) == 0 {
		return nil
	}
	return []*api.PeerMessage{d.encodeHeldJobs("", jobs)}
}

// repeatHeldList announces all jobs again to a live member.
func (d *Daemon) repeatHeldList(id string) {
	if _, live := d.members.LastHeard(id); live {
		d.members.Send(id, d.heldList()...)
	}
}

func (d *Daemon) encodeHeldJobs(home string, jobs []contract.HeldJob) *api.PeerMessage {
	now := d.o.Now()
	return encodeHeldJobs(home, jobs, now, d.timestamp(now))
}

// encodeHeldJobs converts times to ages, since the clocks of two VMs differ.
func encodeHeldJobs(home string, jobs []contract.HeldJob, now time.Time, timestamp uint64) *api.PeerMessage {
	list := &api.HeldJobs{Home: home, StampMs: timestamp}
	for _, j := range jobs {
		list.Jobs = append(list.Jobs, &api.HeldJob{Job: j.Job, AgeMs: clampMillis(now.Sub(j.Accepted))})
	}
	return &api.PeerMessage{Body: &api.PeerMessage_HeldJobs{HeldJobs: list}}
}

// decodeHeldJobs returns the valid jobs of an announcement that was sent at a time. If the time of a delayed one were that of its
// arrival, the home to which the caller has returned meanwhile would end the job.
func decodeHeldJobs(home string, m *api.HeldJobs, now, sent time.Time) []contract.HeldJob {
	var jobs []contract.HeldJob
	for _, held := range m.GetJobs() {
		if id := held.GetJob(); id == "" || len(id) > maxJobID {
			continue
		}
		jobs = append(jobs, contract.HeldJob{Job: held.GetJob(), Home: home, Accepted: sent.Add(-jobAge(held.GetAgeMs())), HeardAt: now})
	}
	return jobs
}

// jobAge returns the age of a job in a message.
func jobAge(millis uint32) time.Duration {
	return min(time.Duration(millis)*time.Millisecond, maxHeldAge)
}
