package config

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a fault in a settings file. Line is 0 if the fault has no position in the file.
type Finding struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// String returns the form shown to operators.
func (f Finding) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", position, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.Key, f.Reason)
}

// Error implements error.
func (f Finding) Error() string { return f.String() }

// Findings lists the faults of a file.
type Findings []Finding

// Error returns all findings, one per line.
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
