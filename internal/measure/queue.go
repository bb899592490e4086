package measure

import (
	"container/heap"
	"sort"
	"time"
)

// singleQueueWaits serves the arrivals from a single queue for all slots, alerts
// first, and returns the waiting times of alerts. This is the lower bound for any
// balancer on the same work.
func (f *fleet) singleQueueWaits(slots int) []time.Duration {
	var waits []time.Duration
	var busyUntil timeHeap
	var alerts, others []arrival
	startService := func(a arrival, now time.Time) {
		if a.alert {
			waits = append(waits, now.Sub(a.at))
		}
		heap.Push(&busyUntil, now.Add(f.serviceTime(a.id)))
	}
	// serveQueued starts queued requests in the slots that become free by now.
	serveQueued := func(now time.Time) {
		for len(busyUntil) > 0 && !busyUntil[0].After(now) {
			freeAt := heap.Pop(&busyUntil).(time.Time)
			switch {
			case len(alerts) > 0:
				startService(alerts[0], freeAt)
				alerts = alerts[1:]
			case len(others) > 0:
				startService(others[0], freeAt)
				others = others[1:]
			}
		}
	}
	for _, a := range f.arrivals {
		serveQueued(a.at)
		switch {
		case len(busyUntil) < slots:
			startService(a, a.at)
		case a.alert:
			alerts = append(alerts, a)
		default:
			others = append(others, a)
		}
	}
	serveQueued(f.now.Add(time.Hour))
	return waits
}

// timeHeap is a heap of times, the earliest first.
type timeHeap []time.Time

func (e timeHeap) Len() int           { return len(e) }
func (e timeHeap) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e timeHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timeHeap) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *timeHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
