package measure

import (
	"container/heap"
	"sort"
	"time"
)

// singleQueue serves the arrivals by one queue over all slots, alerts first,
// and returns the waiting times of alerts: the limit that no balancer can
// beat on the same work.
func (f *fleet) singleQueue(slots int) []time.Duration {
	var waits []time.Duration
	var busy endTimes
	var alerts, others []arrival
	start := func(a arrival, now time.Time) {
		if a.alert {
			waits = append(waits, now.Sub(a.at))
		}
		heap.Push(&busy, now.Add(f.serviceTime(a.id)))
	}
	// drain starts waiting requests as slots become free up to now.
	drain := func(now time.Time) {
		for len(busy) > 0 && !busy[0].After(now) {
			free := heap.Pop(&busy).(time.Time)
			switch {
			case len(alerts) > 0:
				start(alerts[0], free)
				alerts = alerts[1:]
			case len(others) > 0:
				start(others[0], free)
				others = others[1:]
			}
		}
	}
	for _, a := range f.arrivals {
		drain(a.at)
		switch {
		case len(busy) < slots:
			start(a, a.at)
		case a.alert:
			alerts = append(alerts, a)
		default:
			others = append(others, a)
		}
	}
	drain(f.now.Add(time.Hour))
	return waits
}

type endTimes []time.Time

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *endTimes) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// percentile returns the p-th percentile of the durations.
func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
