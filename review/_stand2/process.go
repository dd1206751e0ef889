package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a child process. mu guards err.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex
	err error
}

// running holds all child processes that have not ended.
var running sync.Map

// killAll ends all child processes.
func killAll() {
	running.Range(func(p, _ any) bool {
		p.(*process).signal(syscall.SIGKILL)
		return true
	})
}

// startProcess starts a program whose output is appended to a file.
func startProcess(output, program string, args ...string) (*process, error) {
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
	p := &process{cmd: cmd, exited: make(chan struct{})}
	running.Store(p, true)
	go func() {
		err := cmd.Wait()
		running.Delete(p)
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// signal sends a signal. It has no effect on a process that has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// wait waits for the end of the process, for a time at most.
func (p *process) wait(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// exitError returns how the process has ended.
func (p *process) exitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}
