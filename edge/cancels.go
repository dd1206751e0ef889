package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
)

// Cancel ends a job, whichever member is its home, and keeps copies of it from starting. It reports whether the cancel was
// recorded, which it always is: this process does not know all jobs of the others.
func (d *Daemon) Cancel(id string) bool {
	now := d.o.Now()
	c := contract.JobCancel{Job: id, At: now}
	if d.cancels.Record(c, now) {
		d.announced.Announce(announcement{at: now, encode: func(now time.Time) *api.PeerMessage {
			return encodeCancel(c, now)
		}})
	}
	known := d.home.Cancel(id)
	d.o.Logger.Info("job cancelled by a caller", "job", id, "known_here", known)
	return true
}

// handleCancel records a cancel that another member has received, and ends the job if this process is its home.
func (d *Daemon) handleCancel(id string, c contract.JobCancel) {
	if d.cancels.Record(c, d.o.Now()) && d.home.Cancel(c.Job) {
		d.o.Logger.Info("job cancelled at another member", "job", c.Job, "member", id, "since", d.o.Now().Sub(c.At))
	}
}

// cancelList returns all cancels that count, for a member that has just joined or was out of contact.
func (d *Daemon) cancelList() []*api.PeerMessage {
	now := d.o.Now()
	var list []*api.PeerMessage
	for _, c := range d.cancels.Recent(now.Add(-contract.CancelRetention)) {
		list = append(list, encodeCancel(c, now))
	}
	return list
}

// encodeCancel converts the time to an age, since the clocks of two VMs differ.
func encodeCancel(c contract.JobCancel, now time.Time) *api.PeerMessage {
	return &api.PeerMessage{Body: &api.PeerMessage_JobCancel{
		JobCancel: &api.JobCancel{Job: c.Job, AgeMs: clampMillis(now.Sub(c.At))},
	}}
}

func decodeCancel(m *api.JobCancel, now time.Time) contract.JobCancel {
	return contract.JobCancel{Job: m.GetJob(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)}
}
