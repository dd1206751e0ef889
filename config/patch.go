package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cicadadale/cicadadale/contract"
)

// patchFields lists the allowed fields of the entries in each section of a patch file.
var patchFields = map[string][]string{
	"services":       {"schema", "schema_file"},
	"kinds":          {"deadline_ms", "expected_ms", "class", "weight"},
	"customers":      {"weight"},
	"teams":          {"weight", "slots", "starts_per_second", "burst"},
	"worker_classes": {"slots", "connections"},
}

// patchFile is a patch as operators write it: a service may name a schema file instead of holding the schema text.
type patchFile struct {
	contract.ConfigPatch
	Services map[string]*serviceFile `json:"services"`
}

type serviceFile struct {
	Schema     string `json:"schema"`
	SchemaFile string `json:"schema_file"`
}

// ParsePatch parses a patch file and returns all findings at once. readFile reads the schema files that it names.
func ParsePatch(file string, text []byte, readFile func(string) ([]byte, error)) (contract.ConfigPatch, Findings) {
	p, _, findings := parsePatch(file, text, readFile)
	return p, findings
}

// CheckPatch parses a patch file and checks the document that results from applying it to base.
func CheckPatch(file string, text []byte, readFile func(string) ([]byte, error), base contract.ConfigDocument) (contract.ConfigPatch, Findings) {
	p, lines, findings := parsePatch(file, text, readFile)
	if len(findings) > 0 {
		return p, findings
	}
	for _, found := range CheckDocument(base.Patched(p)) {
		reason := found.Reason
		if found.Line > 0 {
			reason = fmt.Sprintf("schema line %d: %s", found.Line, reason)
		}
		findings = append(findings, Finding{File: file, Line: lines[found.Path], Key: found.Path, Reason: reason})
	}
	return p, findings
}

func parsePatch(file string, text []byte, readFile func(string) ([]byte, error)) (contract.ConfigPatch, map[string]int, Findings) {
	lines, findings := indexPatch(file, text)
	var f patchFile
	if err := json.Unmarshal(text, &f); err != nil && len(findings) == 0 {
		findings = append(findings, Finding{File: file, Line: errorLine(text, err), Reason: err.Error()})
	}
	if len(findings) > 0 {
		return contract.ConfigPatch{}, lines, findings
	}
	p := f.ConfigPatch
	p.Services = make(map[string]*contract.ServiceConfig, len(f.Services))
	for _, name := range keys(f.Services) {
		s := f.Services[name]
		if s == nil {
			p.Services[name] = nil
			continue
		}
		if s.SchemaFile != "" {
			schema, err := readFile(s.SchemaFile)
			if err != nil {
				key := "services." + name + ".schema_file"
				findings = append(findings, Finding{File: file, Line: lines[key], Key: key, Reason: err.Error()})
			}
			s.Schema = string(schema)
		}
		p.Services[name] = &contract.ServiceConfig{Schema: s.Schema}
	}
	return p, lines, findings
}

func errorLine(text []byte, err error) int {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return lineOf(text, typed.Offset)
	}
	return 0
}

func lineOf(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}

// patchIndex walks a patch file, records the line of each key and reports unknown and repeated keys.
type patchIndex struct {
	file     string
	text     []byte
	dec      *json.Decoder
	lines    map[string]int
	findings Findings
}

func indexPatch(file string, text []byte) (map[string]int, Findings) {
	x := &patchIndex{file: file, text: text, dec: json.NewDecoder(bytes.NewReader(text)), lines: make(map[string]int)}
	err := x.value(nil)
	if err == nil {
		if _, err = x.dec.Token(); err == nil {
			err = errors.New("text after the end of the document")
		}
	}
	if !errors.Is(err, io.EOF) {
		x.add("", err.Error())
	} else if len(x.lines) == 0 && len(x.findings) == 0 {
		x.add("", "the document is empty")
	}
	return x.lines, x.findings
}

func (x *patchIndex) add(key, reason string) {
	line := lineOf(x.text, x.dec.InputOffset())
	x.findings = append(x.findings, Finding{File: x.file, Line: line, Key: key, Reason: reason})
}

func (x *patchIndex) value(path []string) error {
	token, err := x.dec.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch token {
	case json.Delim('{'):
		for x.dec.More() {
			if err := x.member(path); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for x.dec.More() {
			if err := x.value(append(path, "[]")); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = x.dec.Token()
	return err
}

func (x *patchIndex) member(path []string) error {
	token, err := x.dec.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	path = append(slices.Clone(path), name)
	key := strings.Join(path, ".")
	if _, ok := x.lines[key]; ok {
		x.add(key, "is given twice")
	}
	x.lines[key] = lineOf(x.text, x.dec.InputOffset())
	fields, known := patchFields[path[0]]
	if (len(path) == 1 && !known) || (len(path) == 3 && known && !slices.Contains(fields, name)) {
		x.add(key, "unknown key")
	}
	return x.value(path)
}
