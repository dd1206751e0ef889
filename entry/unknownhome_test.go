package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against a member that reports the jobs of a planned stop as lost although others know the successor (soak
// seed 354900535): it was cut off while the home started and stopped, so that it has no record of either.
func TestMemberThatMissedAHomeAsksTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 3, 2)
		defer c.close()
		time.Sleep(zone.SilenceLimit)
		asked, other := c.member("entry-0"), c.member("entry-1")
		successor := c.member("entry-2").o.VM
		id := contract.JobID{Domain: 1, Home: 77, Seq: 1}
		other.homes.SetSuccession(zone.Succession{
			Home: id.Home, VM: "entry-9", Successor: successor.Incarnation, SuccessorVM: successor.ID, Complete: true,
		}, time.Now())
		_, _, err := asked.locate(t.Context(), id)
		require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
		time.Sleep(time.Second)
		vm, _, err := asked.locate(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, successor.ID, vm, "the successor, from the records of the other member")

		// A home whose end this member has seen, but not its tombstone.
		id.Home = 79
		asked.homes.MarkGone("entry-8", id.Home, time.Now())
		other.homes.SetSuccession(zone.Succession{
			Home: id.Home, VM: "entry-8", Successor: successor.Incarnation, SuccessorVM: successor.ID, Complete: true,
		}, time.Now())
		_, _, err = asked.locate(t.Context(), id)
		require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
		time.Sleep(time.Second)
		vm, _, err = asked.locate(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, successor.ID, vm)

		_, _, err = asked.locate(t.Context(), contract.JobID{Domain: 1, Home: 78, Seq: 1})
		require.Equal(t, fault.JobLost.FullName(), fault.Code(err), "a home that no member remembers")
	})
}

// vmList is a VM list that the platform serves, or an error.
type vmList struct {
	vms []platform.VM
	err error
}

func (l vmList) List(context.Context) ([]platform.VM, error) { return l.vms, l.err }

// Guards against a member that reports the jobs of a VM as lost that has been added since it read the VM list, or while
// the list cannot be read.
func TestHomeOnNewVMIsNotReportedLost(t *testing.T) {
	h := newTestDaemon(t)
	h.now = h.now.Add(zone.SilenceLimit)
	id := contract.JobID{Domain: 1, Home: 77, Seq: 1}
	h.o.List = vmList{vms: []platform.VM{{ID: "new", Kind: platform.KindEntry, Domain: 1}}}
	_, _, err := h.locate(t.Context(), id)
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
	h.o.List = vmList{err: errors.New("the list is away")}
	_, _, err = h.locate(t.Context(), id)
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
	h.o.List = vmList{}
	_, _, err = h.locate(t.Context(), id)
	require.Equal(t, fault.JobLost.FullName(), fault.Code(err))
}
