package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
)

// fakeJobs is an entry VM that answers submissions with a function and counts them by id.
type fakeJobs struct {
	Jobs
	home   uint64
	answer func(s contract.Submission) (contract.Answer, error)

	mu   sync.Mutex
	seq  uint64
	seen map[contract.JobID]int
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
	f.seen[s.Ref.ID]++
	return f.answer(s)
}

func complete(s contract.Submission) (contract.Answer, error) {
	return contract.Answer{
		Job: s.Ref.ID, Verdict: contract.VerdictComplete, Results: [][]byte{{1}},
		Reports: []contract.TaskReport{{Outcome: contract.OutcomeDone}},
	}, nil
}

// start serves the given entry VMs and returns a client of them and a job.
func start(t *testing.T, vms ...*fakeJobs) (*Client, contract.Submission) {
	t.Helper()
	var addresses []string
	for i, vm := range vms {
		vm.home, vm.seen = uint64(i+1), make(map[contract.JobID]int)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := Serve(l, vm, time.Now, nil)
		t.Cleanup(func() { s.Stop(context.Background()) })
		addresses = append(addresses, l.Addr().String())
	}
	c, err := NewClient(addresses, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	id, err := c.NewJob(t.Context())
	require.NoError(t, err)
	return c, contract.Submission{Ref: contract.JobRef{ID: id}, Tasks: make([]contract.TaskSpec, 1)}
}

// Guards against a second run of a job whose first copy may have reached its home: after a lost reply the id must stay.
func TestClientKeepsIDAfterLostReply(t *testing.T) {
	lost := &fakeJobs{answer: func(contract.Submission) (contract.Answer, error) {
		return contract.Answer{}, fault.Unavailable.New("reply lost")
	}}
	other := &fakeJobs{answer: func(s contract.Submission) (contract.Answer, error) {
		return contract.UnknownAnswer(s.Ref.ID, 1, fault.ReasonHomeGone, "gone"), nil
	}}
	c, s := start(t, lost, other)
	a, err := c.Do(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, s.Ref.ID, a.Job)
	require.Equal(t, contract.VerdictFailed, a.Verdict)
	require.Len(t, other.seen, 1)
}

// Guards against a caller left without service by a home that stops or is gone before the first copy of a job was sent.
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
			var old contract.JobID
			vm := &fakeJobs{}
			vm.answer = func(s contract.Submission) (contract.Answer, error) {
				if s.Ref.ID == old {
					return first(s)
				}
				return complete(s)
			}
			c, s := start(t, vm)
			old = s.Ref.ID
			a, err := c.Do(t.Context(), s)
			require.NoError(t, err)
			require.Equal(t, contract.VerdictComplete, a.Verdict)
			require.NotEqual(t, old, a.Job)
			require.Equal(t, 1, vm.seen[old])
		})
	}
}

// Guards against doubled work: a job whose outcome is unknown, or whose id was submitted before, is never submitted
// under another id.
func TestClientNeverReplacesIDThatMayHaveRun(t *testing.T) {
	reason := "outcome unknown"
	vm := &fakeJobs{answer: func(s contract.Submission) (contract.Answer, error) {
		return contract.UnknownAnswer(s.Ref.ID, 1, reason, "gone"), nil
	}}
	c, s := start(t, vm)
	for range 2 {
		a, err := c.Do(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, contract.VerdictFailed, a.Verdict)
		reason = fault.ReasonHomeGone
	}
	require.Len(t, vm.seen, 1)
}
