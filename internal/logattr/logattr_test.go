package logattr

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an age of 292 years in logs, for something that has not happened.
func TestTimeSinceNothingIsLoggedAsNone(t *testing.T) {
	now := time.Date(2026, 12, 6, 10, 30, 0, 0, time.UTC)
	var log bytes.Buffer
	slog.New(slog.NewJSONHandler(&log, nil)).Info("m", Since("since_contact", now, time.Time{}),
		Since("since_feed", now, now.Add(-time.Second)), Since("majority_ago", now, now.Add(time.Millisecond)))
	require.Contains(t, log.String(), `"since_contact":"none","since_feed":1000000000,"majority_ago":0`)
	require.Equal(t, "no contact", Ago("contact", now, time.Time{}))
	require.Equal(t, "contact 150ms ago", Ago("contact", now, now.Add(-150*time.Millisecond)))
}
