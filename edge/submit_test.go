package edge

import (
	"context"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

func testJob(id string, tasks int, limit time.Duration) contract.Batch {
	now := time.Now()
	return contract.Batch{
		ID: id, Route: "r", Backend: testBackend, Spec: []byte("spec"), Attempts: 2, TargetFactor: 1.6,
		TargetSlack: 60 * time.Millisecond, Accepted: now, Deadline: now.Add(limit),
		Steps: []contract.Step{{
			Count: tasks, Need: machine.Resources{CPUMillis: taskCPU, MemoryMB: 64}, Estimate: 200 * time.Millisecond,
		}},
	}
}

// submit submits a job in the background. The channel receives its answer.
func (d *deployment) submit(vm string, b contract.Batch) <-chan batch.Answer {
	out := make(chan batch.Answer, 1)
	d.daemonsMu.Lock()
	daemon := d.daemons[vm]
	d.daemonsMu.Unlock()
	require.NotNil(d.t, daemon, vm)
	d.wg.Go(func() { out <- daemon.Submit(context.Background(), b) })
	return out
}

// submitUntilAnswered submits a job as a client does, which submits it again after an answer without a result.
func (d *deployment) submitUntilAnswered(vm string, b contract.Batch) <-chan batch.Answer {
	out := make(chan batch.Answer, 1)
	d.wg.Go(func() {
		answer := <-d.submit(vm, b)
		for answer.Outcome == batch.Abandoned && time.Until(b.Deadline) > resendDelay {
			time.Sleep(resendDelay)
			b.Accepted = time.Now()
			answer = <-d.submit(vm, b)
		}
		out <- answer
	})
	return out
}
