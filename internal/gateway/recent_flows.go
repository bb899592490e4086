package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
)

const (
	// recentPerCaller is the number of a caller's flows that are looked at.
	maxRecentFlows = 4
	// recentFor is the time for which an unanswered flow speaks against its
	// server: the time after which a caller gives up opening a flow.
	recentFlowWindow = 1400 * time.Millisecond
	// takenOverAlive is how recently a server of another data centre must have
	// answered a caller not to be probed when its flows are taken over.
	takenOverProgressWindow = time.Second
)

// recentFlows holds the latest flows of each caller's address to a service. A
// caller whose flow is rejected by a server opens the next one at once, long
// before it would repeat a packet; the instance does not see the rejection. The
// load it answers: a server has crashed, and its callers' few attempts must not
// all meet it or another one that crashed.
type recentFlowIndex map[callerServiceKey][]*trackedFlow

type callerServiceKey struct {
	callerIP, serviceIP uint32
	servicePort         uint16
}

func callerServiceKeyOf(k flow.Key) callerServiceKey {
	return callerServiceKey{k.CallerIP, k.ServiceIP, k.ServicePort}
}

func (r recentFlowIndex) add(f *trackedFlow) {
	k := callerServiceKeyOf(f.key)
	flows := append(r[k], f)
	if len(flows) > maxRecentFlows {
		flows = append(flows[:0], flows[1:]...)
	}
	r[k] = flows
}

// expire drops flows that ended.
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

// doubtRecent finds the servers that have shown no life since the caller's
// other flows began to wait for them. The opening avoids them, and each is
// probed.
func (c *Core) suspectUnanswered(now time.Time, k flow.Key) []Action {
	c.suspects = c.suspects[:0]
	var actions []Action
	for _, f := range c.recentFlows[callerServiceKeyOf(k)] {
		srv := f.serverState
		if srv == nil || f.callerClosed {
			continue
		}
		since := f.OpeningAt
		if f.Opened {
			since = f.WaitingSince
		}
		waiting := !f.Opened || f.Waiting
		if !waiting || now.Sub(since) > recentFlowWindow || srv.reach.LastProgress().After(since) {
			continue
		}
		c.suspects = append(c.suspects, srv)
		if previousState := srv.reach.State(); previousState == reach.Reachable && srv.reach.MarkSuspect(now) {
			actions = append(actions, c.reportTransition(now, srv, previousState, true, "its caller opens another flow")...)
		}
	}
	return actions
}

// doubtTakenOver probes the server of a flow that other instances forwarded
// before, if it is in another data centre and has shown no life here lately: the
// callers of a data centre that has lost its instances come to this one, and its
// servers may be lost as well.
func (c *Core) suspectTakenOver(now time.Time, srv *serverState) []Action {
	if srv.record.DataCentre == c.cfg.DataCentre || now.Sub(srv.reach.LastProgress()) < takenOverProgressWindow {
		return nil
	}
	previousState := srv.reach.State()
	if previousState != reach.Reachable || !srv.reach.MarkSuspect(now) {
		return nil
	}
	return c.reportTransition(now, srv, previousState, true, "its flows come from another data centre")
}
