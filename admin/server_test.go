package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

type fakeSource struct {
	health    error
	readiness Readiness
}

func (f *fakeSource) Process() ProcessView { return ProcessView{VM: "<entry-1>"} }
func (f *fakeSource) Health() error        { return f.health }
func (f *fakeSource) Readiness() Readiness { return f.readiness }
func (f *fakeSource) Members() []zone.MemberView {
	return []zone.MemberView{{ID: "entry-2", State: "live"}}
}
func (f *fakeSource) Workers() []WorkerView { return nil }
func (f *fakeSource) Links() []LinkView     { return nil }
func (f *fakeSource) Queues() []QueueView   { return nil }
func (f *fakeSource) Grants() []GrantView   { return nil }
func (f *fakeSource) Quotas() []QuotaView   { return nil }
func (f *fakeSource) Config() ConfigView    { return ConfigView{} }

func serveFake(t *testing.T, src Source, r metrics.Registry) func(path string) (int, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ring := timeline.NewRing(timeline.Process{VM: "entry-1"}, 8, &timeline.Clock{}, time.Now)
	ring.Record(timeline.Event{Kind: timeline.ProcessStarted})
	s := Serve(Options{Listener: l, Source: src, Timeline: ring, Metrics: r})
	t.Cleanup(func() { require.NoError(t, s.Stop()) })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return func(path string) (int, string) {
		resp, err := client.Get("http://" + s.Address() + path)
		require.NoError(t, err)
		defer func() { require.NoError(t, resp.Body.Close()) }()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(body)
	}
}

// Guards against a load balancer that keeps sending callers to a VM that rejects them, and against a health check that
// does not report a process that should be replaced.
func TestHealthAndReadinessFollowTheSource(t *testing.T) {
	src := &fakeSource{readiness: Readiness{Reasons: []string{"draining", "no configuration"}}}
	get := serveFake(t, src, metrics.NewRegistry())
	code, body := get("/readyz")
	require.Equal(t, 503, code)
	require.Equal(t, "not ready: draining; no configuration\n", body)
	src.readiness = Readiness{Ready: true}
	code, _ = get("/readyz")
	require.Equal(t, 200, code)
	code, _ = get("/healthz")
	require.Equal(t, 200, code)
	src.health = errors.New("no heartbeat tick for 7s")
	code, body = get("/healthz")
	require.Equal(t, 503, code)
	require.Contains(t, body, "no heartbeat")
}

// Guards against metrics that a scraper cannot parse or that lack a help text.
func TestMetricsInBothFormats(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(metric.JobsAccepted, r).Inc(7)
	metrics.GetOrRegisterGauge(metric.MembersLive, r).Update(3)
	metrics.GetOrRegisterTimer("some.time", r).Update(2 * time.Second)
	get := serveFake(t, &fakeSource{}, r)
	_, text := get("/metrics")
	require.Equal(t, `# HELP cicadadale_jobs_accepted_total jobs accepted by this home
# TYPE cicadadale_jobs_accepted_total counter
cicadadale_jobs_accepted_total 7
# HELP cicadadale_members_live live members of the failure domain, including this VM
# TYPE cicadadale_members_live gauge
cicadadale_members_live 3
# TYPE cicadadale_some_time summary
cicadadale_some_time{quantile="0.5"} 2
cicadadale_some_time{quantile="0.95"} 2
cicadadale_some_time{quantile="0.99"} 2
cicadadale_some_time{quantile="0.999"} 2
cicadadale_some_time_sum 2
cicadadale_some_time_count 1
`, text)
	_, body := get("/metrics?format=json")
	var got map[string]any
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.EqualValues(t, 7, got[metric.JobsAccepted])
	require.EqualValues(t, 2, got["some.time"].(map[string]any)["p99"])
}

// Guards against state that is not valid JSON, and against a status page that needs scripts or does not escape names
// from outside.
func TestStateAndPage(t *testing.T) {
	get := serveFake(t, &fakeSource{}, metrics.NewRegistry())
	for _, name := range []string{"members", "workers", "links", "queues", "grants", "quotas"} {
		code, body := get("/state/" + name)
		require.Equal(t, 200, code, name)
		var views []map[string]any
		require.NoError(t, json.Unmarshal([]byte(body), &views), name)
		require.NotNil(t, views, name)
	}
	code, body := get("/events?kind=process")
	require.Equal(t, 200, code)
	var part timeline.Part
	require.NoError(t, json.Unmarshal([]byte(body), &part))
	require.Len(t, part.Records, 1)
	code, body = get("/events?kind=nonsense")
	require.Equal(t, 400, code)
	require.Contains(t, body, "unknown kind")
	code, page := get("/")
	require.Equal(t, 200, code)
	require.Contains(t, page, "&lt;entry-1&gt;")
	require.Contains(t, page, "entry-2")
	require.False(t, strings.Contains(page, "<script"))
}
