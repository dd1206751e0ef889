package clientlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testIdleTime = 2 * time.Second

func ignoreClose() {}

// Guards against a connection that is evicted while its request is being served, and against an idle one that is evicted before those
// that have sent no request.
func TestWhichConnectionIsEvicted(t *testing.T) {
	table, now := NewTable(3), testStart
	admit := func() (admitted, evicted *Member) { return table.Admit(ignoreClose, now, testIdleTime) }
	served, _ := admit()
	idle, _ := admit()
	table.Serving(served)
	table.Serving(idle)
	table.Answered(idle, now)
	fresh, _ := admit()
	next, evicted := admit()
	require.NotNil(t, next)
	require.Same(t, fresh, evicted)
	table.Serving(next)
	refused, evicted := admit()
	require.Nil(t, refused, "the idle connection has not been idle for long")
	require.Nil(t, evicted)
	now = now.Add(testIdleTime)
	last, evicted := admit()
	require.NotNil(t, last)
	require.Same(t, idle, evicted)
	table.Serving(last)
	refused, _ = admit()
	require.Nil(t, refused, "all connections are being served")
	require.Equal(t, 3, table.Open())
}

// Guards against a connection that is counted twice or never given back, in whatever state it is closed.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	table := NewTable(4)
	for _, change := range []func(m *Member){
		func(*Member) {}, table.Serving,
		func(m *Member) { table.Serving(m); table.Answered(m, testStart) },
		func(m *Member) { table.Remove(m); table.Answered(m, testStart) },
	} {
		m, _ := table.Admit(ignoreClose, testStart, testIdleTime)
		change(m)
		table.Remove(m)
		table.Remove(m)
		require.Zero(t, table.Open())
		require.Zero(t, table.fresh.Len()+table.idle.Len())
	}
}

// Guards against limits that exceed the VM, or that leave the process without descriptors of its own.
func TestLimitsFollowFromTheVM(t *testing.T) {
	small := VM{MemoryMB: 144, Descriptors: 3075}
	require.Less(t, small.Connections(), 2400)
	require.Greater(t, small.Connections(), 2000)
	require.Equal(t, minConnections, VM{Descriptors: 100}.Connections())
	require.Equal(t, small.RequestBytes(), VM{}.RequestBytes(), "the smallest VM is the default")
	for _, vm := range []VM{small, {}, {MemoryMB: 536, Descriptors: 10250}} {
		held := int64(vm.Connections())*connectionBytes + vm.RequestBytes()
		require.Less(t, held, vm.memoryBytes()*3/4)
		require.Less(t, vm.CollectionBytes(), vm.memoryBytes())
	}
}
