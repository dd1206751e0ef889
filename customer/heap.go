package customer

// node is an element of an indexed heap. position points to where the element keeps its index.
type node interface{ position() *int }

// notQueued is the index of an element outside a heap.
const notQueued = -1

// indexedHeap is a binary heap from which any element can be removed in logarithmic time.
type indexedHeap[T node] struct {
	items []T
	less  func(a, b T) bool
}

func (h *indexedHeap[T]) empty() bool { return len(h.items) == 0 }

func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) push(v T) {
	*v.position() = len(h.items)
	h.items = append(h.items, v)
	h.up(len(h.items) - 1)
}

// remove removes v, which need not be queued.
func (h *indexedHeap[T]) remove(v T) {
	i := *v.position()
	if i == notQueued {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*v.position() = notQueued
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the heap order after v has changed.
func (h *indexedHeap[T]) fix(v T) {
	i := *v.position()
	if i == notQueued {
		return
	}
	h.down(i)
	h.up(*v.position())
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position() = i
	*h.items[j].position() = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
