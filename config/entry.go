package config

import (
	"os"
	"strings"
	"time"

	"github.com/cicadadale/cicadadale/timeline"
)

// Defaults of optional settings.
const (
	defaultConnections  = 8
	defaultDrainTimeout = 60 * time.Second
)

// Entry holds the settings of an entry daemon.
type Entry struct {
	VM       VM       `toml:"vm"`
	Listen   Listen   `toml:"listen"`
	TLS      TLS      `toml:"tls"`
	Platform Platform `toml:"platform"`
	Schema   Schema   `toml:"schema"`
	Workers  Workers  `toml:"workers"`
	Stop     Stop     `toml:"stop"`
	Timeline Timeline `toml:"timeline"`
	Log      Log      `toml:"log"`

	file  string
	lines map[string]int
}

// VM identifies the machine.
type VM struct {
	ID     string `toml:"id"`
	Domain uint16 `toml:"failure_domain"`
	Region string `toml:"region"`
	// MemoryMB and MaxFDs are the memory, in MB, and the descriptors that the process may have. What callers can make it hold follows
	// from them; 0 means the defaults.
	MemoryMB int `toml:"memory_mb"`
	MaxFDs   int `toml:"max_fds"`
}

// Listen holds the addresses that the process binds.
type Listen struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
	Admin   string `toml:"admin"`
	// AdminBeyondLoopback allows an admin address that other machines can reach. The admin server has no authentication.
	AdminBeyondLoopback bool `toml:"admin_beyond_loopback"`
}

// TLS holds the certificate files of the callers' and peers' connections. Without files a connection uses plain TCP.
type TLS struct {
	Callers CallersTLS `toml:"callers"`
	Peers   PeersTLS   `toml:"peers"`
}

// CallersTLS secures connections from callers. With ClientCA, callers must present a certificate that it has signed.
type CallersTLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	ClientCA    string `toml:"client_ca"`
}

// PeersTLS secures the links between entry VMs; both ends must present a certificate that CA has signed.
type PeersTLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log  string `toml:"log"`
	List string `toml:"list"`
}

// Schema names the schema files.
type Schema struct {
	Files []string `toml:"files"`
}

// Workers holds the limits on connections to workers.
type Workers struct {
	Connections int `toml:"connections_per_worker"`
}

// Stop holds the limits of a graceful stop.
type Stop struct {
	// DrainTimeout bounds the wait for running tasks during a stop.
	DrainTimeout time.Duration `toml:"drain_timeout"`
}

// Timeline holds the size of the event ring.
type Timeline struct {
	// Events is the number of events that the process keeps; 0 disables recording.
	Events int `toml:"events"`
}

// Log holds the level and format of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// DefaultEntry returns the default settings.
func DefaultEntry() Entry {
	return Entry{
		Listen:   Listen{Callers: "127.0.0.1:7001", Peers: "127.0.0.1:7002", Admin: "127.0.0.1:7003"},
		Workers:  Workers{Connections: defaultConnections},
		Stop:     Stop{DrainTimeout: defaultDrainTimeout},
		Timeline: Timeline{Events: timeline.DefaultEvents},
		Log:      Log{Level: "info", Format: "text"},
	}
}

// LoadEntry reads a settings file.
func LoadEntry(path string) (Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, text)
}

// ParseEntry reads settings and returns all findings at once, in file order.
func ParseEntry(file string, text []byte) (Entry, error) {
	e := DefaultEntry()
	d := decodeSettings(file, text, &e)
	e.file, e.lines = file, d.lines
	reported := make(map[string]bool)
	for _, f := range d.findings {
		reported[f.Key] = true
	}
	findings := d.findings
	for _, f := range e.validate() {
		// A field whose value has the wrong type keeps its default, so findings about it do not concern the file.
		_, set := d.lines[f.Key]
		if !reported[f.Key] && (set || !d.syntaxError) {
			findings = append(findings, f)
		}
	}
	if len(findings) > 0 {
		return e, findings.sorted()
	}
	return e, nil
}

// Finding returns a finding at the line of a key. A key that is missing from the file is reported at the line of the
// innermost enclosing table, or at the first line.
func (e Entry) Finding(key, reason string) Finding {
	f := Finding{File: e.file, Line: 1, Key: key, Reason: reason}
	for path := key; path != ""; {
		if line, ok := e.lines[path]; ok {
			f.Line = line
			break
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return f
}
