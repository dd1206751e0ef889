package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// WriteText prints one line per event, followed by the gaps.
func (t Timeline) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w)
	for i := range t.Records {
		// Flush returns the first write error.
		_, _ = fmt.Fprintln(b, t.Records[i].line())
	}
	for _, g := range t.Gaps {
		_, _ = fmt.Fprintln(b, "gap:", g)
	}
	return b.Flush()
}

const timeLayout = "15:04:05.000000"

func (r *Record) line() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%8d %s %s/%s %s", r.Lamport, r.Time.Format(timeLayout), r.Process, shortIncarnation(r.Incarnation), r.Kind)
	field := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&s, " %s=%s", name, value)
		}
	}
	if r.Task != "" {
		field("task", r.Task)
	} else {
		field("job", r.Job)
	}
	field("worker", r.Worker)
	field("peer", r.Peer)
	if r.Count != 0 {
		fmt.Fprintf(&s, " count=%d", r.Count)
	}
	if r.Detail != "" {
		fmt.Fprintf(&s, " detail=%q", r.Detail)
	}
	return s.String()
}

// shortIncarnation keeps enough digits to distinguish the incarnations of one VM.
func shortIncarnation(text string) string { return text[:min(len(text), 4)] }

// WriteJSON prints the timeline as one JSON object.
func (t Timeline) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(t)
}
