package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
)

// cancelRepeat is how long after a cancel it is announced again, in case the first announcement was lost. Tasks of the job
// must be gone 3 s after the answer.
const cancelRepeat = 800 * time.Millisecond

// Cancel ends a job, whichever member is its home, and keeps copies of it from starting. It reports whether the cancel was
// recorded, which it always is: this process does not know all jobs of the others.
func (d *Daemon) Cancel(id string) bool {
	now := d.o.Now()
	c := contract.JobCancel{Job: id, At: now}
	if d.cancels.Record(c, now) {
		d.members.Broadcast(encodeCancel(c, now))
		d.mu.Lock()
		d.cancelsToRepeat = append(d.cancelsToRepeat, c)
		d.mu.Unlock()
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

// updateCancels drops the cancels that no longer count, and announces new ones again.
func (d *Daemon) updateCancels(now time.Time) {
	d.cancels.Expire(now)
	d.mu.Lock()
	var due []*api.PeerMessage
	for len(d.cancelsToRepeat) > 0 && now.Sub(d.cancelsToRepeat[0].At) >= cancelRepeat {
		due = append(due, encodeCancel(d.cancelsToRepeat[0], now))
		d.cancelsToRepeat = d.cancelsToRepeat[1:]
	}
	d.mu.Unlock()
	if len(due) > 0 {
		d.members.Broadcast(due...)
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
