package config

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"
)

const (
	maxConnections  = 64
	maxDrainTimeout = time.Hour
	maxEvents       = 1 << 22
)

// Allowed values.
var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"text", "json"}
)

// validation collects findings about values of the right type.
type validation struct {
	entry    Entry
	findings Findings
}

func (e Entry) validate() Findings {
	v := &validation{entry: e}
	v.vm()
	v.listen()
	v.platform()
	v.tls()
	v.limits()
	v.log()
	return v.findings
}

func (v *validation) add(key, format string, args ...any) {
	v.findings = append(v.findings, v.entry.Finding(key, fmt.Sprintf(format, args...)))
}

func (v *validation) vm() {
	if v.entry.VM.ID == "" {
		v.add("vm.id", "must be set")
	}
	if v.entry.VM.Domain == 0 {
		v.add("vm.failure_domain", "must be at least 1")
	}
	if v.entry.VM.MemoryMB < 0 {
		v.add("vm.memory_mb", "must not be negative")
	}
	if v.entry.VM.MaxFDs < 0 {
		v.add("vm.max_fds", "must not be negative")
	}
}

func (v *validation) listen() {
	l := v.entry.Listen
	v.address("listen.callers", l.Callers)
	v.address("listen.peers", l.Peers)
	if l.Admin == "" {
		// The admin server is disabled.
		return
	}
	if v.address("listen.admin", l.Admin) && !l.AdminBeyondLoopback && !isLoopback(l.Admin) {
		v.add("listen.admin", "%s is reachable from other machines; set listen.admin_beyond_loopback = true to allow it",
			l.Admin)
	}
}

func (v *validation) address(key, a string) bool {
	reason := addressFinding(a)
	if reason != "" {
		v.add(key, "%s", reason)
	}
	return reason == ""
}

// addressFinding returns why an address is invalid, or an empty string if it is valid.
func addressFinding(a string) string {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Sprintf("%q is not of the form HOST:PORT", a)
	}
	if host != "" && host != "localhost" && net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("port %q is not a number from 0 to 65535", port)
	}
	return ""
}

func isLoopback(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (v *validation) platform() {
	v.url("platform.log", v.entry.Platform.Log)
	v.url("platform.list", v.entry.Platform.List)
	if len(v.entry.Schema.Files) == 0 {
		v.add("schema.files", "must name at least one schema file")
	}
}

func (v *validation) url(key, text string) {
	if text == "" {
		v.add(key, "must be set")
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		v.add(key, "%q is not of the form http://HOST:PORT", text)
	}
}

func (v *validation) tls() {
	c, p := v.entry.TLS.Callers, v.entry.TLS.Peers
	v.requireIf("tls.callers.certificate", c.Certificate, c.Key != "" || c.ClientCA != "")
	v.requireIf("tls.callers.key", c.Key, c.Certificate != "" || c.ClientCA != "")
	peersTLS := p.Certificate != "" || p.Key != "" || p.CA != ""
	v.requireIf("tls.peers.certificate", p.Certificate, peersTLS)
	v.requireIf("tls.peers.key", p.Key, peersTLS)
	v.requireIf("tls.peers.ca", p.CA, peersTLS)
}

// requireIf reports an empty value that other settings of its table require.
func (v *validation) requireIf(key, value string, needed bool) {
	if value == "" && needed {
		v.add(key, "must be set together with the other files of its table")
	}
}

func (v *validation) limits() {
	if n := v.entry.Workers.Connections; n < 1 || n > maxConnections {
		v.add("workers.connections_per_worker", "%d is not from 1 to %d", n, maxConnections)
	}
	if d := v.entry.Stop.DrainTimeout; d <= 0 || d > maxDrainTimeout {
		v.add("stop.drain_timeout", "%s is not above 0 and at most %s", d, maxDrainTimeout)
	}
	if n := v.entry.Timeline.Events; n < 0 || n > maxEvents {
		v.add("timeline.events", "%d is not from 0 to %d", n, maxEvents)
	}
}

func (v *validation) log() {
	if !slices.Contains(logLevels, v.entry.Log.Level) {
		v.add("log.level", "%q is not one of debug, info, warn, error", v.entry.Log.Level)
	}
	if !slices.Contains(logFormats, v.entry.Log.Format) {
		v.add("log.format", "%q is not one of text, json", v.entry.Log.Format)
	}
}
