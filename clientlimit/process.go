package clientlimit

import (
	"errors"
	"log/slog"
	"net"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/cicadadale/cicadadale/metric"
)

const (
	// checkConnections is the number of connections that the balancer's checks, or the operators, may have.
	checkConnections = 32
	checkHeadBytes   = 16 << 10
	checkBodyBytes   = 4 << 10
)

// Process is what the clients of a process share.
type Process struct {
	vm VM
	// requests is the room for requests over HTTP/1.1, calls that for calls over HTTP/2. A process serves clients by one of them.
	requests *RequestRoom
	calls    *CallRoom
	tasks    *TaskRoom
	logger   *slog.Logger
	metrics  metrics.Registry
}

// NewProcess returns the limits of a process on a VM. If the VM does not state its descriptors, the limit of the process applies.
func NewProcess(vm VM, logger *slog.Logger, r metrics.Registry) *Process {
	if vm.Descriptors <= 0 {
		vm.Descriptors = descriptorLimit()
	}
	return &Process{vm: vm, requests: NewRequestRoom(vm.RequestBytes()), calls: NewCallRoom(vm),
		tasks: NewTaskRoom(vm.Tasks()), logger: logger, metrics: r}
}

// descriptorLimit returns the number of descriptors that the process may have, 0 if it is not known.
func descriptorLimit() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, 1<<30))
}

// Tasks returns the room for the tasks of accepted jobs.
func (p *Process) Tasks() *TaskRoom { return p.tasks }

// NoteTasksRefused counts a job that was refused for want of room for its tasks.
func (p *Process) NoteTasksRefused() {
	metrics.GetOrRegisterCounter(metric.ClientsNoTaskRoom, p.metrics).Inc(1)
}

// Clients returns the options of the listener for clients.
func (p *Process) Clients(limits func() Limits) Options {
	return p.options(p.vm.Connections(), limits)
}

// Checks returns the options of a listener for the balancer's checks or for the state of the process, whose requests have no bodies.
func (p *Process) Checks() Options {
	limits := Limits{HeadBytes: checkHeadBytes, BodyBytes: checkBodyBytes}.WithDefaults()
	return p.options(checkConnections, func() Limits { return limits })
}

// Operators returns the options of a listener for metrics and the queries of operators, which may contain the body of a client's request.
func (p *Process) Operators() Options {
	limits := Limits{HeadBytes: checkHeadBytes}.WithDefaults()
	return p.options(checkConnections, func() Limits { return limits })
}

func (p *Process) options(connections int, limits func() Limits) Options {
	return Options{Connections: connections, Requests: p.requests, Limits: limits, Logger: p.logger, Metrics: p.metrics}
}

// Calls returns the options of a listener for calls over HTTP/2.
func (p *Process) Calls() Options {
	limits := Limits{}.WithDefaults()
	o := p.options(p.vm.CallConnections(), func() Limits { return limits })
	o.Bare = true
	return o
}

// ConnectionCalls returns the number of calls that may be open on one connection.
func (p *Process) ConnectionCalls() int { return p.vm.ConnectionCalls() }

// errNotAccepted is the error of a connection that was not accepted by a listener for calls.
var errNotAccepted = errors.New("the connection does not come from a listener for calls")

// LimitCalls bounds the calls on a connection for HTTP/2. accepted is the connection of the listener for calls, below TLS.
func (p *Process) LimitCalls(accepted, conn net.Conn) (*CallConn, error) {
	bare, ok := accepted.(*bareConn)
	if !ok {
		return nil, errNotAccepted
	}
	refused := newCounters(p.metrics)
	return newCallConn(bare, conn, p.calls, p.vm.ConnectionCalls(), func(r Refusal) { refused[r].Inc(1) }), nil
}
