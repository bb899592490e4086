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
	// choices is the number of servers among which the flow's hash leaves the
	// choice to the load. With two, a server that was just added gets at most
	// twice its share of the openings, and the copies of an opening at two
	// instances tend to meet one server.
	choices = 2
	// knownAfter is the time after which a server is used although not all
	// instances are known to have its configuration: half the time in which a
	// configuration comes into force.
	knownAfter = 3 * time.Second
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
	services map[model.ServiceID]*service
	targets  map[model.ServerID]*target
	// inForce is the configuration version that all instances hold.
	inForce uint64

	// candidates is scratch space of best.
	candidates []selection.Candidate
}

type service struct {
	targets []*target
	trialAt time.Time
}

type target struct {
	server *model.BackendServer
	seed   uint64
	// since is the version that first had the server at its address, and
	// sinceAt the time at which this instance took it.
	since   uint64
	sinceAt time.Time
}

// New returns a Steering without servers.
func New() *Steering {
	return &Steering{services: map[model.ServiceID]*service{}, targets: map[model.ServerID]*target{}}
}

// SetServers takes the data centre's servers of a configuration version.
func (s *Steering) SetServers(now time.Time, version uint64, servers map[model.ServerID]*model.BackendServer) {
	targets := make(map[model.ServerID]*target, len(servers))
	services := map[model.ServiceID]*service{}
	for id, server := range servers {
		t := s.targets[id]
		if t == nil || t.server.Address != server.Address {
			t = &target{seed: uint64(id), since: version, sinceAt: now}
		}
		t.server = server
		targets[id] = t
		svc := services[server.Service]
		if svc == nil {
			svc = &service{}
			if old := s.services[server.Service]; old != nil {
				svc.trialAt = old.trialAt
			}
			services[server.Service] = svc
		}
		svc.targets = append(svc.targets, t)
	}
	for _, svc := range services {
		slices.SortFunc(svc.targets, func(a, b *target) int { return strings.Compare(a.server.Name, b.server.Name) })
	}
	s.targets, s.services = targets, services
}

// SetInForceVersion notes that all instances of the data centre hold a version.
func (s *Steering) SetInForceVersion(version uint64) { s.inForce = max(s.inForce, version) }

// Choose returns the server of a new flow. mayOpen reports whether a server
// bears the opening and counts it; it is asked about servers in the order in
// which they are wanted.
func (s *Steering) Choose(now time.Time, id model.ServiceID, flow model.FlowHash, health Health, mayOpen func(model.ServerID) bool) (model.ServerID, Outcome) {
	svc := s.services[id]
	if svc == nil {
		return 0, NoServer
	}
	usable, silent := s.split(now, svc, flow, health)
	if len(usable) == 0 {
		return svc.trial(now, silent)
	}
	for len(usable) > 0 {
		n := s.best(usable[:min(choices, len(usable))], flow, health)
		if server := usable[n].server.ID; mayOpen(server) {
			return server, Chosen
		}
		usable = slices.Delete(usable, n, n+1)
	}
	return 0, Overload
}

// Preview returns the server that an opening would go to now, if it bears the
// opening, and counts nothing; ok is false when there is none.
func (s *Steering) Preview(now time.Time, id model.ServiceID, flow model.FlowHash, health Health) (server model.ServerID, ok bool) {
	svc := s.services[id]
	if svc == nil {
		return 0, false
	}
	usable, _ := s.split(now, svc, flow, health)
	if len(usable) == 0 {
		return 0, false
	}
	return usable[s.best(usable[:min(choices, len(usable))], flow, health)].server.ID, true
}

// split returns the servers that take new flows, in the flow's order with those
// that shed load last, and those that do not answer. A large service is
// represented by a sample.
func (s *Steering) split(now time.Time, svc *service, flow model.FlowHash, health Health) (usable, silent []*target) {
	var shedding []*target
	for i := range selection.Sample(uint64(flow), len(svc.targets)) {
		t := svc.targets[i]
		if t.server.Drain || !s.known(now, t) {
			continue
		}
		switch health.Condition(t.server.ID) {
		case serverhealth.Draining:
		case serverhealth.Silent:
			silent = append(silent, t)
		case serverhealth.Shedding:
			shedding = append(shedding, t)
		default:
			usable = append(usable, t)
		}
	}
	for _, list := range [][]*target{usable, shedding, silent} {
		slices.SortFunc(list, func(a, b *target) int {
			return cmp.Compare(selection.Tie(uint64(flow), a.seed), selection.Tie(uint64(flow), b.seed))
		})
	}
	return append(usable, shedding...), silent
}

// known reports whether all instances know the server. One that does not could
// not forward the flow's packets, and may still use the address for a server
// that had it before.
func (s *Steering) known(now time.Time, t *target) bool {
	return t.since <= s.inForce || now.Sub(t.sinceAt) >= knownAfter
}

// trial lets an opening through to a service whose servers all seem not to
// answer: the belief may be wrong.
func (svc *service) trial(now time.Time, silent []*target) (model.ServerID, Outcome) {
	if len(silent) == 0 || now.Sub(svc.trialAt) < trialInterval {
		return 0, NoServer
	}
	svc.trialAt = now
	return silent[0].server.ID, Chosen
}

// best returns the index of the least loaded server.
func (s *Steering) best(among []*target, flow model.FlowHash, health Health) int {
	s.candidates = s.candidates[:0]
	for _, t := range among {
		state := reach.Reachable
		if health.Condition(t.server.ID) == serverhealth.Shedding {
			state = reach.Suspect
		}
		s.candidates = append(s.candidates, selection.Candidate{
			Local: true, Reach: state, Flows: health.OpenFlows(t.server.ID), Slots: t.server.Slots, Tie: selection.Tie(uint64(flow), t.seed),
		})
	}
	return selection.Choose(s.candidates)
}
