package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/standin"
)

// keyedDeployment is a deployment of two failure domains with a client of each entry VM. It counts the starts on the
// workers.
type keyedDeployment struct {
	*load.Deployment
	clients []*rpc.Client

	mu     sync.Mutex
	starts map[string]int
}

func startKeyedDeployment(t *testing.T) *keyedDeployment {
	t.Helper()
	k := &keyedDeployment{starts: make(map[string]int)}
	d, err := load.StartDeployment(load.DeploymentOptions{
		Domains: 2, EntryVMs: 2, Workers: 1, Slots: 8, Services: load.DemoServices, Work: standin.DemoWork,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnStart: func(task string) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.starts[task]++
		},
	})
	require.NoError(t, err)
	t.Cleanup(d.Close)
	k.Deployment = d
	for _, a := range d.CallerAddresses() {
		c, err := rpc.NewClient([]string{a}, nil)
		require.NoError(t, err)
		t.Cleanup(c.Close)
		k.clients = append(k.clients, c)
	}
	return k
}

// totalStarts returns the number of starts of all tasks.
func (k *keyedDeployment) totalStarts() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, s := range k.starts {
		n += s
	}
	return n
}

func keySubmission(text string, tasks int) contract.Submission {
	key := &contract.CallerKey{Customer: "glashaus", Text: text, CreatedUnixMS: time.Now().UnixMilli()}
	s := contract.Submission{Ref: contract.JobRef{Key: key}, Service: "glashaus.v1.Booking", Customer: "glashaus"}
	for range tasks {
		s.Tasks = append(s.Tasks, contract.TaskSpec{Kind: "PriceHire"})
	}
	return s
}

// Guards against a second run of a key that is submitted concurrently to all entry VMs of two failure domains with
// different contents, and against calls by key that fail at entry VMs other than the home.
func TestKeyRunsOnceAcrossFailureDomains(t *testing.T) {
	k := startKeyedDeployment(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answers := make([]contract.Answer, len(k.clients))
	errs := make([]error, len(k.clients))
	first := keySubmission("k", 1)
	var wg sync.WaitGroup
	for i, c := range k.clients {
		wg.Go(func() {
			s := keySubmission("k", 1+i%2)
			s.Ref = first.Ref
			answers[i], errs[i] = c.Do(ctx, s)
		})
	}
	wg.Wait()
	for i := range answers {
		require.NoError(t, errs[i])
		require.Equal(t, contract.VerdictComplete, answers[i].Verdict, answers[i].Detail)
		require.Equal(t, answers[0], answers[i])
	}
	require.Equal(t, len(answers[0].Results), k.totalStarts())
	for _, c := range k.clients {
		a, err := c.Await(ctx, first.Ref)
		require.NoError(t, err)
		require.Equal(t, answers[0], a)
		st, err := c.Status(ctx, first.Ref)
		require.NoError(t, err)
		require.Equal(t, answers[0].Job.String(), st.GetJobId())
	}
}

// Guards against reporting "not run" for a key that runs later: in an outage a new key is refused and never runs, and a
// key that has run receives its answer from every entry VM.
func TestKeysInLogOutage(t *testing.T) {
	k := startKeyedDeployment(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ran := keySubmission("ran", 1)
	want, err := k.clients[0].Do(ctx, ran)
	require.NoError(t, err)
	for _, c := range k.clients[1:] {
		_, err := c.Await(ctx, ran.Ref)
		require.NoError(t, err)
	}
	k.Platform.SetFaults(standin.PlatformFaults{LogDown: true})
	for _, c := range k.clients {
		a, err := c.Do(ctx, ran)
		require.NoError(t, err)
		require.Equal(t, want, a)
	}
	fresh := keySubmission("fresh", 1)
	for _, c := range k.clients {
		a, err := c.Do(ctx, fresh)
		require.NoError(t, err)
		require.Equal(t, contract.VerdictRefused, a.Verdict, a.Detail)
	}
	require.Equal(t, 1, k.totalStarts())
	k.Platform.SetFaults(standin.PlatformFaults{})
	// A delegate may still refuse until its backoff after a failed read has passed; it must serve again before ctx
	// expires.
	a := contract.Answer{Verdict: contract.VerdictRefused}
	for n := 0; a.Verdict == contract.VerdictRefused; n++ {
		a, err = k.clients[0].Do(ctx, keySubmission(fmt.Sprint("after", n), 1))
		require.NoError(t, err)
	}
	require.Equal(t, contract.VerdictComplete, a.Verdict, a.Detail)
	require.Equal(t, 2, k.totalStarts())
}
