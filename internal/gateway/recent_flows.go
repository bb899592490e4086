package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
)

const (
	// maxRecentFlows is the number of flows remembered for each caller address
	// and service.
	maxRecentFlows = 4
	// openingWindow is the time after which a caller stops trying to open a flow.
	openingWindow = 1400 * time.Millisecond
	// recentFlowWindow is how long an unanswered flow counts against its server.
	recentFlowWindow = openingWindow
	// takenOverProgressWindow is how recently a server of another data centre
	// must have answered a caller not to be probed when its flows are taken
	// over.
	takenOverProgressWindow = time.Second
)

// recentFlowIndex holds the latest flows of each caller address to a service
// address. A caller whose flow a server rejects opens the next one at once,
// long before it would retransmit a packet, and the instance does not see the
// rejection. When a server has crashed, this keeps the few attempts of its
// callers from all going to that server or to another one that crashed.
type recentFlowIndex map[callerServiceKey][]*trackedFlow

type callerServiceKey struct {
	callerIP, serviceIP uint32
	servicePort         uint16
}

func callerServiceKeyOf(k flow.Key) callerServiceKey {
	return callerServiceKey{k.CallerIP, k.ServiceIP, k.ServicePort}
}

// add adds a flow in place of the oldest one if there are too many.
func (r recentFlowIndex) add(f *trackedFlow) {
	k := callerServiceKeyOf(f.key)
	flows := append(r[k], f)
	if len(flows) > maxRecentFlows {
		flows = append(flows[:0], flows[1:]...)
	}
	r[k] = flows
}

// expire removes flows that have ended.
func (r recentFlowIndex) expire() {
	for k, flows := range r {
		kept := flows[:0]
		for _, f := range flows {
			if f.serverState != nil && !f.callerClosed {
				kept = append(kept, f)
			}
		}
		if len(kept) == 0 {
			delete(r, k)
		} else {
			r[k] = kept
		}
	}
}

// suspectUnanswered collects, for the opening of a flow, the servers that have
// shown no progress since other flows of the caller began to wait for them. The
// opening avoids these servers, and each of them is probed that has not just answered
// another caller: under load, a caller may wait for longer than others.
func (c *Core) suspectUnanswered(now time.Time, opening flow.Key) []Action {
	var actions []Action
	for _, f := range c.recentFlows[callerServiceKeyOf(opening)] {
		srv := f.serverState
		if srv == nil || f.callerClosed {
			continue
		}
		since := f.OpeningAt
		if f.Established {
			since = f.WaitingSince
		}
		waiting := !f.Established || f.Waiting
		if !waiting || now.Sub(since) > recentFlowWindow || srv.reach.LastProgress().After(since) {
			continue
		}
		c.suspects = append(c.suspects, srv)
		if now.Sub(srv.reach.LastProgress()) < recentProgress {
			continue
		}
		if previousState := srv.reach.State(); previousState == reach.Reachable && srv.reach.MarkSuspect(now) {
			actions = append(actions, c.reportTransition(now, srv, previousState, true, "caller of an unanswered flow opened another flow")...)
		}
	}
	return actions
}

// suspectTakenOver probes the server of a flow that other instances forwarded
// before, if the server is in another data centre and has recently answered no
// caller of this instance. When all instances of a data centre fail, the fabric
// sends their callers to this one, and the servers of the failed data centre may
// be down too.
func (c *Core) suspectTakenOver(now time.Time, srv *serverState) []Action {
	if srv.record.DataCentre == c.cfg.DataCentre || now.Sub(srv.reach.LastProgress()) < takenOverProgressWindow {
		return nil
	}
	previousState := srv.reach.State()
	if previousState != reach.Reachable || !srv.reach.MarkSuspect(now) {
		return nil
	}
	return c.reportTransition(now, srv, previousState, true, "flow taken over from another data centre")
}
