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
	// defaultSync is the duration of a synced write.
	defaultSync = 4 * time.Millisecond
	// defaultAppendRate is the sustained rate of the log, in appends per second.
	defaultAppendRate = 500
	// defaultRetention is how long the log keeps records.
	defaultRetention = 48 * time.Hour
	// defaultRecords is the number of records that the log keeps in each stream.
	defaultRecords = 1 << 20
	// maxAppendDelay is the maximum delay of an append beyond the rate. Appends that would wait longer are refused.
	maxAppendDelay = 200 * time.Millisecond
)

// PlatformLimits are the properties of a platform without faults. Zero values use the defaults.
type PlatformLimits struct {
	AppendsPerSecond int
	// Sync is the duration of an append.
	Sync time.Duration
	// RetainFor and RetainRecords bound the age and number of the records of each stream.
	RetainFor     time.Duration
	RetainRecords int
	// ListLag is the age of the VM list that is returned.
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

// PlatformFaults are the faults that the stand-in injects.
type PlatformFaults struct {
	// LogDown makes all log calls fail, ListDown all calls for the VM list.
	LogDown  bool
	ListDown bool
	// LoseReplies is how many of the next appends take effect but lose their reply, LoseReads how many of the next reads
	// lose their reply.
	LoseReplies int
	LoseReads   int
	// AppendDelay is added to each append, ReadDelay to each read.
	AppendDelay time.Duration
	ReadDelay   time.Duration
}

// Platform is a stand-in for the platform's log and VM list. mu guards all fields below it, and limits.ListLag.
type Platform struct {
	server *httpserve.Server
	limits PlatformLimits

	mu            sync.Mutex
	streams       map[string]*stream
	list          vmHistory
	faults        PlatformFaults
	reservedUntil time.Time // earliest time of the next append at the sustained rate
	stats         PlatformStats
}

// PlatformStats counts the log calls. Throttled counts the refused appends.
type PlatformStats struct {
	Appends   int `json:"appends"`
	Throttled int `json:"throttled"`
	Reads     int `json:"reads"`
}

// NewPlatform serves a platform on l with the default limits.
func NewPlatform(l net.Listener) *Platform { return NewPlatformWith(l, PlatformLimits{}) }

// NewPlatformWith serves a platform on l with the given limits.
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

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.server.Address() }

// Address returns the platform's listen address.
func (p *Platform) Address() string { return p.server.Address() }

// Close stops serving.
func (p *Platform) Close() error { return p.server.Stop() }

// SetFaults replaces the injected faults. Reads that are waiting return.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, s := range p.streams {
		s.wakeReaders()
	}
}

// Faults returns the faults that are injected now.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Stats returns the counts of log calls so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// SetVM adds or updates an entry of the VM list.
func (p *Platform) SetVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.set(vm, p.limits.Now())
}

// RemoveVM removes an entry of the VM list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.remove(id, p.limits.Now())
}

// SetListLag changes the age of the VM list that is returned.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.ListLag = lag
}

// Truncate deletes the records of a stream below an offset.
func (p *Platform) Truncate(name string, first uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream(name).truncate(first)
}

// stream returns a stream, and creates it if needed. p.mu must be held.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// admit reserves an append and returns its delay, or false if the delay would exceed maxAppendDelay.
func (p *Platform) admit(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reservedUntil.Before(now) {
		p.reservedUntil = now
	}
	delay := p.reservedUntil.Sub(now)
	if delay > maxAppendDelay {
		p.stats.Throttled++
		return 0, false
	}
	p.reservedUntil = p.reservedUntil.Add(time.Second / time.Duration(p.limits.AppendsPerSecond))
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
	// A missing limit means no limit, and a missing wait no wait.
	limit, _ := strconv.Atoi(c.Query("limit"))
	waitMS, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	time.Sleep(p.Faults().ReadDelay)
	page, changed, fail := p.page(c.Param("stream"), from, limit)
	if fail == "" && len(page.Records) == 0 && waitMS > 0 {
		timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
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

// page returns a part of a stream, the channel that is closed when the stream changes, and the message of an injected
// fault.
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
	return s.page(from, limit), s.changed, fail
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
