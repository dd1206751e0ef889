package main

import (
	"io"
	"net"
	"sync"
)

// relay forwards channels to a daemon, as the platform's balancer does. mu guards the open channels.
type relay struct {
	address string
	target  string

	mu   sync.Mutex
	open []*net.TCPConn
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &relay{address: l.Addr().String(), target: target}
	go p.accept(l)
	return p, nil
}

func (p *relay) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		a, b := in.(*net.TCPConn), out.(*net.TCPConn)
		p.mu.Lock()
		p.open = append(p.open, a, b)
		p.mu.Unlock()
		go forward(a, b)
		go forward(b, a)
	}
}

func forward(to, from *net.TCPConn) {
	_, _ = io.Copy(to, from)
	_ = to.CloseWrite()
}

// resetHalf resets half of the open channels in both directions. It returns their number.
func (p *relay) resetHalf() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open) / 4
	for _, c := range p.open[:2*n] {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.open = p.open[2*n:]
	return n
}
