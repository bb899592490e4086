package gateway

import (
	"fmt"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/overload"
	"cuminshift/internal/routing"
	"cuminshift/internal/spill"
)

// serviceControl holds the decisions on the new flows of one service while its servers
// refuse requests: which data centre they go to and which of them are refused.
type serviceControl struct {
	spill    spill.Controller
	overflow spill.Overflow
	overload overload.Controller
	// refused is the refused fraction over all data centres, of which samples are known.
	refused, samples float64
	// saturated, spilling and refusing are the states that were last reported.
	saturated, spilling, refusing bool
	// dataCentres is scratch space for the view of the data centres.
	dataCentres []spill.DataCentre
}

const (
	// spillReportFraction is the spilled fraction from which on a spill is reported. The
	// few flows that keep an instance informed about other data centres stay below it.
	spillReportFraction = 0.1
	// saturatedFraction is the refused fraction of saturatedSamples responses or more from
	// which on a service is reported as saturated.
	saturatedFraction = 0.05
	saturatedSamples  = 20
	// urgentWindow is the time for which an opening keeps less urgent ones from being the
	// most urgent.
	urgentWindow = 2 * time.Second
)

// updateServiceControls updates the controls of all services from what their servers
// have answered.
func (c *Core) updateServiceControls(now time.Time) []Action {
	for _, load := range c.serviceLoads {
		load.usable = false
	}
	for _, srv := range c.serverStates {
		if !srv.serviceLoad.usable && c.isUsable(now, srv) {
			srv.serviceLoad.usable = true
		}
	}
	for key, load := range c.serviceLoads {
		control := c.serviceControls[key.service]
		if control == nil {
			control = &serviceControl{}
			c.serviceControls[key.service] = control
		}
		refused, samples := load.RefusedFraction(now)
		control.dataCentres = append(control.dataCentres, spill.DataCentre{Name: key.dataCentre,
			Local: key.dataCentre == c.cfg.DataCentre, Usable: load.usable, Refused: refused, Samples: samples})
	}
	var actions []Action
	for service, control := range c.serviceControls {
		if len(control.dataCentres) == 0 {
			delete(c.serviceControls, service)
			continue
		}
		control.update(now, c.medianAnswer(service))
		actions = append(actions, c.reportServiceControl(service, control)...)
		control.dataCentres = control.dataCentres[:0]
	}
	return actions
}

// medianAnswer returns the median answer time of a service's servers in the instance's
// own data centre, or else in another one.
func (c *Core) medianAnswer(service string) time.Duration {
	if load := c.serviceLoad(service, c.cfg.DataCentre); load != nil && load.MedianAnswer() > 0 {
		return load.MedianAnswer()
	}
	for key, load := range c.serviceLoads {
		if key.service == service && load.MedianAnswer() > 0 {
			return load.MedianAnswer()
		}
	}
	return 0
}

func (s *serviceControl) update(now time.Time, median time.Duration) {
	s.spill.Update(now, s.dataCentres)
	s.overflow.Update(now, s.dataCentres)
	refused, samples := 0.0, 0.0
	for i := range s.dataCentres {
		d := &s.dataCentres[i]
		refused += d.Refused * d.Samples
		samples += d.Samples
	}
	s.refused, s.samples = refused/max(samples, 1), samples
	s.overload.Update(now, overload.Input{Refused: s.refused, Samples: samples, MedianAnswer: median})
}

// admission says where an admitted opening goes.
type admission struct {
	// dataCentre is the data centre whose servers it goes to; "" for any.
	dataCentre model.DataCentre
	// overflow is set if it would be refused without a server there.
	overflow bool
}

// admit decides on an opening of the service. It returns where it goes or the reason to
// refuse it.
func (s *serviceControl) admit(now time.Time, o overload.Opening) (admission, Reason) {
	spilled := s.spill.Pick(o.Point)
	decision := s.overload.Admit(now, o)
	if decision == overload.Admitted {
		return admission{dataCentre: spilled}, ReasonNone
	}
	if dc, ok := s.overflow.Take(); ok {
		return admission{dc, true}, ReasonNone
	}
	switch {
	case s.overflow.RoomElsewhere():
		return admission{dataCentre: spilled}, ReasonNone
	case decision == overload.TooSlow:
		return admission{}, TooSlow
	}
	return admission{}, Overloaded
}

// admitOpening decides on a transmission of an opening that has no server yet. It returns
// where it goes or the reason to refuse it. A retransmission is refused only if this
// instance has refused the first transmission: another one may have forwarded it, and the
// flow may be open.
func (c *Core) admitOpening(now time.Time, s *flow.Segment, route *routing.Route) (admission, Reason) {
	if route.Priority <= c.mostUrgent || now.Sub(c.mostUrgentAt) > urgentWindow {
		c.mostUrgent, c.mostUrgentAt = route.Priority, now
	}
	if s.RetransmitCount > 0 {
		if reason := c.refusedOpenings.reason(now, s.Key); reason != ReasonNone {
			// The caller gets answers later than its retransmission interval.
			c.link.countRetransmit(now)
			return admission{}, reason
		}
	} else if c.link.full(now, s.Key) || (route.Priority > c.mostUrgent && c.link.congested(now)) {
		return admission{}, LinkFull
	}
	control := c.serviceControls[route.Pick(s.Key.Hash())]
	if control == nil {
		return admission{}, ReasonNone
	}
	return control.admit(now, overload.Opening{Priority: route.Priority, Point: admissionPoint(s.Key.Hash()),
		Caller: s.Key.CallerIP, Timeout: route.GiveUpAfter, Repeated: s.RetransmitCount > 0})
}

// admissionPoint returns a point in [0,1) for the decision on an opening. It is
// independent of the route's choice of the service and of the sample of servers, which
// use the hash itself.
func admissionPoint(hash model.FlowHash) float64 {
	const oddConstant = 0x9e3779b97f4a7c15 // the golden ratio in 64 bits
	return float64((uint64(hash)*oddConstant)>>11) / (1 << 53)
}

// spills reports whether a considerable part of the new flows goes to other data centres:
// the fraction that the spill controller moves, or what would otherwise be refused.
func (s *serviceControl) spills() bool {
	return s.spill.SpilledFraction() >= spillReportFraction || (s.overload.Refusing() && s.overflow.Room())
}

// reportServiceControl returns the log entries of states that have changed.
func (c *Core) reportServiceControl(service string, s *serviceControl) []Action {
	var actions []Action
	report := func(reported *bool, state bool, begins, ends string) {
		if *reported == state {
			return
		}
		*reported = state
		description := ends
		if state {
			description = begins
		}
		priority, fraction := s.overload.AdmittedPriority()
		actions = append(actions, StateChange{Subject: service, Description: description, Cause: fmt.Sprintf(
			"servers refuse %.2f of the requests; %.2f of the new flows move to other data centres; admitted: %.2f of priority %d, more urgent ones entirely",
			s.refused, s.spill.SpilledFraction(), fraction, priority)})
	}
	report(&s.saturated, s.refused > saturatedFraction && s.samples >= saturatedSamples, "service saturated", "service not saturated any more")
	report(&s.spilling, s.spills(), "service spills to other data centres", "service spills no more")
	report(&s.refusing, s.overload.Refusing() && !s.overflow.Room(), "service refuses new flows", "service refuses no more new flows")
	return actions
}
