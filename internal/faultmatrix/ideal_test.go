package faultmatrix

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

// ideal is shared by all instances of a run, so each knows at once what any
// other did. It shows that the observer reports nothing where nothing is wrong.
type ideal struct {
	plans    *pb.PlanList
	marks    *pb.Marks
	version  uint64
	pins     map[wire.Flow]*pb.ServerEntry
	requests map[reqKey]*idealRequest
	openings map[string][]time.Time
	left     map[model.InstanceID]bool
	next     int
}

type idealRequest struct {
	server string
	parts  map[uint32]*pb.Packet
	done   bool
	not    bool
	at     time.Time
}

type idealNode struct {
	w       *ideal
	spec    NodeSpec
	leaving time.Time
	stopped bool
}

func newIdeal() Factory {
	w := &ideal{pins: map[wire.Flow]*pb.ServerEntry{}, requests: map[reqKey]*idealRequest{}, openings: map[string][]time.Time{}, left: map[model.InstanceID]bool{}}
	return func(spec NodeSpec) Node { return &idealNode{w: w, spec: spec} }
}

func (n *idealNode) Version() uint64                  { return n.w.version }
func (n *idealNode) Lists() (*pb.PlanList, *pb.Marks) { return n.w.plans, n.w.marks }
func (n *idealNode) Publishing(time.Time) bool        { return false }

func (n *idealNode) Handle(now time.Time, in any) []any {
	switch i := in.(type) {
	case CallerPacket:
		return n.fromCaller(now, i.P)
	case ServerPacket:
		return n.fromServer(i.P)
	case Leave:
		n.leaving, n.w.left[n.spec.ID] = now, true
	case Tick:
		if !n.leaving.IsZero() && !n.stopped && now.Sub(n.leaving) > listLag+requestDeadline {
			n.stopped = true
			return []any{Stopped{}}
		}
	case Edit:
		return n.edit(i)
	}
	return nil
}

func (n *idealNode) edit(e Edit) []any {
	if e.Request.GetBaseVersion() != n.w.version {
		return []any{EditReply{Token: e.Token, Err: errors.New("conflict")}}
	}
	if e.Request.Plans != nil {
		n.w.plans = e.Request.Plans
	}
	if e.Request.Marks != nil {
		n.w.marks = e.Request.Marks
	}
	n.w.version++
	return []any{StoreCall{Key: "root", Put: true}, EditReply{Token: e.Token, Version: n.w.version}}
}

func (n *idealNode) site(flow wire.Flow) (*pb.ServiceEntry, *pb.ServiceSite) {
	for _, s := range n.w.plans.GetServices() {
		for _, site := range s.GetSites() {
			if site.GetAddress() == flow.Service.String() {
				return s, site
			}
		}
	}
	return nil, nil
}

func (n *idealNode) allowed(flow wire.Flow, service string) bool {
	plan := "parana"
	if flow.Caller.Addr().As4()[1] == 2 {
		plan = "other"
	}
	for _, p := range n.w.plans.GetPlans() {
		if p.GetName() == plan {
			return slices.ContainsFunc(p.GetUses(), func(u *pb.PlanUse) bool { return u.GetService() == service })
		}
	}
	return false
}

func (n *idealNode) refuse(p *pb.Packet, outcome pb.Outcome) []any {
	r := proto.Clone(p).(*pb.Packet)
	r.Kind, r.Reason, r.Outcome, r.Payload = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_OVERLOAD, outcome, nil
	return []any{ToCaller{r}}
}

func (n *idealNode) fromCaller(now time.Time, p *pb.Packet) []any {
	flow := wire.FlowOf(p)
	service, site := n.site(flow)
	if site == nil || !n.allowed(flow, service.GetName()) || slices.Contains(n.w.marks.GetDataCentresOut(), site.GetDataCentre()) {
		if p.GetKind() == pb.Kind_KIND_OPEN {
			return n.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN)
		}
		return nil
	}
	if site.GetDataCentre() != string(n.spec.DataCentre) {
		n.w.next++
		to := model.InstanceID(site.GetDataCentre() + string('1'+rune(n.w.next%2)))
		if n.w.left[to] {
			to = model.InstanceID(site.GetDataCentre() + string('2'-rune(n.w.next%2)))
		}
		p.Relayed = true
		return []any{ToInstance{instanceAddr(to), p}}
	}
	server := n.w.pins[flow]
	if server != nil && !slices.ContainsFunc(site.GetServers(), func(s *pb.ServerEntry) bool { return s.GetName() == server.GetName() }) {
		delete(n.w.pins, flow)
		server = nil
	}
	if server == nil && p.GetKind() == pb.Kind_KIND_OPEN {
		if server = n.choose(now, site); server == nil {
			return n.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN)
		}
		n.w.pins[flow] = server
	}
	if server == nil {
		return nil
	}
	if p.GetKind() == pb.Kind_KIND_REQUEST {
		if out, ok := n.admit(now, flow, p, server); !ok {
			return out
		}
	}
	return []any{ToServer{To: mustAddr(server.GetAddress()), P: p}}
}

// choose returns the next server in turn that does not drain and has no 8
// openings in the last second.
func (n *idealNode) choose(now time.Time, site *pb.ServiceSite) *pb.ServerEntry {
	for range site.GetServers() {
		n.w.next++
		s := site.GetServers()[n.w.next%len(site.GetServers())]
		recent := slices.DeleteFunc(n.w.openings[s.GetName()], func(t time.Time) bool { return now.Sub(t) > time.Second })
		if !s.GetDrain() && len(recent) < 8 {
			n.w.openings[s.GetName()] = append(recent, now)
			return s
		}
	}
	return nil
}

// admit lets one request at a time run on a server.
func (n *idealNode) admit(now time.Time, flow wire.Flow, p *pb.Packet, server *pb.ServerEntry) ([]any, bool) {
	key := reqKey{flow, p.GetRequestId()}
	if r := n.w.requests[key]; r != nil {
		switch {
		case r.not:
			return n.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN), false
		case r.done:
			return n.refuse(p, pb.Outcome_OUTCOME_UNKNOWN), false
		}
		return nil, false
	}
	r := &idealRequest{server: server.GetName(), parts: map[uint32]*pb.Packet{}, at: now}
	for _, o := range n.w.requests {
		if o.server == r.server && !o.done && !o.not && now.Sub(o.at) < requestDeadline {
			r.not = true
		}
	}
	n.w.requests[key] = r
	if r.not {
		return n.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN), false
	}
	return nil, true
}

func (n *idealNode) fromServer(p *pb.Packet) []any {
	r := n.w.requests[reqKey{wire.FlowOf(p), p.GetRequestId()}]
	switch {
	case r != nil && r.done:
		return nil
	case p.GetKind() == pb.Kind_KIND_ANSWER:
		r.parts[p.GetPart()] = p
		if len(r.parts) < int(p.GetParts()) {
			return nil
		}
		r.done = true
		var out []any
		for k := range p.GetParts() {
			out = append(out, ToCaller{r.parts[k]})
		}
		return out
	case r != nil && p.GetKind() == pb.Kind_KIND_REFUSAL:
		r.not = true
	}
	return []any{ToCaller{p}}
}
