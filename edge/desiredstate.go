package edge

import (
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/api"
)

// requestDesired requests the desired state of a member that has had a newer one for a while. Only one member is asked
// at a time: the document may be large, and all members send it at once if they offer it unasked.
func (d *Daemon) requestDesired(now time.Time) {
	d.mu.Lock()
	version := d.desired.Version
	d.mu.Unlock()
	ahead := d.members.Ahead(version)
	d.mu.Lock()
	switch {
	case len(ahead) == 0:
		d.behindSince = time.Time{}
	case d.behindSince.IsZero():
		d.behindSince = now
	}
	due := len(ahead) > 0 && now.Sub(d.behindSince) >= desiredStateLag && now.Sub(d.requestedAt) >= desiredStateRetry
	if due {
		d.requestedAt = now
	}
	d.mu.Unlock()
	if due {
		d.members.Send(ahead[rand.IntN(len(ahead))], &api.PeerMessage{Body: &api.PeerMessage_DesiredStateRequest{
			DesiredStateRequest: &api.DesiredStateRequest{},
		}})
	}
}

// sendDesired sends the desired state of this process to a member that has requested it.
func (d *Daemon) sendDesired(id string) {
	d.mu.Lock()
	version, document := d.desired.Version, d.desired.Document
	d.mu.Unlock()
	if version == 0 {
		return
	}
	d.o.Logger.Info("sending the desired state to a member that has an older one", "member", id, "version", version)
	d.members.Send(id, &api.PeerMessage{Body: &api.PeerMessage_DesiredState{
		DesiredState: &api.DesiredState{Version: version, Document: document},
	}})
}
