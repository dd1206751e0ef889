package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/platform"
)

// fakeLog is an in-memory log that works under testing/synctest.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string][]platform.Record
	first       map[string]uint64
	changed     chan struct{}
	down        bool
	loseReplies int           // number of appends that take effect but return an error
	failAppends int           // number of appends that fail without effect
	delay       time.Duration // duration of an append
	appends     int
	// readDelay is the duration of a read that does not wait for a record.
	readDelay time.Duration
	reads     int
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams: make(map[string][]platform.Record), first: make(map[string]uint64), changed: make(chan struct{}),
		delay: 4 * time.Millisecond,
	}
}

func (l *fakeLog) set(fn func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	// An append that has been sent takes effect even if the sender stops waiting for it.
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, fault.Unavailable.New("log is down")
	}
	if l.failAppends > 0 {
		l.failAppends--
		return 0, fault.Unavailable.New("append failed")
	}
	offset := uint64(len(l.streams[stream]))
	record := platform.Record{Offset: offset, Time: time.Now(), Data: append([]byte(nil), data...)}
	l.streams[stream] = append(l.streams[stream], record)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, fault.Unavailable.New("reply lost")
	}
	if ctx.Err() != nil {
		return 0, fault.Unavailable.New("append timed out")
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	l.reads++
	delay := l.readDelay
	l.mu.Unlock()
	if wait == 0 {
		time.Sleep(delay)
	}
	page, grown, err := l.page(stream, from, limit)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-grown:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	page, _, err = l.page(stream, from, limit)
	return page, err
}

func (l *fakeLog) page(stream string, from uint64, limit int) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, nil, fault.Unavailable.New("log is down")
	}
	all := l.streams[stream]
	p := platform.Page{First: l.first[stream], Next: uint64(len(all))}
	if from = max(from, p.First); from < p.Next {
		p.Records = all[from:min(len(all), int(from)+limit)]
	}
	return p, l.changed, nil
}
