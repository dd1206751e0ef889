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

// workerEvents is the size of a worker's ring; several hundred workers run in one process.
const workerEvents = 2048

// workerTimeline records a worker's events in the causal order of the entry VMs that start its tasks.
type workerTimeline struct {
	clock *timeline.Clock
	ring  *timeline.Ring
	id    machine.WorkerID
}

func newWorkerTimeline(id string, inc machine.Incarnation) workerTimeline {
	clock := &timeline.Clock{}
	p := timeline.Process{VM: id, Incarnation: inc}
	return workerTimeline{clock: clock, ring: timeline.NewRing(p, workerEvents, clock, time.Now), id: machine.WorkerID(id)}
}

// record merges the request's logical time, records an event and puts the worker's time into the reply. The event is
// of kind refused if a reason is given.
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
