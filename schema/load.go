package schema

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/reporter"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/schemas"
	schemaopts "github.com/cicadadale/cicadadale/schemas/cicadadale"
)

// Finding is a fault in a schema file.
type Finding struct {
	File   string
	Line   int
	Column int
	Reason string
}

// Source maps import paths to the text of schema files.
type Source map[string]string

// LoadFiles compiles schema files from disk. Findings name the files by the given paths.
func LoadFiles(paths ...string) ([]*backend.Service, []Finding) {
	src, names, findings := readFiles(paths)
	services, more := Load(src, names...)
	return services, append(findings, byPath(more, paths)...)
}

// readFiles reads files into a source by their base names, by which schema files import each other.
func readFiles(paths []string) (Source, []string, []Finding) {
	src := Source{}
	var names []string
	var findings []Finding
	for _, p := range paths {
		name := filepath.Base(p)
		if _, ok := src[name]; ok {
			findings = append(findings, Finding{File: p, Line: 1, Column: 1, Reason: "another schema file has the same name"})
			continue
		}
		text, err := os.ReadFile(p)
		if err != nil {
			findings = append(findings, Finding{File: p, Line: 1, Column: 1, Reason: err.Error()})
			continue
		}
		src[name] = string(text)
		names = append(names, name)
	}
	return src, names, findings
}

// byPath replaces the base names in findings by the paths that the operator gave.
func byPath(findings []Finding, paths []string) []Finding {
	full := make(map[string]string, len(paths))
	for _, p := range paths {
		full[filepath.Base(p)] = p
	}
	for i, f := range findings {
		if p, ok := full[f.File]; ok {
			findings[i].File = p
		}
	}
	return findings
}

// Load compiles schema files and returns their services, or all findings if there are any. The options file is built
// in. Files that compile are checked even if others fail.
func Load(src Source, names ...string) ([]*backend.Service, []Finding) {
	files, findings := compile(src, names)
	var services []*backend.Service
	for _, f := range files {
		if f == nil {
			continue
		}
		for i := range f.Services().Len() {
			s, more := readService(f.Path(), f.Services().Get(i))
			findings = append(findings, more...)
			services = append(services, s)
		}
	}
	if len(findings) > 0 {
		return nil, ordered(findings, names)
	}
	if len(services) == 0 {
		return nil, []Finding{{File: strings.Join(names, ", "), Line: 1, Column: 1, Reason: "no service is declared"}}
	}
	return services, nil
}

// ordered sorts findings in place by file, in the order of names, and by position, and returns them.
func ordered(findings []Finding, names []string) []Finding {
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i], findings[j]
		if a.File != b.File {
			return slices.Index(names, a.File) < slices.Index(names, b.File)
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return findings
}

// compile returns the compiled files, with nil for each file that does not compile.
func compile(src Source, names []string) (linker.Files, []Finding) {
	all := map[string]string{optionsPath: schemas.Options}
	for name, text := range src {
		all[name] = text
	}
	var findings []Finding
	var mu sync.Mutex
	rep := reporter.NewReporter(func(err reporter.ErrorWithPos) error {
		pos := err.GetPosition()
		mu.Lock()
		defer mu.Unlock()
		findings = append(findings, Finding{
			File: pos.Filename, Line: pos.Line, Column: pos.Col, Reason: err.Unwrap().Error(),
		})
		return nil
	}, nil)
	c := protocompile.Compiler{
		Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{
			Accessor: protocompile.SourceAccessorFromMap(all),
		}),
		Reporter:       rep,
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), names...)
	if err != nil && len(findings) == 0 {
		findings = append(findings, Finding{File: strings.Join(names, ", "), Line: 1, Column: 1, Reason: err.Error()})
	}
	return files, findings
}

// Limits of options. Tasks run for seconds; a deadline of more than an hour indicates a wrong unit.
const (
	maxMillis = int64(time.Hour / time.Millisecond)
	maxWeight = 1000
)

func checkMillis(file string, d protoreflect.Descriptor, option string, ms int64) []Finding {
	switch {
	case ms < 0:
		return []Finding{findingAt(file, d, fmt.Sprintf("%s must not be negative", option))}
	case ms > maxMillis:
		return []Finding{findingAt(file, d, fmt.Sprintf("%s of %d exceeds an hour (%d)", option, ms, maxMillis))}
	default:
		return nil
	}
}

const optionsPath = "cicadadale/options.proto"

func readService(file string, d protoreflect.ServiceDescriptor) (*backend.Service, []Finding) {
	var findings []Finding
	opts := &schemaopts.Service{}
	if err := extension(d.Options(), schemaopts.E_Service, opts); err != nil {
		findings = append(findings, findingAt(file, d, err.Error()))
	}
	findings = append(findings, checkMillis(file, d, "default_deadline_ms", opts.GetDefaultDeadlineMs())...)
	defaultDeadline := time.Duration(opts.GetDefaultDeadlineMs()) * time.Millisecond
	var kinds []backend.KindSpec
	for i := range d.Methods().Len() {
		k, more := readKind(file, d.Methods().Get(i), defaultDeadline)
		findings = append(findings, more...)
		kinds = append(kinds, k)
	}
	if len(kinds) == 0 {
		findings = append(findings, findingAt(file, d, "service has no request kinds"))
	}
	return backend.NewService(string(d.FullName()), kinds), findings
}

func readKind(
	file string, d protoreflect.MethodDescriptor, defaultDeadline time.Duration,
) (backend.KindSpec, []Finding) {
	var findings []Finding
	opts := &schemaopts.RequestKind{}
	if err := extension(d.Options(), schemaopts.E_RequestKind, opts); err != nil {
		findings = append(findings, findingAt(file, d, err.Error()))
	}
	if d.IsStreamingClient() || d.IsStreamingServer() {
		findings = append(findings, findingAt(file, d, "request kind "+string(d.Name())+" must not stream"))
	}
	findings = append(findings, checkMillis(file, d, "deadline_ms", opts.GetDeadlineMs())...)
	findings = append(findings, checkMillis(file, d, "expected_ms", opts.GetExpectedMs())...)
	if opts.GetWeight() > maxWeight {
		findings = append(findings, findingAt(file, d, fmt.Sprintf("weight of %d exceeds %d", opts.GetWeight(), maxWeight)))
	}
	k := backend.KindSpec{
		Name:        string(d.Name()),
		Idempotency: idempotency(d),
		Deadline:    time.Duration(opts.GetDeadlineMs()) * time.Millisecond,
		Weight:      max(1, int(opts.GetWeight())),
		Straggler:   straggler(opts.GetStraggler()),
		Expected:    time.Duration(opts.GetExpectedMs()) * time.Millisecond,
	}
	if k.Deadline == 0 {
		k.Deadline = defaultDeadline
	}
	if k.Deadline > 0 && k.Expected > k.Deadline {
		findings = append(findings, findingAt(file, d,
			fmt.Sprintf("expected run time of %s exceeds the deadline of %s", k.Expected, k.Deadline)))
	}
	if opts.GetClass() == schemaopts.Class_CLASS_LONG {
		k.Class = backend.ClassLong
	}
	return k, findings
}

// extension decodes an option. The compiler represents options as dynamic messages, hence the encoding round trip.
func extension(opts proto.Message, ext protoreflect.ExtensionType, into proto.Message) error {
	wire, err := proto.Marshal(opts)
	if err != nil {
		return err
	}
	typed := opts.ProtoReflect().Type().New().Interface()
	if err := proto.Unmarshal(wire, typed); err != nil {
		return err
	}
	if v, ok := proto.GetExtension(typed, ext).(proto.Message); ok && v.ProtoReflect().IsValid() {
		proto.Merge(into, v)
	}
	return nil
}

func idempotency(d protoreflect.MethodDescriptor) backend.Idempotency {
	opts, ok := d.Options().(*descriptorpb.MethodOptions)
	if !ok {
		return backend.NotIdempotent
	}
	switch opts.GetIdempotencyLevel() {
	case descriptorpb.MethodOptions_NO_SIDE_EFFECTS:
		return backend.NoSideEffects
	case descriptorpb.MethodOptions_IDEMPOTENT:
		return backend.Idempotent
	default:
		return backend.NotIdempotent
	}
}

func straggler(s schemaopts.Straggler) backend.StragglerAction {
	switch s {
	case schemaopts.Straggler_STRAGGLER_THROTTLE:
		return backend.StragglerThrottle
	case schemaopts.Straggler_STRAGGLER_CHECKPOINT:
		return backend.StragglerCheckpoint
	case schemaopts.Straggler_STRAGGLER_STOP:
		return backend.StragglerStop
	default:
		return backend.StragglerWait
	}
}

func findingAt(file string, d protoreflect.Descriptor, reason string) Finding {
	loc := d.ParentFile().SourceLocations().ByDescriptor(d)
	return Finding{File: file, Line: loc.StartLine + 1, Column: loc.StartColumn + 1, Reason: reason}
}
