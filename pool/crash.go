package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// crashConfirmation is how long a worker refuses connections before it is treated as crashed. A listener that is being
	// replaced is back sooner.
	crashConfirmation = 150 * time.Millisecond
	// maxSilence is how long polls may fail in other ways before the first refused connection, or the reply of the next
	// incarnation, for the worker still to count as crashed. When a process exits, its connections close at once. A longer
	// silence points to a power loss or a network fault, which no task has caused.
	maxSilence = 400 * time.Millisecond
)

// crashWatch collects what the polls of a worker show about the end of its process. Timeouts are no evidence: the worker
// or the way to it may be at fault. It is reset by each reply.
type crashWatch struct {
	// failingSince is when the first poll that failed was sent, or its connection broke while the worker could still delay its
	// reply; refusedSince is when the worker began to refuse connections.
	failingSince time.Time
	refusedSince time.Time
	// silent is set once the polls fail in a way that is not that of a crashed process.
	silent bool
	// crash is the crash that has been recorded for this incarnation, nil if none has.
	crash *contract.WorkerCrash
}

// recordFailure records a poll that failed, and since when the worker may have failed to reply.
func (w *crashWatch) recordFailure(sent, failingSince, now time.Time, err error) {
	if w.failingSince.IsZero() {
		w.failingSince = failingSince
	}
	first := w.refusedSince.IsZero()
	if first && now.Sub(w.failingSince) > maxSilence {
		w.silent = true
	}
	switch refused := fault.IsConnectionRefused(err); {
	case refused && first:
		w.refusedSince = now
	case !refused && !first && sent.After(w.refusedSince):
		w.silent = true
	}
}

// refusing reports whether the worker has refused all connections since the loss of contact.
func (w *crashWatch) refusing() bool { return !w.refusedSince.IsZero() && !w.silent }

// endedBy returns when the end of the process was first noticed, by a refused connection or else now by the reply of another
// process.
func (w *crashWatch) endedBy(now time.Time) time.Time {
	if w.refusedSince.IsZero() {
		return now
	}
	return w.refusedSince
}

// watchFailure records a failed poll, and a crash once the worker has refused connections for long enough. p.mu is held.
func (p *Pool) watchFailure(h *ownedHost, sent, failingSince, now time.Time, err error, fx *effects) {
	h.watch.recordFailure(sent, failingSince, now, err)
	if h.watch.refusing() && now.Sub(h.watch.refusedSince) >= crashConfirmation {
		p.recordCrash(h, h.watch.refusedSince, "refuses connections", nil, fx)
	}
}

// watchReply records that the worker has replied. If the incarnation that was treated as crashed replies, it was not.
// p.mu is held.
func (p *Pool) watchReply(h *ownedHost, startTime int64, fx *effects) {
	if c := h.watch.crash; c != nil && c.StartTime == startTime {
		for _, r := range h.runs {
			r.crashed = false
		}
		refuted := *c
		refuted.Refuted = true
		fx.crashes = append(fx.crashes, refuted)
		p.o.Logger.Info("worker that refused connections answers again; it had not crashed", "worker", c.Worker)
	}
	h.watch = crashWatch{}
}

// recordCrash records that the known incarnation of a worker has crashed under its runs. Only those that are known to have
// begun there are blamed: a start that was on its way may have found the worker down. Those that a later incarnation lists
// are not over. Each of the others ends as crashed, once it is proven to have ended. The crash of an idle worker is recorded
// too, since it shows that workers crash by themselves. The exit of a worker that drains is no crash, nor is a restart after
// a silence. p.mu is held.
func (p *Pool) recordCrash(h *ownedHost, at time.Time, cause string, listed []link.RunningRun, fx *effects) {
	if h.watch.crash != nil || h.watch.silent || h.host.Draining() {
		return
	}
	c := contract.WorkerCrash{
		Worker: h.address.Worker, StartTime: h.host.StartTime, Backend: p.o.Backend, At: at,
	}
	for key, r := range h.runs {
		if !r.mayHaveRun || lists(listed, key) {
			continue
		}
		if !r.begun || r.workerStart != h.host.StartTime {
			c.Shared = true
			continue
		}
		r.crashed = true
		c.Tasks = append(c.Tasks, contract.CrashedTask{Key: key.Task(), Route: r.order.Route})
	}
	if len(c.Tasks) == 0 && c.Shared {
		return
	}
	h.watch.crash = &c
	fx.crashes = append(fx.crashes, c)
	if len(c.Tasks) == 0 {
		p.o.Logger.Info("idle worker has crashed", "worker", c.Worker, "cause", cause, logattr.Since("since_contact", at, h.host.Contacted()))
		return
	}
	p.counter(metric.PoolRunsCrashed).Inc(int64(len(c.Tasks)))
	p.o.Logger.Warn("worker has crashed with its runs", "worker", c.Worker, "cause", cause, "tasks", taskNames(c.Tasks),
		logattr.Since("since_contact", at, h.host.Contacted()))
}

func taskNames(tasks []contract.CrashedTask) []string {
	names := make([]string, len(tasks))
	for i, t := range tasks {
		names[i] = t.Key.String()
	}
	return names
}

func lists(running []link.RunningRun, key contract.RunKey) bool {
	for _, r := range running {
		if r.Key == key {
			return true
		}
	}
	return false
}
