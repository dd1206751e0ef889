package entry_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/standin"
)

// blockingDeployment is a deployment whose tasks block until release is closed.
type blockingDeployment struct {
	*load.Deployment
	release chan struct{}

	mu      sync.Mutex
	started map[string]int
}

func startBlockingDeployment(t *testing.T, entryVMs int) *blockingDeployment {
	t.Helper()
	s := &blockingDeployment{release: make(chan struct{}), started: make(map[string]int)}
	var err error
	s.Deployment, err = load.StartDeployment(load.DeploymentOptions{
		Domains: 1, EntryVMs: entryVMs, Workers: 1, Slots: 2, Services: load.DemoServices,
		Work: func(_, _ string, payload []byte) ([]byte, time.Duration, error) {
			<-s.release
			return payload, 0, nil
		},
		OnStart: func(task string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.started[task]++
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.Zero(t, s.Counter(metric.InvariantViolations))
		s.Close()
	})
	return s
}

func (s *blockingDeployment) client(t *testing.T, entries ...int) *rpc.Client {
	t.Helper()
	var addresses []string
	for _, i := range entries {
		addresses = append(addresses, s.Entries[i].CallerAddress)
	}
	c, err := rpc.NewClient(addresses, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func (s *blockingDeployment) starts(id contract.JobID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[contract.TaskID{Job: id}.String()]
}

func oneTaskSubmission(id contract.JobID) contract.Submission {
	return contract.Submission{
		Ref: contract.JobRef{ID: id}, Service: "glashaus.v1.Booking", Customer: "c", Team: "t", Deadline: time.Minute,
		Tasks: []contract.TaskSpec{{Kind: "PriceHire", Payload: []byte(id.String())}},
	}
}

// submittedJob is a job with a caller that waits for its answer.
type submittedJob struct {
	id     contract.JobID
	answer chan contract.Answer
}

// submit submits n jobs and returns once their home knows them.
func (s *blockingDeployment) submit(t *testing.T, c *rpc.Client, n int) []submittedJob {
	t.Helper()
	jobs := make([]submittedJob, n)
	for i := range jobs {
		id, err := c.NewJob(t.Context())
		require.NoError(t, err)
		jobs[i] = submittedJob{id: id, answer: make(chan contract.Answer, 1)}
		go func() {
			a, err := c.Do(t.Context(), oneTaskSubmission(id))
			if err == nil {
				jobs[i].answer <- a
			}
			close(jobs[i].answer)
		}()
	}
	for _, j := range jobs {
		require.Eventually(t, func() bool {
			_, err := c.Status(t.Context(), contract.JobRef{ID: j.id})
			return err == nil
		}, 10*time.Second, 5*time.Millisecond)
	}
	return jobs
}

func (s *blockingDeployment) requireComplete(t *testing.T, jobs []submittedJob) {
	t.Helper()
	for _, j := range jobs {
		a := <-j.answer
		require.Equal(t, contract.VerdictComplete, a.Verdict, "%s: %s", a.Reason, a.Detail)
		require.Equal(t, j.id, a.Job)
		require.Equal(t, j.id.String(), string(a.Results[0]))
		require.Equal(t, 1, s.starts(j.id))
	}
}

// Guards against a job that is lost, run twice or left unanswered by a planned stop, also during an outage of the log.
// Running jobs complete at the old home, waiting jobs at the successor, and both answer callers and later calls.
func TestPlannedStopLosesNothing(t *testing.T) {
	for name, logDown := range map[string]bool{"log up": false, "log down": true} {
		t.Run(name, func(t *testing.T) {
			s := startBlockingDeployment(t, 3)
			s.Platform.SetFaults(standin.PlatformFaults{LogDown: logDown})
			jobs := s.submit(t, s.client(t, 0, 1, 2), 6)
			require.Eventually(t, func() bool { return s.Counter(metric.TasksStarted) >= 2 }, 10*time.Second, 5*time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				s.Entries[0].Daemon.Stop(context.Background())
				close(stopped)
			}()
			close(s.release)
			s.requireComplete(t, jobs)
			<-stopped
			for _, other := range []int{1, 2} {
				c := s.client(t, other)
				for _, j := range jobs {
					a, err := c.Await(t.Context(), contract.JobRef{ID: j.id})
					require.NoError(t, err)
					require.Equal(t, contract.VerdictComplete, a.Verdict)
				}
			}
		})
	}
}

// Guards against jobs that are lost when VMs are replaced within the same minute: the successor stops during the
// hand-over to it.
func TestSuccessorsStopTogether(t *testing.T) {
	s := startBlockingDeployment(t, 4)
	jobs := s.submit(t, s.client(t, 0, 1, 2, 3), 6)
	var stops sync.WaitGroup
	for _, e := range s.Entries[:3] {
		stops.Go(func() { e.Daemon.Stop(context.Background()) })
	}
	close(s.release)
	s.requireComplete(t, jobs)
	stops.Wait()
	c := s.client(t, 3)
	for _, j := range jobs {
		a, err := c.Await(t.Context(), contract.JobRef{ID: j.id})
		require.NoError(t, err)
		require.Equal(t, contract.VerdictComplete, a.Verdict)
	}
}

// Guards against a guessed outcome of the jobs of a crashed entry VM, against different answers from different VMs, and
// against a second run by resubmission.
func TestJobsOfCrashedHomeAreReportedUnknown(t *testing.T) {
	s := startBlockingDeployment(t, 3)
	jobs := s.submit(t, s.client(t, 0), 3)
	s.Entries[0].Daemon.Kill()
	close(s.release)
	for _, other := range []int{1, 2} {
		c := s.client(t, other)
		for _, j := range jobs {
			a, err := c.Do(t.Context(), oneTaskSubmission(j.id))
			require.NoError(t, err)
			require.Equal(t, contract.VerdictFailed, a.Verdict)
			require.Equal(t, contract.OutcomeUnknown, a.Reports[0].Outcome)
			require.LessOrEqual(t, s.starts(j.id), 1)
		}
	}
}

// Guards against a VM that does not know of a planned stop, and against a wrong answer for an id that the stopped home
// never accepted.
func TestRefusalAfterPlannedStopIsProven(t *testing.T) {
	s := startBlockingDeployment(t, 2)
	close(s.release)
	id, err := s.client(t, 0).NewJob(t.Context())
	require.NoError(t, err)
	s.Entries[0].Daemon.Stop(context.Background())
	a, err := s.client(t, 1).Do(t.Context(), oneTaskSubmission(id))
	require.NoError(t, err)
	require.Equal(t, contract.VerdictRefused, a.Verdict)
	require.Equal(t, fault.ReasonHomeClosed, a.Reason)
	require.Zero(t, s.starts(id))
}

// Guards against a link that fails on a job of the maximum size, whose envelope exceeds the default limit of drpc.
func TestLargestJobIsForwarded(t *testing.T) {
	s := startBlockingDeployment(t, 2)
	close(s.release)
	id, err := s.client(t, 0).NewJob(t.Context())
	require.NoError(t, err)
	large := oneTaskSubmission(id)
	large.Tasks = nil
	for range contract.MaxJobBytes / contract.MaxPayloadBytes {
		large.Tasks = append(large.Tasks, contract.TaskSpec{Kind: "PriceHire", Payload: make([]byte, contract.MaxPayloadBytes)})
	}
	a, err := s.client(t, 1).Do(t.Context(), large)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictComplete, a.Verdict, a.Detail)
	require.Len(t, a.Results, len(large.Tasks))
}
