package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	lengthBytes  = 4
	pageItems    = 500
	maxReadWait  = 30 * time.Second
	appendTime   = time.Millisecond
	answerTime   = 4 * time.Millisecond
	maxKeyLength = 255
)

// store is a stand-in for the platform's store: keyed topics of one partition. mu guards the topics.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	// down makes the store turn all calls away.
	down bool
}

func serveStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string][][]byte), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.unlessDown(s.append))
	mux.HandleFunc("GET /-/log-read", s.unlessDown(s.read))
	mux.HandleFunc("GET /-/log-newest", s.unlessDown(s.newest))
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// setDown makes the store turn all calls away with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) unlessDown(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f(w, r)
	}
}

// put appends a record with a key and a value, unless the store is down.
func (s *store) put(topic, key string, value []byte) bool {
	if s.isDown() {
		return false
	}
	s.add(topic, append(append([]byte{byte(min(len(key), maxKeyLength))}, key...), value...))
	return true
}

// add appends a record and returns its offset.
func (s *store) add(topic string, content []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], content)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime + appendTime)
	body, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first, end := -1, 0
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-lengthBytes {
			break
		}
		offset := s.add(topic, slices.Clone(body[lengthBytes:lengthBytes+n]))
		if first < 0 {
			first = offset
		}
		end = offset + 1
		body = body[lengthBytes+n:]
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from_rev"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A missing wait counts as 0.
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	for {
		s.mu.Lock()
		records, changed, down := s.topics[q.Get("topic")], s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) > from {
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(encodeRead(records, from))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRead(records [][]byte, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// newestItem is the newest record of a key.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	s.mu.Lock()
	records := s.topics[q.Get("topic")]
	s.mu.Unlock()
	byKey := make(map[string]newestItem)
	for i, record := range records {
		n := 1 + int(record[0])
		byKey[string(record[1:n])] = newestItem{Key: string(record[1:n]), Value: record[n:], Offset: i}
	}
	items := make([]newestItem, 0, len(byKey))
	for _, item := range byKey {
		if len(item.Value) > 0 && item.Key > q.Get("depends_on") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b newestItem) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), pageItems)], "has_more": more, "end_offset": len(records),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
