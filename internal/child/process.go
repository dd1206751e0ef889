// Package child runs programs as child processes that tests and soak runs control by signals.
package child

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a child process. mu guards err.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex
	err error
}

// Start starts a program. Its output is appended to a file.
func Start(output, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal. It has no effect on a process that has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns the exit error of the process.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Wait waits for the process to exit and returns its exit error and true, or false after the timeout.
func (p *Process) Wait(timeout time.Duration) (error, bool) { //nolint:revive // The error is the result of the process, not of Wait.
	select {
	case <-p.exited:
		return p.Err(), true
	case <-time.After(timeout):
		return nil, false
	}
}
