// Package logattr formats times that may be unset for log lines.
package logattr

import (
	"fmt"
	"log/slog"
	"time"
)

// TasksPerLine is the number of tasks that a log line names at most. An order takes about 110 bytes, and a pipe takes lines of up
// to 4 KiB whole.
const TasksPerLine = 24

// none stands for the time since an event that has not occurred. The difference to a zero time is no age: it is the longest duration.
const none = "none"

// Since returns the attribute of the time since at, or "none" if at is zero. A time that is not past yet counts as now.
func Since(key string, now, at time.Time) slog.Attr {
	if at.IsZero() {
		return slog.String(key, none)
	}
	return slog.Duration(key, max(now.Sub(at), 0))
}

// Ago describes the time since an event in a text, like "contact 150ms ago", or "no contact" if at is zero.
func Ago(event string, now, at time.Time) string {
	if at.IsZero() {
		return "no " + event
	}
	return fmt.Sprintf("%s %v ago", event, now.Sub(at))
}
