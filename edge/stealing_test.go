package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	stolenJob      = "0000000000000001"
	stolenTasks    = 24
	stolenRunTime  = 600 * time.Millisecond
	stealingWindow = 30 * time.Millisecond
)

// stealing is a deployment of one failure domain in which the workers of one owner, idle, take no tasks, while tasks of a job
// wait at the others, full among them.
type stealing struct {
	*deployment
	home, full, idle string
	answer           <-chan batch.Answer
}

// newStealing returns such a deployment.
func newStealing(t *testing.T, steal bool) *stealing {
	d := newDeploymentWith(deploymentOptions{overload: contract.OverloadPolicy{Steal: steal}}, t, 1, 3, 9)
	s := &stealing{deployment: d, idle: d.ownerOf("worker-0-0")}
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: stolenRunTime} }
	for i := range 9 {
		if owner := d.ownerOf(fmt.Sprintf("worker-0-%d", i)); owner != s.idle {
			s.full = owner
		}
	}
	for i := range 3 {
		if vm := fmt.Sprintf("edge-0-%d", i); vm != s.idle && vm != s.full {
			s.home = vm
		}
	}
	s.setDraining(true)
	time.Sleep(500 * time.Millisecond)
	s.answer = d.submit(s.home, testJob(stolenJob, stolenTasks, 20*time.Second))
	// The periodic checks of the home are as far away as possible.
	time.Sleep(300*time.Millisecond + tickInterval/5)
	if s.waitingAt(s.full) == 0 {
		d.close()
		require.Fail(t, "no task waits at the full owner")
	}
	return s
}

// workersOf returns the workers of an owner.
func (s *stealing) workersOf(vm string) []string { return s.daemons[vm].pool(testBackend).Owned() }

// setDraining lets the workers of the idle owner take no tasks, or take some again.
func (s *stealing) setDraining(draining bool) {
	workers := s.workersOf(s.idle)
	s.store.update(func() {
		for i := range s.store.workers {
			if slices.Contains(workers, s.store.workers[i].Worker) {
				s.store.workers[i].Draining = draining
			}
		}
	})
}

// waitingAt returns the expected run time of the tasks that wait at an owner.
func (s *stealing) waitingAt(vm string) time.Duration {
	var sum time.Duration
	for _, w := range s.daemons[vm].pool(testBackend).FreeCapacity().Waiting {
		sum += w
	}
	return sum
}

// startsAtIdle returns the number of runs that have started on the workers of the idle owner.
func (s *stealing) startsAtIdle() int {
	workers := s.workersOf(s.idle)
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	n := 0
	for _, w := range s.observer.started {
		if slices.Contains(workers, w) {
			n++
		}
	}
	return n
}

// invite delivers an invitation of the idle owner to the full one that echoes a timestamp of the given age.
func (s *stealing) invite(age time.Duration) {
	full, idle := s.daemons[s.full], s.daemons[s.idle]
	full.handleMessage(idle.self, s.idle, &api.PeerMessage{Body: &api.PeerMessage_TaskInvitation{TaskInvitation: &api.TaskInvitation{
		Backend: testBackend, StampMs: full.timestamp(time.Now().Add(-age)),
		Gaps: encodeGaps([]contract.FreeGap{{
			Free: machine.Resources{CPUMillis: 64_000, MemoryMB: 131_072}, Speed: 1, Tasks: 2,
		}}),
	}}})
}

// requireCompleted waits for the answer to the job and requires that each of its tasks has been done once. A job that was submitted
// to another home starts anew.
func (s *stealing) requireCompleted(t *testing.T) {
	t.Helper()
	require.Equal(t, batch.Completed, (<-s.answer).Outcome)
	if s.daemons[s.home] == nil {
		return
	}
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	for task, n := range s.observer.done {
		require.Equal(t, 1, n, "runs of %s that were done", task)
	}
}

// Guards against tasks that wait at a full owner until its home looks at them, while another owner has free capacity.
func TestOwnerWithFreeCapacityTakesWaitingTasksAtOnce(t *testing.T) {
	for _, steal := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			s := newStealing(t, steal)
			defer s.close()
			moved := s.sum(metric.BatchTasksMoved)
			s.setDraining(false)
			time.Sleep(stealingWindow)
			started := s.startsAtIdle()
			require.Equal(t, moved, s.sum(metric.BatchTasksMoved), "tasks moved by their home")
			if !steal {
				require.Zero(t, started)
				require.Zero(t, s.sum(metric.PoolInvitationsSent))
				return
			}
			require.Equal(t, 2*len(s.workersOf(s.idle)), started, "the workers of the idle owner are filled")
			received := s.sum(metric.PoolRunsReceived)
			require.GreaterOrEqual(t, received, int64(started))
			require.LessOrEqual(t, received, int64(maxInvited*started), "runs received for the free capacity")
			require.Equal(t, s.sum(metric.PoolRunsGivenUp), s.sum(metric.PoolRunsReceived))
			require.NotEmpty(t, s.log.linesWith("queued runs given up"))
			require.NotEmpty(t, s.log.linesWith("run received after an invitation"))
			s.requireCompleted(t)
			require.Equal(t, stolenTasks, s.observer.startsOf(stolenJob), "starts")
		})
	}
}

// Guards against messages without use: an owner without free capacity, or one that sees no waiting task, invites nobody.
func TestNobodyIsInvitedInVain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStealing(t, true)
		defer s.close()
		sent := s.sum(metric.PoolInvitationsSent)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, sent, s.sum(metric.PoolInvitationsSent), "all owners that take tasks are full")
		s.setDraining(false)
		s.requireCompleted(t)
		time.Sleep(time.Second)
		sent = s.sum(metric.PoolInvitationsSent)
		for i := range 3 {
			job := testJob(fmt.Sprintf("%016x", 10+i), 2, 10*time.Second)
			require.Equal(t, batch.Completed, (<-s.submit(fmt.Sprintf("edge-0-%d", i), job)).Outcome)
		}
		require.Equal(t, sent, s.sum(metric.PoolInvitationsSent), "no task has waited")
	})
}

// Guards against tasks that are lost or run twice when a machine or a link fails while runs pass from one owner to another.
func TestFailuresDuringStealing(t *testing.T) {
	for name, fail := range map[string]func(t *testing.T, s *stealing){
		"the inviting owner is lost after the invitation": func(_ *testing.T, s *stealing) {
			s.invite(0)
			s.killDaemon(s.idle)
		},
		"the inviting owner is lost when the task is ordered there": func(_ *testing.T, s *stealing) {
			s.net.setCut(func(a, b string) bool { return a == s.idle || b == s.idle })
			s.invite(0)
			synctest.Wait()
			s.killDaemon(s.idle)
		},
		"the invited owner is lost before its report": func(_ *testing.T, s *stealing) {
			s.net.setDelayed(func(from, _ string) bool { return from == s.full })
			s.invite(0)
			synctest.Wait()
			s.killDaemon(s.full)
			s.net.setDelayed(nil)
		},
		"the invited owner is lost after its report": func(_ *testing.T, s *stealing) {
			s.setDraining(false)
			s.invite(0)
			synctest.Wait()
			s.killDaemon(s.full)
		},
		"the home is lost after the report": func(_ *testing.T, s *stealing) {
			s.setDraining(false)
			s.invite(0)
			synctest.Wait()
			s.killDaemon(s.home)
			<-s.answer
			time.Sleep(resendDelay)
			s.answer = s.submit(s.full, testJob(stolenJob, stolenTasks, 20*time.Second))
		},
		"the link between the two owners is cut": func(t *testing.T, s *stealing) {
			s.net.setCut(func(a, b string) bool {
				return (a == s.idle && b == s.full) || (a == s.full && b == s.idle)
			})
			s.setDraining(false)
			time.Sleep(2 * time.Second)
			require.Positive(t, s.startsAtIdle())
		},
		"the invitation arrives late": func(t *testing.T, s *stealing) {
			given := s.sum(metric.PoolRunsGivenUp)
			s.invite(maxInvitationAge + 10*time.Millisecond)
			require.Equal(t, given, s.sum(metric.PoolRunsGivenUp))
			require.EqualValues(t, 1, s.sum(metric.PoolInvitationsLate))
		},
		"the invitation is repeated, and the inviting owner is full": func(t *testing.T, s *stealing) {
			for range 4 {
				s.invite(0)
				synctest.Wait()
			}
			require.Positive(t, s.sum(metric.PoolRunsGivenUp))
		},
		"the report arrives late": func(_ *testing.T, s *stealing) {
			s.net.setDelayed(func(from, to string) bool { return from == s.full && to == s.home })
			s.setDraining(false)
			s.invite(0)
			time.Sleep(500 * time.Millisecond)
			s.net.setDelayed(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newStealing(t, true)
				defer s.close()
				fail(t, s)
				s.requireCompleted(t)
			})
		})
	}
}
