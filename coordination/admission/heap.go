package admission

import "container/heap"

// positioned is an element that records its index in an indexedHeap, so that it
// can be removed from the middle in O(log n).
type positioned[T any] interface {
	comparable
	less(other T) bool
	position() int
	setPosition(i int)
}

// notInHeap is the position of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a binary min-heap with removal from the middle.
type indexedHeap[T positioned[T]] struct {
	items []T
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.items[i].less(h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setPosition(i)
	h.items[j].setPosition(j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	item.setPosition(len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	item.setPosition(notInHeap)
	return item
}

func (h *indexedHeap[T]) add(item T) { heap.Push(h, item) }

func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, item.position()) }

func (h *indexedHeap[T]) fix(item T) { heap.Fix(h, item.position()) }

func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
