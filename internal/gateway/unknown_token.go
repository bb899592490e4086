package gateway

import (
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/source"
)

const (
	// refreshInterval is the shortest time between two reads of the registry
	// because of unknown tokens.
	refreshInterval = time.Second
	// unknownFlowRetention is how long a flow with an unknown token is
	// remembered after its last packet: longer than the callers' longest
	// retransmission interval.
	unknownFlowRetention = 2 * time.Second
	// maxUnknownFlows bounds the number of remembered flows.
	maxUnknownFlows = 4096
)

// unknownFlowTable holds flows whose token belongs to no server that this
// instance has a record of: either the server has just registered, or it
// departed before this instance started. A read of the registry distinguishes
// the two.
type unknownFlowTable struct {
	flows map[flow.Key]unknownFlow
	// lastRefresh is the time at which a read was last requested.
	lastRefresh time.Time
}

type unknownFlow struct {
	segment             flow.Segment
	firstSeen, lastSeen time.Time
}

// recordUnknownToken records a packet with an unknown token and requests a read
// of the registry.
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

// refreshRegistry requests a read of the registry if flows with unknown tokens
// are waiting, a missing entry would be conclusive, and the last request was at
// least refreshInterval ago.
func (c *Core) refreshRegistry(now time.Time) []Action {
	if len(c.unknownFlows.flows) == 0 || now.Sub(c.unknownFlows.lastRefresh) < refreshInterval || !c.servers.AbsenceConclusive(now) {
		return nil
	}
	c.unknownFlows.lastRefresh = now
	return []Action{Refresh{Kind: source.Registry}}
}

// resolveUnknownFlows resets the flows whose server is missing from a registry
// that was read after their first packet arrived: the server has departed, and
// a reset spares the caller further retransmissions.
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
		if _, reason := c.resolveToken(&u.segment); reason == UnknownToken {
			actions = append(actions, ResetFlow{Flow: key, Ack: u.segment.Ack, Reason: UnknownToken})
		}
	}
	return actions
}

// expireUnknownFlows removes flows that have sent no packet for
// unknownFlowRetention.
func (c *Core) expireUnknownFlows(now time.Time) {
	for key, u := range c.unknownFlows.flows {
		if now.Sub(u.lastSeen) > unknownFlowRetention {
			delete(c.unknownFlows.flows, key)
		}
	}
}
