// Package burn keeps service-level counts and works out how fast each error
// budget is spent.
//
// The burn rate of a window is the share of bad events in it divided by the
// share that the objective allows: at 1 the budget lasts exactly for the
// objective's period, at 10 it is gone in a tenth of it.
package burn

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Objective names what is counted.
type Objective int

// Objectives.
const (
	BrokenFlows Objective = iota
	Refused
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
	// maxCauses bounds the causes remembered for each service.
	maxCauses = 16
)

// Windows over which burn rates are reported.
var Windows = []time.Duration{fineBucketLength * fineBuckets, time.Hour, coarseBucketLength * coarseBuckets}

type counts struct {
	good, bad uint64
}

// ring counts events in slots of fixed length.
type ring struct {
	bucketLength time.Duration
	buckets      []counts
	// newest is the index of the newest slot since the zero time.
	newest int64
}

func newRing(bucketLength time.Duration, buckets int) ring {
	return ring{bucketLength: bucketLength, buckets: make([]counts, buckets)}
}

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

type series struct {
	fine, coarse ring
	causes       map[string]uint64
}

type seriesKey struct {
	service   model.ServiceID
	objective Objective
}

// Recorder holds the counts of one instance. It is not safe for concurrent use.
type Recorder struct {
	series map[seriesKey]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{series: map[seriesKey]*series{}}
}

// AddGood counts n good events.
func (r *Recorder) AddGood(now time.Time, service model.ServiceID, o Objective, n uint64) {
	r.add(now, service, o, n, 0)
}

// AddBad counts one bad event and what caused it.
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

// Report returns a line for each service, objective and window.
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

// allowedShare returns the share of bad events that the objective allows; 0
// means that the service has no such objective.
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
