package standin

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// workerEvents is the capacity of a worker's ring. It is small, since several hundred workers run in one process.
const workerEvents = 2048

// workerTimeline records a worker's events in causal order with those of the entry VMs that start its tasks.
type workerTimeline struct {
	clock *timeline.Clock
	ring  *timeline.Ring
	id    machine.WorkerID
}

func newWorkerTimeline(id string, inc machine.Incarnation) workerTimeline {
	clock := &timeline.Clock{}
	p := timeline.Process{VM: id, Incarnation: inc}
	return workerTimeline{
		clock: clock, ring: timeline.NewRing(p, workerEvents, clock, time.Now), id: machine.WorkerID(id),
	}
}

// record merges the request's logical time into the clock, records an event and adds the worker's logical time to the
// reply. The event is of kind refused if reason is not empty.
func (t workerTimeline) record(c *app.RequestContext, accepted, refused timeline.Kind, reason string) {
	if remote, err := strconv.ParseUint(string(c.GetHeader(link.HeaderLamport)), 10, 64); err == nil {
		t.clock.Observe(remote)
	}
	kind := accepted
	if reason != "" {
		kind = refused
	}
	if id, err := contract.ParseTaskID(c.Param("id")); err == nil {
		t.ring.Task(kind, id, t.id, reason)
	}
	c.Header(link.HeaderLamport, strconv.FormatUint(t.clock.Tick(), 10))
}
