package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/source"
)

const (
	// refreshInterval is the shortest time between two reads of the registry
	// for the sake of unknown tokens.
	refreshInterval = time.Second
	// unknownFor is the time for which a flow with an unknown token is
	// remembered: longer than the callers' longest interval of repeats.
	unknownFor = 2 * time.Second
	// maxUnknown bounds the remembered flows.
	maxUnknown = 4096
)

// unknownFlows are flows whose token names no server known here: the server
// has just come, or it left before this instance started. A read of the
// registry tells the two apart.
type unknownFlows struct {
	flows map[flow.Key]unknownFlow
	// refreshed is the time of the last read that was asked for.
	refreshed time.Time
}

type unknownFlow struct {
	segment     flow.Segment
	first, last time.Time
}

// doubtToken notes a packet with an unknown token and asks for a read of the
// registry.
func (c *Core) doubtToken(now time.Time, s *flow.Segment) []Action {
	u, ok := c.unknown.flows[s.Key]
	if !ok {
		if len(c.unknown.flows) >= maxUnknown {
			return nil
		}
		u.first = now
	}
	u.segment, u.last = *s, now
	c.unknown.flows[s.Key] = u
	return c.refresh(now)
}

func (c *Core) refresh(now time.Time) []Action {
	if len(c.unknown.flows) == 0 || now.Sub(c.unknown.refreshed) < refreshInterval || !c.servers.AbsenceConclusive(now) {
		return nil
	}
	c.unknown.refreshed = now
	return []Action{Refresh{Kind: source.Registry}}
}

// settleUnknown gives up the flows whose server is not in a registry that was
// read after their packet came: the server has left, and a caller that waits
// for it is told at once.
func (c *Core) settleUnknown(now, asOf time.Time) []Action {
	if !c.servers.AbsenceConclusive(now) {
		return nil
	}
	var actions []Action
	for key, u := range c.unknown.flows {
		if !u.first.Before(asOf) {
			continue
		}
		delete(c.unknown.flows, key)
		if b, _ := c.resolve(&u.segment); b == nil {
			actions = append(actions, ResetFlow{Flow: key, Ack: u.segment.Ack, Reason: UnknownToken})
		}
	}
	return actions
}

func (c *Core) expireUnknown(now time.Time) {
	for key, u := range c.unknown.flows {
		if now.Sub(u.last) > unknownFor {
			delete(c.unknown.flows, key)
		}
	}
}
