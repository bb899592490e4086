// Package overload decides which openings, that is, new flows, an instance refuses
// while the servers of a service refuse requests because they are full.
//
// It handles a demand of several times what the servers of a service can process. A
// refused opening costs a server nothing, and the caller knows at once. Only openings
// can be refused; requests on open flows reach the servers in any case, so that a
// change of the admitted openings takes effect with a delay.
//
// The controlled quantity is a rate of openings rather than a fraction. Callers retry a
// refused opening at once, which raises the number of openings: a fraction would have to
// follow the retries, whereas the rate that the servers can process stays the same. It
// also stops binding as soon as the demand falls below it.
package overload

import (
	"math"
	"time"
)

const (
	// startRefused is the fraction of refused requests above which openings are
	// refused.
	startRefused = 0.10
	// startDeviations is the number of standard deviations by which the refused
	// fraction must exceed startRefused, so that 20 samples of which 0.03 are misread
	// do not start the controller.
	startDeviations = 1.5
	// minSamples is the number of responses below which the refused fraction says
	// nothing.
	minSamples = 20
	// targetRefused is the fraction of refused requests above which the limit decreases.
	// Servers do not know priorities: at 0.10, a tenth of the urgent requests would be
	// refused. It is above the fraction of responses that may be misread as refusals.
	targetRefused = 0.04
	// quietRefused is the refused fraction up to which servers count as not full while
	// openings are refused.
	quietRefused = 0.015
	// endDelay is the time after which everything is admitted if there are not enough
	// samples or no updates.
	endDelay = time.Second
	// slackDelay is the time for which the limit must exceed the offered openings
	// before everything is admitted.
	slackDelay = 200 * time.Millisecond

	// inputDecay is the time constant with which the counts of the input decay.
	inputDecay = time.Second
	// minWindow and maxWindow bound the time constant of the refused fraction that the
	// limit follows. Between them it is chosen to hold windowSamples responses.
	minWindow     = 250 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 40
	// offeredWindow is the time constant of the rate of offered openings. It bounds the
	// time that the admitted fraction lags behind a rise of the demand.
	offeredWindow = 200 * time.Millisecond
	// maxOffered bounds that rate, as a multiple of the rate since the last update, so
	// that it follows a fall of the demand at once.
	maxOffered = 1.2
	// servedWindow is the time constant of the servers' capacity.
	servedWindow = time.Second
	// openingsWindow is the time constant of the openings per response. It is longer
	// than the time in which a burst of openings is followed by responses.
	openingsWindow = 2 * time.Second
	// responseSteps is the number of updates by which responses lag behind openings.
	responseSteps = 2
	// minPerResponse is the least number of openings per response that is assumed, so that
	// the limit rises even if there were nearly no openings.
	minPerResponse = 0.02
	// startSteps is the number of updates after which the rates are known well enough to
	// start.
	startSteps = responseSteps + 2
	// startHold is the time after the start in which responses are still those to
	// openings from before it.
	startHold = 500 * time.Millisecond

	// baseWindow bounds the decrease of base. Refusals from before a fall of the demand
	// count for some time, in which the responses are those to the demand.
	baseWindow = 4 * time.Second

	// decreasePerSecond is the relative decrease of the limit while everything is
	// refused, increasePerSecond the increase while nothing is, as a part of base.
	decreasePerSecond = 3
	increasePerSecond = 0.07
	// minLimit bounds the limit as a multiple of base. Flows from before the start send
	// requests for some time, and there are few requests for some time after these have
	// ended. A limit that followed both would oscillate: with 0.3, servers did 0.72 of
	// what they can in the test's model, instead of 0.95.
	minLimit = 0.9
	// increaseDelay is the time without refusals after which the limit may exceed base
	// and the increase doubles in each increaseDoubling, so that a limit that is too low
	// does not last. With 250 ms, it rose too far before the refusals showed.
	increaseDelay    = time.Second
	increaseDoubling = time.Second

	// maxRefusedUrgent is the fraction of refused requests up to which the most urgent of
	// several priorities is not limited. Requests on open flows cannot be refused and may
	// alone keep servers full; an urgent opening and its two retries then still find a
	// server in more than half of the cases, and displace less urgent requests there.
	maxRefusedUrgent = 0.75

	numPriorities = 256
)

// Decision is the result for an opening.
type Decision uint8

// The decisions.
const (
	Admitted Decision = iota
	// Overloaded means that the servers are full.
	Overloaded
	// TooSlow means that the response would come after the caller has given up.
	TooSlow
)

// String returns the text used in logs.
func (d Decision) String() string {
	return [...]string{"admitted", "overloaded", "cannot answer in time"}[d]
}

// Input is what the servers of a service have shown in the last second.
type Input struct {
	// Refused is the fraction of the requests that servers refused, Samples their
	// number; both decay with a time constant of 1 s.
	Refused, Samples float64
	// MedianAnswer is the median time to a response with a result; 0 when unknown.
	MedianAnswer time.Duration
}

// Opening is an opening to decide on.
type Opening struct {
	// Priority is 0 for the most urgent.
	Priority uint8
	// Point is in [0,1) and depends on the hash of the flow only.
	Point float64
	// Caller is the caller's IPv4 address.
	Caller uint32
	// Timeout is the time after which the caller gives up; 0 when unknown.
	Timeout time.Duration
	// Repeated is set for a retransmission. Its first transmission was admitted or
	// lost, since the caller of a refused one retries from another port.
	Repeated bool
}

// rate is an exponentially decayed rate per second. The weight corrects for the time
// before the first update.
type rate struct{ sum, weight float64 }

func (r *rate) update(perSecond, alpha float64) {
	r.sum += (perSecond - r.sum) * alpha
	r.weight += (1 - r.weight) * alpha
}

// bound limits the rate.
func (r *rate) bound(perSecond float64) { r.sum = min(r.sum, perSecond*r.weight) }

func (r *rate) perSecond() float64 {
	if r.weight == 0 {
		return 0
	}
	return r.sum / r.weight
}

// class holds the openings of a priority, either those within the callers' fair shares
// or those beyond them.
type class struct {
	count    float64 // since the last update
	offered  rate
	fraction float64 // admitted, while refusing
}

// Controller decides on the openings of one service. The zero value admits all. It is
// not safe for concurrent use.
type Controller struct {
	refusing bool
	updated  time.Time
	// saturated is the time of the last update with enough samples and a refused
	// fraction over quietRefused.
	saturated time.Time
	// started is the time of the start until the responses are those of admitted
	// openings; zero afterwards.
	started time.Time
	// slack is the time for which the limit has exceeded the offered openings, less the
	// time for which it has not.
	slack  time.Duration
	median time.Duration

	// limit is the rate of openings that are admitted while refusing, base the rate that
	// fits the capacity.
	limit, base float64
	// admitted is the number of admitted openings since the last update, recent the
	// rates at the updates before, of which steps have been made.
	admitted float64
	recent   [responseSteps]float64
	steps    int
	previous Input
	// answered and refused are the rates of responses with and without a result.
	answered, refused rate
	// served is the rate of responses with a result over servedWindow.
	served rate
	// openings and responses are rates over openingsWindow.
	openings, responses rate

	// classes holds, for each priority, the openings within fair shares and those beyond.
	classes [numPriorities][2]class
	callers callers

	admittedPriority uint8
	admittedFraction float64
}

// Update takes what the servers have shown. It is to be called every 100 ms.
func (c *Controller) Update(now time.Time, in Input) {
	elapsed := now.Sub(c.updated)
	if c.updated.IsZero() {
		// The counts up to now have no known duration.
		elapsed = 0
	} else if elapsed <= 0 {
		return
	}
	if !(in.Samples > 0 && in.Refused >= 0 && in.Refused <= 1) {
		in.Refused, in.Samples = 0, 0
	}
	c.updated, c.median = now, in.MedianAnswer
	if elapsed > 0 {
		c.updateResponses(elapsed, in)
	}
	c.previous, c.admitted = in, 0
	offered := c.updateOffered(elapsed)
	c.callers.update(elapsed)

	known := in.Samples >= minSamples
	switch {
	case !c.refusing:
		deviation := math.Sqrt(startRefused * (1 - startRefused) / max(in.Samples, 1))
		// The input still holds refusals from before a fall of the demand; the recent
		// fraction keeps them from starting the controller again.
		if !known || c.steps < startSteps || in.Refused <= startRefused+startDeviations*deviation || c.refusedFraction() <= startRefused {
			return
		}
		c.start(now)
	case !c.started.IsZero():
		c.saturated = now
		if now.Sub(c.started) >= startHold {
			c.started, c.answered, c.refused = time.Time{}, rate{}, rate{}
		}
	default:
		refused := c.refusedFraction()
		if known && refused > quietRefused {
			c.saturated = now
		}
		c.updateLimit(elapsed, now.Sub(c.saturated), refused)
		if offered <= c.limit && !(known && refused > startRefused) {
			c.slack += elapsed
		} else {
			c.slack = max(0, c.slack-elapsed)
		}
	}
	quiet := now.Sub(c.saturated)
	if c.slack >= slackDelay || !known && quiet >= endDelay {
		c.end()
		return
	}
	c.divide()
}

// refusedFraction returns the refused fraction of the responses within the window of the
// limit.
func (c *Controller) refusedFraction() float64 {
	return c.refused.perSecond() / max(c.refused.perSecond()+c.answered.perSecond(), 1)
}

func (c *Controller) start(now time.Time) {
	c.refusing, c.saturated, c.started = true, now, now
	c.base = c.fitting()
	c.limit = c.base
	c.callers.start()
}

func (c *Controller) end() {
	c.refusing, c.started, c.slack = false, time.Time{}, 0
	c.limit, c.base = 0, 0
	c.callers.stop()
}

// updateResponses derives the rates of what came since the last update.
func (c *Controller) updateResponses(elapsed time.Duration, in Input) {
	seconds := elapsed.Seconds()
	decay := math.Exp(-seconds / inputDecay.Seconds())
	before := c.previous.Samples * decay
	refused := max(0, in.Refused*in.Samples-c.previous.Refused*before) / seconds
	answered := max(0, (1-in.Refused)*in.Samples-(1-c.previous.Refused)*before) / seconds
	window := min(max(windowSamples/max(in.Samples, 1), minWindow.Seconds()), maxWindow.Seconds())
	alpha := 1 - math.Exp(-seconds/window)
	c.refused.update(refused, alpha)
	c.answered.update(answered, alpha)
	c.served.update(answered, 1-math.Exp(-seconds/servedWindow.Seconds()))

	alpha = 1 - math.Exp(-seconds/openingsWindow.Seconds())
	if c.steps >= responseSteps {
		c.openings.update(c.recent[c.steps%responseSteps], alpha)
		c.responses.update(refused+answered, alpha)
	}
	c.recent[c.steps%responseSteps] = c.admitted / seconds
	c.steps++
}

// updateOffered starts new counts and returns the rate of all offered openings, without
// the callers' two retries of each that is refused: with them, the rate would fall only
// step by step with the refusals after the demand has fallen.
func (c *Controller) updateOffered(elapsed time.Duration) (offered float64) {
	seconds := elapsed.Seconds()
	alpha := 1 - math.Exp(-seconds/offeredWindow.Seconds())
	for p := range c.classes {
		for i := range c.classes[p] {
			k := &c.classes[p][i]
			if seconds > 0 {
				perSecond := k.count / seconds
				if c.refusing {
					refused := 1 - k.fraction
					perSecond /= 1 + refused + refused*refused
				}
				k.offered.update(perSecond, alpha)
				k.offered.bound(maxOffered * perSecond)
			}
			k.count = 0
			offered += k.offered.perSecond()
		}
	}
	return offered
}

// fitting returns the rate of openings that fits the capacity. It derives the capacity
// from the responses with a result, which full servers give at the same rate whatever the
// demand. An opening brings at least one request.
func (c *Controller) fitting() float64 {
	perResponse := 1.0
	if c.openings.weight > 0 {
		perResponse = min(1, max(minPerResponse, c.openings.perSecond()/max(c.responses.perSecond(), 1)))
	}
	return c.served.perSecond() * perResponse
}

// updateLimit takes a step of the limit. quiet is the time since the last saturation.
func (c *Controller) updateLimit(elapsed, quiet time.Duration, refused float64) {
	if refused > targetRefused {
		c.base = max(c.fitting(), c.base*math.Exp(-elapsed.Seconds()/baseWindow.Seconds()))
		c.limit *= math.Exp(-decreasePerSecond * elapsed.Seconds() * (refused - targetRefused) / (1 - targetRefused))
		c.limit = max(c.limit, minLimit*c.base)
		return
	}
	increase := increasePerSecond * elapsed.Seconds() * (targetRefused - refused) / targetRefused * max(c.base, 1)
	if quiet < increaseDelay {
		c.limit = max(c.limit, min(c.limit+increase, c.base))
		return
	}
	c.limit += increase * math.Exp2((quiet-increaseDelay).Seconds()/increaseDoubling.Seconds())
}

// unlimitedPriority returns the priority that is not limited, or numPriorities if there is
// none.
func (c *Controller) unlimitedPriority() int {
	first, offered := numPriorities, 0
	for p := range c.classes {
		if c.classes[p][0].offered.perSecond() < 1 {
			continue
		}
		if offered++; offered == 1 {
			first = p
		}
	}
	if offered < 2 || c.refusedFraction() > maxRefusedUrgent {
		return numPriorities
	}
	return first
}

// divide gives the limit to the most urgent first and, within a priority, to the
// openings within the callers' fair shares first. An opening and its two retries are
// admitted with the probability 1-(1-fraction)^3.
func (c *Controller) divide() {
	left := c.limit
	unlimited := c.unlimitedPriority()
	c.admittedPriority, c.admittedFraction = 0, 0
	for p := range c.classes {
		total, admitted := 0.0, 0.0
		for i := range c.classes[p] {
			k := &c.classes[p][i]
			demand := k.offered.perSecond()
			share := min(demand, left)
			k.fraction = 1
			if demand == 0 && left == 0 {
				// Openings of a kind that was not offered so far find no room either.
				k.fraction = 0
			}
			if p == unlimited && i == 0 {
				share = demand
			}
			if share < demand {
				k.fraction = 1 - math.Cbrt(1-share/demand)
			}
			left = max(0, left-share)
			total, admitted = total+demand, admitted+share
		}
		if admitted > 0 {
			c.admittedPriority, c.admittedFraction = uint8(p), admitted/total
		}
	}
}

// Admit decides on an opening and counts it.
func (c *Controller) Admit(now time.Time, o Opening) Decision {
	if o.Repeated {
		return Admitted
	}
	beyond, point := c.callers.record(o.Caller, o.Point)
	k := &c.classes[o.Priority][0]
	if beyond {
		k = &c.classes[o.Priority][1]
	}
	// Without updates, the controller ends as without saturation.
	if !c.refusing || now.Sub(c.updated) >= endDelay {
		k.count++
		c.admitted++
		return Admitted
	}
	// Calm services admit these: a timeout that is always too short would otherwise
	// refuse all, and the median would never be measured again.
	if o.Timeout > 0 && c.median > o.Timeout {
		return TooSlow
	}
	k.count++
	if point >= k.fraction {
		return Overloaded
	}
	c.admitted++
	return Admitted
}

// Refusing reports whether openings may be refused.
func (c *Controller) Refusing() bool { return c.refusing }

// AdmittedPriority returns the least urgent priority of which openings are admitted,
// and the fraction that is admitted of it. Without refusals these are 255 and 1.
func (c *Controller) AdmittedPriority() (priority uint8, fraction float64) {
	if !c.refusing {
		return numPriorities - 1, 1
	}
	return c.admittedPriority, c.admittedFraction
}
