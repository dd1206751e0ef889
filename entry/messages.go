package entry

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// receive handles one envelope. The envelopes of a link arrive in order.
func (d *Daemon) receive(env *api.Envelope) link.HandlerResult {
	d.checkPause()
	d.clock.Observe(env.GetLamport())
	inc := machine.Incarnation(env.GetFromIncarnation())
	vm := env.GetFromVm()
	now := d.o.Now()
	if zone.DomainID(env.GetFromDomain()) == d.o.Domain {
		accepted, fresh := d.homes.ObserveMessage(vm, inc, now)
		if !accepted {
			return d.reject(inc)
		}
		if fresh {
			d.syncHomes(vm, inc)
		}
	}
	d.slots.observeIncarnation(vm, inc)
	leaving := false
	for _, m := range env.GetMessages() {
		if h := m.GetHeartbeat(); h != nil {
			leaving = h.GetLeaving()
			d.sendMissingConfiguration(vm, h.GetConfigOffset())
			d.quotas.setSeeded(h.GetQuotaSeeded())
		}
	}
	d.applyChanges(d.domain.ObserveMessage(vm, inc, leaving, now))
	for _, m := range env.GetMessages() {
		if !d.slots.handleSlots(vm, inc, m) && !d.quotas.handleMessage(vm, inc, m) {
			d.handle(vm, m)
		}
	}
	return link.Accepted
}

// reject returns how to reject the messages of an incarnation that is not accepted: permanently, or only while its VM
// is not listed.
func (d *Daemon) reject(inc machine.Incarnation) link.HandlerResult {
	if d.homes.Refuses(inc) {
		return link.Refused
	}
	return link.Ignored
}

func (d *Daemon) handle(vm string, m *api.PeerMessage) {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_ConfigRecords:
		d.configs.applyFromPeer(b.ConfigRecords)
	case *api.PeerMessage_Request:
		// A request may wait for a job's answer, so it must not block the link.
		if d.requests.acquire() {
			go d.serveRequest(vm, b.Request)
		}
	case *api.PeerMessage_WorkerWarning:
		d.applyWarning(b.WorkerWarning)
	case *api.PeerMessage_Response:
		d.peers.reply(vm, b.Response)
	case *api.PeerMessage_Closure:
		d.receiveTombstone(b.Closure)
	case *api.PeerMessage_Homes:
		d.receiveHomes(b.Homes)
	}
}

// serveRequest serves a request of a peer and sends the response.
func (d *Daemon) serveRequest(vm string, r *api.Request) {
	defer d.requests.release()
	ctx, cancel := context.WithTimeout(withHops(context.Background(), r.GetHops()), forwardLimit)
	defer cancel()
	resp := &api.Response{Id: r.GetId()}
	if err := d.dispatchRequest(ctx, vm, r, resp); err != nil {
		resp.ErrorCode = fault.Code(err)
		if resp.ErrorCode == "" {
			resp.ErrorCode = fault.Unavailable.FullName()
		}
		resp.ErrorText = err.Error()
		resp.ErrorReason = fault.Reason(err)
	}
	d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_Response{Response: resp}})
}

func (d *Daemon) dispatchRequest(ctx context.Context, vm string, r *api.Request, resp *api.Response) error {
	switch b := r.GetBody().(type) {
	case *api.Request_HandOver:
		err := d.adopt(vm, b.HandOver)
		resp.Body = &api.Response_HandOver{HandOver: &api.HandOverAck{Part: b.HandOver.GetPart()}}
		return err
	case *api.Request_SilenceVote:
		inc := machine.Incarnation(b.SilenceVote.GetIncarnation())
		known, succeeded := d.homes.Remembers(inc)
		reply := &api.SilenceVoteReply{
			Silent: d.homes.Silent(inc, b.SilenceVote.GetPromise(), d.o.Now()), Known: known, Succeeded: succeeded,
		}
		resp.Body = &api.Response_SilenceVote{SilenceVote: reply}
		if reply.Known && b.SilenceVote.GetRequestRecords() {
			d.peers.send(vm, d.homesMessage())
		}
		return nil
	case *api.Request_Claim:
		return d.serveClaim(ctx, vm, b.Claim, resp)
	default:
		return d.serveCall(ctx, r, resp)
	}
}

// serveCall serves a caller's call that a peer has forwarded.
func (d *Daemon) serveCall(ctx context.Context, r *api.Request, resp *api.Response) error {
	switch b := r.GetBody().(type) {
	case *api.Request_Submit:
		s, err := wire.SubmissionFrom(b.Submit)
		if err != nil {
			return err
		}
		a, err := d.Submit(ctx, s, time.Duration(b.Submit.GetWaitMs())*time.Millisecond)
		return setAnswer(resp, a, err)
	case *api.Request_Await:
		ref, err := wire.RefFrom(b.Await.GetJob())
		if err != nil {
			return err
		}
		a, err := d.Await(ctx, ref, time.Duration(b.Await.GetWaitMs())*time.Millisecond)
		return setAnswer(resp, a, err)
	case *api.Request_Cancel:
		ref, err := wire.RefFrom(b.Cancel.GetJob())
		if err != nil {
			return err
		}
		a, err := d.Cancel(ctx, ref)
		return setAnswer(resp, a, err)
	case *api.Request_Reconfigure:
		ref, err := wire.RefFrom(b.Reconfigure.GetJob())
		if err != nil {
			return err
		}
		p, err := d.Reconfigure(ctx, ref, contract.Change{
			Deadline: time.Duration(b.Reconfigure.GetDeadlineMs()) * time.Millisecond,
			Priority: int(b.Reconfigure.GetPriority()),
		})
		return d.setProgress(resp, p, err)
	case *api.Request_Status:
		ref, err := wire.RefFrom(b.Status.GetJob())
		if err != nil {
			return err
		}
		p, err := d.Status(ctx, ref)
		return d.setProgress(resp, p, err)
	default:
		return fault.Unavailable.New("request is not supported")
	}
}

func setAnswer(resp *api.Response, a contract.Answer, err error) error {
	if err == nil {
		resp.Body = &api.Response_Answer{Answer: wire.AnswerTo(a)}
	}
	return err
}

func (d *Daemon) setProgress(resp *api.Response, p contract.JobProgress, err error) error {
	if err == nil {
		resp.Body = &api.Response_Status{Status: wire.ProgressTo(p, d.o.Now())}
	}
	return err
}
