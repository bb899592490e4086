package admission

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// waiter is a grant request that waits for a slot.
type waiter struct {
	key      grantKey
	request  *pb.GrantRequest
	deadline time.Time
	// refuseAt is the time at which the waiter is refused. It is before the
	// deadline, so that the refusal reaches the coordinator in time.
	refuseAt  time.Time
	arrivedAt time.Time
	// arrival is the number of the waiter in the order of arrival.
	arrival uint64
	// index is the position of the waiter in the heap.
	index int
}

// before reports whether w is served before o: waiters are ordered by priority,
// then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.request.GetPriority() != o.request.GetPriority() {
		return w.request.GetPriority() < o.request.GetPriority()
	}
	return w.arrival < o.arrival
}

// queue is a priority queue with removal by key.
type queue struct {
	heap  waiterHeap
	byKey map[grantKey]*waiter
}

func newQueue() queue { return queue{byKey: map[grantKey]*waiter{}} }

// Len returns the number of waiters.
func (q *queue) Len() int { return len(q.heap) }

func (q *queue) has(k grantKey) bool { return q.byKey[k] != nil }

// hasRequest reports whether a grant request for the caller's request is waiting.
func (q *queue) hasRequest(k requestKey) bool {
	return slices.ContainsFunc(q.heap, func(w *waiter) bool { return keyOf(w.request) == k })
}

func (q *queue) add(w *waiter) {
	heap.Push(&q.heap, w)
	q.byKey[w.key] = w
}

func (q *queue) first() *waiter { return q.heap[0] }

func (q *queue) remove(k grantKey) {
	if w := q.byKey[k]; w != nil {
		heap.Remove(&q.heap, w.index)
		delete(q.byKey, k)
	}
}

// removeLast removes and returns the waiter that would be served last. It scans
// the whole queue, whose length is bounded.
func (q *queue) removeLast() *waiter {
	last := q.heap[0]
	for _, w := range q.heap {
		if last.before(w) {
			last = w
		}
	}
	q.remove(last.key)
	return last
}

// expired returns the waiters that are due to be refused, in queue order.
func (q *queue) expired(now time.Time) []*waiter {
	var out []*waiter
	for _, w := range q.heap {
		if !now.Before(w.refuseAt) {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
