package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against missing or misordered lines of a request when the logs of several daemons are merged.
func TestLogsOfOneRequestInOrder(t *testing.T) {
	dir := t.TempDir()
	first := filepath.Join(dir, "edge-1.log")
	second := filepath.Join(dir, "edge-2.log")
	require.NoError(t, os.WriteFile(first, []byte(
		`{"time":"2026-07-03T11:41:40.3Z","level":"INFO","msg":"job answered","job":"aa11","outcome":"completed"}
not a line of a log about aa11
{"time":"2026-07-03T11:41:40.1Z","level":"INFO","msg":"job accepted","job":"aa11","tasks":1}
{"time":"2026-07-03T11:41:40.1Z","level":"INFO","msg":"job accepted","job":"bb22","tasks":1}
`), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(
		`  3.1 edge-kerry-1 {"time":"2026-07-03T11:41:40.2Z","level":"INFO","msg":"run started","task":"aa11.0.0#1"}
`), 0o600))
	var out bytes.Buffer
	require.NoError(t, showLogs(&out, "aa11", []string{first, second}))
	require.Equal(t, `11:41:40.100 edge-1 INFO job accepted: "job":"aa11","tasks":1
11:41:40.200 edge-kerry-1 INFO run started: "task":"aa11.0.0#1"
11:41:40.300 edge-1 INFO job answered: "job":"aa11","outcome":"completed"
`, out.String())
}

// Guards against a missing file that is reported as a request without log lines.
func TestLogsOfMissingFile(t *testing.T) {
	require.ErrorContains(t, showLogs(&bytes.Buffer{}, "aa11", []string{"missing.log"}), "missing.log")
}

// Guards against a task of a report whose runs are not found in the log under the platform's name.
func TestLogsAreFoundByThePlatformsTaskName(t *testing.T) {
	require.Equal(t, "275fe5929024891d.0.1#", searchText("275fe5929024891d.0.0.1"))
	require.Equal(t, "275fe5929024891d", searchText("275fe5929024891d"))
	require.Equal(t, "edge-kerry-1", searchText("edge-kerry-1"))
}
