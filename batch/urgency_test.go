package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against work that is wasted since the owner of a waiting task never hears that its job has started: there was room when the
// first task started, and no task starts or ends afterwards.
func TestOwnersHearThatAJobHasStartedOnceThereIsNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := shedHome(true)
		defer h.Close()
		room := &zone.BackendCapacity{Slots: 10, Free: 5}
		h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": room})
		submitTo(h)
		orders := out.sentOrders()
		reportRun(h, orders[0].Key, contract.RunStarted, true)
		require.Empty(t, out.urgent)
		h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": full(3 * time.Second)})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []contract.RunKey{orders[1].Key}, out.urgent)
	})
}
