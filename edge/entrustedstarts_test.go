package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a start without a reply that is lost with the member to which it was entrusted: that one announces it as soon as
// it counts its owner as lost, and is lost itself right after that.
func TestEntrustedStartsAreAnnouncedBeforeTheNextStatus(t *testing.T) {
	unknown := make(map[time.Duration]int)
	for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 20 * time.Millisecond {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeployment(t, 2, 2, 1)
			defer d.close()
			time.Sleep(3*time.Second + phase)
			owner, keeper := d.daemons["edge-0-0"], d.daemons["edge-0-1"]
			key := lateTask
			key.Run = 7
			owner.report(owner.self, testBackend, contract.RunReport{
				Key: key, State: contract.RunQueued, Worker: "w", MayHaveStarted: true, LateWorkers: []string{"w"},
			})
			time.Sleep(10 * time.Millisecond)
			d.killDaemon("edge-0-0")
			for n := 0; n < 2000 && keeper.lateStarts.Empty(); n++ {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			d.killDaemon("edge-0-1")
			for _, m := range d.daemons {
				if m.lateStarts.Empty() {
					unknown[phase]++
				}
			}
		})
	}
	require.Empty(t, unknown, "members without the record, by phase")
}
