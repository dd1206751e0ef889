package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Times of the case cancel-cut. The partition lasts as long as node_cut in the first site file.
const (
	cutTime = 5500 * time.Millisecond
	// submitAfter and cancelAfter are the times from the start of the partition to the submissions and the cancels.
	submitAfter = 300 * time.Millisecond
	cancelAfter = time.Second
	stepTime    = 400 * time.Millisecond
	steps       = 20
	// jobLimit is the time for which clients wait for the answer to a job.
	jobLimit = 15 * time.Second
)

// cancelledJob is a job with the ack of its cancel. mu guards the ack.
type cancelledJob struct {
	id   string
	home *daemon

	mu  sync.Mutex
	ack answer
}

// cancelCut cancels jobs at a daemon that is partitioned from the others, among them the daemons that have accepted the jobs.
func cancelCut(r *recorder, program string, trouble bool) (bool, error) {
	g, err := newRig(r, program, 3, machine.Resources{CPUMillis: 1000, MemoryMB: 64}, func(contract.RunKey) time.Duration { return stepTime })
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return false, err
	}
	defer g.keepLogs()
	cut := g.daemon("edge-cork-a-2")
	heal := func() {}
	if trouble {
		g.printf("%s is partitioned from all other daemons", cut.vm)
		heal = g.cutOff(cut)
	}
	var jobs []*cancelledJob
	var clients sync.WaitGroup
	time.Sleep(submitAfter)
	for _, d := range g.daemons {
		if d == cut {
			continue
		}
		j := &cancelledJob{id: newID(), home: d}
		jobs = append(jobs, j)
		clients.Go(func() {
			g.printf("client sends job %s to %s", j.id, j.home.vm)
			a := g.call(j.home, http.MethodPost, j.id, chain(j.id), jobLimit)
			g.printf("answer to job %s by %s: %s", j.id, j.home.vm, a)
		})
	}
	time.Sleep(cancelAfter - submitAfter)
	for _, j := range jobs {
		clients.Go(func() {
			g.printf("client cancels job %s at %s", j.id, cut.vm)
			a := g.call(cut, http.MethodDelete, j.id, nil, jobLimit)
			g.printf("answer to the cancel of job %s by %s: %s", j.id, cut.vm, a)
			j.mu.Lock()
			j.ack = a
			j.mu.Unlock()
		})
	}
	time.Sleep(cutTime - cancelAfter)
	healed := time.Now()
	heal()
	if trouble {
		g.printf("the partition ends")
	}
	clients.Wait()
	return g.checkCancels(jobs, cut, healed)
}

// chain returns a job whose steps run one after the other.
func chain(id string) []byte { return chainOf(id, steps) }

// chainOf returns a job of a number of steps that run one after the other.
func chainOf(id string, count int) []byte {
	var list []map[string]any
	for n := range count {
		step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": stepTime.Milliseconds()}
		if n > 0 {
			step["depends_on"] = []int{n - 1}
		}
		list = append(list, step)
	}
	body, err := json.Marshal(map[string]any{"task_spec": id, "best_effort": true, "steps": list})
	if err != nil {
		panic(err)
	}
	return body
}

// checkCancels looks for tasks that were started later than cancelTime after the ack of the cancel of their job, by a daemon that
// was in touch: by another one than that which was partitioned, before the partition ended.
func (g *rig) checkCancels(jobs []*cancelledJob, cut *daemon, healed time.Time) (broken bool, err error) {
	acknowledged := 0
	for _, j := range jobs {
		j.mu.Lock()
		ack := j.ack
		j.mu.Unlock()
		if ack.err != nil || (ack.status != http.StatusOK && ack.status != http.StatusGone) {
			continue
		}
		acknowledged++
		for _, run := range g.runs() {
			late := run.at.Sub(ack.at)
			if run.key.Batch != j.id || late <= cancelTime || run.at.After(healed) || run.caller == cut.vm {
				continue
			}
			broken = true
			g.printf("UNASKED: %s started %s on the order of %s, %v after the cancel of its job was acknowledged", run.worker, run.key, run.caller, late)
		}
	}
	g.printf("%d of %d cancels were acknowledged", acknowledged, len(jobs))
	if len(g.runs()) == 0 {
		return false, errors.New("no task was started")
	}
	return broken, nil
}
