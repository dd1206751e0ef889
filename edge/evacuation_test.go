package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// evacuationBound is the time after the operator's write from which on no task starts on the workers of an evacuated domain.
const evacuationBound = 5 * time.Second

// evacuatedWorkers begins the names of the workers of the domain that is evacuated.
const evacuatedWorkers = "worker-1-"

// evacuate publishes the set of evacuated failure domains.
func (d *deployment) evacuate(domains ...string) {
	d.store.update(func() {
		d.store.evacuations = contract.NewEvacuations(d.store.evacuations.Version+1, domains)
	})
}

// startsInEvacuated returns the number of starts on the workers of the domain that is evacuated.
func (r *runObserver) startsInEvacuated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, worker := range r.started {
		if strings.HasPrefix(worker, evacuatedWorkers) {
			n++
		}
	}
	return n
}

// load submits a job with one task to each daemon every 100 ms, and returns the answers.
func (d *deployment) load(name int, duration time.Duration) []<-chan batch.Answer {
	var answers []<-chan batch.Answer
	vms := make([]string, 0, len(d.daemons))
	for vm := range d.daemons {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, vm := range vms {
			answers = append(answers, d.submit(vm, testJob(fmt.Sprintf("%08x%08x", name, n), 1, 3*time.Second)))
			n++
		}
	}
	return answers
}

func requireCompleted(t *testing.T, answers []<-chan batch.Answer) {
	t.Helper()
	for i, answer := range answers {
		require.Equal(t, batch.Completed, (<-answer).Outcome, "job %d", i)
	}
}

// Guards against starts in an evacuated domain by an owner that the store turns away, against jobs that are lost with it, and
// against a domain that stays out of service after it was taken back.
func TestEvacuatedDomainGetsNoTask(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2, 6)
		defer d.close()
		requireCompleted(t, d.load(1, time.Second))
		require.Positive(t, d.observer.startsInEvacuated())
		d.store.update(func() { d.store.unavailable["edge-1-0"] = true })
		d.evacuate("zone-1")
		evacuated := time.Now()
		answers := d.load(2, evacuationBound)
		require.WithinDuration(t, evacuated.Add(evacuationBound), time.Now(), 0)
		before := d.observer.startsInEvacuated()
		answers = append(answers, d.load(3, 3*time.Second)...)
		require.Equal(t, before, d.observer.startsInEvacuated(), "starts in the evacuated domain")
		requireCompleted(t, answers)
		require.NotEmpty(t, d.log.linesWith(`msg="evacuations applied" vm=edge-1-0`))
		d.evacuate()
		time.Sleep(2 * time.Second)
		for _, vm := range []string{"edge-1-0", "edge-1-1"} {
			owned := d.daemons[vm].pool(testBackend).Owned()
			require.NotEmpty(t, owned, vm)
			require.Positive(t, d.daemons[vm].pool(testBackend).FreeCapacity().Slots, "slots at %s", vm)
		}
		requireCompleted(t, d.load(4, time.Second))
		require.Greater(t, d.observer.startsInEvacuated(), before, "starts after the domain was taken back")
	})
}

// Guards against a member that learns neither of an evacuation nor of its end while the store turns it away, and against the
// document of the desired state being sent with each.
func TestMemberLearnsEvacuationsFromAnother(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 2)
		defer d.close()
		d.store.update(func() { d.store.unavailable["edge-1-0"] = true })
		member := d.daemons["edge-1-0"]
		for _, domains := range [][]string{{"zone-1"}, {"zone-0", "zone-1"}, nil} {
			d.evacuate(domains...)
			time.Sleep(2 * time.Second)
			require.Equal(t, d.store.evacuations, member.evacuations.get())
			for _, line := range d.log.linesWith("sending the desired state") {
				require.Contains(t, line, " version=0 ")
			}
		}
		d.store.update(func() { d.store.desired.Version, d.store.desired.Document = 2, []byte("2") })
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 2, member.desiredVersion())
	})
}

func (d *Daemon) desiredVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desired.Version
}

// Guards against an older set that replaces a newer one, whichever arrives later.
func TestOlderEvacuationsHaveNoEffect(t *testing.T) {
	var e evacuations
	_, changed := e.replace(contract.NewEvacuations(5, []string{"a"}))
	require.True(t, changed)
	for _, older := range []contract.Evacuations{contract.NewEvacuations(4, nil), contract.NewEvacuations(5, []string{"b"})} {
		_, changed = e.replace(older)
		require.False(t, changed)
		require.Equal(t, contract.NewEvacuations(5, []string{"a"}), e.get())
	}
	_, changed = e.replace(contract.NewEvacuations(6, []string{"a"}))
	require.False(t, changed, "the same domains under a newer version")
	require.EqualValues(t, 6, e.get().Version)
}

// Guards against jobs that are kept until their deadline, or are said to have run, while all domains are evacuated; and against
// running tasks that are ended by it.
func TestJobsAreRefusedWhileAllDomainsAreEvacuated(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 1, 1)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 3 * time.Second} }
		running := d.submit("edge-0-0", testJob("00000000000000aa", 4, 20*time.Second))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 4, d.observer.startsOf("00000000000000aa"), "tasks that fill all slots")
		queued := d.submit("edge-0-0", testJob("00000000000000bb", 1, 20*time.Second))
		time.Sleep(100 * time.Millisecond)
		d.evacuate("zone-0", "zone-1")
		evacuated := time.Now()
		answer := <-queued
		require.Equal(t, batch.Refused, answer.Outcome)
		require.Positive(t, answer.RetryAfter)
		require.Less(t, time.Since(evacuated), time.Second)
		answer = <-d.submit("edge-1-0", testJob("00000000000000cc", 1, 20*time.Second))
		require.Equal(t, batch.Refused, answer.Outcome)
		require.Positive(t, answer.RetryAfter)
		require.Equal(t, batch.Completed, (<-running).Outcome)
		require.Zero(t, d.observer.startsOf("00000000000000bb")+d.observer.startsOf("00000000000000cc"))
		d.evacuate()
		time.Sleep(time.Second)
		require.Equal(t, batch.Completed, (<-d.submit("edge-1-0", testJob("00000000000000cc", 1, 20*time.Second))).Outcome)
	})
}
