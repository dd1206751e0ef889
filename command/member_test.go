package command

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against entries of VMs that are gone for good and that nobody can remove, and against a misspelt VM that removes others.
func TestMembersAreListedAndRemoved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := standin.ServeKeyedLog(l)
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	store := platform.NewLogStore(log.Address(), slog.New(slog.DiscardHandler))
	for _, vm := range []string{"edge-2", "edge-1"} {
		require.NoError(t, store.PublishMember(t.Context(), machine.Member{VM: vm, Domain: "a", Address: "127.0.0.1:1", CPUMillis: 400}))
	}
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := Root()
		root.Writer = &out
		err := root.Run(context.Background(), append([]string{"cicadadale", "member"}, args...))
		return out.String(), err
	}
	out, err := run("list", "--store", log.Address())
	require.NoError(t, err)
	require.Equal(t, "edge-1 a 127.0.0.1:1\nedge-2 a 127.0.0.1:1\n", out)
	_, err = run("remove", "--store", log.Address(), "edge-1", "edge-3")
	require.ErrorContains(t, err, "edge-3 is not listed")
	_, err = run("remove", "--store", log.Address(), "edge-1")
	require.NoError(t, err)
	out, err = run("list", "--store", log.Address())
	require.NoError(t, err)
	require.Equal(t, "edge-2 a 127.0.0.1:1\n", out)
}

// Guards against VMs that an operator has declared gone and that members count, and against one that stays gone after its next start.
func TestMembersAreDeclaredGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := standin.ServeKeyedLog(l)
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	store := platform.NewLogStore(log.Address(), slog.New(slog.DiscardHandler))
	gone := machine.Member{VM: "edge-1", Domain: "a", Address: "127.0.0.1:1", CPUMillis: 400}
	require.NoError(t, store.PublishMember(t.Context(), gone))
	require.NoError(t, Root().Run(t.Context(), []string{"cicadadale", "member", "remove", "--gone", "--store", log.Address(), "edge-1"}))
	lists := make(chan machine.MemberList, 10)
	go store.FollowMembers(t.Context(), func(list machine.MemberList) { lists <- list })
	require.Equal(t, machine.MemberList{Version: 2, Gone: []string{"edge-1"}}, <-lists)
	require.NoError(t, store.PublishMember(t.Context(), gone))
	require.Equal(t, machine.MemberList{Version: 3, Members: []machine.Member{gone}}, <-lists)
}
