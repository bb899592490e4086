// Package spill decides which fraction of an instance's new flows of one service
// goes to other data centres.
//
// It handles a load that exceeds the capacity of one data centre while another
// has room. Each instance decides by the responses that its own flows get; there
// are no messages between instances. Without refusals all new flows stay in the
// own data centre. If all data centres refuse alike, only the few flows move that
// keep the instance informed about the others.
package spill

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cuminshift/internal/model"
)

const (
	// stepInterval is the time between two changes of the shares.
	stepInterval = 200 * time.Millisecond
	// sampleDecay is the time constant with which the samples decay, that of
	// package serverload.
	sampleDecay = time.Second
	// startRefused is the refused fraction of the own data centre above which
	// flows move, endRefused the one below which they return.
	startRefused = 0.05
	// startDeviations is the number of standard deviations by which the refused fraction
	// must exceed startRefused: with few samples, some misread responses exceed it.
	startDeviations = 1.5
	endRefused      = 0.02
	// minDifference is how much less a data centre must refuse than the own one
	// to receive more flows. It keeps data centres that refuse alike from
	// exchanging flows.
	minDifference = 0.05
	// minSamples is the number of samples below which a refused fraction is
	// uncertain.
	minSamples = 20
	// returnStep is the largest fraction of the new flows that returns in a step.
	returnStep = 0.1
	// minSpilled is the moved fraction below which all flows return.
	minSpilled = 0.005
	// The known capacity of the own data centre grows by capacityGrowth in the
	// first step without refusals, by twice that in the second and so on, up to
	// maxCapacityGrowth. Flows so return to capacity that was added or that other
	// data centres no longer use.
	capacityGrowth    = 0.02
	maxCapacityGrowth = 0.2
	// probeStep is the fraction of the new flows that returns in the first step
	// without refusals, twice that in the second and so on, up to returnStep, even
	// beyond the known capacity. That capacity can have been near 0.
	probeStep = 0.005
	// gain is the fraction of the new flows that moves to or returns from a data
	// centre in a step, per difference of the refused fractions.
	gain = 0.3
)

// A data centre without samples gets a trial share, from which trialSamples samples
// are expected, within the limits below. From trialEvidence to minSamples samples,
// the share may grow by the factor trialGrowth in a step.
const (
	trialSamples  = 3.0
	trialEvidence = 1.5
	minTrialShare = 0.02
	maxTrialShare = 0.05
	trialGrowth   = 1.5
	// trialDecay is the time constant with which the samples of a trial decay.
	trialDecay = 5 * time.Second
	// allTrials is the largest sum of the trial shares.
	allTrials = 0.1
	// silentFraction is the fraction of its mean rate of responses below which a
	// data centre counts as silent. Responses that end show within 3 s; a demand
	// that falls to a fifth stays above 0.37.
	silentFraction = 0.2
)

// recentDecay is the time constant of the recent samples of the own data centre.
// The samples of a view fade only slowly when the demand falls to a fifth, and
// would keep flows away for 5 s more.
const recentDecay = 300 * time.Millisecond

// minAdded is the number of refusals in a step from which the own data centre counts
// as refusing in this step. It is below 1, because the decay of the view is only
// known approximately.
const minAdded = 0.5

// DataCentre is an instance's view of one data centre.
type DataCentre struct {
	Name model.DataCentre
	// Local is set for the instance's own data centre.
	Local bool
	// Usable is set if the data centre is in service and has a usable server of
	// the service.
	Usable bool
	// Refused is the refused fraction among the recent responses to the
	// instance's flows, Samples the number of these responses. Both decay with a
	// time constant of 1 s.
	Refused, Samples float64
}

// share is the fraction of the new flows that go to a remote data centre.
type share struct {
	name     model.DataCentre
	fraction float64
	view     DataCentre
	// longer covers more time than the view, because a trial share gives few
	// samples.
	longer counts
}

// counts holds decayed counts of samples and refusals. Their time constant differs
// from that of the view that they are derived from.
type counts struct {
	samples, refusals float64
	// pastSamples and pastRefusals are the counts of the view at the last step.
	pastSamples, pastRefusals float64
	// added is the number of refusals in the last step.
	added float64
}

// observe adds the samples of the view since the last step.
func (n *counts) observe(view *DataCentre, elapsed, constant time.Duration) {
	refusals := view.Samples * view.Refused
	viewKept, kept := decayed(elapsed, sampleDecay), decayed(elapsed, constant)
	n.samples = n.samples*kept + max(view.Samples-n.pastSamples*viewKept, 0)
	n.added = max(refusals-n.pastRefusals*viewKept, 0)
	n.refusals = min(n.refusals*kept+n.added, n.samples)
	n.pastSamples, n.pastRefusals = view.Samples, refusals
}

// refused returns the refused fraction, which is 0 without samples.
func (n *counts) refused() float64 { return n.refusals / max(n.samples, 1) }

// decayed returns the part that is left of a count after elapsed.
func decayed(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// counts returns the counts from which the refused fraction of the data centre is
// taken.
func (s *share) counts() (samples, refusals float64) {
	if s.view.Samples >= minSamples {
		return s.view.Samples, s.view.Samples * s.view.Refused
	}
	return s.longer.samples, s.longer.refusals
}

// refused returns the refused fraction. Without samples, the data centre counts as
// having room.
func (s *share) refused() float64 {
	samples, refusals := s.counts()
	return refusals / (samples + 1)
}

// lowerBy returns by how much the data centre refuses less than the given fraction,
// beyond minDifference and one standard deviation of its refused fraction. Without
// the latter, flows would move between data centres that refuse alike but of which
// there are few samples.
func (s *share) lowerBy(refused float64) float64 {
	samples, _ := s.counts()
	return refused - minDifference - s.refused() - math.Sqrt(refused*(1-refused)/(samples+1))
}

// Controller decides for one service. The zero value sends all flows to the own
// data centre. It is not safe for concurrent use.
type Controller struct {
	lastStep time.Time
	// shares holds the remote data centres that are usable, ordered by name, so
	// that a point selects the same data centre in all instances with equal
	// shares.
	shares []share
	// pastSpilled is the mean of the moved fraction over the time that the
	// samples cover.
	pastSpilled float64
	// capacity is the number of samples without refusals that the own data centre
	// provided when it last refused.
	capacity float64
	// recent covers the recent samples of the own data centre.
	recent counts
	// calmSteps counts the steps since the own data centre last refused.
	calmSteps float64
}

// Update takes the current view of all data centres. It may be called at any rate;
// the shares change once in stepInterval. A data centre that is missing or not
// usable loses its share at once.
func (c *Controller) Update(now time.Time, dcs []DataCentre) {
	local, total := c.merge(dcs)
	elapsed := now.Sub(c.lastStep)
	if c.lastStep.IsZero() || elapsed < 0 {
		elapsed = stepInterval
	}
	if elapsed < stepInterval {
		return
	}
	c.lastStep = now
	c.pastSpilled += (c.SpilledFraction() - c.pastSpilled) * (1 - decayed(elapsed, sampleDecay))
	for i := range c.shares {
		c.shares[i].longer.observe(&c.shares[i].view, elapsed, trialDecay)
	}
	c.recent.observe(&local, elapsed, recentDecay)
	c.step(&local, total)
}

// step changes the shares by one step. total is the number of samples of all data
// centres.
func (c *Controller) step(local *DataCentre, total float64) {
	switch {
	case !local.Usable:
		// Flows go to whatever server is left, as without this package.
		c.scale(0)
		return
	case total < minSamples:
		c.giveBack(returnStep)
		return
	}
	if c.SpilledFraction() == 0 {
		c.calmSteps = 0
	}
	refused := local.Refused
	if recent := c.recent.refused(); recent < endRefused {
		refused = min(refused, recent)
	}
	c.shrinkFull(refused, total)
	if refused >= endRefused {
		c.calmSteps = 0
	}
	switch {
	case refused > startRefused+startDeviations*math.Sqrt(startRefused*(1-startRefused)/max(local.Samples, 1)):
		// After a burst, the samples that are left show less than the capacity.
		if c.recent.added >= minAdded {
			c.capacity = local.Samples * (1 - refused)
		}
		c.move(refused, total)
	case refused < endRefused && c.SpilledFraction() > 0:
		c.calmSteps++
		c.capacity *= 1 + min(c.calmSteps*capacityGrowth, maxCapacityGrowth)
		fits := c.fitting(local.Samples) - (1 - c.SpilledFraction())
		c.giveBack(min(returnStep, max(fits, c.calmSteps*probeStep)))
	}
}

// Pick returns the data centre for a new flow, or "" for the own one. point, in
// [0,1), is derived from the flow's hash.
func (c *Controller) Pick(point float64) model.DataCentre {
	for i := range c.shares {
		if point < c.shares[i].fraction {
			return c.shares[i].name
		}
		point -= c.shares[i].fraction
	}
	return ""
}

// SpilledFraction returns the fraction of the new flows that go to other data
// centres.
func (c *Controller) SpilledFraction() float64 {
	sum := 0.0
	for i := range c.shares {
		sum += c.shares[i].fraction
	}
	return sum
}

// Share returns the fraction of the new flows that go to a remote data centre.
func (c *Controller) Share(name model.DataCentre) float64 {
	if i, ok := c.find(name); ok {
		return c.shares[i].fraction
	}
	return 0
}

func (c *Controller) find(name model.DataCentre) (int, bool) {
	return slices.BinarySearchFunc(c.shares, name, func(s share, n model.DataCentre) int { return cmp.Compare(s.name, n) })
}

// merge takes over the views of the remote data centres and returns the view of
// the own one and the number of samples of all.
func (c *Controller) merge(dcs []DataCentre) (local DataCentre, total float64) {
	for i := range c.shares {
		c.shares[i].view.Usable = false
	}
	for _, d := range dcs {
		// A fraction that is out of range or not a number must not spread to the
		// shares.
		d.Refused, d.Samples = finite(d.Refused, 1), finite(d.Samples, math.MaxUint32)
		total += d.Samples
		if d.Local {
			local = d
			continue
		}
		if !d.Usable {
			continue
		}
		i, ok := c.find(d.Name)
		if !ok {
			c.shares = slices.Insert(c.shares, i, share{name: d.Name})
		}
		c.shares[i].view = d
	}
	c.shares = slices.DeleteFunc(c.shares, func(s share) bool { return !s.view.Usable })
	return local, total
}

func finite(x, limit float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, limit)
}

// trialShare returns the share that a data centre without samples may get.
func (c *Controller) trialShare(total float64) float64 {
	return min(max(trialSamples/total, minTrialShare), maxTrialShare, allTrials/float64(max(len(c.shares), 1)))
}

// limit returns the largest share that the samples of a data centre justify.
func (s *share) limit(trialShare float64) float64 {
	samples := s.view.Samples
	switch {
	case samples < trialEvidence || samples < silentFraction*s.longer.samples*sampleDecay.Seconds()/trialDecay.Seconds():
		return trialShare
	case samples < minSamples:
		return max(trialShare, s.fraction*trialGrowth)
	}
	return 1
}

// shrinkFull reduces the shares of data centres that do not refuse less than the
// own one by minDifference, or that no longer respond. A trial share stays.
func (c *Controller) shrinkFull(refused, total float64) {
	trial := c.trialShare(total)
	for i := range c.shares {
		s := &c.shares[i]
		if theirs := s.refused(); theirs > startRefused && s.fraction > trial {
			excess := max(theirs-(refused-minDifference), 0)
			s.fraction = max(s.fraction-gain*excess, trial)
		}
		s.fraction = min(s.fraction, s.limit(trial))
	}
}

// move moves the refused fraction to the data centres that refuse less. Each gets
// a part in proportion to how much less it refuses.
func (c *Controller) move(refused, total float64) {
	// The refusals are those of the past local fraction. Moving a part of the
	// present fraction instead would move the same flows again in each step until
	// the samples show the effect.
	missing := 1 - (1-c.pastSpilled)*(1-refused) - c.SpilledFraction()
	if missing <= 0 {
		return
	}
	trial, sum := c.trialShare(total), 0.0
	for i := range c.shares {
		sum += max(c.shares[i].lowerBy(refused), 0)
	}
	for i := range c.shares {
		s := &c.shares[i]
		step := 0.0
		if lower := s.lowerBy(refused); lower > 0 {
			step = min(missing*lower/sum, gain*lower)
		}
		s.fraction = max(s.fraction, min(s.fraction+step, s.limit(trial)), min(missing, trial))
	}
}

// fitting returns the fraction of the new flows that fits the capacity of the own
// data centre. samples is the number of its samples.
func (c *Controller) fitting(samples float64) float64 {
	if samples <= 0 {
		return 1
	}
	return (1 - c.pastSpilled) * c.capacity / samples
}

// giveBack returns a fraction of the new flows to the own data centre.
func (c *Controller) giveBack(fraction float64) {
	spilled := c.SpilledFraction()
	if fraction <= 0 || spilled == 0 {
		return
	}
	remaining := max(spilled-fraction, 0)
	if remaining < minSpilled {
		remaining = 0
	}
	c.scale(remaining / spilled)
}

func (c *Controller) scale(factor float64) {
	for i := range c.shares {
		c.shares[i].fraction *= factor
	}
}
