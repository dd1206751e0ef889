package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// PlatformControl is the JSON form of the injected faults, for GET and PUT /control/faults.
type PlatformControl struct {
	LogDown       bool  `json:"log_down"`
	ListDown      bool  `json:"list_down"`
	LoseReplies   int   `json:"lose_replies"`
	LoseReads     int   `json:"lose_reads"`
	AppendDelayMS int64 `json:"append_delay_ms"`
	ReadDelayMS   int64 `json:"read_delay_ms"`
	ListLagMS     int64 `json:"list_lag_ms"`
}

// serveControl registers the control interface: faults, counters, truncation of a stream and removal of a VM.
func (p *Platform) serveControl() {
	p.server.GET("/control/faults", p.getControl)
	p.server.PUT("/control/faults", p.putControl)
	p.server.GET("/control/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(200, p.Stats()) })
	p.server.POST("/control/truncate/:stream", p.controlTruncate)
	p.server.DELETE("/v1/vms/:id", func(_ context.Context, c *app.RequestContext) {
		p.RemoveVM(c.Param("id"))
		c.Status(204)
	})
}

func (p *Platform) getControl(_ context.Context, c *app.RequestContext) {
	f := p.Faults()
	p.mu.Lock()
	lag := p.limits.ListLag
	p.mu.Unlock()
	c.JSON(200, PlatformControl{
		LogDown: f.LogDown, ListDown: f.ListDown, LoseReplies: f.LoseReplies, LoseReads: f.LoseReads,
		AppendDelayMS: f.AppendDelay.Milliseconds(), ReadDelayMS: f.ReadDelay.Milliseconds(),
		ListLagMS: lag.Milliseconds(),
	})
}

// putControl replaces all faults. Faults that are missing from the body are switched off.
func (p *Platform) putControl(_ context.Context, c *app.RequestContext) {
	var f PlatformControl
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		c.String(400, "invalid faults: %v", err)
		return
	}
	p.SetListLag(time.Duration(f.ListLagMS) * time.Millisecond)
	p.SetFaults(PlatformFaults{
		LogDown: f.LogDown, ListDown: f.ListDown, LoseReplies: f.LoseReplies, LoseReads: f.LoseReads,
		AppendDelay: time.Duration(f.AppendDelayMS) * time.Millisecond,
		ReadDelay:   time.Duration(f.ReadDelayMS) * time.Millisecond,
	})
	c.Status(204)
}

func (p *Platform) controlTruncate(_ context.Context, c *app.RequestContext) {
	first, err := strconv.ParseUint(c.Query("first"), 10, 64)
	if err != nil {
		c.String(400, "invalid first: %v", err)
		return
	}
	p.Truncate(c.Param("stream"), first)
	c.Status(204)
}
