package schema

import (
	"context"
	"os"
	"path/filepath"
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

// Source gives the text of a schema file by its import path.
type Source map[string]string

// LoadFiles reads schema files from disk.
func LoadFiles(paths ...string) ([]*backend.Service, []Finding) {
	src := Source{}
	var names []string
	var findings []Finding
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			findings = append(findings, Finding{File: p, Reason: err.Error()})
			continue
		}
		name := filepath.Base(p)
		src[name] = string(text)
		names = append(names, name)
	}
	services, more := Load(src, names...)
	return services, append(findings, more...)
}

// Load compiles schema files. The options file is built in.
func Load(src Source, names ...string) ([]*backend.Service, []Finding) {
	files, findings := compile(src, names)
	var services []*backend.Service
	for _, f := range files {
		for i := range f.Services().Len() {
			s, more := readService(f.Path(), f.Services().Get(i))
			findings = append(findings, more...)
			services = append(services, s)
		}
	}
	if len(findings) > 0 {
		return nil, findings
	}
	if len(services) == 0 {
		return nil, []Finding{{Reason: "no service is declared"}}
	}
	return services, nil
}

func compile(src Source, names []string) (linker.Files, []Finding) {
	all := map[string]string{optionsPath: schemas.Options}
	for name, text := range src {
		all[name] = text
	}
	var findings []Finding
	rep := reporter.NewReporter(func(err reporter.ErrorWithPos) error {
		pos := err.GetPosition()
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
		findings = append(findings, Finding{Reason: err.Error()})
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return files, nil
}

const optionsPath = "cicadadale/options.proto"

func readService(file string, d protoreflect.ServiceDescriptor) (*backend.Service, []Finding) {
	var findings []Finding
	opts := &schemaopts.Service{}
	if err := extension(d.Options(), schemaopts.E_Service, opts); err != nil {
		findings = append(findings, findingAt(file, d, err.Error()))
	}
	fallback := time.Duration(opts.GetDefaultDeadlineMs()) * time.Millisecond
	var kinds []backend.KindSpec
	for i := range d.Methods().Len() {
		k, more := readKind(file, d.Methods().Get(i), fallback)
		findings = append(findings, more...)
		kinds = append(kinds, k)
	}
	if len(kinds) == 0 {
		findings = append(findings, findingAt(file, d, "service has no request kinds"))
	}
	return backend.NewService(string(d.FullName()), kinds), findings
}

func readKind(file string, d protoreflect.MethodDescriptor, fallback time.Duration) (backend.KindSpec, []Finding) {
	var findings []Finding
	opts := &schemaopts.RequestKind{}
	if err := extension(d.Options(), schemaopts.E_RequestKind, opts); err != nil {
		findings = append(findings, findingAt(file, d, err.Error()))
	}
	if d.IsStreamingClient() || d.IsStreamingServer() {
		findings = append(findings, findingAt(file, d, "request kind "+string(d.Name())+" must not stream"))
	}
	if opts.GetDeadlineMs() < 0 || opts.GetExpectedMs() < 0 {
		findings = append(findings, findingAt(file, d, "deadline_ms and expected_ms must not be negative"))
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
		k.Deadline = fallback
	}
	if opts.GetClass() == schemaopts.Class_CLASS_LONG {
		k.Class = backend.ClassLong
	}
	return k, findings
}

// extension decodes an option. The compiler represents it dynamically, so it goes through its wire form.
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
