package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
)

const (
	// recordLengthBytes is the size of the header of a record, which contains the length of its content.
	recordLengthBytes = 4
	maxReadWait       = 30 * time.Second
)

// KeyedLog is a stand-in for the store of the users' platform, limited to keyed topics of one partition. mu guards all
// fields below it.
type KeyedLog struct {
	server *httpserve.Server

	mu      sync.Mutex
	topics  map[string]*keyedTopic
	changed chan struct{}
	down    bool
	// losesReplies makes appends take effect and get no reply.
	losesReplies bool
}

// keyedTopic is one topic. The offset of a record is its index. A record consists of the length of its key in one byte,
// the key and the value.
type keyedTopic struct {
	records [][]byte
}

// keyedItem is the newest record of a key.
type keyedItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ServeKeyedLog serves an empty store on l in the background.
func ServeKeyedLog(l net.Listener) *KeyedLog {
	k := &KeyedLog{server: httpserve.New(l, nil), topics: make(map[string]*keyedTopic), changed: make(chan struct{})}
	k.server.POST("/-/log-append", k.append)
	k.server.GET("/-/log-read", k.read)
	k.server.GET("/-/log-newest", k.newest)
	k.server.Start()
	return k
}

// Address returns the store's listen address.
func (k *KeyedLog) Address() string { return k.server.Address() }

// Close stops the server.
func (k *KeyedLog) Close() error { return k.server.Stop() }

// SetDown makes all calls fail, or ends that fault.
func (k *KeyedLog) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// SetLosingReplies makes appends take effect and get no reply, or ends that fault.
func (k *KeyedLog) SetLosingReplies(loses bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.losesReplies = loses
}

// Put writes a record, as the operator and the workers do. An empty value deletes the key.
func (k *KeyedLog) Put(topic, key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	content := append(append([]byte{byte(len(key))}, key...), value...)
	k.add(topic, content)
}

// add appends a record. k.mu must be held.
func (k *KeyedLog) add(topic string, content []byte) {
	t := k.topic(topic)
	t.records = append(t.records, content)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KeyedLog) topic(name string) *keyedTopic {
	t, ok := k.topics[name]
	if !ok {
		t = &keyedTopic{}
		k.topics[name] = t
	}
	return t
}

func (k *KeyedLog) append(_ context.Context, c *app.RequestContext) {
	records, err := splitRecords(c.Request.Body())
	if err != nil {
		c.String(http.StatusBadRequest, "%s", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	topic := c.Query("topic")
	first := len(k.topic(topic).records)
	for _, r := range records {
		k.add(topic, r)
	}
	if k.losesReplies {
		dropConnection(c)
		return
	}
	c.JSON(http.StatusOK, map[string]int{"offset": first, "end_offset": first + len(records)})
}

var errTruncated = errors.New("the body ends inside a record")

func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordLengthBytes {
			return nil, errTruncated
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[recordLengthBytes:]
		if n > len(body) {
			return nil, errTruncated
		}
		records = append(records, append([]byte(nil), body[:n]...))
		body = body[n:]
	}
	return records, nil
}

func (k *KeyedLog) read(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.Atoi(c.Query("from_rev"))
	if err != nil {
		c.SetStatusCode(http.StatusBadRequest)
		return
	}
	// A missing wait counts as 0.
	wait, _ := strconv.Atoi(c.Query("wait_ms"))
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(wait)*time.Millisecond, maxReadWait))
	defer cancel()
	for {
		k.mu.Lock()
		down, changed, records := k.down, k.changed, k.topic(c.Query("topic")).records
		k.mu.Unlock()
		if down {
			c.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		if len(records) > from || ctx.Err() != nil {
			c.Data(http.StatusOK, "application/octet-stream", encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func encodeRead(records [][]byte, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	return out
}

func (k *KeyedLog) newest(_ context.Context, c *app.RequestContext) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	records := k.topic(c.Query("topic")).records
	newest := make(map[string][]byte)
	for _, r := range records {
		n := 1 + int(r[0])
		newest[string(r[1:n])] = r[n:]
	}
	items := make([]keyedItem, 0, len(newest))
	for key, value := range newest {
		if len(value) > 0 {
			items = append(items, keyedItem{key, value})
		}
	}
	body, err := json.Marshal(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}
