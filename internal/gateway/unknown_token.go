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
	unknownFlowRetention = 2 * time.Second
	// maxUnknown bounds the remembered flows.
	maxUnknownFlows = 4096
)

// unknownFlows are flows whose token names no server known here: the server
// has just come, or it left before this instance started. A read of the
// registry tells the two apart.
type unknownFlowTable struct {
	flows map[flow.Key]unknownFlow
	// refreshed is the time of the last read that was asked for.
	lastRefresh time.Time
}

type unknownFlow struct {
	segment             flow.Segment
	firstSeen, lastSeen time.Time
}

// doubtToken notes a packet with an unknown token and asks for a read of the
// registry.
func (c *Core) recordUnknownToken(now time.Time, s *flow.Segment) []Action {
	u, ok := c.unknownFlows.flows[s.Key]
	if !ok {
		if len(c.unknownFlows.flows) >= maxUnknownFlows {
			return nil
		}
		u.firstSeen = now
	}
	u.segment, u.lastSeen = *s, now
	c.unknownFlows.flows[s.Key] = u
	return c.refreshRegistry(now)
}

func (c *Core) refreshRegistry(now time.Time) []Action {
	if len(c.unknownFlows.flows) == 0 || now.Sub(c.unknownFlows.lastRefresh) < refreshInterval || !c.servers.AbsenceConclusive(now) {
		return nil
	}
	c.unknownFlows.lastRefresh = now
	return []Action{Refresh{Kind: source.Registry}}
}

// settleUnknown gives up the flows whose server is not in a registry that was
// read after their packet came: the server has left, and a caller that waits
// for it is told at once.
func (c *Core) resolveUnknownFlows(now, asOf time.Time) []Action {
	if !c.servers.AbsenceConclusive(now) {
		return nil
	}
	var actions []Action
	for key, u := range c.unknownFlows.flows {
		if !u.firstSeen.Before(asOf) {
			continue
		}
		delete(c.unknownFlows.flows, key)
		if srv, _ := c.resolveToken(&u.segment); srv == nil {
			actions = append(actions, ResetFlow{Flow: key, Ack: u.segment.Ack, Reason: UnknownToken})
		}
	}
	return actions
}

func (c *Core) expireUnknownFlows(now time.Time) {
	for key, u := range c.unknownFlows.flows {
		if now.Sub(u.lastSeen) > unknownFlowRetention {
			delete(c.unknownFlows.flows, key)
		}
	}
}
