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
	// stalledAfter is the time without a heartbeat tick after which the process is reported as unhealthy.
	stalledAfter = 10 * heartbeatInterval
	// overloadWait is the expected wait above which this VM reports itself as not ready, so that the load balancer
	// prefers others. It is the shortest deadline of the deployments' request kinds: above it, admission refuses
	// requests of those kinds anyway.
	overloadWait = 2 * time.Second
)

// adminState is the state of the daemon for its admin endpoints.
type adminState struct {
	server        *admin.Server
	started       time.Time
	serving       atomic.Bool
	lastHeartbeat atomic.Int64 // Unix time in nanoseconds of the last heartbeat tick
}

// startAdmin starts the admin server before the daemon serves callers, so that the startup can be observed.
func (d *Daemon) startAdmin() {
	d.adminState.started = d.o.Now()
	d.adminState.lastHeartbeat.Store(d.adminState.started.UnixNano())
	d.registerGauges()
	if d.o.AdminListener != nil {
		d.adminState.server = admin.Serve(admin.Options{
			Listener: d.o.AdminListener, Source: d, Timeline: d.timeline, Metrics: d.o.Metrics,
		})
	}
}

// stopAdmin stops the admin server. It is the last part to stop, so that a drain can be observed.
func (d *Daemon) stopAdmin() {
	if d.adminState.server == nil {
		return
	}
	if err := d.adminState.server.Stop(); err != nil {
		d.o.Logger.Warn("admin server did not stop cleanly", "error", err)
	}
}

// registerGauges registers metrics of current values, which are computed when they are read.
func (d *Daemon) registerGauges() {
	gauge := func(name string, read func() int) {
		metrics.NewRegisteredFunctionalGauge(name, d.o.Metrics, func() int64 { return int64(read()) })
	}
	gauge(metric.MembersLive, d.LiveMembers)
	gauge(metric.QueueWaiting, func() int {
		n := 0
		for _, sched := range d.dispatcher.Schedulers() {
			depth := sched.View().Depth
			n += depth.Short + depth.Long
		}
		return n
	})
	gauge(metric.SlotsHeld, func() int {
		n := 0
		for _, sched := range d.dispatcher.Schedulers() {
			v := sched.View()
			n += v.Idle + v.Busy
		}
		return n
	})
}

// count adds n to a counter. It is meant for events that are rare compared with task starts.
func (d *Daemon) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, d.o.Metrics).Inc(int64(n))
}

// Health implements admin.Source.
func (d *Daemon) Health() error {
	if silent := d.o.Now().Sub(time.Unix(0, d.adminState.lastHeartbeat.Load())); silent > stalledAfter {
		return fmt.Errorf("no heartbeat tick for %s", silent.Round(time.Millisecond))
	}
	return nil
}

// Readiness implements admin.Source.
func (d *Daemon) Readiness() admin.Readiness {
	var reasons []string
	if !d.adminState.serving.Load() {
		reasons = append(reasons, "starting")
	}
	if d.dispatcher.Draining() {
		reasons = append(reasons, "draining")
	}
	schedulers := d.dispatcher.Schedulers()
	if d.requireConfiguration() != nil {
		reasons = append(reasons, "no configuration")
	}
	if len(schedulers) == 0 {
		reasons = append(reasons, "no service is configured")
	}
	if !d.anyWorker() {
		reasons = append(reasons, "no worker has reported")
	}
	for _, sched := range schedulers {
		if v := sched.View(); expectedWait(v) > overloadWait {
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

// expectedWait returns the queued work of a service scheduler divided by the slots that it holds.
func expectedWait(v dispatch.SchedulerView) time.Duration {
	work := v.Depth.ShortWork + v.Depth.LongWork
	return work / time.Duration(max(1, v.Idle+v.Busy))
}
