package config

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// render fills in the settings template with the values that the platform sets on a machine.
func render(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "deploy", "settings.toml"))
	require.NoError(t, err)
	values := map[string]string{
		"node_name": "edge-cork-a-1", "zone": "cork-a", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100", "listen.front": "10.1.0.13:8161",
		"listen.readiness": "10.1.0.13:8167", "ip": "10.1.0.13", "internal_ports.0": "7720", "internal_ports.1": "7735",
		"platform.address": "10.200.1.7:8169", "bounds.max_hold_ms": "1000", "bounds.grace_s": "6",
	}
	return regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`).ReplaceAllFunc(text, func(m []byte) []byte {
		value, ok := values[string(m[2:len(m)-2])]
		require.True(t, ok, "no value for %s", m)
		return []byte(value)
	})
}

// Guards against a settings template that the daemon cannot parse.
func TestEdgeSettingsTemplate(t *testing.T) {
	e, err := ParseEdge("settings.toml", render(t))
	require.NoError(t, err)
	require.Equal(t, "edge-cork-a-1", e.VM.ID)
	require.Equal(t, 284, e.VM.MemoryMB)
	require.Equal(t, 4100, e.VM.MaxFDs)
	require.Equal(t, "10.1.0.13:7720", e.Listen.Peers)
	require.EqualValues(t, 1000, e.Lease().Milliseconds())
	require.InDelta(t, 6, e.Grace().Seconds(), 0)
}

// Guards against reporting only the first finding, or findings without a line.
func TestEdgeSettingsReportAllFindings(t *testing.T) {
	_, err := ParseEdge("edge.toml", []byte("[vm]\nid = \"\"\nfailure_domain = \"a\"\ncpu_share = 0\nmemory_mb = -1\nmax_fds = -1\n[listen]\nfront = \"x\"\n"+
		"[runs]\nsource = \"10.1.0\"\n"))
	require.ErrorContains(t, err, "edge.toml:2: vm.id")
	require.ErrorContains(t, err, "edge.toml:4: vm.cpu_share")
	require.ErrorContains(t, err, "edge.toml:5: vm.memory_mb")
	require.ErrorContains(t, err, "edge.toml:6: vm.max_fds")
	require.ErrorContains(t, err, "edge.toml:8: listen.front")
	require.ErrorContains(t, err, "edge.toml:10: runs.source")
	require.ErrorContains(t, err, "runs.lease_ms")
}
