package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/platform"
)

// fakeLog is a log in memory that works under testing/synctest.
type fakeLog struct {
	mu       sync.Mutex
	streams  map[string][]platform.Record
	first    map[string]uint64
	grown    chan struct{}
	down     bool
	lose     int // appends that take effect and fail
	holdDown int // appends that fail without effect
	delay    time.Duration
	appends  int
	// readDelay is the time of a read that does not wait for a record.
	readDelay time.Duration
	reads     int
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams: make(map[string][]platform.Record), first: make(map[string]uint64), grown: make(chan struct{}),
		delay: 4 * time.Millisecond,
	}
}

func (l *fakeLog) set(fn func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l)
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	// A write that has been sent takes effect even when the sender stops waiting for it.
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, fault.Unavailable.New("log is down")
	}
	if l.holdDown > 0 {
		l.holdDown--
		return 0, fault.Unavailable.New("append failed")
	}
	offset := uint64(len(l.streams[stream]))
	record := platform.Record{Offset: offset, Time: time.Now(), Data: append([]byte(nil), data...)}
	l.streams[stream] = append(l.streams[stream], record)
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
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
	return p, l.grown, nil
}
