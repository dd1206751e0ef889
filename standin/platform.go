package standin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	// defaultSync is the time of a synced write.
	defaultSync = 4 * time.Millisecond
	// defaultAppendRate is the rate of appends that the log sustains.
	defaultAppendRate = 500
	// defaultRetention is how long the log keeps records.
	defaultRetention = 48 * time.Hour
	defaultRecords   = 1 << 20
	// appendQueue is the time by which an append beyond the rate is delayed at most; further ones are refused.
	appendQueue = 200 * time.Millisecond
)

// PlatformLimits are the properties of a healthy platform. Zero values take the defaults.
type PlatformLimits struct {
	AppendsPerSecond int
	// Sync is the time that an append takes.
	Sync time.Duration
	// RetainFor and RetainRecords bound each stream.
	RetainFor     time.Duration
	RetainRecords int
	// ListLag is the age of the VM list that is shown.
	ListLag time.Duration
	Now     func() time.Time
}

func (l PlatformLimits) withDefaults() PlatformLimits {
	if l.AppendsPerSecond == 0 {
		l.AppendsPerSecond = defaultAppendRate
	}
	if l.Sync == 0 {
		l.Sync = defaultSync
	}
	if l.RetainFor == 0 {
		l.RetainFor = defaultRetention
	}
	if l.RetainRecords == 0 {
		l.RetainRecords = defaultRecords
	}
	if l.Now == nil {
		l.Now = time.Now
	}
	return l
}

// PlatformFaults are the failures that the stand-in shows.
type PlatformFaults struct {
	// LogDown makes all log calls fail, ListDown all calls for the list.
	LogDown  bool
	ListDown bool
	// LoseReplies is the number of appends that take effect and then fail, LoseReads that of reads that fail after
	// they were served.
	LoseReplies int
	LoseReads   int
	// AppendDelay is added to each append, ReadDelay to each read.
	AppendDelay time.Duration
	ReadDelay   time.Duration
}

// Platform is a stand-in of the platform's log and VM list. mu guards the streams, the list, the faults and the
// counter of appends.
type Platform struct {
	server *httpserve.Server
	limits PlatformLimits

	mu      sync.Mutex
	streams map[string]*stream
	list    vmHistory
	faults  PlatformFaults
	paid    time.Time // time up to which the appends use the rate
	stats   PlatformStats
}

// PlatformStats counts the calls for the log.
type PlatformStats struct {
	Appends   int `json:"appends"`
	Throttled int `json:"throttled"`
	Reads     int `json:"reads"`
}

// NewPlatform serves on l with default limits.
func NewPlatform(l net.Listener) *Platform { return NewPlatformWith(l, PlatformLimits{}) }

// NewPlatformWith serves on l.
func NewPlatformWith(l net.Listener, limits PlatformLimits) *Platform {
	p := &Platform{server: httpserve.New(l, nil), limits: limits.withDefaults(), streams: make(map[string]*stream)}
	p.server.POST("/v1/log/:stream", p.append)
	p.server.GET("/v1/log/:stream", p.read)
	p.server.GET("/v1/vms", p.vms)
	p.server.PUT("/v1/vms", p.put)
	p.serveControl()
	p.server.Start()
	return p
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.server.Address() }

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.server.Address() }

// Close stops serving.
func (p *Platform) Close() error { return p.server.Stop() }

// SetFaults replaces the failures shown. Waiting reads return.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, s := range p.streams {
		s.wakeReaders()
	}
}

// Faults returns the failures shown now.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Stats returns the calls counted so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// SetVM adds or updates an entry of the list.
func (p *Platform) SetVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.set(vm, p.limits.Now())
}

// RemoveVM drops an entry of the list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.remove(id, p.limits.Now())
}

// SetListLag changes the age of the list that is shown.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.ListLag = lag
}

// Truncate drops the records of a stream below an offset.
func (p *Platform) Truncate(name string, first uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream(name).truncate(first)
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

// admit books an append and returns its delay, or false if the rate is exceeded for too long.
func (p *Platform) admit(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paid.Before(now) {
		p.paid = now
	}
	delay := p.paid.Sub(now)
	if delay > appendQueue {
		p.stats.Throttled++
		return 0, false
	}
	p.paid = p.paid.Add(time.Second / time.Duration(p.limits.AppendsPerSecond))
	return delay, true
}

func (p *Platform) append(_ context.Context, c *app.RequestContext) {
	delay, ok := p.admit(p.limits.Now())
	if !ok {
		c.String(429, "append rate exceeded")
		return
	}
	f := p.Faults()
	time.Sleep(delay + p.limits.Sync + f.AppendDelay)
	if p.Faults().LogDown {
		c.String(503, "log is down")
		return
	}
	now := p.limits.Now()
	p.mu.Lock()
	s := p.stream(c.Param("stream"))
	offset := s.add(c.Request.Body(), now)
	s.expire(now.Add(-p.limits.RetainFor), p.limits.RetainRecords)
	p.stats.Appends++
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
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil && c.Query("from") != "" {
		c.String(400, "invalid from")
		return
	}
	// A missing limit or wait means none.
	limit, _ := strconv.Atoi(c.Query("limit"))
	waitMS, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	time.Sleep(p.Faults().ReadDelay)
	page, grown, fail := p.page(c.Param("stream"), from, limit)
	if fail == "" && len(page.Records) == 0 && waitMS > 0 {
		timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-ctx.Done():
		}
		page, _, fail = p.page(c.Param("stream"), from, limit)
	}
	if fail != "" {
		c.String(503, fail)
		return
	}
	c.JSON(200, page)
}

// page returns a part of a stream, the channel that tells of its growth, and the failure to show.
func (p *Platform) page(name string, from uint64, limit int) (platform.WirePage, <-chan struct{}, string) {
	now := p.limits.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	s := p.stream(name)
	s.expire(now.Add(-p.limits.RetainFor), p.limits.RetainRecords)
	fail := ""
	switch {
	case p.faults.LogDown:
		fail = "log is down"
	case p.faults.LoseReads > 0:
		p.faults.LoseReads--
		fail = "reply lost"
	}
	return s.page(from, limit), s.grown, fail
}

func (p *Platform) vms(_ context.Context, c *app.RequestContext) {
	now := p.limits.Now()
	p.mu.Lock()
	down := p.faults.ListDown
	vms := p.list.at(now.Add(-p.limits.ListLag))
	p.mu.Unlock()
	if down {
		c.String(503, "list is down")
		return
	}
	writeVersioned(c, vms)
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
