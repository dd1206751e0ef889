package standin

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

// Platform is a stand-in of the platform's log and VM list. mu guards the streams, the list and the faults.
type Platform struct {
	server *httpserve.Server

	mu      sync.Mutex
	streams map[string]*stream
	vms     map[string]platform.VM
	faults  PlatformFaults
}

type stream struct {
	first   uint64
	records []platform.WireRecord
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// PlatformFaults are the failures that the stand-in shows.
type PlatformFaults struct {
	// LogDown makes all log calls fail, ListDown all calls for the list.
	LogDown  bool
	ListDown bool
	// LoseReplies is the number of appends that take effect and then fail.
	LoseReplies int
	// AppendDelay is added to each append.
	AppendDelay time.Duration
}

// NewPlatform serves on l.
func NewPlatform(l net.Listener) *Platform {
	p := &Platform{
		server: httpserve.New(l, nil), streams: make(map[string]*stream), vms: make(map[string]platform.VM),
	}
	p.server.POST("/v1/log/:stream", p.append)
	p.server.GET("/v1/log/:stream", p.read)
	p.server.GET("/v1/vms", p.list)
	p.server.PUT("/v1/vms", p.put)
	p.server.Start()
	return p
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.server.Address() }

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.server.Address() }

// Close stops serving.
func (p *Platform) Close() error { return p.server.Stop() }

// SetFaults replaces the failures shown.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVM adds or updates an entry of the list.
func (p *Platform) SetVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = vm
}

// RemoveVM drops an entry of the list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
}

// stream expects p.mu to be held.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) append(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	time.Sleep(f.AppendDelay)
	if f.LogDown {
		c.String(503, "log is down")
		return
	}
	p.mu.Lock()
	s := p.stream(c.Param("stream"))
	offset := s.first + uint64(len(s.records))
	data := append([]byte(nil), c.Request.Body()...)
	s.records = append(s.records, platform.WireRecord{Offset: offset, UnixMS: time.Now().UnixMilli(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	lose := p.faults.LoseReplies > 0
	if lose {
		p.faults.LoseReplies--
	}
	p.mu.Unlock()
	if lose {
		c.String(504, "reply lost")
		return
	}
	c.JSON(200, platform.WireAppended{Offset: offset})
}

func (p *Platform) read(ctx context.Context, c *app.RequestContext) {
	from, _ := strconv.ParseUint(c.Query("from"), 10, 64)
	limit, _ := strconv.Atoi(c.Query("limit"))
	waitMS, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	page, grown, down := p.page(c.Param("stream"), from, limit)
	if !down && len(page.Records) == 0 && waitMS > 0 {
		timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-ctx.Done():
		}
		page, _, down = p.page(c.Param("stream"), from, limit)
	}
	if down {
		c.String(503, "log is down")
		return
	}
	c.JSON(200, page)
}

func (p *Platform) page(name string, from uint64, limit int) (platform.WirePage, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := platform.WirePage{First: s.first, Next: s.first + uint64(len(s.records))}
	from = max(from, s.first)
	if from < page.Next {
		page.Records = s.records[from-s.first:]
	}
	if limit > 0 && len(page.Records) > limit {
		page.Records = page.Records[:limit]
	}
	return page, s.grown, p.faults.LogDown
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	down := p.faults.ListDown
	vms := make([]platform.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	p.mu.Unlock()
	if down {
		c.String(503, "list is down")
		return
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	c.JSON(200, vms)
}

func (p *Platform) put(_ context.Context, c *app.RequestContext) {
	var vm platform.VM
	if err := json.Unmarshal(c.Request.Body(), &vm); err != nil {
		c.String(400, "invalid VM: %v", err)
		return
	}
	p.SetVM(vm)
	c.Status(204)
}
