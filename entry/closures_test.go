package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against a planned stop whose jobs are answered as lost by a member that the closure cannot reach from the home:
// its links to the home are cut, and the log is read only now and then.
func TestClosureReachesMembersThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 3, 1)
		defer c.close()
		time.Sleep(2 * time.Second)
		const home = machine.Incarnation(77)
		successor, cut := c.members[c.vms[1].ID], c.members[c.vms[2].ID]
		record := successor.closure(zone.Succession{
			Home: home, VM: "stopped", Successor: successor.o.VM.Incarnation, SuccessorVM: successor.o.VM.ID, Complete: true,
		})
		require.Equal(t, zone.HomeUnknown, cut.homes.Locate(home, time.Now()).State)
		successor.closureFrom(record)
		time.Sleep(time.Second)
		require.Equal(t, successor.o.VM.Incarnation, cut.homes.Locate(home, time.Now()).Incarnation)
	})
}
