package contract

import "time"

// Desired is the operator's desired state: the routes, and the back ends that serve them.
type Desired struct {
	Version  uint64
	Routes   []Route
	Backends map[string]BackendPolicy
	Limits   RequestLimits
	// Document is the encoded form in which the state was published, for forwarding.
	Document []byte
}

// Route is a queue of batches for one back end.
type Route struct {
	Name         string
	Host         string
	PathPrefix   string
	Backend      string
	Priority     int
	Attempts     int
	Timeout      time.Duration
	TargetFactor float64
	TargetSlack  time.Duration
	// NeedsAdvice means that an external service decides which workers may run the tasks.
	NeedsAdvice bool
}

// BackendPolicy describes the behaviour of the workers of a back end.
type BackendPolicy struct {
	Name string
	// GuardsCapacity means that the workers reject tasks that exceed their capacity.
	GuardsCapacity bool
	MaxConnections int
}

// RequestLimits bounds what callers may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// SoleBackend reports whether all workers belong to one back end.
func (d *Desired) SoleBackend() bool { return len(d.Backends) == 1 }

// Match returns the route of the host with the longest matching path prefix.
func (d *Desired) Match(host, path string) (Route, bool) {
	best := -1
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host != host || len(path) < len(r.PathPrefix) || path[:len(r.PathPrefix)] != r.PathPrefix {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(d.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return d.Routes[best], true
}
