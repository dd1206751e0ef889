package config

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Edge holds the settings of an edge daemon.
type Edge struct {
	VM        EdgeVM        `toml:"vm"`
	Listen    EdgeListen    `toml:"listen"`
	Store     EdgeStore     `toml:"store"`
	Runs      EdgeRuns      `toml:"runs"`
	Stop      EdgeStop      `toml:"stop"`
	Placement EdgePlacement `toml:"placement"`
	Overload  EdgeOverload  `toml:"overload"`
	Log       Log           `toml:"log"`

	file  string
	lines map[string]int
}

// EdgeVM describes the machine. CPUShare is its share of CPU time, in cores.
type EdgeVM struct {
	ID            string  `toml:"id"`
	FailureDomain string  `toml:"failure_domain"`
	CPUShare      float64 `toml:"cpu_share"`
	// MemoryMB and MaxFDs are the memory, in MB, and the descriptors that the process may have. What clients can make it hold
	// follows from them; 0 means the defaults.
	MemoryMB int `toml:"memory_mb"`
	MaxFDs   int `toml:"max_fds"`
}

// EdgeListen holds the addresses that the process binds.
type EdgeListen struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	// Advertise is the address at which other members reach Peers, if it differs from Peers.
	Advertise string `toml:"advertise"`
	Metrics   string `toml:"metrics"`
}

// EdgeStore holds the address of the platform's store.
type EdgeStore struct {
	Address string `toml:"address"`
}

// EdgeRuns holds what applies to runs on workers. LeaseMs is the longest lease of a run, in milliseconds. Source is the IP
// address from which workers are called, for VMs with several; empty leaves the choice to the system. AdaptStartTimeout makes
// the timeout of starts follow the time in which workers answer them.
type EdgeRuns struct {
	LeaseMs           int    `toml:"lease_ms"`
	Source            string `toml:"source"`
	AdaptStartTimeout bool   `toml:"adapt_start_timeout"`
}

// EdgeStop bounds a graceful stop. GraceS is the time from SIGTERM to the exit of the process, in seconds.
type EdgeStop struct {
	GraceS float64 `toml:"grace_s"`
}

// EdgePlacement selects how a home chooses among owners with free capacity.
type EdgePlacement struct {
	// AvoidSlow places tasks at owners that can start them on a worker that is not slow, in another failure domain if need be.
	AvoidSlow bool `toml:"avoid_slow"`
}

// EdgeOverload selects what the daemon does while there is too little room on the workers.
type EdgeOverload struct {
	// Shed orders waiting jobs by what their delay costs their callers, and refuses those whose answer would come too late
	// to be of use.
	Shed bool `toml:"shed"`
	// Steal lets an owner with room take waiting runs from owners without.
	Steal bool `toml:"steal"`
}

// Lease returns the longest lease of a run.
func (e Edge) Lease() time.Duration { return time.Duration(e.Runs.LeaseMs) * time.Millisecond }

// Grace returns the time allowed for a graceful stop.
func (e Edge) Grace() time.Duration { return time.Duration(e.Stop.GraceS * float64(time.Second)) }

// NeedsRestart reports whether o differs from e in anything but the log level.
func (e Edge) NeedsRestart(o Edge) bool {
	return e.VM != o.VM || e.Listen != o.Listen || e.Store != o.Store || e.Runs != o.Runs || e.Stop != o.Stop ||
		e.Placement != o.Placement || e.Overload != o.Overload || e.Log.Format != o.Log.Format
}

// LoadEdge reads a settings file and returns all findings at once.
func LoadEdge(path string) (Edge, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, err
	}
	return ParseEdge(path, text)
}

// ParseEdge reads settings and returns all findings at once, in file order.
func ParseEdge(file string, text []byte) (Edge, error) {
	e := Edge{Log: Log{Level: "info", Format: "json"}}
	d := decodeSettings(file, text, &e)
	e.file, e.lines = file, d.lines
	findings := d.findings
	if !d.syntaxError {
		findings = append(findings, e.validate()...)
	}
	if len(findings) > 0 {
		return e, findings.sorted()
	}
	return e, nil
}

func (e Edge) finding(key, format string, args ...any) Finding {
	f := Finding{File: e.file, Line: 1, Key: key, Reason: fmt.Sprintf(format, args...)}
	for path := key; path != ""; path = path[:max(0, strings.LastIndexByte(path, '.'))] {
		if line, ok := e.lines[path]; ok {
			f.Line = line
			break
		}
	}
	return f
}

// minLease leaves time for three renewals and for delays at the worker.
const minLease = 300 * time.Millisecond

func (e Edge) validate() Findings {
	var findings Findings
	required := []struct{ key, value string }{{"vm.id", e.VM.ID}, {"vm.failure_domain", e.VM.FailureDomain}}
	for _, t := range required {
		if t.value == "" {
			findings = append(findings, e.finding(t.key, "must be set"))
		}
	}
	addresses := []struct{ key, value string }{
		{"listen.front", e.Listen.Front}, {"listen.readiness", e.Listen.Readiness}, {"listen.peers", e.Listen.Peers},
		{"store.address", e.Store.Address},
	}
	for _, a := range addresses {
		if reason := addressFinding(a.value); reason != "" {
			findings = append(findings, e.finding(a.key, "%s", reason))
		}
	}
	optional := []struct{ key, value string }{
		{"listen.metrics", e.Listen.Metrics}, {"listen.advertise", e.Listen.Advertise},
	}
	for _, a := range optional {
		if reason := addressFinding(a.value); a.value != "" && reason != "" {
			findings = append(findings, e.finding(a.key, "%s", reason))
		}
	}
	if e.VM.CPUShare <= 0 {
		findings = append(findings, e.finding("vm.cpu_share", "must be greater than 0"))
	}
	if e.VM.MemoryMB < 0 {
		findings = append(findings, e.finding("vm.memory_mb", "must not be negative"))
	}
	if e.VM.MaxFDs < 0 {
		findings = append(findings, e.finding("vm.max_fds", "must not be negative"))
	}
	if e.Runs.Source != "" && net.ParseIP(e.Runs.Source) == nil {
		findings = append(findings, e.finding("runs.source", "%q is not an IP address", e.Runs.Source))
	}
	if e.Lease() < minLease {
		findings = append(findings, e.finding("runs.lease_ms", "must be at least %d", minLease.Milliseconds()))
	}
	if e.Stop.GraceS <= 0 {
		findings = append(findings, e.finding("stop.grace_s", "must be greater than 0"))
	}
	return findings
}
