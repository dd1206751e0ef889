package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimalSettings = `[vm]
id = "entry-1"
failure_domain = 1
[platform]
log = "http://127.0.0.1:7400"
list = "http://127.0.0.1:7400"
[schema]
files = ["a.proto"] # one file
`

// Guards against reporting only the first finding, findings without a line, or findings out of file order.
func TestEntrySettingsReportAllFindings(t *testing.T) {
	text := `[vm]
id = 7
failure_domain = "one"
colour = "red"
[listen]
callers = "nowhere"
admin = "0.0.0.0:7003"
peers = "127.0.0.1:99999"
[platform]
log = "ftp://x"
[schema]
files = ["a.proto", 3]
[nothing]
at = "all"
[stop]
drain_timeout = "soon"
[workers]
connections_per_worker = 100
connections_per_worker = 3
[log]
level = "loud"
format = true
[tls.peers]
key = "k"
`
	_, err := ParseEntry("entry.toml", []byte(text))
	require.Error(t, err)
	require.Equal(t, `entry.toml:2: vm.id: must be a string, not an integer
entry.toml:3: vm.failure_domain: must be an integer, not a string
entry.toml:4: vm.colour: unknown key
entry.toml:6: listen.callers: "nowhere" is not of the form HOST:PORT
entry.toml:7: listen.admin: 0.0.0.0:7003 is reachable from other machines; set listen.admin_beyond_loopback = true to allow it
entry.toml:8: listen.peers: port "99999" is not a number from 0 to 65535
entry.toml:9: platform.list: must be set
entry.toml:10: platform.log: "ftp://x" is not of the form http://HOST:PORT
entry.toml:12: schema.files: must be a list of strings, not a list with an integer
entry.toml:13: nothing: unknown table
entry.toml:16: stop.drain_timeout: must be a duration such as "60s", not "soon"
entry.toml:19: workers.connections_per_worker: is set twice; first set on line 18
entry.toml:21: log.level: "loud" is not one of debug, info, warn, error
entry.toml:22: log.format: must be a string, not a boolean
entry.toml:23: tls.peers.certificate: must be set together with the other files of its table
entry.toml:23: tls.peers.ca: must be set together with the other files of its table`, err.Error())
}

// Guards against defaults that are not applied and against values that are not read.
func TestCompleteSettings(t *testing.T) {
	e, err := ParseEntry("entry.toml", []byte(minimalSettings+`[stop]
drain_timeout = "90s"
[listen]
admin = "0.0.0.0:7003"
admin_beyond_loopback = true
[workers]
connections_per_worker = 1_6
`))
	require.NoError(t, err)
	require.Equal(t, "entry-1", e.VM.ID)
	require.EqualValues(t, 1, e.VM.Domain)
	require.Equal(t, []string{"a.proto"}, e.Schema.Files)
	require.Equal(t, 90*time.Second, e.Stop.DrainTimeout)
	require.Equal(t, 16, e.Workers.Connections)
	require.Equal(t, "127.0.0.1:7001", e.Listen.Callers)
	require.Equal(t, Log{Level: "info", Format: "text"}, e.Log)
	require.Equal(t, 8, e.Finding("schema.files", "").Line)
}

// Guards against a syntax error that hides the findings on earlier lines.
func TestSyntaxError(t *testing.T) {
	_, err := ParseEntry("entry.toml", []byte("[vm]\nid = 1\nregion = \n[schema]\n"))
	var f Findings
	require.ErrorAs(t, err, &f)
	require.Equal(t, 2, f[0].Line)
	require.Equal(t, 3, f[1].Line)
}

// Guards against example files that do not load.
func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "examples", "entry-*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := LoadEntry(f)
		require.NoError(t, err)
	}
}

// Guards against input that makes the parser panic or that yields findings without a reason.
func FuzzParseEntry(f *testing.F) {
	for _, seed := range []string{
		minimalSettings, "", "[vm", "a.b.c=1", "vm={id=1,id=2}", "[[vm]]\n[vm]", "vm=3", "x=1979-05-27T07:32:00Z",
		"[schema]\nfiles=[[1],{}]", "[vm]\nfailure_domain=0xfffff", "'a'.\"b\"=nan", "\xff",
	} {
		f.Add([]byte(seed))
	}
	if text, err := os.ReadFile(filepath.Join("..", "examples", "entry-1.toml")); err == nil {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := ParseEntry("f", text)
		if err == nil {
			return
		}
		var findings Findings
		require.ErrorAs(t, err, &findings)
		require.NotEmpty(t, findings)
		for i, x := range findings {
			require.NotEmpty(t, x.Reason)
			require.True(t, i == 0 || x.Line == 0 || findings[i-1].Line <= x.Line)
		}
	})
}

// Guards against a setting that docs/OPERATIONS.md does not describe.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	var e Entry
	d := decodeSettings("f", nil, &e)
	require.NotEmpty(t, d.fields)
	for key := range d.fields {
		require.True(t, strings.Contains(string(page), "`"+key+"`"), "docs/OPERATIONS.md does not describe %s", key)
	}
}
