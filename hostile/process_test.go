package hostile

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/command"
)

const (
	// smallVM and largeVM are the memory of VMs in MB. Processes have the small one unless their settings name another.
	smallVM = 144
	largeVM = 536
	kBPerMB = 1 << 10
	// descriptorLimit is the limit of the attacked process. reservedFiles of them are not available to sockets, as on the users'
	// platform, and ownSockets are for the process's own calls.
	descriptorLimit = 1024
	reservedFiles   = 200
	ownSockets      = 50
	descriptorBound = descriptorLimit - reservedFiles - ownSockets
	// eventTimeout bounds waits for states; it is generous and does not test speed.
	eventTimeout = 40 * time.Second
	pollInterval = 20 * time.Millisecond
	// requestTimeout is that of one request of an ordinary client, which tries again.
	requestTimeout = 5 * time.Second
	logTailBytes   = 4 << 10
)

// TestMain runs a command of cicadadale when a test starts the test binary as a child process.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		if err := command.Root().Run(context.Background(), os.Args); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// process is a process of the system. exited is closed when it has ended.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	// memoryMB is the memory of its VM.
	memoryMB int
}

// startProcess runs a command of cicadadale with the descriptors of a small VM. The process ends with the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "process.log")
	log, err := os.Create(path)
	require.NoError(t, err)
	limited := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", descriptorLimit)
	p := &process{t: t, exited: make(chan struct{}), memoryMB: smallVM}
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", limited, program}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = log, log, ".."
	require.NoError(t, p.cmd.Start())
	require.NoError(t, log.Close())
	go func() {
		// The test checks whether the process lives, not how it has ended.
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if text, err := os.ReadFile(path); err == nil && t.Failed() {
			t.Logf("last lines of %v:\n%s", args, text[max(0, len(text)-logTailBytes):])
		}
	})
	return p
}

// awaitAnswered waits until a submission is answered, and fails at once if the process has ended.
func (p *process) awaitAnswered(submit func() bool) {
	p.t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if submit() {
			return
		}
		p.requireRunning()
	}
	p.t.Fatal("an ordinary job has not been answered as completed")
}

// requireOK requests a URL until it is answered with 200.
func (p *process) requireOK(url string) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	p.awaitAnswered(func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		require.NoError(p.t, resp.Body.Close())
		return resp.StatusCode == http.StatusOK
	})
}

func (p *process) requireRunning() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatal("the process has ended: ", p.cmd.ProcessState)
	default:
	}
}

// requireWithinBounds checks that the process lives and that its memory and descriptors have stayed within those of its VM.
func (p *process) requireWithinBounds() {
	p.t.Helper()
	p.requireRunning()
	peak, descriptors := p.peakMemoryKB(), p.descriptors()
	p.t.Logf("peak memory %d kB, %d descriptors", peak, descriptors)
	require.Less(p.t, peak, p.memoryMB*kBPerMB, "peak memory in kB")
	require.Less(p.t, descriptors, descriptorBound, "open descriptors")
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (p *process) peakMemoryKB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(p.t, err)
			return kB
		}
	}
	p.t.Fatal("the process has no VmHWM")
	return 0
}

func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(entries)
}
