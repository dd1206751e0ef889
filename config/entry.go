package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Finding is a fault in a settings file.
type Finding struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// String returns the form shown to operators.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// Findings are all faults of a file.
type Findings []Finding

// Error lists all findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Entry holds the settings of an entry daemon.
type Entry struct {
	VM       VM       `toml:"vm"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Schema   Schema   `toml:"schema"`
	Workers  Workers  `toml:"workers"`
	Log      Log      `toml:"log"`
}

// VM names the machine.
type VM struct {
	ID     string `toml:"id"`
	Domain uint16 `toml:"failure_domain"`
	Region string `toml:"region"`
}

// Listen holds the addresses that the process binds.
type Listen struct {
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
	Admin   string `toml:"admin"`
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

// Workers holds the limits towards workers.
type Workers struct {
	Connections int `toml:"connections_per_worker"`
}

// Log holds the level of the log.
type Log struct {
	Level string `toml:"level"`
}

// DefaultEntry returns the settings that a file may leave out.
func DefaultEntry() Entry {
	return Entry{
		Listen:  Listen{Callers: "127.0.0.1:7001", Peers: "127.0.0.1:7002", Admin: "127.0.0.1:7003"},
		Workers: Workers{Connections: 8},
		Log:     Log{Level: "info"},
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

// ParseEntry reads settings and returns all findings at once.
func ParseEntry(file string, text []byte) (Entry, error) {
	e := DefaultEntry()
	dec := toml.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&e); err != nil {
		return e, decodeFindings(file, err)
	}
	if f := e.validate(file); len(f) > 0 {
		return e, f
	}
	return e, nil
}

func decodeFindings(file string, err error) Findings {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return Findings{{File: file, Line: line, Key: strings.Join(decode.Key(), "."), Reason: decode.Error()}}
	}
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return Findings{{File: file, Reason: err.Error()}}
	}
	var out Findings
	for _, e := range strict.Errors {
		line, _ := e.Position()
		out = append(out, Finding{File: file, Line: line, Key: strings.Join(e.Key(), "."), Reason: "unknown key"})
	}
	return out
}

func (e Entry) validate(file string) Findings {
	var out Findings
	add := func(key, reason string) { out = append(out, Finding{File: file, Key: key, Reason: reason}) }
	if e.VM.ID == "" {
		add("vm.id", "must be set")
	}
	if e.VM.Domain == 0 {
		add("vm.failure_domain", "must be at least 1")
	}
	for key, a := range map[string]string{
		"listen.callers": e.Listen.Callers, "listen.peers": e.Listen.Peers, "listen.admin": e.Listen.Admin,
	} {
		if _, _, err := net.SplitHostPort(a); err != nil {
			add(key, err.Error())
		}
	}
	if e.Platform.List == "" {
		add("platform.list", "must be set")
	}
	if e.Platform.Log == "" {
		add("platform.log", "must be set")
	}
	if len(e.Schema.Files) == 0 {
		add("schema.files", "names no schema file")
	}
	if e.Workers.Connections < 1 || e.Workers.Connections > 64 {
		add("workers.connections_per_worker", "must be 1 to 64")
	}
	return out
}
