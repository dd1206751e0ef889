package entry

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// configKey is hashed with VM ids to choose the member that publishes snapshots and reports the position to other
	// failure domains.
	configKey = "config"
	// configInterval is the interval of snapshot checks and of reports to other failure domains.
	configInterval = time.Second
)

// applyConfiguration puts a document into effect. The services of the settings apply unless the document overrides
// them. A service that is removed from the document keeps its last declaration for its remaining tasks.
func (d *Daemon) applyConfiguration(v contract.ConfigView) {
	declared := make(map[string][]backend.KindSpec)
	for _, s := range d.o.Services {
		declared[s.Name()] = s.Kinds()
	}
	services, findings := config.CompileServices(v.Document)
	if len(findings) > 0 {
		// Accepted documents compile, unless one was accepted by another version of the program.
		d.o.Logger.Error("failed to compile the services of the configuration; their declarations stay unchanged",
			"revision", v.Revision, "finding", findings[0].Reason)
	}
	for _, s := range services {
		declared[s.Name()] = s.Kinds()
	}
	for name, kinds := range declared {
		d.dispatcher.Configure(name, withOverrides(name, kinds, v.Document.Kinds))
	}
	if err := d.dispatcher.ApplyCustomers(config.Customers(v.Revision, v.Document)); err != nil {
		d.o.Logger.Error("failed to apply the customers of the configuration; previous weights and quotas stay in effect",
			"revision", v.Revision, "error", err)
	}
	d.slots.reassign()
	d.timeline.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: v.Origin.ID, Count: int64(v.Revision)})
	d.o.Logger.Info("configuration in effect", "revision", v.Revision, "change", v.Origin.ID, "author", v.Origin.Author)
}

// withOverrides returns the declarations of a service's kinds with the overrides of the document.
func withOverrides(
	service string, kinds []backend.KindSpec, overrides map[string]contract.KindConfig,
) []backend.KindSpec {
	out := append([]backend.KindSpec(nil), kinds...)
	for i := range out {
		o, ok := overrides[service+"/"+out[i].Name]
		if !ok {
			continue
		}
		if o.DeadlineMS > 0 {
			out[i].Deadline = time.Duration(o.DeadlineMS) * time.Millisecond
		}
		if o.ExpectedMS > 0 {
			out[i].Expected = time.Duration(o.ExpectedMS) * time.Millisecond
		}
		if o.Weight > 0 {
			out[i].Weight = o.Weight
		}
		switch o.Class {
		case "short":
			out[i].Class = backend.ClassShort
		case "long":
			out[i].Class = backend.ClassLong
		}
	}
	return out
}

func (d *Daemon) recordVerdict(v contract.ConfigVerdict) {
	if !v.Accepted {
		d.timeline.Record(timeline.Event{Kind: timeline.ConfigRejected, Detail: v.ID + ": " + v.Reason})
		d.o.Logger.Info("configuration change rejected", "change", v.ID, "author", v.Author, "reason", v.Reason)
	}
}

// requireConfiguration refuses jobs until this process has a configuration in effect. Until then no job
// has run under an id that this process minted, so the refusal proves that the job has not run.
func (d *Daemon) requireConfiguration() error {
	if !d.configs.inEffect().Known {
		return fault.With(fault.Overloaded, "no configuration", "neither the log nor a peer has shown the configuration")
	}
	return nil
}

// sendMissingConfiguration sends records to a peer that is behind. All members of the peer's failure domain know its
// position: the chosen one sends at once, the others only if the peer stays behind.
func (d *Daemon) sendMissingConfiguration(vm string, position uint64) {
	var others []machine.EntryVM
	for _, m := range d.domain.Live() {
		if m.ID != vm {
			others = append(others, m)
		}
	}
	chosen, ok := zone.Choose(configKey+"/"+vm, others)
	otherDomain := d.peers.domainOf(vm) != d.o.Domain
	if !d.configs.shouldSend(vm, position, otherDomain || (ok && chosen.ID == d.o.VM.ID)) {
		return
	}
	if m := d.configs.recordsFor(position); m != nil {
		d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_ConfigRecords{ConfigRecords: m}})
	}
}

// maintainConfiguration publishes snapshots when it is this VM's turn. The chosen member also reports its position to
// one VM of each other failure domain, so that a failure domain that is cut off from the platform is detected.
func (d *Daemon) maintainConfiguration(ctx context.Context) {
	domains := d.peers.otherDomains()
	all := append([]machine.EntryVM(nil), d.domain.Live()...)
	for _, vms := range domains {
		all = append(all, vms...)
	}
	d.configs.publishSnapshot(ctx, zone.Rank(configKey, d.o.VM.ID, all))
	if vm, ok := zone.Choose(configKey, d.domain.Live()); !ok || vm.ID != d.o.VM.ID {
		return
	}
	position, revision := d.configs.position()
	for _, vms := range domains {
		if vm, ok := zone.Choose(configKey, vms); ok {
			d.peers.send(vm.ID, &api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: &api.Heartbeat{
				Leaving: d.dispatcher.Draining(), ConfigOffset: position, ConfigRevision: revision,
			}}})
		}
	}
}

// Configuration implements rpc.ConfigurationSource.
func (d *Daemon) Configuration() (machine.EntryVM, contract.ConfigView) {
	return d.o.VM, d.configs.inEffect()
}
