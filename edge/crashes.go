package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// workerCrashed records the crash of an own worker, or that one has been refuted, and tells all members.
func (d *Daemon) workerCrashed(c contract.WorkerCrash) {
	d.recordCrash(c)
	d.announced.Announce(announcement{at: d.o.Now(), encode: func(now time.Time) *api.PeerMessage {
		return encodeCrash(c, now)
	}})
}

// recordCrash records the crash of a worker, and gives up the tasks that have crashed too many.
func (d *Daemon) recordCrash(c contract.WorkerCrash) {
	if d.crashes.Record(c, d.o.Now()) {
		d.home.Crashed(c)
	}
}

// updateCrashes drops the crashes that no longer count, and confines or releases routes.
func (d *Daemon) updateCrashes(now time.Time) {
	d.crashes.Expire(now)
	crashes := d.crashes.Crashes()
	if len(crashes) == 0 {
		return
	}
	confined, released := d.confined.Update(crashes, d.workers.count, now)
	for _, route := range confined {
		metrics.GetOrRegisterCounter(metric.RoutesConfined, d.o.Metrics).Inc(1)
		d.o.Logger.Warn("workers crash under a route; confining its tasks to some workers", "route", route)
	}
	for _, route := range released {
		metrics.GetOrRegisterCounter(metric.RoutesReleased, d.o.Metrics).Inc(1)
		d.o.Logger.Info("no more workers crash under a route; releasing its tasks", "route", route)
	}
}

// crashList returns all crashes that count, for a member that has just joined.
func (d *Daemon) crashList() []*api.PeerMessage {
	now := d.o.Now()
	var list []*api.PeerMessage
	for _, c := range d.crashes.Crashes() {
		list = append(list, encodeCrash(c, now))
	}
	return list
}

// encodeCrash converts the time to an age, since the clocks of two VMs differ.
func encodeCrash(c contract.WorkerCrash, now time.Time) *api.PeerMessage {
	m := &api.WorkerCrash{
		Worker: c.Worker, Born: c.StartTime, Backend: c.Backend, AgeMs: clampMillis(now.Sub(c.At)), Refuted: c.Refuted,
		Shared: c.Shared,
	}
	for _, t := range c.Tasks {
		m.Tasks = append(m.Tasks, &api.CrashedTask{Key: encodeKey(t.Key), Route: t.Route})
	}
	return &api.PeerMessage{Body: &api.PeerMessage_WorkerCrash{WorkerCrash: m}}
}

func decodeCrash(m *api.WorkerCrash, now time.Time) contract.WorkerCrash {
	c := contract.WorkerCrash{
		Worker: m.GetWorker(), StartTime: m.GetBorn(), Backend: m.GetBackend(), Refuted: m.GetRefuted(), Shared: m.GetShared(),
		At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
	for _, t := range m.GetTasks() {
		c.Tasks = append(c.Tasks, contract.CrashedTask{Key: decodeKey(t.GetKey()).Task(), Route: t.GetRoute()})
	}
	return c
}
