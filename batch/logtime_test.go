package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// logLines returns the lines of a log with a message.
func logLines(t *testing.T, log *bytes.Buffer, message string) []map[string]any {
	var found []map[string]any
	for text := range bytes.Lines(log.Bytes()) {
		var line map[string]any
		require.NoError(t, json.Unmarshal(text, &line))
		if line["msg"] == message {
			found = append(found, line)
		}
	}
	require.NotEmpty(t, found, message)
	return found
}

// withLog lets f act as the owner of the only run of a job, whose home has no contact with it, and returns the log of the home.
func withLog(t *testing.T, f func(h *Home, out *recorder)) *bytes.Buffer {
	var log bytes.Buffer
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHomeWithLog("self/1", time.Now, slog.New(slog.NewJSONHandler(&log, nil)))
		out.contact = &Contact{}
		ctx, cancel := context.WithCancel(context.Background())
		go h.Submit(ctx, testBatch(1, time.Minute))
		synctest.Wait()
		f(h, out)
		h.Close()
		cancel()
	})
	return &log
}

// Guards against an age of 292 years in the lines about runs, where the home has never been in contact with their owner.
func TestLinesOfRunsSayThatThereWasNoContact(t *testing.T) {
	log := withLog(t, func(h *Home, out *recorder) {
		reportRun(h, out.sentOrders()[0].Key, contract.RunLost, true)
		time.Sleep(time.Second)
	})
	ordered := logLines(t, log, "tasks ordered")[0]
	require.Regexp(t, ` at edge-1/1, no contact$`, ordered["tasks"].([]any)[0])
	lost := logLines(t, log, "owner has lost the worker of a run; the run is in doubt")[0]
	require.Equal(t, "none", lost["since_contact"])
	require.Zero(t, lost["expires_in"])
	expired := logLines(t, log, "lease of a lost run has expired; treating the run as ended")[0]
	require.Equal(t, "none", expired["since_contact"])
	require.NotContains(t, log.String(), "2562047h")
	require.NotContains(t, log.String(), "9223372036854775")
}

// Guards against a home that states how long ago it reached a majority although it has reached none since its start.
func TestAcceptedJobSaysThatThereWasNoMajority(t *testing.T) {
	const beforeJob, majorityAge = time.Second, 200 * time.Millisecond
	accepted := func(majorityAt func(started time.Time) time.Time) any {
		var log bytes.Buffer
		synctest.Test(t, func(*testing.T) {
			h, out := newTestHomeWithLog("self/1", time.Now, slog.New(slog.NewJSONHandler(&log, nil)))
			out.setMajorityAt(majorityAt(time.Now()))
			time.Sleep(beforeJob)
			ctx, cancel := context.WithCancel(context.Background())
			go h.Submit(ctx, testBatch(1, time.Minute))
			synctest.Wait()
			h.Close()
			cancel()
		})
		return logLines(t, &log, "job accepted")[0]["majority_ago"]
	}
	// The recorder takes the zero time for a contact at all times.
	require.Equal(t, "none", accepted(func(time.Time) time.Time { return time.Time{}.Add(time.Nanosecond) }))
	require.InDelta(t, majorityAge-contactSlack,
		accepted(func(started time.Time) time.Time { return started.Add(beforeJob - majorityAge) }), 0)
}
