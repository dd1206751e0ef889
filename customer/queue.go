package customer

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

// Item is a waiting task.
type Item struct {
	Task     contract.TaskID
	Kind     *backend.RequestKind
	Class    backend.Class
	Customer string
	Team     string
	Deadline time.Time
	Enqueued time.Time
	Priority int
	Expected time.Duration
}

// Queue orders the waiting tasks of one service. Its mutex guards all fields.
type Queue struct {
	mu      sync.Mutex
	classes [2]classQueue
	weights map[string]float64
}

// classQueue holds the waiting tasks of one class by customer.
type classQueue struct {
	flows   map[string]*flow
	length  int
	virtual float64
	work    time.Duration
}

// flow is the work of one customer within a class. Its virtual time grows by the work started divided by the
// customer's weight; the flow with the smallest one is served next.
type flow struct {
	items   itemHeap
	virtual float64
	weight  float64
}

// NewQueue returns an empty queue. Customers without a weight count as 1.
func NewQueue(weights map[string]float64) *Queue {
	q := &Queue{weights: weights}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Push adds tasks.
func (q *Queue) Push(items []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range items {
		q.push(it)
	}
}

// push expects q.mu to be held.
func (q *Queue) push(it Item) {
	c := &q.classes[it.Class]
	f, ok := c.flows[it.Customer]
	if !ok {
		weight := q.weights[it.Customer]
		if weight <= 0 {
			weight = 1
		}
		f = &flow{weight: weight}
		c.flows[it.Customer] = f
	}
	if f.items.Len() == 0 && f.virtual < c.virtual {
		// An idle customer gets no credit for the time in which it asked for nothing.
		f.virtual = c.virtual
	}
	heap.Push(&f.items, it)
	c.length++
	c.work += it.Expected
}

// Pop removes the task to start next. Long work is offered only if long is true.
func (q *Queue) Pop(long bool) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it, ok := q.classes[backend.ClassShort].pop(); ok {
		return it, true
	}
	if !long {
		return Item{}, false
	}
	return q.classes[backend.ClassLong].pop()
}

func (c *classQueue) pop() (Item, bool) {
	var next *flow
	for _, f := range c.flows {
		if f.items.Len() == 0 {
			continue
		}
		if next == nil || f.virtual < next.virtual || (f.virtual == next.virtual && f.items.less(next.items)) {
			next = f
		}
	}
	if next == nil {
		return Item{}, false
	}
	it := heap.Pop(&next.items).(Item)
	c.virtual = next.virtual
	next.virtual += it.Expected.Seconds() / next.weight
	c.length--
	c.work -= it.Expected
	return it, true
}

// Depth is the amount of waiting work.
type Depth struct {
	Short     int
	Long      int
	ShortWork time.Duration
	LongWork  time.Duration
}

// Depth returns the amount of waiting work.
func (q *Queue) Depth() Depth {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, l := &q.classes[backend.ClassShort], &q.classes[backend.ClassLong]
	return Depth{Short: s.length, Long: l.length, ShortWork: s.work, LongWork: l.work}
}

// itemHeap orders by priority, deadline, then arrival.
type itemHeap []Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool { return before(h[i], h[j]) }

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap) Push(x any) { *h = append(*h, x.(Item)) }

func (h *itemHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	*h = old[:n]
	return it
}

func (h itemHeap) less(o itemHeap) bool { return before(h[0], o[0]) }

func before(a, b Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Enqueued.Before(b.Enqueued)
}
