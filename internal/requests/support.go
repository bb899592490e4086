package requests

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// retryBudget is a token bucket that limits the retries of a service. Each new
// request deposits RetryRatio tokens, and each retry withdraws one.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) deposit(cfg *Config) { b.tokens = min(cfg.RetryBurst, b.tokens+cfg.RetryRatio) }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// timer is due at the time at. It belongs to the held grant with the ID grant or, if
// grant is zero, to the request with the key.
type timer struct {
	at    time.Time
	key   Key
	grant uint64
}

// timers is a heap ordered by time. When the timer of a request changes, the
// obsolete one stays in the heap, and Tick skips it.
type timers []timer

func (t *timers) add(x timer) { heap.Push(t, x) }

// popDue removes and returns the first timer if it is due.
func (t *timers) popDue(now time.Time) (timer, bool) {
	if len(*t) == 0 || now.Before((*t)[0].at) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// boundedMap is a map that evicts its oldest entry when it is full.
type boundedMap[K comparable, V any] struct {
	max     int
	entries map[K]V
	order   []K
}

func newBoundedMap[K comparable, V any](max int) *boundedMap[K, V] {
	return &boundedMap[K, V]{max: max, entries: map[K]V{}}
}

func (m *boundedMap[K, V]) put(k K, v V) {
	if _, ok := m.entries[k]; !ok {
		if len(m.order) >= m.max {
			delete(m.entries, m.order[0])
			m.order = m.order[1:]
		}
		m.order = append(m.order, k)
	}
	m.entries[k] = v
}

func (m *boundedMap[K, V]) get(k K) (V, bool) {
	v, ok := m.entries[k]
	return v, ok
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
