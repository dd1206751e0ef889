package command

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/admin"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/platform"
)

// serveExplanation serves one explanation as a daemon does, and returns its address and the last request.
func serveExplanation(t *testing.T, e platform.Explanation) (string, *platform.ExplainRequest) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveExplanationOn(t, l, e)
}

func serveExplanationOn(t *testing.T, l net.Listener, e platform.Explanation) (string, *platform.ExplainRequest) {
	last := &platform.ExplainRequest{}
	s := admin.ServeMetrics(l, metrics.NewRegistry(), admin.Query{Path: platform.ExplainPath,
		Answer: func(body []byte) (answer any, err error) {
			*last, err = platform.DecodeExplainRequest(body)
			return e, err
		}})
	t.Cleanup(func() { require.NoError(t, s.Stop()) })
	return s.Address(), last
}

func explain(args ...string) (string, error) {
	var out bytes.Buffer
	root := Root()
	root.Writer = &out
	err := root.Run(context.Background(), append([]string{"cicadadale", "explain"}, args...))
	return out.String(), err
}

// Guards against a request that is explained without its body or time limit, and against output that lacks the decision.
func TestExplainPrintsTheAnswerOfTheDaemon(t *testing.T) {
	address, last := serveExplanation(t, platform.Explanation{
		Result: "refused", Reason: "overloaded", DesiredVersion: 3, Route: &platform.ExplainedRoute{Name: "short"},
		Job:    &platform.ExplainedJob{ID: "5c0e7a21d94b36f8", WaitMs: -1, RetryAfterMs: 1500},
		Owners: []platform.ExplainedPool{{Owner: "edge-1/1", Domain: "a", Free: 2, Slots: 4}},
		Tasks:  []platform.ExplainedTask{{Owner: "edge-1/1"}, {Index: 1, Reason: "waits for earlier steps"}},
	})
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"steps":[]}`), 0o600))
	args := []string{"--daemon", address, "--host", "h", "--path", "/q/5c0e7a21d94b36f8", "--body", file, "--deadline", "2s"}
	out, err := explain(args...)
	require.NoError(t, err)
	for _, text := range []string{"result    refused", "reason    overloaded", "route     short", "not known, no owner", "retry after 1500 ms",
		"edge-1/1 in a: 2 of 4 free", "0.0: ordered from edge-1/1", "0.1: waits for earlier steps"} {
		require.Contains(t, out, text)
	}
	require.Equal(t, "POST", last.Method)
	require.Equal(t, "2000", last.Deadline)
	require.JSONEq(t, `{"steps":[]}`, string(last.Body))

	out, err = explain(append(args, "--json")...)
	require.NoError(t, err)
	var e platform.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &e))
	require.Equal(t, "refused", e.Result)
}

// Guards against a fault that looks like an answer: a body that is no document, a daemon that rejects the request or has not started.
func TestExplainReportsFaults(t *testing.T) {
	address, _ := serveExplanation(t, platform.Explanation{})
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"steps"`), 0o600))
	_, err := explain("--daemon", address, "--host", "h", "--path", "/q/1", "--body", file)
	require.ErrorContains(t, err, "not a JSON document")
	_, err = explain("--daemon", address, "--host", "h", "--path", "")
	require.ErrorContains(t, err, "400")
	_, err = (&explainer{now: time.Now}).query().Answer([]byte(`{"path":"/q/1"}`))
	require.ErrorIs(t, err, errStarting)
}

// Guards against a job inside the limits of clients that cannot be explained, since the metrics listener allows smaller bodies.
func TestExplainTakesTheLargestSpecification(t *testing.T) {
	l, err := clientlimit.Listen("127.0.0.1:0",
		clientlimit.NewProcess(clientlimit.VM{}, slog.New(slog.DiscardHandler), metrics.NewRegistry()).Operators())
	require.NoError(t, err)
	address, last := serveExplanationOn(t, l, platform.Explanation{Result: "accepted"})
	file := filepath.Join(t.TempDir(), "job.json")
	body := `{"task_spec":"` + strings.Repeat("s", contract.MaxSpecBytes) + `","steps":[{"count":1}]}`
	require.NoError(t, os.WriteFile(file, []byte(body), 0o600))
	out, err := explain("--daemon", address, "--host", "h", "--path", "/q/5c0e7a21d94b36f8", "--body", file)
	require.NoError(t, err)
	require.Contains(t, out, "accepted")
	require.JSONEq(t, body, string(last.Body))
}
