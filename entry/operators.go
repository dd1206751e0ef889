package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/admin"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// stalledAfter is the time without a heartbeat tick after which the process counts as unhealthy.
	stalledAfter = 10 * heartbeatInterval
	// overloadWait is the expected wait at which the balancer is told to prefer other VMs: the shortest deadline
	// of the deployments' request kinds, beyond which admission refuses them anyway.
	overloadWait = 2 * time.Second
)

// operators is what the daemon keeps for its admin side.
type operators struct {
	server   *admin.Server
	started  time.Time
	serving  atomic.Bool
	lastBeat atomic.Int64
}

// serveOperators starts the admin side before the daemon serves callers, so that it can report the start itself.
func (d *Daemon) serveOperators() {
	d.operators.started = d.o.Now()
	d.operators.lastBeat.Store(d.operators.started.UnixNano())
	d.registerGauges()
	if d.o.Admin != nil {
		d.operators.server = admin.Serve(admin.Options{
			Listener: d.o.Admin, Source: d, Timeline: d.timeline, Metrics: d.o.Metrics,
		})
	}
}

// stopOperators ends the admin side last, so that a drain can be watched.
func (d *Daemon) stopOperators() {
	if d.operators.server == nil {
		return
	}
	if err := d.operators.server.Stop(); err != nil {
		d.o.Logger.Warn("admin server did not stop cleanly", "error", err)
	}
}

// registerGauges makes current amounts visible as metrics. They are computed when they are read.
func (d *Daemon) registerGauges() {
	gauge := func(name string, read func() int) {
		metrics.NewRegisteredFunctionalGauge(name, d.o.Metrics, func() int64 { return int64(read()) })
	}
	gauge(metric.MembersLive, d.LiveMembers)
	gauge(metric.QueueWaiting, func() int {
		n := 0
		for _, l := range d.dispatcher.Lanes() {
			depth := l.View().Depth
			n += depth.Short + depth.Long
		}
		return n
	})
	gauge(metric.SlotsHeld, func() int {
		n := 0
		for _, l := range d.dispatcher.Lanes() {
			v := l.View()
			n += v.Idle + v.Busy
		}
		return n
	})
}

// count adds to a counter. It is for events that are rare next to task starts.
func (d *Daemon) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, d.o.Metrics).Inc(int64(n))
}

// Health implements admin.Source.
func (d *Daemon) Health() error {
	if silent := d.o.Now().Sub(time.Unix(0, d.operators.lastBeat.Load())); silent > stalledAfter {
		return fmt.Errorf("no heartbeat tick for %s", silent.Round(time.Millisecond))
	}
	return nil
}

// Readiness implements admin.Source.
func (d *Daemon) Readiness() admin.Readiness {
	var reasons []string
	if !d.operators.serving.Load() {
		reasons = append(reasons, "starting")
	}
	if d.dispatcher.Draining() {
		reasons = append(reasons, "draining")
	}
	lanes := d.dispatcher.Lanes()
	if d.configured() != nil {
		reasons = append(reasons, "no configuration")
	}
	if len(lanes) == 0 {
		reasons = append(reasons, "no service is configured")
	}
	if !d.anyWorker() {
		reasons = append(reasons, "no worker has reported")
	}
	for _, l := range lanes {
		if v := l.View(); expectedWait(v) > overloadWait {
			reasons = append(reasons, "overload of "+v.Service)
		}
	}
	return admin.Readiness{Ready: len(reasons) == 0, Reasons: reasons}
}

func (d *Daemon) anyWorker() bool {
	for _, w := range d.fleet.All() {
		if w.Incarnation() != 0 {
			return true
		}
	}
	return false
}

// expectedWait is the waiting work of a lane divided by the slots that it holds.
func expectedWait(v dispatch.LaneView) time.Duration {
	work := v.Depth.ShortWork + v.Depth.LongWork
	return work / time.Duration(max(1, v.Idle+v.Busy))
}
