package command_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/internal/testcert"
)

const (
	// eventTimeout bounds waits for events; it is generous and does not test speed.
	eventTimeout = 2 * time.Minute
	bookings     = "glashaus.v1.Booking"
)

// harness is a built binary with the processes that a test starts from it.
type harness struct {
	t      testing.TB
	binary string
	dir    string
	// ip is a random loopback address, so that outgoing connections do not take the reserved ports.
	ip string
	// reserved holds the addresses already returned: the kernel may choose a closed port again.
	reserved map[string]bool
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, dir: t.TempDir(), reserved: make(map[string]bool)}
	h.binary = filepath.Join(h.dir, "cicadadale")
	out, err := exec.Command("go", "build", "-o", h.binary, "../cmd/cicadadale").CombinedOutput()
	require.NoError(t, err, string(out))
	h.ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return h
}

// address returns an address with a free port. It returns no address twice.
func (h *harness) address() string {
	for {
		l, err := net.Listen("tcp", h.ip+":0")
		require.NoError(h.t, err)
		require.NoError(h.t, l.Close())
		if address := l.Addr().String(); !h.reserved[address] {
			h.reserved[address] = true
			return address
		}
	}
}

// process is a running command.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{}
	out  bytes.Buffer
}

func (h *harness) start(args ...string) *process {
	p := &process{t: h.t, cmd: exec.Command(h.binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = &p.out, &p.out, ".."
	require.NoError(h.t, p.cmd.Start())
	go func() {
		defer close(p.done)
		// The exit status is read from the process state.
		_ = p.cmd.Wait()
	}()
	h.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if h.t.Failed() {
			h.t.Logf("%v:\n%s", args, p.out.String())
		}
	})
	return p
}

// terminate sends SIGTERM and returns the exit status.
func (p *process) terminate() int {
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(eventTimeout):
		p.t.Fatal("process did not stop")
	}
	return p.cmd.ProcessState.ExitCode()
}

// run runs a command to its end and returns its output and exit status.
func (h *harness) run(args ...string) (stdout, stderr string, code int) {
	var o, e bytes.Buffer
	cmd := exec.Command(h.binary, args...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = &o, &e, ".."
	// The exit status is read from the process state, so the error is not needed.
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// entryVM holds the addresses and the process of an entry VM.
type entryVM struct {
	id, callers, peers, admin string
	settings                  string
	process                   *process
}

func (h *harness) entryVM(n int) *entryVM {
	e := &entryVM{id: fmt.Sprintf("entry-%d", n), callers: h.address(), peers: h.address(), admin: h.address()}
	e.settings = filepath.Join(h.dir, e.id+".toml")
	return e
}

func (e *entryVM) writeSettings(t testing.TB, platform string, more ...string) {
	text := fmt.Sprintf(`[vm]
id = %q
failure_domain = 1
[listen]
callers = %q
peers = %q
admin = %q
[platform]
log = "http://%s"
list = "http://%s"
[schema]
files = ["schemas/glashaus.proto"]
`, e.id, e.callers, e.peers, e.admin, platform, platform) + strings.Join(more, "")
	require.NoError(t, os.WriteFile(e.settings, []byte(text), 0o600))
}

func get(url string) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// awaitReady waits until the VM is ready and reports the given number of live members.
func (e *entryVM) awaitReady(t testing.TB, members float64) {
	require.Eventually(t, func() bool {
		code, _ := get("http://" + e.admin + "/readyz")
		var m map[string]any
		_, body := get("http://" + e.admin + "/metrics?format=json")
		return code == 200 && json.Unmarshal([]byte(body), &m) == nil && m["members.live"] == members
	}, eventTimeout, 20*time.Millisecond)
}

// Guards against faults that tests in one process cannot find: in the settings, signals and exit statuses of the built
// binary, in the timeline of a job across processes, and in answers that must survive the stop of their home.
func TestSeparateProcesses(t *testing.T) {
	h := newHarness(t)
	platform := h.address()
	one, two := h.entryVM(1), h.entryVM(2)
	args := []string{"standin", "--listen", platform, "--workers", "2", "--slots", "4", "--service", bookings}
	for _, e := range []*entryVM{one, two} {
		args = append(args, "--entry", strings.Join([]string{e.id, "1", e.peers, e.callers}, ";"))
	}
	standin := h.start(args...)
	for _, e := range []*entryVM{one, two} {
		e.writeSettings(t, platform)
		out, errs, code := h.run("entry", "--settings", e.settings, "--check")
		require.Equal(t, 0, code, errs)
		require.Contains(t, out, "no findings")
		e.process = h.start("entry", "--settings", e.settings)
	}
	one.awaitReady(t, 2)
	two.awaitReady(t, 2)

	id := h.submitAndResubmit(one, two)
	h.checkTaskTimeline(one, two, id)
	h.checkExitStatuses(two)

	require.Equal(t, 0, one.process.terminate())
	two.awaitReady(t, 1)
	out, errs, code := h.run("job", "--entry", two.callers, "submit", "--id", id, "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802")
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, `"verdict": "complete"`)
	out, errs, code = h.run("timeline", "--admin", two.admin, "--admin", one.admin, "--job", id)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "gap: process at "+one.admin+": unreachable")
	require.Equal(t, 0, two.process.terminate())
	require.Equal(t, 0, standin.terminate())
}

// submitAndResubmit submits a job at both entry VMs, checks that the answers are equal, and returns the job id.
func (h *harness) submitAndResubmit(one, two *entryVM) string {
	out, errs, code := h.run("job", "--entry", one.callers, "create")
	require.Equal(h.t, 0, code, errs)
	id := strings.TrimSpace(out)
	submit := []string{"submit", "--id", id, "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802"}
	first, errs, code := h.run(append([]string{"job", "--entry", one.callers}, submit...)...)
	require.Equal(h.t, 0, code, errs)
	require.Contains(h.t, first, `"verdict": "complete"`)
	again, errs, code := h.run(append([]string{"job", "--entry", two.callers}, submit...)...)
	require.Equal(h.t, 0, code, errs)
	require.Equal(h.t, first, again)
	out, errs, code = h.run("job", "--entry", two.callers, "status", id)
	require.Equal(h.t, 0, code, errs)
	var status map[string]any
	require.NoError(h.t, json.Unmarshal([]byte(out), &status))
	require.Equal(h.t, id, status["job_id"])
	return id
}

// checkTaskTimeline checks the causal order of a task's events over two entry VMs and a worker.
func (h *harness) checkTaskTimeline(one, two *entryVM, id string) {
	out, errs, code := h.run("timeline", "--admin", one.admin, "--admin", two.admin, "--workers", "--task", id+".0", "--format", "json")
	require.Equal(h.t, 0, code, errs)
	var got struct {
		Records []struct{ Kind, Process string }
		Gaps    []string
	}
	require.NoError(h.t, json.Unmarshal([]byte(out), &got))
	// Callers have no logical clock, so the order of the forwarding by the second VM among these events is not fixed.
	var work, forwarded []string
	for _, r := range got.Records {
		if r.Kind == "job.forwarded" {
			forwarded = append(forwarded, r.Process)
		} else {
			work = append(work, r.Kind)
		}
	}
	require.Equal(h.t, []string{
		"job.accepted", "task.started", "run.started", "run.ended", "task.done", "job.complete", "job.resubmitted",
	}, work)
	require.Contains(h.t, forwarded, two.id)
	require.Empty(h.t, got.Gaps)
}

// checkExitStatuses checks the reason and exit status for invalid input, a refused job and a failed job.
func (h *harness) checkExitStatuses(e *entryVM) {
	bad := filepath.Join(h.dir, "bad.toml")
	require.NoError(h.t, os.WriteFile(bad, []byte("[vm]\nid = 1\ncolour = 2\n"), 0o600))
	_, errs, code := h.run("entry", "--settings", bad)
	require.Equal(h.t, 1, code)
	require.Contains(h.t, errs, bad+":2: vm.id: must be a string")
	require.Contains(h.t, errs, bad+":3: vm.colour: unknown key")
	job := []string{"job", "--entry", e.callers}
	_, errs, code = h.run(append(job, "cancel", "j-1-x-1")...)
	require.Equal(h.t, 1, code)
	require.Contains(h.t, errs, "j-1-x-1")
	_, _, code = h.run(append(job, "submit", "--service", bookings, "--kind", "Nothing", "--payload", "x")...)
	require.Equal(h.t, 3, code)
	_, _, code = h.run(append(job, "submit", "--service", bookings, "--kind", "PriceHire", "--payload-hex", "ff")...)
	require.Equal(h.t, 2, code)
}

// Guards against TLS settings that are not applied: entry VMs that cannot connect to each other over TLS, and a
// callers' listener that serves clients without a valid certificate.
func TestSeparateProcessesOverTLS(t *testing.T) {
	h := newHarness(t)
	ca := testcert.NewAuthority(t, h.dir, "ca")
	files := ca.Issue(t, h.dir, "machine", net.ParseIP(h.ip))
	platform := h.address()
	vms := []*entryVM{h.entryVM(1), h.entryVM(2)}
	args := []string{"standin", "--listen", platform, "--workers", "1", "--service", bookings}
	for _, e := range vms {
		args = append(args, "--entry", strings.Join([]string{e.id, "1", e.peers, e.callers}, ";"))
	}
	h.start(args...)
	tls := fmt.Sprintf("[tls.callers]\ncertificate = %q\nkey = %q\nclient_ca = %q\n[tls.peers]\ncertificate = %q\nkey = %q\nca = %q\n",
		files.Certificate, files.Key, files.CA, files.Certificate, files.Key, files.CA)
	for _, e := range vms {
		e.writeSettings(t, platform, tls)
		e.process = h.start("entry", "--settings", e.settings)
	}
	for _, e := range vms {
		e.awaitReady(t, 2)
	}
	submit := []string{"submit", "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802"}
	secure := []string{"job", "--entry", vms[0].callers, "--tls-ca", files.CA, "--tls-certificate", files.Certificate, "--tls-key", files.Key}
	out, errs, code := h.run(append(secure, submit...)...)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, `"verdict": "complete"`)
	for _, unauthenticated := range [][]string{
		{"job", "--entry", vms[0].callers, "--timeout", "1s"},
		{"job", "--entry", vms[0].callers, "--timeout", "1s", "--tls-ca", files.CA},
	} {
		_, _, code = h.run(append(unauthenticated, submit...)...)
		require.Equal(t, 1, code)
	}
	for _, e := range vms {
		require.Equal(t, 0, e.process.terminate())
	}
}
