package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/reach"
)

const (
	// recentPerCaller is the number of a caller's flows that are looked at.
	recentPerCaller = 4
	// recentFor is the time for which an unanswered flow speaks against its
	// server: the time after which a caller gives up opening a flow.
	recentFor = 1400 * time.Millisecond
	// takenOverAlive is how recently a server of another data centre must have
	// answered a caller not to be probed when its flows are taken over.
	takenOverAlive = time.Second
)

// recentFlows holds the latest flows of each caller's address to a service. A
// caller whose flow is rejected by a server opens the next one at once, long
// before it would repeat a packet; the instance does not see the rejection. The
// load it answers: a server has crashed, and its callers' few attempts must not
// all meet it or another one that crashed.
type recentFlows map[callerService][]*tracked

type callerService struct {
	callerIP, serviceIP uint32
	servicePort         uint16
}

func callerServiceOf(k flow.Key) callerService {
	return callerService{k.CallerIP, k.ServiceIP, k.ServicePort}
}

func (r recentFlows) add(t *tracked) {
	k := callerServiceOf(t.key)
	flows := append(r[k], t)
	if len(flows) > recentPerCaller {
		flows = append(flows[:0], flows[1:]...)
	}
	r[k] = flows
}

// expire drops flows that ended.
func (r recentFlows) expire() {
	for k, flows := range r {
		kept := flows[:0]
		for _, t := range flows {
			if t.backend != nil && !t.closing {
				kept = append(kept, t)
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
func (c *Core) doubtRecent(now time.Time, k flow.Key) []Action {
	c.doubted = c.doubted[:0]
	var actions []Action
	for _, t := range c.recent[callerServiceOf(k)] {
		b := t.backend
		if b == nil || t.closing {
			continue
		}
		since := t.OpeningAt
		if t.Opened {
			since = t.WaitingSince
		}
		waits := !t.Opened || t.Waiting
		if !waits || now.Sub(since) > recentFor || b.reach.LastProgress().After(since) {
			continue
		}
		c.doubted = append(c.doubted, b)
		if before := b.reach.State(); before == reach.Reachable && b.reach.MarkSuspect(now) {
			actions = append(actions, c.afterEvidence(now, b, before, true, "its caller opens another flow")...)
		}
	}
	return actions
}

// doubtTakenOver probes the server of a flow that other instances forwarded
// before, if it is in another data centre and has shown no life here lately: the
// callers of a data centre that has lost its instances come to this one, and its
// servers may be lost as well.
func (c *Core) doubtTakenOver(now time.Time, b *backend) []Action {
	if b.record.DataCentre == c.cfg.DataCentre || now.Sub(b.reach.LastProgress()) < takenOverAlive {
		return nil
	}
	before := b.reach.State()
	if before != reach.Reachable || !b.reach.MarkSuspect(now) {
		return nil
	}
	return c.afterEvidence(now, b, before, true, "its flows come from another data centre")
}
