package hostile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	routeHost   = "hostile.example"
	routePrefix = "/jobs/"
	backend     = "bookings"
	maxLease    = time.Second
	runTime     = 50 * time.Millisecond
	estimateMS  = 50
	// The limits of the desired state are lower than in deployments, so that a small crowd exceeds them.
	maxHeaderBytes  = 8 << 10
	maxBodyBytes    = 64 << 10
	headerTimeoutMS = 1000
	idleTimeoutMS   = 2000
	// deployedBodyBytes is the limit of a body in deployments.
	deployedBodyBytes = 256 << 10
)

var (
	workerCapacity = machine.Resources{CPUMillis: 64_000, MemoryMB: 131_072}
	taskNeed       = machine.Resources{CPUMillis: 500, MemoryMB: 64}
)

// ignoredRuns is told of the runs of the worker.
type ignoredRuns struct{}

// Started implements standin.RunObserver.
func (ignoredRuns) Started(string, contract.RunKey) {}

// Ended implements standin.RunObserver.
func (ignoredRuns) Ended(string, contract.RunKey, contract.RunState, time.Time) {}

// edgeDaemon is an edge daemon with a store and a worker.
type edgeDaemon struct {
	*process
	front     string
	readiness string
	metrics   string
	http      *http.Client
	jobs      atomic.Uint64
}

// edgeOptions are what differs between tests: limits of the desired state, and the time that a task runs.
type edgeOptions struct {
	bodyBytes, idleTimeoutMS int
	runTime                  time.Duration
}

// startEdge starts an edge daemon with a limit for bodies and waits until it has answered a job.
func startEdge(t *testing.T, bodyBytes int) *edgeDaemon {
	t.Helper()
	return startEdgeWith(t, edgeOptions{bodyBytes: bodyBytes, idleTimeoutMS: idleTimeoutMS, runTime: runTime})
}

// startEdgeWith starts an edge daemon with options and waits until it has answered a job.
func startEdgeWith(t *testing.T, o edgeOptions) *edgeDaemon {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	addresses := load.NewAddresses(ip)
	free := func() string {
		a, err := addresses.Free()
		require.NoError(t, err)
		return a
	}
	d := &edgeDaemon{front: free(), readiness: free(), metrics: free(),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}}
	settings := filepath.Join(t.TempDir(), "edge.toml")
	text := fmt.Sprintf("[vm]\nid = \"edge-1\"\nfailure_domain = \"domain-1\"\ncpu_share = 0.4\n[listen]\nfront = %q\nreadiness = %q\n"+
		"peers = %q\nmetrics = %q\n[store]\naddress = %q\n[runs]\nlease_ms = %d\n[stop]\ngrace_s = 6.0\n",
		d.front, d.readiness, free(), d.metrics, startStore(t, o), maxLease.Milliseconds())
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	d.process = startProcess(t, "edge", "--settings", settings)
	d.requireJobAnswered()
	return d
}

// startStore starts a store with a desired state and a worker, and returns its address.
func startStore(t *testing.T, o edgeOptions) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.ServeKeyedLog(l)
	t.Cleanup(func() { _ = store.Close() })
	var desired map[string]any
	require.NoError(t, json.Unmarshal(standin.DesiredDocument(1, contract.Route{
		Name: "jobs", Host: routeHost, PathPrefix: routePrefix, Backend: backend, Attempts: 2, TargetFactor: 2,
		TargetSlack: time.Second, Timeout: 10 * time.Second,
	}), &desired))
	desired["limits"] = map[string]int{"max_header_bytes": maxHeaderBytes, "max_body_bytes": o.bodyBytes,
		"header_timeout_ms": headerTimeoutMS, "idle_timeout_ms": o.idleTimeoutMS}
	document, err := json.Marshal(desired)
	require.NoError(t, err)
	store.Put("keyed.op", "config", document)
	w, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	host := standin.NewRunHost(standin.RunHostOptions{
		ID: "worker-1", Capacity: workerCapacity, MaxLease: maxLease, Observer: ignoredRuns{},
		Plan: func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: o.runTime} },
		Need: func(contract.RunKey) machine.Resources { return taskNeed },
	})
	server := standin.ServeHost(w, "worker-1", host)
	t.Cleanup(func() { _ = server.Close() })
	store.Put("keyed.servers", "worker-1", standin.EntryDocument(machine.Listing{
		Worker: "worker-1", Backend: backend, Address: w.Addr().String(), Zone: "domain-1", StartTime: host.StartTime(),
		Capacity: workerCapacity,
	}))
	return l.Addr().String()
}

func (d *edgeDaemon) nextJob() string { return fmt.Sprintf("%016x", d.jobs.Add(1)) }

// requireJobAnswered submits an ordinary job, as often as a client may do so, until it is answered as completed.
func (d *edgeDaemon) requireJobAnswered() {
	d.t.Helper()
	d.requireAnswerTo(standin.JobDocument("ordinary", 1, taskNeed, estimateMS))
}

// requireLargeJobAnswered does the same with a job of a number of bytes.
func (d *edgeDaemon) requireLargeJobAnswered(bodyBytes int) {
	d.t.Helper()
	job := standin.JobDocument("large", 1, taskNeed, estimateMS)
	d.requireAnswerTo(append(job, strings.Repeat(" ", bodyBytes-len(job))...))
}

func (d *edgeDaemon) requireAnswerTo(body []byte) {
	d.t.Helper()
	id := d.nextJob()
	d.awaitAnswered(func() bool { return d.submit(id, body) == `{"state":"completed"}` })
}

// submit submits a job over a new connection and returns the body of the response.
func (d *edgeDaemon) submit(id string, body []byte) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.front+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return ""
	}
	req.Host = routeHost
	resp, err := d.http.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// requireServing checks the bounds and that an ordinary job is answered while the crowd is still connected.
func (d *edgeDaemon) requireServing() {
	d.t.Helper()
	d.requireJobAnswered()
	d.requireWithinBounds()
}

// head returns the first lines of a submission.
func (d *edgeDaemon) head(fields ...string) string {
	return "POST " + routePrefix + d.nextJob() + " HTTP/1.1\r\nHost: " + routeHost + "\r\n" + strings.Join(fields, "")
}
