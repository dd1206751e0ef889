package config

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a fault in a settings file. Line is 0 if the fault has no place in the file.
type Finding struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// String returns the form shown to operators.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", place, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Reason)
}

// Error makes a single finding usable as an error.
func (f Finding) Error() string { return f.String() }

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

// sorted returns the findings in file order; those without a line come last.
func (f Findings) sorted() Findings {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if (a.Line == 0) != (b.Line == 0) {
			return b.Line == 0
		}
		return a.Line < b.Line
	})
	return f
}
