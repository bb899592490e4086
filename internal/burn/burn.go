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
	objectives
)

var objectiveNames = [objectives]string{"broken-flows", "refused", "late"}

func (o Objective) String() string { return objectiveNames[o] }

const (
	fineStep    = 10 * time.Second
	fineSlots   = 30
	coarseStep  = 5 * time.Minute
	coarseSlots = 72
	// causeLimit bounds the causes remembered for each service.
	causeLimit = 16
)

// Windows over which burn rates are reported.
var Windows = []time.Duration{fineStep * fineSlots, time.Hour, coarseStep * coarseSlots}

type counts struct {
	good, bad uint64
}

// ring counts events in slots of fixed length.
type ring struct {
	step  time.Duration
	slots []counts
	// at is the index of the newest slot since the zero time.
	at int64
}

func newRing(step time.Duration, slots int) ring {
	return ring{step: step, slots: make([]counts, slots)}
}

func (r *ring) advance(now time.Time) {
	index := now.UnixNano() / int64(r.step)
	if index <= r.at {
		return
	}
	steps := min(index-r.at, int64(len(r.slots)))
	for i := int64(0); i < steps; i++ {
		r.slots[(index-i)%int64(len(r.slots))] = counts{}
	}
	r.at = index
}

func (r *ring) add(now time.Time, good, bad uint64) {
	r.advance(now)
	slot := &r.slots[r.at%int64(len(r.slots))]
	slot.good += good
	slot.bad += bad
}

func (r *ring) sum(now time.Time, window time.Duration) counts {
	r.advance(now)
	n := min(int64(window/r.step), int64(len(r.slots)))
	var total counts
	for i := int64(0); i < n && r.at-i >= 0; i++ {
		slot := r.slots[(r.at-i)%int64(len(r.slots))]
		total.good += slot.good
		total.bad += slot.bad
	}
	return total
}

type series struct {
	fine, coarse ring
	causes       map[string]uint64
}

type key struct {
	service   model.ServiceID
	objective Objective
}

// Recorder holds the counts of one instance. It is not safe for concurrent use.
type Recorder struct {
	series map[key]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{series: map[key]*series{}}
}

// AddGood counts n good events.
func (b *Recorder) AddGood(now time.Time, service model.ServiceID, o Objective, n uint64) {
	b.add(now, service, o, n, 0)
}

// AddBad counts one bad event and what caused it.
func (b *Recorder) AddBad(now time.Time, service model.ServiceID, o Objective, cause string) {
	s := b.add(now, service, o, 0, 1)
	if _, known := s.causes[cause]; known || len(s.causes) < causeLimit {
		s.causes[cause]++
	}
}

func (b *Recorder) add(now time.Time, service model.ServiceID, o Objective, good, bad uint64) *series {
	k := key{service, o}
	s := b.series[k]
	if s == nil {
		s = &series{fine: newRing(fineStep, fineSlots), coarse: newRing(coarseStep, coarseSlots), causes: map[string]uint64{}}
		b.series[k] = s
	}
	s.fine.add(now, good, bad)
	s.coarse.add(now, good, bad)
	return s
}

// Report returns a line for each service, objective and window.
func (b *Recorder) Report(now time.Time, catalog *model.Catalog, dc model.DataCentre) []*pb.BurnLine {
	var lines []*pb.BurnLine
	for k, s := range b.series {
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
	if window <= fineStep*fineSlots {
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
func allowedShare(o model.Objective, objective Objective) float64 {
	const million = 1e6
	switch objective {
	case BrokenFlows:
		return float64(o.BrokenFlowsPPM) / million
	case Refused:
		return float64(o.RefusedPPM) / million
	default:
		return float64(o.LatePPM) / million
	}
}
