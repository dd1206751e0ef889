package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

// recordWaiting updates the gauges of the work that waits at the own workers.
func (d *Daemon) recordWaiting(capacities map[string]zone.BackendCapacity) {
	if !d.o.Overload.Shed {
		return
	}
	var waiting [zone.Priorities]time.Duration
	total := time.Duration(0)
	for _, c := range capacities {
		for p, w := range c.Waiting {
			waiting[p] += w
			total += w
		}
	}
	for p, w := range waiting {
		d.gauge(metric.PoolWaitingMsOf(p)).Update(w.Milliseconds())
	}
	d.gauge(metric.PoolWaitingMs).Update(total.Milliseconds())
}

func (d *Daemon) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, d.o.Metrics)
}
