package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against refusing keys while only the delegate is cut off from the log, and against reporting a key as not
// claimed in an outage although the delegate's backup has claimed it.
func TestCutOffDelegateIsReplaced(t *testing.T) {
	log, downLog, list := newFakeLog(), newFakeLog(), &fakeList{}
	downLog.set(func(l *fakeLog) { l.down = true })
	delegate, _ := zone.Choose(claimDelegateKey, []machine.EntryVM{{ID: "a"}, {ID: "b"}})
	other := map[string]string{"a": "b", "b": "a"}[delegate.ID]
	first, second := startMember(t, list, downLog, delegate.ID, 1), startMember(t, list, log, other, 1)
	members := []*Daemon{first, second}
	for _, d := range members {
		require.Eventually(t, func() bool { return d.LiveMembers() == 2 }, 20*time.Second, 10*time.Millisecond)
	}
	key := func(n int) contract.CallerKey {
		return contract.CallerKey{Customer: "c", Text: fmt.Sprint(n), CreatedUnixMS: time.Now().UnixMilli()}
	}
	claimed := key(1)
	minted, err := first.Create(t.Context(), 1)
	require.NoError(t, err)
	id, err := first.claimKey(t.Context(), contract.Claim{Key: claimed, Job: minted[0]})
	require.NoError(t, err)
	require.Equal(t, minted[0], id)
	for _, d := range members {
		id, found, err := d.lookupKey(t.Context(), claimed)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, minted[0], id)
	}
	log.set(func(l *fakeLog) { l.down = true })
	for _, d := range members {
		require.Eventually(t, func() bool {
			_, found, err := d.confirmUnclaimed(t.Context(), key(2))
			return err == nil && !found
		}, 20*time.Second, 50*time.Millisecond)
		id, found, err := d.confirmUnclaimed(t.Context(), claimed)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, minted[0], id)
		_, _, err = d.lookupKey(t.Context(), key(2))
		require.Error(t, err, "a lookup by a caller's key is undecided")
	}
}
