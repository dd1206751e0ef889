package hostile

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/load"
)

const (
	// messageBytes is a message of gRPC that is inside the limits of the callers' interface.
	messageBytes = 4 << 20
	// headFrameBytes is less than the largest frame that HTTP/2 allows without negotiation.
	headFrameBytes = 16_000
	data           = 0x0
	headers        = 0x1
	settings       = 0x4
	continuation   = 0x9
)

// entryDaemon is an entry daemon with the stand-ins of its platform and of a worker.
type entryDaemon struct {
	*process
	callers string
	admin   string
}

// startEntry starts an entry daemon on a small VM and waits until it has answered a job.
func startEntry(t *testing.T) *entryDaemon {
	t.Helper()
	return startEntryOn(t, smallVM)
}

// startEntryOn starts an entry daemon on a VM with an amount of memory and waits until it has answered a job.
func startEntryOn(t *testing.T, memoryMB int) *entryDaemon {
	t.Helper()
	addresses := load.NewAddresses(fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)))
	var free [4]string
	for n := range free {
		a, err := addresses.Free()
		require.NoError(t, err)
		free[n] = a
	}
	platform, callers, peers, admin := free[0], free[1], free[2], free[3]
	startProcess(t, "standin", "--listen", platform, "--workers", "1", "--slots", "4", "--service", bookingService,
		"--entry", strings.Join([]string{"entry-1", "1", peers, callers}, ";"))
	path := filepath.Join(t.TempDir(), "entry.toml")
	text := fmt.Sprintf("[vm]\nid = \"entry-1\"\nfailure_domain = 1\nmemory_mb = %d\n[listen]\ncallers = %q\npeers = %q\nadmin = %q\n"+
		"[platform]\nlog = \"http://%s\"\nlist = \"http://%s\"\n[schema]\nfiles = [\"schemas/glashaus.proto\"]\n", memoryMB, callers, peers, admin, platform, platform)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	d := &entryDaemon{process: startProcess(t, "entry", "--settings", path), callers: callers, admin: admin}
	d.memoryMB = memoryMB
	d.requireJobAnswered()
	return d
}

// requireJobAnswered submits ordinary jobs until one is answered as complete.
func (d *entryDaemon) requireJobAnswered() {
	d.t.Helper()
	program, err := os.Executable()
	require.NoError(d.t, err)
	d.awaitAnswered(func() bool {
		out, err := exec.Command(program, "job", "--entry", d.callers, "--timeout", "5s", "submit", "--service", bookingService,
			"--kind", priceHire, "--payload-hex", "10021802").Output()
		return err == nil && strings.Contains(string(out), `"verdict": "complete"`)
	})
}

func (d *entryDaemon) requireServing() {
	d.t.Helper()
	d.requireJobAnswered()
	d.requireWithinBounds()
}

// Guards against an entry daemon that ends, or cannot call its workers, because callers have taken its descriptors.
func TestEntryConnectionsBeyondTheDescriptors(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attack(d.callers, beyondDescriptors, func(io.Writer) error { return nil })
	d.requireServing()
}

// Guards against messages of callers that stop short of their end and are kept.
func TestEntryUnfinishedMessages(t *testing.T) {
	d := startEntry(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sent := make(chan struct{}, smallCrowd)
	for range smallCrowd {
		go sendUnfinishedMessage(ctx, d.callers, sent)
	}
	for range smallCrowd {
		<-sent
	}
	d.requireServing()
}

// sendUnfinishedMessage sends a call over a connection of its own, without the last byte of its message, and stays connected until
// ctx ends. It reports when it has sent all of that or has been cut off.
func sendUnfinishedMessage(ctx context.Context, address string, sent chan<- struct{}) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	defer transport.CloseIdleConnections()
	prefix := binary.BigEndian.AppendUint32([]byte{0}, messageBytes)
	end := &openEnd{ctx: ctx, reached: make(chan struct{})}
	message := io.MultiReader(strings.NewReader(string(prefix)), strings.NewReader(strings.Repeat("x", messageBytes-1)), end)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/cicadadale.v1.Dispatcher/Submit", message)
	if err == nil {
		req.Header.Set("Content-Type", "application/grpc")
		req.Header.Set("Te", "trailers")
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if resp, err := transport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
		select {
		case <-end.reached:
		case <-ended:
		case <-ctx.Done():
		}
	}
	sent <- struct{}{}
	<-ctx.Done()
}

// openEnd is the end of a body that never comes. reached is closed when it is read.
type openEnd struct {
	ctx     context.Context
	reached chan struct{}
}

// Read implements io.Reader.
func (e *openEnd) Read([]byte) (int, error) {
	close(e.reached)
	<-e.ctx.Done()
	return 0, e.ctx.Err()
}

// Guards against heads of HTTP/2 that continue without end and are kept.
func TestEntryHeadsWithoutEnd(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	field := "\x00\x01x\x64" + strings.Repeat("v", 100)
	fields := strings.Repeat(field, headFrameBytes/len(field))
	c.attack(d.callers, smallCrowd, func(w io.Writer) error {
		if err := writeAll(w, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", frame(settings, 0, ""), frame(headers, 1, fields)); err != nil {
			return err
		}
		return repeat(w, frame(continuation, 1, fields), attackBytes)
	})
	d.requireServing()
}

// frame returns a frame of HTTP/2 without flags.
func frame(kind byte, stream uint32, payload string) string {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0}
	return string(binary.BigEndian.AppendUint32(head, stream)) + payload
}
