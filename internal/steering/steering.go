// Package steering chooses the BackendServer of a new flow for package entry. A
// flow is the series of packets between one address of a caller and one of a
// service; its first packet is the opening. All later packets of the flow carry a
// token that names the server, so that every instance forwards them without a
// flow table and without a message to another instance.
//
// Each instance balances its own open-flow counts: the flows that it has seen
// opened at a server less those that it has seen end. The packets of a flow
// may reach any instance, so the count of one instance does not show the load of
// a server. The sum of the counts over all instances shows it, and these sums are
// balanced among the servers if each instance balances its own counts.
//
// Package selection compares candidate servers by a score. This package uses it
// for the last comparison; package gateway, which serves the users' platform, uses
// it directly.
package steering

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/reach"
	"cuminshift/internal/selection"
	"cuminshift/internal/serverhealth"
)

const (
	// candidatesPerFlow is the number of servers that the flow's hash selects;
	// the least loaded of them is chosen. With two, a server that was just added
	// gets at most twice its share of the openings, and copies of an opening at
	// two instances tend to reach the same server.
	candidatesPerFlow = 2
	// inForceTimeout is the time after which a new server is used although not
	// all instances are known to have its configuration. It is half the time
	// within which a configuration comes into force.
	inForceTimeout = 3 * time.Second
	// trialInterval is the time between two trial openings at a service none of
	// whose servers answers. All other openings are refused at once.
	trialInterval = 100 * time.Millisecond
)

// Health provides the state of the servers as this instance knows it. It is
// implemented by serverhealth.Tracker.
type Health interface {
	// Condition returns a server's condition.
	Condition(id model.ServerID) serverhealth.Condition
	// OpenFlows returns the number of flows that this instance has seen opened
	// at a server less those that it has seen end. It may be negative.
	OpenFlows(id model.ServerID) int
}

// Outcome is the result of Choose.
type Outcome uint8

// Outcomes.
const (
	// Chosen means that a server was chosen.
	Chosen Outcome = iota
	// NoServer means that the service has no server that answers and takes new
	// flows.
	NoServer
	// Overload means that tryOpen returned false for every server that takes new
	// flows.
	Overload
)

// Steering chooses among the servers of one data centre. It is not safe for
// concurrent use.
type Steering struct {
	services map[model.ServiceID]*serviceState
	servers  map[model.ServerID]*serverState
	// inForceVersion is the newest configuration version that all instances of
	// the data centre are known to hold.
	inForceVersion uint64

	// candidates is a buffer that leastLoaded reuses.
	candidates []selection.Candidate
}

type serviceState struct {
	// servers is sorted by name.
	servers []*serverState
	// lastTrial is the time of the last trial opening.
	lastTrial time.Time
}

type serverState struct {
	server *model.BackendServer
	// tieSeed is the seed of the server's tie values, which rank the servers
	// for a flow.
	tieSeed uint64
	// firstVersion is the first version that has the server at its present
	// address, and addedAt is when this instance applied it.
	firstVersion uint64
	addedAt      time.Time
}

// New returns a Steering without servers.
func New() *Steering {
	return &Steering{services: map[model.ServiceID]*serviceState{}, servers: map[model.ServerID]*serverState{}}
}

// SetServers replaces the servers of the data centre by those of a configuration
// version. A server that the version adds or moves to another address gets no
// flows at first; see SetInForceVersion.
func (s *Steering) SetServers(now time.Time, version uint64, servers map[model.ServerID]*model.BackendServer) {
	states := make(map[model.ServerID]*serverState, len(servers))
	services := map[model.ServiceID]*serviceState{}
	for id, server := range servers {
		srv := s.servers[id]
		if srv == nil || srv.server.Address != server.Address {
			srv = &serverState{tieSeed: uint64(id), firstVersion: version, addedAt: now}
		}
		srv.server = server
		states[id] = srv
		svc := services[server.Service]
		if svc == nil {
			svc = &serviceState{}
			if old := s.services[server.Service]; old != nil {
				svc.lastTrial = old.lastTrial
			}
			services[server.Service] = svc
		}
		svc.servers = append(svc.servers, srv)
	}
	for _, svc := range services {
		slices.SortFunc(svc.servers, func(a, b *serverState) int { return strings.Compare(a.server.Name, b.server.Name) })
	}
	s.servers, s.services = states, services
}

// SetInForceVersion records the newest configuration version that all instances
// of the data centre hold. A server gets flows only once all instances hold the
// version that added it, because an instance that does not know the server cannot
// forward its packets. If they have not confirmed this within 3 s (inForceTimeout),
// it gets flows nevertheless.
func (s *Steering) SetInForceVersion(version uint64) {
	s.inForceVersion = max(s.inForceVersion, version)
}

// Choose returns the server of a new flow. The flow hash orders the servers that
// take new flows; those that shed load come last, and draining and silent servers
// are left out. Of the first two servers, one that does not shed load is preferred,
// otherwise the one with fewer open flows per slot. tryOpen reports whether a server can take the opening, and counts it
// against the server's limit if so, as serverhealth.Tracker.OpeningAllowed does. If
// it returns false, the server is removed from the order and the choice repeated.
//
// If no server is left but some are silent, one opening every 100 ms
// (trialInterval) goes to a silent server, without a call of tryOpen. The outcome
// of all others is NoServer.
func (s *Steering) Choose(now time.Time, service model.ServiceID, flow model.FlowHash, health Health, tryOpen func(model.ServerID) bool) (model.ServerID, Outcome) {
	svc := s.services[service]
	if svc == nil {
		return 0, NoServer
	}
	usable, silent := s.partition(now, svc, flow, health)
	if len(usable) == 0 {
		return svc.trial(now, silent)
	}
	for len(usable) > 0 {
		n := s.leastLoaded(usable[:min(candidatesPerFlow, len(usable))], flow, health)
		if server := usable[n].server.ID; tryOpen(server) {
			return server, Chosen
		}
		usable = slices.Delete(usable, n, n+1)
	}
	return 0, Overload
}

// Preview returns the server that Choose would prefer for an opening now, without
// counting the opening, for the operator command explain. The server may still be
// unable to take the opening. ok is false when no server takes new flows.
func (s *Steering) Preview(now time.Time, service model.ServiceID, flow model.FlowHash, health Health) (server model.ServerID, ok bool) {
	svc := s.services[service]
	if svc == nil {
		return 0, false
	}
	usable, _ := s.partition(now, svc, flow, health)
	if len(usable) == 0 {
		return 0, false
	}
	return usable[s.leastLoaded(usable[:min(candidatesPerFlow, len(usable))], flow, health)].server.ID, true
}

// partition returns the servers that take new flows and those that do not
// answer, each in the order of their tie values for the flow. Usable servers that
// shed load come last. Of a large service only a sample of the servers is
// considered.
func (s *Steering) partition(now time.Time, svc *serviceState, flow model.FlowHash, health Health) (usable, silent []*serverState) {
	var shedding []*serverState
	for i := range selection.Sample(uint64(flow), len(svc.servers)) {
		srv := svc.servers[i]
		if srv.server.Drain || !s.knownToAll(now, srv) {
			continue
		}
		switch health.Condition(srv.server.ID) {
		case serverhealth.Draining:
		case serverhealth.Silent:
			silent = append(silent, srv)
		case serverhealth.Shedding:
			shedding = append(shedding, srv)
		default:
			usable = append(usable, srv)
		}
	}
	for _, list := range [][]*serverState{usable, shedding, silent} {
		slices.SortFunc(list, func(a, b *serverState) int {
			return cmp.Compare(selection.TieBreak(uint64(flow), a.tieSeed), selection.TieBreak(uint64(flow), b.tieSeed))
		})
	}
	return append(usable, shedding...), silent
}

// knownToAll reports whether all instances are expected to know the server. An
// instance that does not know it cannot forward packets of its flows, and may
// still take its address for that of the server that had it before.
func (s *Steering) knownToAll(now time.Time, srv *serverState) bool {
	return srv.firstVersion <= s.inForceVersion || now.Sub(srv.addedAt) >= inForceTimeout
}

// trial allows an opening every trialInterval at a service whose servers all
// seem silent, because that assessment may be wrong.
func (svc *serviceState) trial(now time.Time, silent []*serverState) (model.ServerID, Outcome) {
	if len(silent) == 0 || now.Sub(svc.lastTrial) < trialInterval {
		return 0, NoServer
	}
	svc.lastTrial = now
	return silent[0].server.ID, Chosen
}

// leastLoaded returns the index of the least loaded of the servers. A server that
// sheds load is rated like one that may be unreachable, so that any other server is
// preferred to it.
func (s *Steering) leastLoaded(servers []*serverState, flow model.FlowHash, health Health) int {
	s.candidates = s.candidates[:0]
	for _, srv := range servers {
		reachability := reach.Reachable
		if health.Condition(srv.server.ID) == serverhealth.Shedding {
			reachability = reach.Suspect
		}
		s.candidates = append(s.candidates, selection.Candidate{
			Local: true, Reach: reachability, Flows: health.OpenFlows(srv.server.ID), Slots: srv.server.Slots, TieBreak: selection.TieBreak(uint64(flow), srv.tieSeed),
		})
	}
	return selection.Choose(s.candidates)
}
