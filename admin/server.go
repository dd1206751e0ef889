package admin

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/timeline"
)

// Options configures an admin server.
type Options struct {
	Listener net.Listener
	Source   Source
	Timeline *timeline.Ring
	Metrics  metrics.Registry
}

// Server is the admin server of a daemon.
type Server struct {
	o    Options
	http *httpserve.Server
}

// Serve starts an admin server in the background.
func Serve(o Options) *Server {
	s := &Server{o: o, http: httpserve.New(o.Listener, nil)}
	s.http.GET("/", s.page)
	s.http.GET("/healthz", s.health)
	s.http.GET("/readyz", s.ready)
	s.http.GET("/metrics", s.metrics)
	s.http.GET("/events", httpserve.Events(o.Timeline))
	s.state("process", func() any { return o.Source.Process() })
	s.state("members", func() any { return list(o.Source.Members()) })
	s.state("workers", func() any { return list(o.Source.Workers()) })
	s.state("links", func() any { return list(o.Source.Links()) })
	s.state("queues", func() any { return list(o.Source.Queues()) })
	s.state("grants", func() any { return list(o.Source.Grants()) })
	s.state("quotas", func() any { return list(o.Source.Quotas()) })
	s.state("config", func() any { return o.Source.Config() })
	s.http.Start()
	return s
}

// Query is a read-only call of the metrics server. Answer gets the body of the request and returns what is sent as JSON, or an error
// that says what is wrong with the request.
type Query struct {
	Path   string
	Answer func(body []byte) (any, error)
}

// ServeMetrics serves only the metrics of a registry, at /metrics, and some queries.
func ServeMetrics(l net.Listener, registry metrics.Registry, queries ...Query) *Server {
	s := &Server{o: Options{Listener: l, Metrics: registry}, http: httpserve.New(l, nil)}
	s.http.GET("/metrics", s.metrics)
	for _, q := range queries {
		s.http.POST(q.Path, q.serve)
	}
	s.http.Start()
	return s
}

func (q Query) serve(_ context.Context, c *app.RequestContext) {
	answer, err := q.Answer(c.Request.Body())
	if err != nil {
		c.String(http.StatusBadRequest, "%s\n", err)
		return
	}
	c.JSON(http.StatusOK, answer)
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.http.Address() }

// Stop closes the listener and waits a short time for requests in flight.
func (s *Server) Stop() error { return s.http.Stop() }

func (s *Server) state(name string, view func() any) {
	s.http.GET("/state/"+name, func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, view())
	})
}

// list returns a non-nil slice, so that an empty list is encoded as [] rather than null.
func list[T any](views []T) []T {
	if views == nil {
		return []T{}
	}
	return views
}

func (s *Server) health(_ context.Context, c *app.RequestContext) {
	if err := s.o.Source.Health(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err)
		return
	}
	c.String(http.StatusOK, "ok\n")
}

// ready serves the readiness probe of the load balancer. The reasons are meant for operators.
func (s *Server) ready(_ context.Context, c *app.RequestContext) {
	r := s.o.Source.Readiness()
	if !r.Ready {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", strings.Join(r.Reasons, "; "))
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// metrics responds with JSON if the query or the Accept header requests it, otherwise in the Prometheus text format.
func (s *Server) metrics(_ context.Context, c *app.RequestContext) {
	samples := readAll(s.o.Metrics)
	if c.Query("format") == "json" || strings.HasPrefix(string(c.GetHeader("Accept")), "application/json") {
		c.JSON(http.StatusOK, samplesJSON(samples))
		return
	}
	c.Data(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", []byte(exposition(samples)))
}
