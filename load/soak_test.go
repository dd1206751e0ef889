package load_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/command"
	"github.com/cicadadale/cicadadale/load"
)

// TestMain runs the entry daemon when the soak run starts the test binary as a child process.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		if err := command.Root().Run(context.Background(), os.Args); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Guards against a soak run that injects nothing, checks nothing, or sees violations where faults must leave none.
func TestShortSoakRunIsClean(t *testing.T) {
	var out bytes.Buffer
	kinds := []string{"cancellation_wave", "worker_slow", "worker_fails_all", "log_outage", "list_outage", "peer_cut"}
	r, err := load.RunSoak(load.SoakOptions{Seed: 1, Duration: 4 * time.Second, Entries: 4, Faults: kinds, Out: &out})
	require.NoError(t, err)
	require.Positive(t, r.TasksStarted)
	require.Positive(t, r.JobsComplete)
	for _, k := range kinds {
		require.Positive(t, r.FaultsInjected[k], k)
	}
	for _, c := range []string{load.CheckStartedOnce, load.CheckResultsRight, load.CheckNotRunTrue, load.CheckAnswerArrives} {
		require.Positive(t, r.InvariantChecks[c], c)
	}
	require.Zero(t, r.Violations, out.String())
	require.Zero(t, r.AnswersMissing)
}

// echo answers every message with itself.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// opened returns a connection through the relay on which a message has passed.
func opened(t *testing.T, r *load.Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.True(t, passes(c))
	return c
}

// passes reports whether a message comes back. It waits for the end of the connection at most.
func passes(c net.Conn) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Guards against relays that do not fail as told, which would make the soak run prove nothing.
func TestRelayFaults(t *testing.T) {
	r, err := load.NewRelay(echo(t))
	require.NoError(t, err)
	defer r.Close()

	c := opened(t, r)
	r.Cut()
	require.False(t, passes(c))
	refused, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	require.False(t, passes(refused))
	r.Restore()

	c = opened(t, r)
	r.LoseReplies()
	require.False(t, passes(c))
	r.KeepReplies()

	c = opened(t, r)
	r.Silence()
	opened(t, r)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}
