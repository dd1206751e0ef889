package admin

import (
	"bytes"
	"context"
	_ "embed"
	"html/template"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/zone"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("status").Funcs(template.FuncMap{
	"duration": func(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() },
}).Parse(pageText))

// pageView is the data of the status page.
type pageView struct {
	Process   ProcessView
	Readiness Readiness
	Members   []zone.MemberView
	Links     []LinkView
	Queues    []QueueView
	Workers   []WorkerView
	Grants    []GrantView
	Quotas    []QuotaView
	Config    ConfigView
	Samples   []sampleView
}

type sampleView struct {
	Name  string
	Value string
	Help  string
}

func (s *Server) page(_ context.Context, c *app.RequestContext) {
	src := s.o.Source
	v := pageView{
		Process: src.Process(), Readiness: src.Readiness(), Members: src.Members(), Links: src.Links(),
		Queues: src.Queues(), Workers: src.Workers(), Grants: src.Grants(), Quotas: src.Quotas(), Config: src.Config(),
	}
	for _, m := range readAll(s.o.Metrics) {
		value := number(m.value)
		if m.kind == typeSummary {
			value = number(m.quantiles[0]) + " / " + number(m.quantiles[2]) + " (p50 / p99)"
		}
		v.Samples = append(v.Samples, sampleView{Name: m.name, Value: value, Help: m.help})
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, v); err != nil {
		c.String(http.StatusInternalServerError, "%s\n", err)
		return
	}
	c.Data(http.StatusOK, "text/html; charset=utf-8", b.Bytes())
}
