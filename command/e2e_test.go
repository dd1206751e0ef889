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
	// patience bounds waits that end with an event; it is no bound on speed.
	patience = 2 * time.Minute
	bookings = "glashaus.v1.Booking"
)

// site is a binary with the processes that a test has started from it.
type site struct {
	t      testing.TB
	binary string
	dir    string
	// ip is a loopback address of its own, on which no outgoing connection takes the ports reserved below.
	ip string
	// reserved holds the addresses given out: the kernel may choose a port again that has been closed.
	reserved map[string]bool
}

func newSite(t testing.TB) *site {
	s := &site{t: t, dir: t.TempDir(), reserved: make(map[string]bool)}
	s.binary = filepath.Join(s.dir, "cicadadale")
	out, err := exec.Command("go", "build", "-o", s.binary, "../cmd/cicadadale").CombinedOutput()
	require.NoError(t, err, string(out))
	s.ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return s
}

// address reserves a free port. It gives none out twice.
func (s *site) address() string {
	for {
		l, err := net.Listen("tcp", s.ip+":0")
		require.NoError(s.t, err)
		require.NoError(s.t, l.Close())
		if address := l.Addr().String(); !s.reserved[address] {
			s.reserved[address] = true
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

func (s *site) start(args ...string) *process {
	p := &process{t: s.t, cmd: exec.Command(s.binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = &p.out, &p.out, ".."
	require.NoError(s.t, p.cmd.Start())
	go func() {
		defer close(p.done)
		// The exit status is read from the process state.
		_ = p.cmd.Wait()
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if s.t.Failed() {
			s.t.Logf("%v:\n%s", args, p.out.String())
		}
	})
	return p
}

// terminate sends SIGTERM and returns the exit status.
func (p *process) terminate() int {
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatal("process did not stop")
	}
	return p.cmd.ProcessState.ExitCode()
}

// run returns the output and exit status of a command that ends by itself.
func (s *site) run(args ...string) (stdout, stderr string, code int) {
	var o, e bytes.Buffer
	cmd := exec.Command(s.binary, args...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = &o, &e, ".."
	// A status other than 0 is read from the process state.
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// entryVM is the addresses and the process of an entry VM.
type entryVM struct {
	id, callers, peers, admin string
	settings                  string
	process                   *process
}

func (s *site) entryVM(n int) *entryVM {
	e := &entryVM{id: fmt.Sprintf("entry-%d", n), callers: s.address(), peers: s.address(), admin: s.address()}
	e.settings = filepath.Join(s.dir, e.id+".toml")
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

// awaitReady returns when the VM is ready and sees the given number of live members.
func (e *entryVM) awaitReady(t testing.TB, members float64) {
	require.Eventually(t, func() bool {
		code, _ := get("http://" + e.admin + "/readyz")
		var m map[string]any
		_, body := get("http://" + e.admin + "/metrics?format=json")
		return code == 200 && json.Unmarshal([]byte(body), &m) == nil && m["members.live"] == members
	}, patience, 20*time.Millisecond)
}

// Guards the path that no test in one process covers: the built binary with its settings, signals and exit statuses, a
// job that is followed over all processes, and an answer that outlives its home.
func TestSeparateProcesses(t *testing.T) {
	s := newSite(t)
	platform := s.address()
	one, two := s.entryVM(1), s.entryVM(2)
	args := []string{"standin", "--listen", platform, "--workers", "2", "--slots", "4", "--service", bookings}
	for _, e := range []*entryVM{one, two} {
		args = append(args, "--entry", strings.Join([]string{e.id, "1", e.peers, e.callers}, ";"))
	}
	standin := s.start(args...)
	for _, e := range []*entryVM{one, two} {
		e.writeSettings(t, platform)
		out, errs, code := s.run("entry", "--settings", e.settings, "--check")
		require.Equal(t, 0, code, errs)
		require.Contains(t, out, "no findings")
		e.process = s.start("entry", "--settings", e.settings)
	}
	one.awaitReady(t, 2)
	two.awaitReady(t, 2)

	id := s.submitAndResubmit(one, two)
	s.followTask(one, two, id)
	s.checkExitStatuses(two)

	require.Equal(t, 0, one.process.terminate())
	two.awaitReady(t, 1)
	out, errs, code := s.run("job", "--entry", two.callers, "submit", "--id", id, "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802")
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, `"verdict": "complete"`)
	out, errs, code = s.run("timeline", "--admin", two.admin, "--admin", one.admin, "--job", id)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "gap: process at "+one.admin+": unreachable")
	require.Equal(t, 0, two.process.terminate())
	require.Equal(t, 0, standin.terminate())
}

// submitAndResubmit returns the id of a job whose answer is the same at both entry VMs.
func (s *site) submitAndResubmit(one, two *entryVM) string {
	out, errs, code := s.run("job", "--entry", one.callers, "create")
	require.Equal(s.t, 0, code, errs)
	id := strings.TrimSpace(out)
	submit := []string{"submit", "--id", id, "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802"}
	first, errs, code := s.run(append([]string{"job", "--entry", one.callers}, submit...)...)
	require.Equal(s.t, 0, code, errs)
	require.Contains(s.t, first, `"verdict": "complete"`)
	again, errs, code := s.run(append([]string{"job", "--entry", two.callers}, submit...)...)
	require.Equal(s.t, 0, code, errs)
	require.Equal(s.t, first, again)
	out, errs, code = s.run("job", "--entry", two.callers, "status", id)
	require.Equal(s.t, 0, code, errs)
	var status map[string]any
	require.NoError(s.t, json.Unmarshal([]byte(out), &status))
	require.Equal(s.t, id, status["job_id"])
	return id
}

// followTask checks the causal order of a task's events over two entry VMs and a worker.
func (s *site) followTask(one, two *entryVM, id string) {
	out, errs, code := s.run("timeline", "--admin", one.admin, "--admin", two.admin, "--workers", "--task", id+".0", "--format", "json")
	require.Equal(s.t, 0, code, errs)
	var got struct {
		Records []struct{ Kind, Process string }
		Gaps    []string
	}
	require.NoError(s.t, json.Unmarshal([]byte(out), &got))
	// Callers carry no logical clock, so that the forwarding by the second VM has no fixed place between these.
	var work, forwarded []string
	for _, r := range got.Records {
		if r.Kind == "job.forwarded" {
			forwarded = append(forwarded, r.Process)
		} else {
			work = append(work, r.Kind)
		}
	}
	require.Equal(s.t, []string{
		"job.accepted", "task.started", "run.started", "run.ended", "task.done", "job.complete", "job.resubmitted",
	}, work)
	require.Contains(s.t, forwarded, two.id)
	require.Empty(s.t, got.Gaps)
}

// checkExitStatuses covers input that must fail with a reason and a status of its own.
func (s *site) checkExitStatuses(e *entryVM) {
	bad := filepath.Join(s.dir, "bad.toml")
	require.NoError(s.t, os.WriteFile(bad, []byte("[vm]\nid = 1\ncolour = 2\n"), 0o600))
	_, errs, code := s.run("entry", "--settings", bad)
	require.Equal(s.t, 1, code)
	require.Contains(s.t, errs, bad+":2: vm.id: must be a string")
	require.Contains(s.t, errs, bad+":3: vm.colour: unknown key")
	job := []string{"job", "--entry", e.callers}
	_, errs, code = s.run(append(job, "cancel", "j-1-x-1")...)
	require.Equal(s.t, 1, code)
	require.Contains(s.t, errs, "j-1-x-1")
	_, _, code = s.run(append(job, "submit", "--service", bookings, "--kind", "Nothing", "--payload", "x")...)
	require.Equal(s.t, 3, code)
	_, _, code = s.run(append(job, "submit", "--service", bookings, "--kind", "PriceHire", "--payload-hex", "ff")...)
	require.Equal(s.t, 2, code)
}

// Guards the settings of TLS from the file to the sockets: entry VMs that do not join each other over TLS, and a
// callers' side that serves strangers.
func TestSeparateProcessesOverTLS(t *testing.T) {
	s := newSite(t)
	ca := testcert.NewAuthority(t, s.dir, "ca")
	files := ca.Issue(t, s.dir, "machine", net.ParseIP(s.ip))
	platform := s.address()
	vms := []*entryVM{s.entryVM(1), s.entryVM(2)}
	args := []string{"standin", "--listen", platform, "--workers", "1", "--service", bookings}
	for _, e := range vms {
		args = append(args, "--entry", strings.Join([]string{e.id, "1", e.peers, e.callers}, ";"))
	}
	s.start(args...)
	tls := fmt.Sprintf("[tls.callers]\ncertificate = %q\nkey = %q\nclient_ca = %q\n[tls.peers]\ncertificate = %q\nkey = %q\nca = %q\n",
		files.Certificate, files.Key, files.CA, files.Certificate, files.Key, files.CA)
	for _, e := range vms {
		e.writeSettings(t, platform, tls)
		e.process = s.start("entry", "--settings", e.settings)
	}
	for _, e := range vms {
		e.awaitReady(t, 2)
	}
	submit := []string{"submit", "--service", bookings, "--kind", "PriceHire", "--payload-hex", "10021802"}
	secure := []string{"job", "--entry", vms[0].callers, "--tls-ca", files.CA, "--tls-certificate", files.Certificate, "--tls-key", files.Key}
	out, errs, code := s.run(append(secure, submit...)...)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, `"verdict": "complete"`)
	for _, stranger := range [][]string{
		{"job", "--entry", vms[0].callers, "--timeout", "1s"},
		{"job", "--entry", vms[0].callers, "--timeout", "1s", "--tls-ca", files.CA},
	} {
		_, _, code = s.run(append(stranger, submit...)...)
		require.Equal(t, 1, code)
	}
	for _, e := range vms {
		require.Equal(t, 0, e.process.terminate())
	}
}
