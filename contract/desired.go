package contract

import "time"

// Desired is the operator's desired state: which routes exist, and which back ends serve them.
type Desired struct {
	Version  uint64
	Routes   []Route
	Backends map[string]BackendPolicy
	Limits   RequestLimits
	// Document is the encoding in which the state was published, for passing it on.
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
	// NeedsAdvice says that an outside service decides which workers may run the tasks.
	NeedsAdvice bool
}

// BackendPolicy says how the workers of a back end behave.
type BackendPolicy struct {
	Name string
	// GuardsCapacity means that the workers reject what does not fit.
	GuardsCapacity bool
	MaxConnections int
}

// RequestLimits bound what callers may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Match returns the route with the longest prefix of path at host.
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
