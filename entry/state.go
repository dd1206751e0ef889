package entry

import (
	"sort"

	"github.com/cicadadale/cicadadale/admin"
	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/zone"
)

// Process implements admin.Source.
func (d *Daemon) Process() admin.ProcessView {
	return admin.ProcessView{
		VM: d.o.VM.ID, Incarnation: d.o.VM.Incarnation.String(), FailureDomain: int(d.o.Domain),
		Region: string(d.o.Region), Started: d.adminState.started, Unfinished: d.table.Unfinished(),
	}
}

// Members implements admin.Source.
func (d *Daemon) Members() []zone.MemberView { return d.domain.Members(d.o.Now()) }

// Workers implements admin.Source.
func (d *Daemon) Workers() []admin.WorkerView {
	var out []admin.WorkerView
	for _, w := range d.fleet.All() {
		spec, inc := w.Spec(), w.Incarnation()
		out = append(out, admin.WorkerView{
			ID: string(spec.ID), Address: spec.Address, Service: spec.Service, Rack: spec.Rack, Slots: spec.Slots,
			Speed: w.Speed(), Health: w.HealthAt(d.o.Now()).String(), Incarnation: inc.String(), Reported: inc != 0, Leaving: spec.Leaving,
		})
	}
	return out
}

// Links implements admin.Source.
func (d *Daemon) Links() []admin.LinkView {
	var out []admin.LinkView
	for _, l := range d.peers.all() {
		v := l.View(d.o.Now())
		out = append(out, admin.LinkView{
			VM: v.VM, Address: v.Address, Open: v.Open, Queued: v.Queued, Unacked: v.Unacked,
			SilentMS: v.Silent.Milliseconds(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Queues implements admin.Source.
func (d *Daemon) Queues() []admin.QueueView {
	var out []admin.QueueView
	for _, sched := range d.dispatcher.Schedulers() {
		v := sched.View()
		out = append(out, admin.QueueView{
			Service: v.Service, WaitingShort: v.Depth.Short, WaitingLong: v.Depth.Long,
			ShortWorkMS: v.Depth.ShortWork.Milliseconds(), LongWorkMS: v.Depth.LongWork.Milliseconds(),
			SlotsIdle: v.Idle, SlotsBusy: v.Busy,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// Grants implements admin.Source.
func (d *Daemon) Grants() []admin.GrantView {
	var out []admin.GrantView
	for _, st := range d.slots.all() {
		for _, w := range st.allocator.View() {
			v := admin.GrantView{
				Service: st.name, Worker: string(w.Worker), Slots: w.Slots, Free: w.Free, Closed: w.Closed,
				Holders: []admin.HolderView{},
			}
			for _, h := range w.Holders {
				v.Holders = append(v.Holders, admin.HolderView{VM: h.Member, Short: h.Short, Long: h.Long})
			}
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Worker < out[j].Worker
	})
	return out
}

// Quotas implements admin.Source.
func (d *Daemon) Quotas() []admin.QuotaView {
	var out []admin.QuotaView
	for _, u := range d.dispatcher.Teams().Usages() {
		out = append(out, admin.QuotaView{
			Customer: u.Key.Customer, Team: u.Key.Team, Quota: u.Quota, Share: u.Share, Running: u.Running,
			Waiting: u.Waiting,
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Customer != out[j].Customer {
			return out[i].Customer < out[j].Customer
		}
		return out[i].Team < out[j].Team
	})
	return out
}

// Config implements admin.Source.
func (d *Daemon) Config() admin.ConfigView {
	c := d.configs.inEffect()
	v := admin.ConfigView{Revision: c.Revision, Offset: c.Next, Services: []admin.ServiceView{}}
	for _, sched := range d.dispatcher.Schedulers() {
		v.Services = append(v.Services, serviceView(sched.Service()))
	}
	sort.Slice(v.Services, func(i, j int) bool { return v.Services[i].Name < v.Services[j].Name })
	return v
}

func serviceView(s *backend.Service) admin.ServiceView {
	v := admin.ServiceView{Name: s.Name()}
	for _, spec := range s.Kinds() {
		kind, ok := s.Kind(spec.Name)
		if !ok {
			continue
		}
		v.Kinds = append(v.Kinds, admin.KindView{
			Name: spec.Name, Class: kind.Class().String(), DeadlineMS: spec.Deadline.Milliseconds(),
			ExpectedMS: kind.Expected().Milliseconds(), Weight: spec.Weight,
		})
	}
	sort.Slice(v.Kinds, func(i, j int) bool { return v.Kinds[i].Name < v.Kinds[j].Name })
	return v
}
