package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// ageOrder orders a task with a message that echoes a timestamp of the given age.
func (f *fixture) ageOrder(job string, age time.Duration) (key contract.RunKey, sent time.Time) {
	f.setRunTime(job, 10*time.Second)
	f.setSize(job, 500)
	key, sent = contract.RunKey{Batch: job, Run: 1}, time.Now().Add(-age)
	f.pool.Order(testHome, contract.TaskOrder{
		Key: key, Backend: "s", Need: machine.Resources{CPUMillis: 500}, Accepted: sent,
		Target: sent.Add(time.Second), Deadline: sent.Add(20 * time.Second), Expected: time.Second,
	}, sent)
	return key, sent
}

// Guards against a run that outlives the time at which its home treats it as ended: the previous owner of the worker had
// extended its lease just before, and nothing runs there when the next owner acquires it.
func TestRunOnIdleWorkerOfPreviousOwnerDoesNotOutliveItsRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.calls.dropStops.Store(true)
		token := f.ownedToken() + 1
		f.pool.SetHosts(nil)
		host := f.calls.hosts["w0"]
		reply, err := host.Poll(context.Background(), link.HostPoll{Token: token})
		require.NoError(t, err)
		_, err = host.Poll(context.Background(), link.HostPoll{Token: token, LeaseEnd: reply.Clock + maxLease})
		require.NoError(t, err)
		f.pool.SetHosts(f.list)
		time.Sleep(10 * time.Millisecond)
		require.NotZero(t, f.ownedToken())
		_, sent := f.ageOrder("outlives", 700*time.Millisecond)
		time.Sleep(3 * time.Second)
		if end := f.observer.endOf("outlives"); !end.IsZero() {
			require.LessOrEqual(t, end.Sub(sent), leaseAfterRefresh)
		}
	})
}
