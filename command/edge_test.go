package command

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/config"
)

const edgeSettings = `[vm]
id = "edge-1"
failure_domain = "a"
cpu_share = 0.4
[listen]
front = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[runs]
lease_ms = 1000
[stop]
grace_s = 6
[log]
level = "LEVEL"
`

// Guards against a reload on SIGHUP that ends the process, applies part of an invalid file, or does not report that a
// restart is needed.
func TestReloadEdgeSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "edge.toml")
	writeSettings := func(level, more string) {
		text := bytes.ReplaceAll([]byte(edgeSettings+more), []byte("LEVEL"), []byte(level))
		require.NoError(t, os.WriteFile(path, text, 0o600))
	}
	writeSettings("info", "")
	settings, err := config.LoadEdge(path)
	require.NoError(t, err)
	var out bytes.Buffer
	level := &slog.LevelVar{}
	logger := newLoggerTo(&out, level, "json")

	writeSettings("warn", "")
	settings = reloadEdge(path, settings, level, logger)
	require.Equal(t, slog.LevelWarn, level.Level())

	writeSettings("debug", "[nonsense]\n")
	settings = reloadEdge(path, settings, level, logger)
	require.Equal(t, slog.LevelWarn, level.Level())
	require.Contains(t, out.String(), "keeping the current ones")
	require.Contains(t, out.String(), "nonsense")

	writeSettings("info", "format = \"text\"\n")
	reloadEdge(path, settings, level, logger)
	require.Contains(t, out.String(), `"needs_restart":true`)
}
