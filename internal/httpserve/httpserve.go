// Package httpserve starts hertz servers on given listeners.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	maxBodyBytes = 8 << 20
	// stopTimeout bounds the wait for requests in flight. Idle client connections use up all of it.
	stopTimeout = 200 * time.Millisecond
)

// disableHertzLog silences the log of hertz, once: the level is a global variable that running servers read without a
// lock.
var disableHertzLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Server is a hertz server on one listener.
type Server struct {
	*server.Hertz
	listener net.Listener
	done     chan error
}

// New returns a server that is not started. The TLS configuration may be nil.
func New(l net.Listener, t *tls.Config) *Server {
	disableHertzLog()
	opts := []config.Option{
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithHostPorts(l.Addr().String()),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithExitWaitTime(stopTimeout),
		server.WithDisablePrintRoute(true),
	}
	if t != nil {
		opts = append(opts, server.WithTLS(t))
	}
	return &Server{Hertz: server.New(opts...), listener: l, done: make(chan error, 1)}
}

// Start serves in the background.
func (s *Server) Start() {
	go func() {
		err := s.Run()
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			err = nil
		}
		s.done <- err
	}()
}

// Address returns the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits a short time for requests in flight.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.Shutdown(ctx)
	// Closing twice is harmless; this closes the listener of a server that was never started.
	_ = s.listener.Close()
	return err
}
