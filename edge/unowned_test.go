package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
)

// Guards against a start time that an older message replaces, that is kept for ever, and against a table without bound.
func TestIncarnationsAreBounded(t *testing.T) {
	now, known := time.Now(), newIncarnations()
	require.Nil(t, known.message())
	known.record("w", 20, now)
	known.record("w", 10, now)
	require.EqualValues(t, 20, known.latestStart("w"))
	require.Zero(t, known.latestStart("x"))
	for n := range 2 * maxIncarnations {
		known.record(fmt.Sprint(n), 1, now)
	}
	require.Len(t, known.message().GetWorkerIncarnations().GetIncarnations(), maxIncarnations)
	known.record("w", 30, now.Add(time.Second))
	known.expire(now.Add(incarnationMemory + time.Millisecond))
	require.EqualValues(t, 30, known.latestStart("w"))
	known.expire(now.Add(time.Second + incarnationMemory + time.Millisecond))
	require.Nil(t, known.message())
}

// Guards against a start time of another writer that would keep later owners from a worker: tokens are made of start times.
func TestMalformedIncarnationsAreIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		defer d.close()
		daemon, now := d.daemons["edge-0-0"], time.Now()
		daemon.handleIncarnations(&api.WorkerIncarnations{Incarnations: []*api.WorkerIncarnation{
			nil, {StartTimeMs: 1}, {Worker: "a", StartTimeMs: -1}, {Worker: "b", StartTimeMs: now.Add(time.Hour).UnixMilli()},
			{Worker: "c", StartTimeMs: now.UnixMilli()},
		}})
		require.Zero(t, daemon.incarnations.latestStart("a"))
		require.Zero(t, daemon.incarnations.latestStart("b"))
		require.Equal(t, now.UnixMilli(), daemon.incarnations.latestStart("c"))
	})
}
