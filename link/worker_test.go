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

// silentProxy passes connections on to a worker. After mute the connections that are open then pass nothing on, while
// new ones work.
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
		fresh := false
		select {
		case <-p.muted:
			fresh = true
		default:
		}
		go p.copy(out, in, fresh)
		go p.copy(in, out, fresh)
	}
}

func (p *silentProxy) copy(to, from net.Conn, fresh bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-p.muted:
			if !fresh {
				continue
			}
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

type workerSite struct {
	worker  *standin.Worker
	links   *link.Workers
	machine *machine.Worker
	starts  atomic.Int32
	release chan struct{}
}

// newWorkerSite starts a worker whose tasks run until they are released, behind the given address.
func newWorkerSite(t *testing.T, address func(worker string) string) *workerSite {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &workerSite{release: make(chan struct{})}
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

func (s *workerSite) request(seq uint64) dispatch.StartRequest {
	id := contract.TaskID{Job: contract.JobID{Domain: 1, Home: 7, Seq: seq}}
	return dispatch.StartRequest{
		Ticket: contract.StartTicket{Task: id, Service: "s", Kind: "k", Payload: []byte("p")}, Worker: "w",
		Incarnation: s.machine.Incarnation(), StartBy: time.Now().Add(10 * time.Second), Lease: 30 * time.Second,
	}
}

// Guards against a home that waits for the lease of a task whose connection went silent while it ran, and against a
// healthy long task that is cut by the same check.
func TestSilentStartIsFoundByStatusReports(t *testing.T) {
	var proxy *silentProxy
	s := newWorkerSite(t, func(worker string) string {
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
	require.Empty(t, result, "the task runs and is reported")
	proxy.mute()
	close(s.release)
	for len(result) == 0 {
		<-ticker.C
		// The connection of the poll is silent as well at first.
		_, _ = s.links.Poll(t.Context(), s.machine, time.Now)
	}
	require.Equal(t, fault.InDoubt.FullName(), fault.Code(<-result))
	reply, err := s.links.Resolve(t.Context(), s.request(1))
	require.NoError(t, err)
	require.Equal(t, contract.OutcomeDone, reply.Outcome)
	require.EqualValues(t, 1, s.starts.Load())
}

// Guards against a false proof, and against a repetition by the library, when the worker closes an idle connection in
// the moment of a start: the start is in doubt, and the fence proves that it never began.
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
			go answerOnce(c, &requests)
		}
	}()
	s := newWorkerSite(t, direct)
	close(s.release)
	real := s.machine.Spec()
	dying := real
	dying.Address = l.Addr().String()
	s.machine.UpdateSpec(dying)
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

// answerOnce answers the first request of a connection and closes the connection on the second.
func answerOnce(c net.Conn, requests *atomic.Int32) {
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

// Guards against a start in doubt where nothing was written: no connection could be opened, or none was free.
func TestUnsentStartIsProvenNotStarted(t *testing.T) {
	s := newWorkerSite(t, direct)
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

// Guards against a start by a process that was paused between its decision and the sending.
func TestWorkerRejectsLateStart(t *testing.T) {
	s := newWorkerSite(t, direct)
	close(s.release)
	r := s.request(1)
	r.StartBy = time.Now().Add(-time.Millisecond)
	_, err := s.links.Start(t.Context(), r)
	require.True(t, fault.IsProvenNotStarted(err), "%v", err)
	require.Contains(t, err.Error(), link.RejectLate)
	require.Zero(t, s.starts.Load())
}

// Guards against a rejection as duplicate that is taken for a proof: the worker runs or ran the task.
func TestDuplicateStartIsInDoubt(t *testing.T) {
	s := newWorkerSite(t, direct)
	close(s.release)
	_, err := s.links.Start(t.Context(), s.request(1))
	require.NoError(t, err)
	_, err = s.links.Start(t.Context(), s.request(1))
	require.Equal(t, fault.InDoubt.FullName(), fault.Code(err))
	require.EqualValues(t, 1, s.starts.Load())
}

// Guards against new work for a worker that says it is leaving before the list does, on slots that are still held.
func TestLeavingWorkerGetsNoStart(t *testing.T) {
	s := newWorkerSite(t, direct)
	close(s.release)
	s.worker.SetLeaving()
	_, err := s.links.Poll(t.Context(), s.machine, time.Now)
	require.NoError(t, err)
	require.True(t, s.machine.Spec().Leaving)
	_, err = s.links.Start(t.Context(), s.request(1))
	require.Equal(t, fault.ReasonNotSent, fault.Reason(err))
	require.Zero(t, s.starts.Load())
}
