// Package steering chooses the BackendServer of a new flow. The later packets
// of a flow name its server by token, so that every instance forwards them
// without a table of flows and without asking another instance.
//
// Each instance evens out the flows that it has seen opened less those that it
// has seen end. Packets of a flow reach any instance, so the numbers of one
// instance say nothing of a server's load; over all instances they add up to
// it, and their sum is even when each of them is.
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
	// candidatesPerFlow is the number of servers among which the flow's hash leaves the
	// choice to the load. With two, a server that was just added gets at most
	// twice its share of the openings, and the copies of an opening at two
	// instances tend to meet one server.
	candidatesPerFlow = 2
	// inForceTimeout is the time after which a server is used although not all
	// instances are known to have its configuration: half the time in which a
	// configuration comes into force.
	inForceTimeout = 3 * time.Second
	// trialInterval is the time between two openings of a service none of
	// whose servers answers; the others are refused at once.
	trialInterval = 100 * time.Millisecond
)

// Health is what the instance knows of the servers.
type Health interface {
	// Condition returns a server's condition.
	Condition(id model.ServerID) serverhealth.Condition
	// OpenFlows returns the flows opened less those ended, as seen here.
	OpenFlows(id model.ServerID) int
}

// Outcome says how a choice ended.
type Outcome uint8

// Outcomes.
const (
	// Chosen: a server takes the flow.
	Chosen Outcome = iota
	// NoServer: the service has no server that answers.
	NoServer
	// Overload: the servers bear no further opening now.
	Overload
)

// Steering chooses servers of one data centre. It is not safe for concurrent
// use.
type Steering struct {
	services map[model.ServiceID]*serviceState
	servers  map[model.ServerID]*serverState
	// inForceVersion is the configuration version that all instances hold.
	inForceVersion uint64

	// candidates is scratch space of best.
	candidates []selection.Candidate
}

type serviceState struct {
	servers   []*serverState
	lastTrial time.Time
}

type serverState struct {
	server  *model.BackendServer
	tieSeed uint64
	// firstVersion is the version that first had the server at its address, and
	// sinceAt the time at which this instance took it.
	firstVersion uint64
	addedAt      time.Time
}

// New returns a Steering without servers.
func New() *Steering {
	return &Steering{services: map[model.ServiceID]*serviceState{}, servers: map[model.ServerID]*serverState{}}
}

// SetServers takes the data centre's servers of a configuration version.
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

// SetInForceVersion notes that all instances of the data centre hold a version.
func (s *Steering) SetInForceVersion(version uint64) {
	s.inForceVersion = max(s.inForceVersion, version)
}

// Choose returns the server of a new flow. mayOpen reports whether a server
// bears the opening and counts it; it is asked about servers in the order in
// which they are wanted.
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

// Preview returns the server that an opening would go to now, if it bears the
// opening, and counts nothing; ok is false when there is none.
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

// partition returns the servers that take new flows, in the flow's order with those
// that shed load last, and those that do not answer. A large service is
// represented by a sample.
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
			return cmp.Compare(selection.Tie(uint64(flow), a.tieSeed), selection.Tie(uint64(flow), b.tieSeed))
		})
	}
	return append(usable, shedding...), silent
}

// knownToAll reports whether all instances know the server. One that does not could
// not forward the flow's packets, and may still use the address for a server
// that had it before.
func (s *Steering) knownToAll(now time.Time, srv *serverState) bool {
	return srv.firstVersion <= s.inForceVersion || now.Sub(srv.addedAt) >= inForceTimeout
}

// trial lets an opening through to a service whose servers all seem not to
// answer: the belief may be wrong.
func (svc *serviceState) trial(now time.Time, silent []*serverState) (model.ServerID, Outcome) {
	if len(silent) == 0 || now.Sub(svc.lastTrial) < trialInterval {
		return 0, NoServer
	}
	svc.lastTrial = now
	return silent[0].server.ID, Chosen
}

// leastLoaded returns the index of the least loaded server.
func (s *Steering) leastLoaded(servers []*serverState, flow model.FlowHash, health Health) int {
	s.candidates = s.candidates[:0]
	for _, srv := range servers {
		reachability := reach.Reachable
		if health.Condition(srv.server.ID) == serverhealth.Shedding {
			reachability = reach.Suspect
		}
		s.candidates = append(s.candidates, selection.Candidate{
			Local: true, Reach: reachability, Flows: health.OpenFlows(srv.server.ID), Slots: srv.server.Slots, Tie: selection.Tie(uint64(flow), srv.tieSeed),
		})
	}
	return selection.Choose(s.candidates)
}
