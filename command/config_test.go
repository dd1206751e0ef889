package command

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/standin"
)

func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := Root()
	var out bytes.Buffer
	root.Writer = &out
	err := root.Run(context.Background(), append([]string{"cicadadale"}, args...))
	return out.String(), err
}

// Guards against a publish that does not report a conflicting earlier change, and against a change that is applied
// twice after a lost reply.
func TestConfigPublish(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := standin.NewPlatform(l)
	t.Cleanup(func() { _ = p.Close() })
	file := filepath.Join(t.TempDir(), "change.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"customers": {"c": {"weight": 2}}}`), 0o600))
	publish := func(base, author, id string) (string, error) {
		return runCommand(t, "config", "publish", "--log", p.URL(), "--base", base, "--author", author, "--id", id, file)
	}
	out, err := publish("0", "ann", "one")
	require.NoError(t, err)
	require.Contains(t, out, "revision 1")
	_, err = publish("0", "bob", "two")
	require.ErrorContains(t, err, "revision 1 is change one by ann")
	p.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	out, err = publish("1", "bob", "three")
	require.NoError(t, err)
	require.Contains(t, out, "accepted: change three is revision 2")
	out, err = publish("1", "bob", "three")
	require.NoError(t, err)
	require.Contains(t, out, "revision 2")
	out, err = runCommand(t, "config", "show", "--log", p.URL())
	require.NoError(t, err)
	require.Contains(t, out, `"revision": 2`)
	require.Equal(t, 3, p.Stats().Appends)
}

// Guards against a check that stops at the first finding or does not report its line.
func TestConfigCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "change.json")
	require.NoError(t, os.WriteFile(file, []byte("{\n\"customers\": {\"c\": {\"weight\": 0}},\n\"teams\": {\"x/t\": {}}\n}"), 0o600))
	_, err := runCommand(t, "config", "check", file)
	require.ErrorContains(t, err, ":2: customers.c.weight")
	require.ErrorContains(t, err, ":3: teams.x/t")
}
