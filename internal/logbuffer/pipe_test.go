package logbuffer

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeLine is a line of one of several writers to a pipe.
type pipeLine struct {
	Writer int    `json:"writer"`
	Number int    `json:"number"`
	Text   string `json:"text"`
}

// openForWriters returns a file for each of n writers to the pipe that w writes to. A file of its own has a lock of its own, as
// in a process of its own. A process inherits files that block, or not if the other side has set them so.
func openForWriters(t *testing.T, w *os.File, n int, nonblocking bool) []*os.File {
	files := make([]*os.File, n)
	for i := range files {
		fd, err := syscall.Dup(int(w.Fd()))
		require.NoError(t, err)
		require.NoError(t, syscall.SetNonblock(fd, nonblocking))
		files[i] = os.NewFile(uintptr(fd), "pipe")
	}
	require.NoError(t, w.Close())
	return files
}

// writeLines writes the lines of all writers to their buffers, in turns. The lines differ in length and are shorter than a write
// that is atomic.
func writeLines(t *testing.T, buffers []*Buffer, linesEach int) {
	const minText, textSpread = 100, 900
	for n := range linesEach {
		for i, b := range buffers {
			line, err := json.Marshal(pipeLine{Writer: i, Number: n, Text: strings.Repeat("x", minText+(n*37+i*11)%textSpread)})
			require.NoError(t, err)
			_, err = b.Write(append(line, '\n'))
			require.NoError(t, err)
		}
	}
}

// Guards against torn lines: several processes log to one pipe, and the rest of a line of one comes after a line of another
// when the pipe is full.
func TestLinesOfSeveralWritersToOnePipeArriveWhole(t *testing.T) {
	t.Run("blocking", func(t *testing.T) { testLinesArriveWhole(t, false) })
	t.Run("nonblocking", func(t *testing.T) { testLinesArriveWhole(t, true) })
}

func testLinesArriveWhole(t *testing.T, nonblocking bool) {
	const writers, linesEach = 6, 400
	r, w, err := os.Pipe()
	require.NoError(t, err)
	files := openForWriters(t, w, writers, nonblocking)
	buffers := make([]*Buffer, writers)
	for i, f := range files {
		buffers[i] = New(f, time.Now)
	}
	// The pipe holds less than the lines, so that the writers wait for the reader.
	writeLines(t, buffers, linesEach)
	for i, b := range buffers {
		go func() {
			b.Close()
			_ = files[i].Close()
		}()
	}
	torn, arrived := 0, [writers][]int{}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var line pipeLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			torn++
			continue
		}
		arrived[line.Writer] = append(arrived[line.Writer], line.Number)
	}
	require.NoError(t, scanner.Err())
	require.Zero(t, torn, "torn lines")
	for i, numbers := range arrived {
		require.Len(t, numbers, linesEach, "lines of writer %d", i)
		require.IsIncreasing(t, numbers, "lines of writer %d", i)
	}
}

// recordingWriter keeps each write apart.
type recordingWriter struct{ writes []string }

func (w *recordingWriter) Write(b []byte) (int, error) {
	w.writes = append(w.writes, string(b))
	return len(b), nil
}

// Guards against a system call for each line, and against a line longer than an atomic write that takes other lines with it.
func TestWritesHoldAsManyWholeLinesAsAreWrittenAtomically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := func(letter string, size int) string { return strings.Repeat(letter, size-1) + "\n" }
		var w recordingWriter
		b := New(&w, time.Now)
		// The first line is written at once; the others wait for the interval between two writes.
		_, err := b.Write([]byte("first\n"))
		require.NoError(t, err)
		synctest.Wait()
		for _, l := range []string{
			line("a", AtomicWriteBytes/4), line("b", AtomicWriteBytes*3/4), line("c", 1), line("d", AtomicWriteBytes+1),
			line("e", 10), line("f", AtomicWriteBytes-10), line("g", 20),
		} {
			_, err := b.Write([]byte(l))
			require.NoError(t, err)
		}
		b.Close()
		require.Equal(t, []string{
			"first\n", line("a", AtomicWriteBytes/4) + line("b", AtomicWriteBytes*3/4), line("c", 1), line("d", AtomicWriteBytes+1),
			line("e", 10) + line("f", AtomicWriteBytes-10), line("g", 20),
		}, w.writes)
	})
}
