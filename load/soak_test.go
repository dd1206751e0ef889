package load_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
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

// Guards against a soak run that injects no faults, performs no checks, or reports violations of a correct dispatcher.
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
	for _, c := range []string{
		load.CheckStartedOnce, load.CheckResultsCorrect, load.CheckNotRunAccurate, load.CheckAnswerArrives,
	} {
		require.Positive(t, r.InvariantChecks[c], c)
	}
	require.Zero(t, r.Violations, out.String())
	require.Zero(t, r.AnswersMissing)
}

// startEchoServer starts a server that returns every message, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// dialRelay opens a connection through the relay and checks that a message passes.
func dialRelay(t *testing.T, r *load.Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.True(t, roundTrips(c))
	return c
}

// roundTrips reports whether a message comes back. It returns false when the connection is closed.
func roundTrips(c net.Conn) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Guards against relays that do not inject the requested faults, which would invalidate soak runs.
func TestRelayFaults(t *testing.T) {
	r, err := load.NewRelay(startEchoServer(t))
	require.NoError(t, err)
	defer r.Close()

	c := dialRelay(t, r)
	r.Cut()
	require.False(t, roundTrips(c))
	refused, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	require.False(t, roundTrips(refused))
	r.Restore()

	c = dialRelay(t, r)
	r.LoseReplies()
	require.False(t, roundTrips(c))
	r.StopLosingReplies()

	c = dialRelay(t, r)
	r.Silence()
	dialRelay(t, r)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

// Guards against relays whose faults between clients and daemons do not reach both sides.
func TestRelayFaultsOfOneSide(t *testing.T) {
	r, err := load.NewRelay(startEchoServer(t))
	require.NoError(t, err)
	defer r.Close()

	c := dialRelay(t, r)
	r.Reset()
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)

	c = dialRelay(t, r)
	r.CloseRequests()
	// The echo server closes the connection when it has read the end of the requests.
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	c = dialRelay(t, r)
	r.StopListening()
	require.False(t, roundTrips(c))
	_, err = net.Dial("tcp", r.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.Listen())
	dialRelay(t, r)

	r.SetRepeat(time.Millisecond)
	c, err = net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("ab"))
	require.NoError(t, err)
	answers := make([]byte, 4)
	_, err = io.ReadFull(c, answers)
	require.NoError(t, err)
	require.Equal(t, "abab", string(answers))
}
