package edge

import (
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/api"
)

// requestDesired requests the desired state, or the evacuations, of a member that has had newer ones for a while. Only one
// member is asked at a time: the document may be large, and all members send it at once if they offer it unasked.
func (d *Daemon) requestDesired(now time.Time) {
	d.mu.Lock()
	version := d.desired.Version
	d.mu.Unlock()
	evacuations := d.evacuations.get().Version
	ahead := d.members.Ahead(version, evacuations)
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
			DesiredStateRequest: &api.DesiredStateRequest{Version: version, EvacuationsVersion: evacuations},
		}})
	}
}

// sendDesired sends what is newer here to a member that has requested the desired state.
func (d *Daemon) sendDesired(id string, request *api.DesiredStateRequest) {
	d.mu.Lock()
	version, document := d.desired.Version, d.desired.Document
	d.mu.Unlock()
	evacuations := d.evacuations.get()
	reply := &api.DesiredState{}
	if version > request.GetVersion() {
		reply.Version, reply.Document = version, document
	}
	if evacuations.Version > request.GetEvacuationsVersion() {
		reply.Evacuations = encodeEvacuations(evacuations)
	}
	if reply.GetVersion() == 0 && reply.GetEvacuations() == nil {
		return
	}
	d.o.Logger.Info("sending the desired state to a member that has an older one", "member", id, "version", reply.GetVersion(),
		"evacuations", reply.GetEvacuations().GetVersion())
	d.members.Send(id, &api.PeerMessage{Body: &api.PeerMessage_DesiredState{DesiredState: reply}})
}

// handleDesired applies what a member has sent upon a request.
func (d *Daemon) handleDesired(id string, m *api.DesiredState) {
	if m.GetEvacuations() != nil {
		d.setEvacuations(decodeEvacuations(m.GetEvacuations()), id)
	}
	if m.GetVersion() == 0 {
		return
	}
	s, err := d.o.Store.DecodeDesired(m.GetDocument())
	if err != nil {
		d.o.Logger.Warn("cannot decode the desired state from a peer; keeping the current one", "peer", id, "error", err)
		return
	}
	d.setDesired(s, id)
}
