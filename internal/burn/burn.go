// Package burn counts good and bad events for the service-level objectives and
// computes the burn rates of the error budgets.
//
// The burn rate of a window is the share of bad events in it divided by the
// share that the objective allows: at a burn rate of 1 the error budget lasts
// exactly for the period of the objective, at 10 for a tenth of it.
package burn

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Objective is a kind of service-level objective.
type Objective int

// The objectives that are tracked for each service.
const (
	// BrokenFlows bounds the share of flows that break.
	BrokenFlows Objective = iota
	// Refused bounds the share of requests and flow openings that are refused.
	Refused
	// Late bounds the share of requests that are answered late.
	Late
	objectiveCount
)

var objectiveNames = [objectiveCount]string{"broken-flows", "refused", "late"}

func (o Objective) String() string { return objectiveNames[o] }

const (
	fineBucketLength   = 10 * time.Second
	fineBuckets        = 30
	coarseBucketLength = 5 * time.Minute
	coarseBuckets      = 72
	// maxCauses bounds the distinct causes counted for each service and
	// objective.
	maxCauses = 16
)

// Windows lists the time windows for which burn rates are reported.
var Windows = []time.Duration{fineBucketLength * fineBuckets, time.Hour, coarseBucketLength * coarseBuckets}

// counts holds the numbers of good and bad events.
type counts struct {
	good, bad uint64
}

// ring counts events in buckets of fixed length and overwrites the oldest one.
type ring struct {
	bucketLength time.Duration
	buckets      []counts
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

func newRing(bucketLength time.Duration, buckets int) ring {
	return ring{bucketLength: bucketLength, buckets: make([]counts, buckets)}
}

// advance clears the buckets that have expired and moves newest to now.
func (r *ring) advance(now time.Time) {
	index := now.UnixNano() / int64(r.bucketLength)
	if index <= r.newest {
		return
	}
	expired := min(index-r.newest, int64(len(r.buckets)))
	for i := int64(0); i < expired; i++ {
		r.buckets[(index-i)%int64(len(r.buckets))] = counts{}
	}
	r.newest = index
}

func (r *ring) add(now time.Time, good, bad uint64) {
	r.advance(now)
	bucket := &r.buckets[r.newest%int64(len(r.buckets))]
	bucket.good += good
	bucket.bad += bad
}

// sum returns the counts of the window that ends now.
func (r *ring) sum(now time.Time, window time.Duration) counts {
	r.advance(now)
	n := min(int64(window/r.bucketLength), int64(len(r.buckets)))
	var total counts
	for i := int64(0); i < n && r.newest-i >= 0; i++ {
		bucket := r.buckets[(r.newest-i)%int64(len(r.buckets))]
		total.good += bucket.good
		total.bad += bucket.bad
	}
	return total
}

// series holds the counts of one service and objective. causes counts all
// bad events by cause, not only those of the windows.
type series struct {
	fine, coarse ring
	causes       map[string]uint64
}

type seriesKey struct {
	service   model.ServiceID
	objective Objective
}

// Recorder counts the events of one instance. It is not safe for concurrent
// use.
type Recorder struct {
	series map[seriesKey]*series
}

// NewRecorder returns a Recorder without events.
func NewRecorder() *Recorder {
	return &Recorder{series: map[seriesKey]*series{}}
}

// AddGood counts n good events.
func (r *Recorder) AddGood(now time.Time, service model.ServiceID, o Objective, n uint64) {
	r.add(now, service, o, n, 0)
}

// AddBad counts one bad event. cause is a free text; once a service
// and objective has maxCauses causes, further ones are not recorded.
func (r *Recorder) AddBad(now time.Time, service model.ServiceID, o Objective, cause string) {
	s := r.add(now, service, o, 0, 1)
	if _, known := s.causes[cause]; known || len(s.causes) < maxCauses {
		s.causes[cause]++
	}
}

func (r *Recorder) add(now time.Time, service model.ServiceID, o Objective, good, bad uint64) *series {
	k := seriesKey{service, o}
	s := r.series[k]
	if s == nil {
		s = &series{fine: newRing(fineBucketLength, fineBuckets), coarse: newRing(coarseBucketLength, coarseBuckets), causes: map[string]uint64{}}
		r.series[k] = s
	}
	s.fine.add(now, good, bad)
	s.coarse.add(now, good, bad)
	return s
}

// Report returns a line for each service of the catalog, objective and window.
// The lines are sorted in this order.
func (r *Recorder) Report(now time.Time, catalog *model.Catalog, dc model.DataCentre) []*pb.BurnLine {
	var lines []*pb.BurnLine
	for k, s := range r.series {
		service := catalog.Services[k.service]
		if service == nil {
			continue
		}
		allowed := allowedShare(service.Objective, k.objective)
		for _, window := range Windows {
			lines = append(lines, s.line(now, window, service.Name, dc, k.objective, allowed))
		}
	}
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.Objective != b.Objective {
			return a.Objective < b.Objective
		}
		return a.WindowS < b.WindowS
	})
	return lines
}

// line returns the report line of one window. allowed is the share of bad
// events that the objective allows. Events lists the causes, most frequent
// first.
func (s *series) line(now time.Time, window time.Duration, service string, dc model.DataCentre, o Objective, allowed float64) *pb.BurnLine {
	r := &s.coarse
	if window <= fineBucketLength*fineBuckets {
		r = &s.fine
	}
	total := r.sum(now, window)
	line := &pb.BurnLine{Service: service, DataCentre: string(dc), Objective: o.String(), WindowS: uint32(window / time.Second), Good: total.good, Bad: total.bad, BudgetLeft: 1}
	if all := total.good + total.bad; all > 0 && allowed > 0 {
		line.BurnRate = float64(total.bad) / float64(all) / allowed
		line.BudgetLeft = 1 - line.BurnRate
	}
	for cause := range s.causes {
		line.Events = append(line.Events, cause)
	}
	sort.Slice(line.Events, func(i, j int) bool {
		a, b := s.causes[line.Events[i]], s.causes[line.Events[j]]
		if a != b {
			return a > b
		}
		return line.Events[i] < line.Events[j]
	})
	return line
}

// allowedShare returns the share of bad events that the objective allows. It is
// 0 if the service has no such objective.
func allowedShare(slo model.Objective, objective Objective) float64 {
	const million = 1e6
	switch objective {
	case BrokenFlows:
		return float64(slo.BrokenFlowsPPM) / million
	case Refused:
		return float64(slo.RefusedPPM) / million
	default:
		return float64(slo.LatePPM) / million
	}
}
