package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a list that another member sends as the changes of an earlier one, and that differs from the one in the store.
func TestListsAreSentAsChanges(t *testing.T) {
	moved := testMember("b", 1)
	moved.Address = "elsewhere"
	a, b, c := testMember("a", 1), testMember("b", 1), testMember("c", 1)
	lists := []machine.MemberList{
		{Version: 1, Members: []machine.Member{a, b, c}},
		{Version: 2, Members: []machine.Member{a, moved}, Gone: []string{"c"}},
		{Version: 3, Members: []machine.Member{moved, c, testMember("a", 2)}, Gone: []string{"d"}},
		{Version: 4, Members: []machine.Member{c}},
		{Version: 5, Members: []machine.Member{a, b, c}},
	}
	for i, list := range lists {
		whole, ok := decodeList(encodeList(list, nil), nil)
		require.True(t, ok)
		require.Equal(t, list, whole)
		for _, base := range lists[:i] {
			m := encodeList(list, &base)
			got, ok := decodeList(m, lists[:i])
			require.True(t, ok)
			require.ElementsMatch(t, list.Members, got.Members)
			require.ElementsMatch(t, list.Gone, got.Gone)
			_, ok = decodeList(m, nil)
			require.False(t, ok, "the list that it changes is missing")
		}
	}
}

// Guards against lists that add up at members which cannot settle them, or that all come into force while many VMs restart.
func TestFewListsComeIntoForce(t *testing.T) {
	now := time.Now()
	l := memberLists{left: make(map[string]bool)}
	l.add(machine.MemberList{Version: 1}, now)
	l.settle(1)
	version := uint64(1)
	for range 20 {
		for range 50 {
			version++
			now = now.Add(listQuiet / 10)
			l.read(machine.MemberList{Version: version, Gone: []string{fmt.Sprint(version)}}, now)
			l.adopt(now)
		}
		require.LessOrEqual(t, len(l.inForce), maxInForce)
		require.Equal(t, []string{fmt.Sprint(version)}, l.gone, "a VM that is declared gone does not wait")
	}
	require.Len(t, l.inForce, maxInForce)
	l.settle(l.newest().Version)
	now = now.Add(listQuiet)
	l.adopt(now)
	require.Equal(t, version, l.newest().Version)
}
