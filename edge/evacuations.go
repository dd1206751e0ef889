package edge

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

// evacuations is the newest known set of evacuated failure domains. mu guards the fields below it; it is locked after all others but those
// of ledgers, also while the lock of a home's shard is held.
type evacuations struct {
	mu      sync.Mutex
	current contract.Evacuations
	// read is set once any set has been applied, also that of a topic without records.
	read bool
}

func (e *evacuations) known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.read
}

func (e *evacuations) get() contract.Evacuations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// replace applies a set unless it is older than the current one. It returns the last set, and whether other domains are
// evacuated now.
func (e *evacuations) replace(newer contract.Evacuations) (last contract.Evacuations, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, e.read = e.current, true
	if newer.Version <= last.Version {
		return last, false
	}
	e.current = newer
	return last, !slices.Equal(last.Domains, newer.Domains)
}

// setEvacuations applies a set of evacuated failure domains, unless it is older than the current one.
func (d *Daemon) setEvacuations(e contract.Evacuations, source string) {
	last, changed := d.evacuations.replace(e)
	if !changed {
		return
	}
	d.o.Logger.Info("evacuations applied", "version", e.Version, "last", last.Version, "domains", e.Domains,
		"last_domains", last.Domains, "source", source)
	metrics.GetOrRegisterGauge(metric.DomainsEvacuated, d.o.Metrics).Update(int64(len(e.Domains)))
	d.applyPolicies()
}

// evacuated reports whether each listed worker of a back end that can hold a task is in an evacuated failure domain.
func (d *Daemon) evacuated(backend string, need machine.Resources, label string) bool {
	e := d.evacuations.get()
	return len(e.Domains) > 0 && d.workers.fitsOnlyIn(e, backend, need, label)
}

// fitsOnlyIn reports whether workers of a back end can hold a task, and all of these are in evacuated failure domains.
func (w *workers) fitsOnlyIn(e contract.Evacuations, backend string, need machine.Resources, label string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fits := false
	for _, l := range w.largest {
		if l.Backend != backend || !l.CanHold(need, label) {
			continue
		}
		if !e.Contains(l.Zone) {
			return false
		}
		fits = true
	}
	return fits
}

func encodeEvacuations(e contract.Evacuations) *api.Evacuations {
	return &api.Evacuations{Version: e.Version, Domains: e.Domains}
}

func decodeEvacuations(m *api.Evacuations) contract.Evacuations {
	domains := slices.DeleteFunc(slices.Clone(m.GetDomains()), func(domain string) bool { return domain == "" })
	return contract.NewEvacuations(m.GetVersion(), domains)
}
