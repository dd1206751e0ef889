package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

// fakeList is an in-memory VM list.
type fakeList struct {
	mu  sync.Mutex
	vms []platform.VM
}

func (l *fakeList) add(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = append(l.vms, vm)
}

func (l *fakeList) List(context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.VM(nil), l.vms...), nil
}

func startMember(t *testing.T, list *fakeList, log platform.Log, id string, domain zone.DomainID) *Daemon {
	t.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	list.add(platform.VM{
		ID: id, Kind: platform.KindEntry, Domain: domain, PeerAddress: peers.Addr().String(),
		CallerAddress: callers.Addr().String(),
	})
	d, err := New(Options{
		VM:     machine.EntryVM{ID: id, PeerAddress: peers.Addr().String(), CallerAddress: callers.Addr().String()},
		Domain: domain, Log: log, List: list, CallerListener: callers, PeerListener: peers, Connections: 1,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	require.NoError(t, err)
	require.NoError(t, d.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d.Stop(ctx)
	})
	return d
}

// Guards against members that keep an old revision: a VM or a failure domain that is cut off from the platform, and a
// VM that starts in such a failure domain, must receive the revision from peers. A VM without any peer refuses jobs as
// not run.
func TestCutOffMembersReceiveConfiguration(t *testing.T) {
	log, downLog, list := newFakeLog(), newFakeLog(), &fakeList{}
	downLog.set(func(l *fakeLog) { l.down = true })
	alone := startMember(t, &fakeList{}, downLog, "alone", 1)
	id, err := alone.Create(t.Context(), 1)
	require.NoError(t, err)
	_, err = alone.Submit(t.Context(), contract.Submission{Ref: contract.JobRef{ID: id[0]}, Service: "s"}, 0)
	require.True(t, fault.IsProvenNotStarted(err))
	require.Equal(t, "no configuration", fault.Reason(err))
	require.False(t, alone.Readiness().Ready)

	members := []*Daemon{
		startMember(t, list, log, "a", 1), startMember(t, list, downLog, "b", 1), startMember(t, list, downLog, "c", 2),
	}
	for n := range 3 {
		publishWeight(t, log, n, uint64(n))
		want := uint64(n + 1)
		for _, d := range members {
			require.Eventually(t, func() bool { return d.configs.state.View().Revision == want }, 20*time.Second,
				20*time.Millisecond, fmt.Sprintf("%s does not reach revision %d", d.o.VM.ID, want))
		}
	}
	members = append(members, startMember(t, list, downLog, "d", 2))
	require.Eventually(t, func() bool { return members[3].configs.state.View().Revision == 3 }, 20*time.Second,
		20*time.Millisecond)
}
