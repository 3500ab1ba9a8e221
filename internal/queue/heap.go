package queue

// heap is a binary heap that reports each element's position through move, so
// that an element can be reordered or removed in O(log n).
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	move  func(e T, i int)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) push(e T) {
	h.items = append(h.items, e)
	h.move(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	n := len(h.items) - 1
	h.move(h.items[i], -1)
	if i != n {
		h.items[i] = h.items[n]
		h.move(h.items[i], i)
	}
	var zero T
	h.items[n] = zero
	h.items = h.items[:n]
	if i < n {
		h.fix(i)
	}
}

func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.move(h.items[i], i)
	h.move(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			break
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			break
		}
		h.swap(i, c)
		i = c
	}
	return i > start
}
