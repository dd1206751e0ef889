package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// maxHeldAge bounds the age of a job in an announcement. No job is older than its longest time limit.
const maxHeldAge = time.Hour

// membership implements batch.Membership.
type membership struct{ d *Daemon }

// Electorate implements batch.Membership.
func (s membership) Electorate() *zone.Electorate { return s.d.members.Electorate() }

// MajorityContact implements batch.Membership.
func (s membership) MajorityContact(e *zone.Electorate) time.Time {
	return s.d.members.MajorityContact(e, s.d.o.Now())
}

// AnnounceHeld implements batch.Membership.
func (s membership) AnnounceHeld(jobs []contract.HeldJob) {
	s.d.members.BroadcastContacts(encodeHeldJobs(jobs, s.d.o.Now()))
}

// handleHeldJobs records the jobs that another member has announced.
func (d *Daemon) handleHeldJobs(id string, m *api.HeldJobs) {
	now := d.o.Now()
	for _, held := range m.GetJobs() {
		d.held.Record(decodeHeldJob(id, held, now))
	}
}

// encodeHeldJobs converts times to ages, since the clocks of two VMs differ.
func encodeHeldJobs(jobs []contract.HeldJob, now time.Time) *api.PeerMessage {
	list := &api.HeldJobs{}
	for _, j := range jobs {
		list.Jobs = append(list.Jobs, &api.HeldJob{Job: j.Job, AgeMs: clampMillis(now.Sub(j.Accepted))})
	}
	return &api.PeerMessage{Body: &api.PeerMessage_HeldJobs{HeldJobs: list}}
}

func decodeHeldJob(home string, m *api.HeldJob, now time.Time) contract.HeldJob {
	age := min(time.Duration(m.GetAgeMs())*time.Millisecond, maxHeldAge)
	return contract.HeldJob{Job: m.GetJob(), Home: home, Accepted: now.Add(-age), HeardAt: now}
}
