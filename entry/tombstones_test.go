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

// Guards against a member that reports the jobs of a planned stop as lost because the tombstone cannot reach it from
// the home: its links to the home are cut, and the log is read rarely.
func TestTombstoneReachesMembersThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 3, 1)
		defer c.close()
		time.Sleep(2 * time.Second)
		const home = machine.Incarnation(77)
		successor, isolated := c.members[c.vms[1].ID], c.members[c.vms[2].ID]
		record := successor.tombstone(zone.Succession{
			Home: home, VM: "stopped", Successor: successor.o.VM.Incarnation, SuccessorVM: successor.o.VM.ID, Complete: true,
		})
		require.Equal(t, zone.HomeUnknown, isolated.homes.Locate(home, time.Now()).State)
		successor.receiveTombstone(record)
		time.Sleep(time.Second)
		require.Equal(t, successor.o.VM.Incarnation, isolated.homes.Locate(home, time.Now()).Incarnation)
	})
}
