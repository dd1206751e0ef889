package config

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/schema"
)

const (
	maxWeight = 1e6
	maxSlots  = 1 << 20
	// maxServiceBytes bounds the schema text of one service so that a snapshot fits into one log record.
	maxServiceBytes = 256 << 10
)

// DocumentFinding is a fault in a configuration document. Path names the section and entry; Line is the line within a
// schema text.
type DocumentFinding struct {
	Path   string
	Line   int
	Reason string
}

// String returns the form shown to operators.
func (f DocumentFinding) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", f.Path, f.Line, f.Reason)
	}
	return f.Path + ": " + f.Reason
}

// Check returns the faults of a document. The result depends only on the document, because all readers of the log must
// reach the same decision.
func Check(d contract.ConfigDocument) []string {
	var out []string
	for _, f := range CheckDocument(d) {
		out = append(out, f.String())
	}
	return out
}

// CheckDocument returns the faults of a document with their positions, in a fixed order.
func CheckDocument(d contract.ConfigDocument) []DocumentFinding {
	out := checkServices(d)
	out = append(out, checkKinds(d)...)
	for _, name := range keys(d.Customers) {
		if w := d.Customers[name].Weight; !(w > 0 && w <= maxWeight) {
			out = append(out, DocumentFinding{Path: "customers." + name + ".weight", Reason: "must be above 0 and at most 1e6"})
		}
	}
	out = append(out, checkTeams(d)...)
	for _, name := range keys(d.WorkerClasses) {
		c := d.WorkerClasses[name]
		if c.Slots < 0 || c.Slots > maxSlots || c.Connections < 0 || c.Connections > 64 {
			out = append(out, DocumentFinding{Path: "worker_classes." + name, Reason: "slots or connections are out of range"})
		}
	}
	return out
}

func checkServices(d contract.ConfigDocument) []DocumentFinding {
	var out []DocumentFinding
	for _, name := range keys(d.Services) {
		if len(d.Services[name].Schema) > maxServiceBytes {
			out = append(out, DocumentFinding{Path: "services." + name, Reason: fmt.Sprintf("exceeds %d bytes", maxServiceBytes)})
		}
	}
	if len(out) > 0 || len(d.Services) == 0 {
		return out
	}
	_, findings := CompileServices(d)
	for _, f := range findings {
		out = append(out, DocumentFinding{Path: "services." + f.File, Line: f.Line, Reason: f.Reason})
	}
	return out
}

// CompileServices compiles the schema files of a document.
func CompileServices(d contract.ConfigDocument) ([]*backend.Service, []schema.Finding) {
	if len(d.Services) == 0 {
		return nil, nil
	}
	src := schema.Source{}
	for name, s := range d.Services {
		src[name] = s.Schema
	}
	return schema.Load(src, keys(d.Services)...)
}

func checkKinds(d contract.ConfigDocument) []DocumentFinding {
	var out []DocumentFinding
	for _, name := range keys(d.Kinds) {
		k := d.Kinds[name]
		add := func(reason string) { out = append(out, DocumentFinding{Path: "kinds." + name, Reason: reason}) }
		if k.DeadlineMS < 0 || k.ExpectedMS < 0 || k.Weight < 0 {
			add("values must not be negative")
		}
		if !slices.Contains([]string{"", "short", "long"}, k.Class) {
			add("class must be short or long")
		}
	}
	return out
}

func checkTeams(d contract.ConfigDocument) []DocumentFinding {
	var out []DocumentFinding
	for _, name := range keys(d.Teams) {
		t := d.Teams[name]
		add := func(reason string) { out = append(out, DocumentFinding{Path: "teams." + name, Reason: reason}) }
		owner, team, ok := strings.Cut(name, "/")
		if !ok || team == "" {
			add("name must be customer/team")
		} else if _, ok := d.Customers[owner]; !ok {
			add(fmt.Sprintf("customer %q is not declared", owner))
		}
		for _, v := range []float64{t.Weight, float64(t.Slots), t.StartsPerSecond, t.Burst} {
			if !(v >= 0 && v <= maxWeight) {
				add("values must be from 0 to 1e6")
				break
			}
		}
	}
	return out
}

// Customers returns the customer settings of a document at the given revision.
func Customers(revision uint64, d contract.ConfigDocument) customer.Settings {
	s := customer.Settings{Revision: revision}
	for _, name := range keys(d.Customers) {
		spec := customer.Spec{Name: name, Weight: d.Customers[name].Weight}
		for _, key := range keys(d.Teams) {
			if owner, team, _ := strings.Cut(key, "/"); owner == name {
				t := d.Teams[key]
				spec.Teams = append(spec.Teams, customer.TeamSpec{
					Name: team, Weight: t.Weight, Slots: t.Slots, StartsPerSecond: t.StartsPerSecond, Burst: t.Burst,
					QuotaRevision: t.QuotaRevision,
				})
			}
		}
		s.Customers = append(s.Customers, spec)
	}
	return s
}

func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
