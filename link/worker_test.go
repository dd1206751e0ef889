package link_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/timeline"
)

// silentProxy forwards connections to a worker. mute makes the open connections silent, while later ones work.
type silentProxy struct {
	net.Listener
	target string
	muted  chan struct{}
	once   sync.Once
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{Listener: l, target: target, muted: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go p.serve()
	return p
}

func (p *silentProxy) mute() { p.once.Do(func() { close(p.muted) }) }

func (p *silentProxy) serve() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		afterMute := false
		select {
		case <-p.muted:
			afterMute = true
		default:
		}
		go p.copy(out, in, afterMute)
		go p.copy(in, out, afterMute)
	}
}

func (p *silentProxy) copy(to, from net.Conn, afterMute bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-p.muted:
			if !afterMute {
				continue
			}
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

type workerFixture struct {
	worker  *standin.Worker
	links   *link.Workers
	machine *machine.Worker
	starts  atomic.Int32
	release chan struct{}
}

// newWorkerFixture starts a worker whose tasks run until release is closed. address returns the address to reach it at.
func newWorkerFixture(t *testing.T, address func(worker string) string) *workerFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &workerFixture{release: make(chan struct{})}
	s.worker = standin.NewWorker(l, standin.WorkerOptions{
		ID: "w", Slots: 8, Started: func(string) { s.starts.Add(1) },
		Work: func(_, _ string, p []byte) ([]byte, time.Duration, error) {
			<-s.release
			return p, 0, nil
		},
	})
	t.Cleanup(func() { _ = s.worker.Close() })
	fleet := machine.NewFleet()
	s.machine, _ = fleet.Upsert(machine.WorkerSpec{ID: "w", Address: address(l.Addr().String()), Slots: 8})
	s.links, err = link.NewWorkers(fleet, 7, 8, &timeline.Clock{})
	require.NoError(t, err)
	_, err = s.links.Poll(t.Context(), s.machine, time.Now)
	require.NoError(t, err)
	return s
}

func direct(worker string) string { return worker }

func (s *workerFixture) request(seq uint64) dispatch.StartRequest {
	id := contract.TaskID{Job: contract.JobID{Domain: 1, Home: 7, Seq: seq}}
	return dispatch.StartRequest{
		Ticket: contract.StartTicket{Task: id, Service: "s", Kind: "k", Payload: []byte("p")}, Worker: "w",
		Incarnation: s.machine.Incarnation(), StartBy: time.Now().Add(10 * time.Second), Lease: 30 * time.Second,
	}
}

// Guards against a home that waits for the lease of a task to expire after its connection became silent, and against
// aborting a healthy long task by the same check.
func TestSilentStartIsFoundByStatusReports(t *testing.T) {
	var proxy *silentProxy
	s := newWorkerFixture(t, func(worker string) string {
		proxy = newSilentProxy(t, worker)
		return proxy.Addr().String()
	})
	result := make(chan error, 1)
	go func() {
		_, err := s.links.Start(t.Context(), s.request(1))
		result <- err
	}()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 30 {
		<-ticker.C
		_, err := s.links.Poll(t.Context(), s.machine, time.Now)
		require.NoError(t, err)
	}
	require.Empty(t, result, "the start must not be abandoned while its task is reported as running")
	proxy.mute()
	close(s.release)
	for len(result) == 0 {
		<-ticker.C
		// At first the connection of the polls is silent as well.
		_, _ = s.links.Poll(t.Context(), s.machine, time.Now)
	}
	require.Equal(t, fault.InDoubt.FullName(), fault.Code(<-result))
	reply, err := s.links.Resolve(t.Context(), s.request(1))
	require.NoError(t, err)
	require.Equal(t, contract.OutcomeDone, reply.Outcome)
	require.EqualValues(t, 1, s.starts.Load())
}

// Guards against a start that is treated as not sent, or retried by the HTTP library, when the worker closes an idle
// connection just as the start is written: the start is in doubt, and the fence proves that it never began.
func TestStartOnDeadIdleConnectionIsInDoubt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go replyOnce(c, &requests)
		}
	}()
	s := newWorkerFixture(t, direct)
	close(s.release)
	real := s.machine.Spec()
	closing := real
	closing.Address = l.Addr().String()
	s.machine.UpdateSpec(closing)
	_, err = s.links.Start(t.Context(), s.request(1))
	require.NoError(t, err)
	_, err = s.links.Start(t.Context(), s.request(2))
	require.Equal(t, fault.InDoubt.FullName(), fault.Code(err))
	require.EqualValues(t, 2, requests.Load())
	s.machine.UpdateSpec(real)
	_, err = s.links.Resolve(t.Context(), s.request(2))
	require.True(t, fault.IsProvenNotStarted(err))
	_, err = s.links.Start(t.Context(), s.request(2))
	require.True(t, fault.IsProvenNotStarted(err), "the fence rejects a start that arrives late")
	require.Zero(t, s.starts.Load())
}

// replyOnce replies to the first request of a connection and closes the connection on the second.
func replyOnce(c net.Conn, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	for first := true; ; first = false {
		var seen strings.Builder
		buf := make([]byte, 4096)
		for !strings.HasSuffix(seen.String(), "\r\n\r\np") {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			seen.Write(buf[:n])
		}
		requests.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+link.HeaderOutcome+": done\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against reporting a start as in doubt although nothing was written, because no connection could be opened or
// none was free.
func TestUnsentStartIsProvenNotStarted(t *testing.T) {
	s := newWorkerFixture(t, direct)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := s.machine.Spec()
	open := closed
	closed.Address = l.Addr().String()
	require.NoError(t, l.Close())
	s.machine.UpdateSpec(closed)
	_, err = s.links.Start(t.Context(), s.request(100))
	require.True(t, fault.IsProvenNotStarted(err))
	s.machine.UpdateSpec(open)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for n := range 8 {
		running.Go(func() { _, _ = s.links.Start(ctx, s.request(uint64(n+1))) })
	}
	require.Eventually(t, func() bool { return s.starts.Load() == 8 }, 10*time.Second, time.Millisecond)
	_, err = s.links.Start(t.Context(), s.request(9))
	require.True(t, fault.IsProvenNotStarted(err))
	require.Equal(t, fault.ReasonNotSent, fault.Reason(err))
	cancel()
	running.Wait()
	close(s.release)
}

// Guards against a worker that runs a start after its start-by time, because the home was paused before sending it.
func TestWorkerRejectsLateStart(t *testing.T) {
	s := newWorkerFixture(t, direct)
	close(s.release)
	r := s.request(1)
	r.StartBy = time.Now().Add(-time.Millisecond)
	_, err := s.links.Start(t.Context(), r)
	require.True(t, fault.IsProvenNotStarted(err), "%v", err)
	require.Contains(t, err.Error(), link.RejectLate)
	require.Zero(t, s.starts.Load())
}

// Guards against treating a rejection as duplicate as proof of no start: the worker runs or ran the task.
func TestDuplicateStartIsInDoubt(t *testing.T) {
	s := newWorkerFixture(t, direct)
	close(s.release)
	_, err := s.links.Start(t.Context(), s.request(1))
	require.NoError(t, err)
	_, err = s.links.Start(t.Context(), s.request(1))
	require.Equal(t, fault.InDoubt.FullName(), fault.Code(err))
	require.EqualValues(t, 1, s.starts.Load())
}

// Guards against a start on a worker that reports that it is leaving before the VM list does, on slots that the home
// still holds.
func TestLeavingWorkerGetsNoStart(t *testing.T) {
	s := newWorkerFixture(t, direct)
	close(s.release)
	s.worker.SetLeaving()
	_, err := s.links.Poll(t.Context(), s.machine, time.Now)
	require.NoError(t, err)
	require.True(t, s.machine.Spec().Leaving)
	_, err = s.links.Start(t.Context(), s.request(1))
	require.Equal(t, fault.ReasonNotSent, fault.Reason(err))
	require.Zero(t, s.starts.Load())
}
