package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
)

// fakeJobs is an entry VM that answers submissions by calling answer and counts them by job id.
type fakeJobs struct {
	Jobs
	home   uint64
	answer func(s contract.Submission) (contract.Answer, error)

	mu          sync.Mutex
	seq         uint64
	submissions map[contract.JobID]int
}

func (f *fakeJobs) Create(_ context.Context, n int) ([]contract.JobID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]contract.JobID, n)
	for i := range ids {
		f.seq++
		ids[i] = contract.JobID{Domain: 1, Home: machine.Incarnation(f.home), Seq: f.seq}
	}
	return ids, nil
}

func (f *fakeJobs) Submit(_ context.Context, s contract.Submission, _ time.Duration) (contract.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submissions[s.Ref.ID]++
	return f.answer(s)
}

func complete(s contract.Submission) (contract.Answer, error) {
	return contract.Answer{
		Job: s.Ref.ID, Verdict: contract.VerdictComplete, Results: [][]byte{{1}},
		Reports: []contract.TaskReport{{Outcome: contract.OutcomeDone}},
	}, nil
}

var oneTask = contract.Submission{Tasks: make([]contract.TaskSpec, 1)}

// startClient serves the given entry VMs and returns a client of them.
func startClient(t *testing.T, vms ...*fakeJobs) *Client {
	t.Helper()
	var addresses []string
	for i, vm := range vms {
		vm.home, vm.submissions = uint64(i+1), make(map[contract.JobID]int)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := Serve(l, vm, ServerOptions{Now: time.Now, Metrics: metrics.NewRegistry()})
		t.Cleanup(func() { s.Stop(context.Background()) })
		addresses = append(addresses, l.Addr().String())
	}
	c, err := NewClient(addresses, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against a second run of a job whose first copy may have reached its home: after a lost reply the client must
// keep the id.
func TestClientKeepsIDAfterLostReply(t *testing.T) {
	lost := &fakeJobs{answer: func(contract.Submission) (contract.Answer, error) {
		return contract.Answer{}, fault.Unavailable.New("reply lost")
	}}
	other := &fakeJobs{answer: func(s contract.Submission) (contract.Answer, error) {
		return contract.UnknownAnswer(s.Ref.ID, 1, fault.ReasonHomeGone, "gone"), nil
	}}
	a, err := startClient(t, lost, other).Run(t.Context(), oneTask)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictFailed, a.Verdict)
	require.Equal(t, map[contract.JobID]int{a.Job: 1}, lost.submissions)
	require.Equal(t, map[contract.JobID]int{a.Job: 1}, other.submissions)
}

// Guards against a job that fails although its home stopped or died before the first copy was sent: the client must
// submit it under another id.
func TestClientReplacesIDThatDidNotRun(t *testing.T) {
	for name, first := range map[string]func(contract.Submission) (contract.Answer, error){
		"draining": func(contract.Submission) (contract.Answer, error) {
			return contract.Answer{}, fault.With(fault.Draining, fault.ReasonDraining, "stopping")
		},
		"home gone": func(s contract.Submission) (contract.Answer, error) {
			return contract.UnknownAnswer(s.Ref.ID, 1, fault.ReasonHomeGone, "gone"), nil
		},
		"id too old": func(contract.Submission) (contract.Answer, error) {
			return contract.Answer{}, fault.With(fault.Expired, fault.ReasonIDTooOld, "old")
		},
	} {
		t.Run(name, func(t *testing.T) {
			vm := &fakeJobs{}
			vm.answer = func(s contract.Submission) (contract.Answer, error) {
				if s.Ref.ID.Seq == 1 {
					return first(s)
				}
				return complete(s)
			}
			a, err := startClient(t, vm).Run(t.Context(), oneTask)
			require.NoError(t, err)
			require.Equal(t, contract.VerdictComplete, a.Verdict)
			require.Len(t, vm.submissions, 2)
			require.Equal(t, 1, vm.submissions[contract.JobID{Domain: 1, Home: 1, Seq: 1}])
		})
	}
}

// Guards against a job that runs twice: a job whose outcome is unknown must not be submitted under another id, nor must
// one whose id the caller has chosen.
func TestClientNeverReplacesIDThatMayHaveRun(t *testing.T) {
	reason := "outcome unknown"
	vm := &fakeJobs{answer: func(s contract.Submission) (contract.Answer, error) {
		return contract.UnknownAnswer(s.Ref.ID, 1, reason, "gone"), nil
	}}
	c := startClient(t, vm)
	a, err := c.Run(t.Context(), oneTask)
	require.NoError(t, err)
	require.Len(t, vm.submissions, 1)
	reason = fault.ReasonHomeGone
	again := oneTask
	again.Ref.ID = a.Job
	_, err = c.Do(t.Context(), again)
	require.NoError(t, err)
	require.Equal(t, map[contract.JobID]int{a.Job: 2}, vm.submissions)
}
