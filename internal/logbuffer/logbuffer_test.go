package logbuffer

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// Guards against a process that blocks because its log is not read, and against dropped lines that are not reported.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		b := New(w, time.Now)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 4000 {
			n, err := b.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		close(w.release)
		time.Sleep(10 * time.Second)
		_, err := b.Write([]byte("last\n"))
		require.NoError(t, err)
		b.Close()
		text := w.written.String()
		require.Contains(t, text, "log lines were dropped")
		require.True(t, strings.HasSuffix(text, "last\n"))
		require.Less(t, len(text), burstBytes+bufferBytes)
	})
}

// Guards against a flood of log lines that uses up the CPU.
func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		b := New(w, time.Now)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 100 {
			for range 200 {
				_, err := b.Write(line)
				require.NoError(t, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.Close()
		require.LessOrEqual(t, w.written.Len(), burstBytes+11*bytesPerSecond)
		require.Greater(t, w.written.Len(), 9*bytesPerSecond)
	})
}
