package batch

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/internal/logbuffer"
	"github.com/cicadadale/cicadadale/zone"
)

// Guards against torn lines of large jobs: a pipe to which several daemons write takes no line whole that names hundreds of tasks.
func TestLinesThatListTasksAreWrittenWhole(t *testing.T) {
	const tasks, owner = 500, "edge-munster-north-east-12/7324a648c2401d87"
	var log bytes.Buffer
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHomeWithLog("self/1", time.Now, slog.New(slog.NewJSONHandler(&log, nil)))
		h.o.Capacity.Remove(testOwner)
		h.o.Capacity.Update(owner, "z", false, map[string]*zone.BackendCapacity{"s": {Free: tasks, Slots: tasks}})
		out.contact = &Contact{Timestamp: 1, ReceivedAt: time.Now().Add(-123456789 * time.Nanosecond)}
		ctx, cancel := context.WithCancel(context.Background())
		go h.Submit(ctx, testBatch(tasks, time.Minute))
		synctest.Wait()
		h.OwnerUnreachable(owner)
		h.Close()
		cancel()
	})
	for text := range bytes.Lines(log.Bytes()) {
		require.LessOrEqual(t, len(text), logbuffer.AtomicWriteBytes, "line %.200s", text)
	}
	for _, message := range []string{"tasks ordered", "owner of workers is unreachable; its runs are in doubt"} {
		named := make(map[any]bool)
		for _, line := range logLines(t, &log, message) {
			for _, task := range line["tasks"].([]any) {
				require.False(t, named[task], "%v is named twice", task)
				named[task] = true
			}
		}
		require.Len(t, named, tasks, message)
	}
}
