package entry_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against a VM that does not become ready and healthy after its start, and against a load balancer that sends
// callers to a VM that is stopping.
func TestReadinessFollowsTheDaemon(t *testing.T) {
	d, err := load.StartDeployment(load.DeploymentOptions{
		Domains: 1, EntryVMs: 1, Workers: 1, Slots: 2, Services: load.DemoServices, Work: standin.DemoWork,
		Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	t.Cleanup(d.Close)
	daemon := d.Entries[0].Daemon
	require.Eventually(t, func() bool { return daemon.Readiness().Ready }, time.Minute, time.Millisecond)
	require.NoError(t, daemon.Health())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	daemon.Stop(ctx)
	require.Contains(t, daemon.Readiness().Reasons, "draining")
}
