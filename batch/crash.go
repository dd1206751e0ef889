package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// givenUpReason is the reason of a job that failed because workers crashed under one of its tasks.
const givenUpReason = "workers crashed while running one of its tasks"

// Crashed gives up the tasks that have crashed too many workers. It is called after a crash has been recorded.
func (h *Home) Crashed(c contract.WorkerCrash) {
	if c.Refuted {
		return
	}
	now := h.o.Now()
	out := h.newOutbox()
	for _, task := range c.Tasks {
		s := h.shard(task.Key.Batch)
		s.mu.Lock()
		if j, ok := s.jobs[task.Key.Batch]; ok && j.state == jobActive {
			h.giveUp(j, task.Key, now, out)
			h.advance(j, now, out)
		}
		s.mu.Unlock()
	}
	out.send()
}

// giveUp ends the job of a task that must not start again. The lock of the job's shard is held.
func (h *Home) giveUp(j *job, task contract.RunKey, now time.Time, out *outbox) {
	if h.o.Crashes.Judge(task) != contract.GivenUp {
		return
	}
	h.counter(metric.BatchTasksGivenUp).Inc(1)
	h.o.Logger.Warn("task given up: workers crashed while running it", "task", task.Task().String(),
		"route", j.batch.Route, "time_left", j.batch.Deadline.Sub(now))
	h.endJob(j, Failed, givenUpReason, now, out)
}

// crashedBefore returns the answer to a job of which a task has been given up, nil if there is none.
func (h *Home) crashedBefore(b contract.Batch) *Answer {
	task, ok := h.o.Crashes.GivenUpTask(b.ID)
	if !ok {
		return nil
	}
	h.counter(metric.BatchTasksGivenUp).Inc(1)
	h.o.Logger.Warn("job failed: one of its tasks has been given up", "job", b.ID, "route", b.Route, "task", task.String())
	return &Answer{Outcome: Failed, Reason: givenUpReason}
}

// suspect reports whether the next run of a task must be alone on its worker, since a worker has crashed under the task and
// not under others too at the same time.
func (h *Home) suspect(j *job, t *task) bool {
	switch verdict := h.o.Crashes.Judge(j.key(t)); {
	case verdict == contract.CrashedInWaves:
		h.o.Logger.Info("workers have crashed in a wave; the task on one of them is not suspected", "task", j.key(t).String(),
			"route", j.batch.Route)
		return false
	case verdict == contract.NoCrash && !t.crashed:
		return false
	}
	h.counter(metric.BatchTasksSuspected).Inc(1)
	h.o.Logger.Info("a worker has crashed under the task; its next run is alone on a worker", "task", j.key(t).String(),
		"route", j.batch.Route)
	return true
}
