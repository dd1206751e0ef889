package edge

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// sum adds up a counter of all daemons.
func (d *deployment) sum(counter string) int64 {
	var n int64
	for _, daemon := range d.daemons {
		n += metrics.GetOrRegisterCounter(counter, daemon.o.Metrics).Count()
	}
	return n
}

// idleMessages returns the messages that a daemon sends per second in a deployment without jobs.
func idleMessages(t *testing.T, zones, daemonsPerZone int) float64 {
	var rate float64
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, zones, daemonsPerZone, 3)
		defer d.close()
		time.Sleep(3 * time.Second)
		before, replaced := d.sum(metric.PeerMessagesSent), d.sum(metric.PeerLinksReplaced)
		const seconds = 4
		time.Sleep(seconds * time.Second)
		require.Equal(t, replaced, d.sum(metric.PeerLinksReplaced), "links replaced although nothing is silent")
		rate = float64(d.sum(metric.PeerMessagesSent)-before) / seconds / float64(zones*daemonsPerZone)
	})
	return rate
}

// Guards against control messages that grow with the number of VMs: more VMs in the same failure domains may cost each
// of them half as much again, as stated for 300 VMs against 30.
func TestIdleMessagesDoNotGrowWithMembers(t *testing.T) {
	small, large := idleMessages(t, 3, 11), idleMessages(t, 3, 26)
	t.Logf("messages a VM and second: %.0f with 33 VMs, %.0f with 78", small, large)
	require.LessOrEqual(t, large, 1.5*small)
}

// Guards against a full failure domain whose jobs wait although others are idle, when its members place tasks only at
// partners there.
func TestFullDomainUsesOthersThroughPartners(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const daemons, workers, jobs = 18, 6, 30
		d := newDeployment(t, 3, daemons, workers)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		// The failure domain runs 12 tasks at a time, the others run 24.
		var answers []<-chan batch.Answer
		for i := range jobs {
			answers = append(answers, d.submit(fmt.Sprintf("edge-0-%d", i%daemons), testJob(fmt.Sprintf("%016x", i), 1, 3*time.Second)))
			time.Sleep(10 * time.Millisecond)
		}
		start := time.Now()
		for _, a := range answers {
			require.Equal(t, batch.Completed, (<-a).Outcome)
		}
		require.Less(t, time.Since(start), 700*time.Millisecond, "run time of two rounds")
	})
}

// Guards against a new desired state that every member sends to every other one: the documents fill the links of small
// VMs for seconds.
func TestDesiredStateIsNotSentUnasked(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 5, 2)
		defer d.close()
		const size = 1_000_000
		document := bytes.Repeat([]byte("x"), size)
		before := d.sum(metric.PeerBytesSent)
		d.store.update(func() { d.store.desired.Version, d.store.desired.Document = 2, document })
		time.Sleep(time.Second)
		require.Less(t, d.sum(metric.PeerBytesSent)-before, int64(size), "bytes sent after a change")

		// A member that the store turns away gets the next one from one of the others.
		d.store.update(func() { d.store.unavailable["edge-1-0"] = true })
		d.store.update(func() {
			d.store.desired.Version, d.store.desired.Document = 3, append(document, 'y')
		})
		before = d.sum(metric.PeerBytesSent)
		time.Sleep(2 * time.Second)
		daemon := d.daemons["edge-1-0"]
		daemon.mu.Lock()
		version := daemon.desired.Version
		daemon.mu.Unlock()
		require.EqualValues(t, 3, version)
		require.Less(t, d.sum(metric.PeerBytesSent)-before, int64(2*size), "bytes sent to one member that is behind")
	})
}

// Guards against announcements of idle workers to all members: after a restart of many VMs they fill the links.
func TestTakeoversOfIdleWorkersStayInTheirDomain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const zones, daemons, workers = 3, 6, 8
		d := newDeployment(t, zones, daemons, workers)
		defer d.close()
		acquired := d.sum(metric.PoolWorkersAcquired)
		require.GreaterOrEqual(t, acquired, int64(zones*workers))
		require.LessOrEqual(t, d.sum(metric.PeerMessagesSentOfKind("worker_takeover")), acquired*(daemons-1))
	})
}
