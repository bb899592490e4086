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

// referenceState is the state of all reference instances of a run. They share it
// without delay and violate no invariant, which shows that the observer reports no
// false violations.
type referenceState struct {
	plans        *pb.PlanList
	marks        *pb.Marks
	version      uint64
	serverOfFlow map[wire.Flow]*pb.ServerEntry
	requests     map[requestKey]*referenceRequest
	openingTimes map[string][]time.Time
	leaving      map[model.InstanceID]bool
	roundRobin   int
}

// referenceRequest is a request of a caller; notRun is set if it was refused before
// it ran.
type referenceRequest struct {
	server     string
	parts      map[uint32]*pb.Packet
	answered   bool
	notRun     bool
	admittedAt time.Time
}

type referenceInstance struct {
	state        *referenceState
	spec         InstanceSpec
	leavingSince time.Time
	stopped      bool
}

func newReferenceFactory() Factory {
	state := &referenceState{serverOfFlow: map[wire.Flow]*pb.ServerEntry{}, requests: map[requestKey]*referenceRequest{}, openingTimes: map[string][]time.Time{}, leaving: map[model.InstanceID]bool{}}
	return func(spec InstanceSpec) Instance { return &referenceInstance{state: state, spec: spec} }
}

func (inst *referenceInstance) Version() uint64 { return inst.state.version }

// StoredVersion implements Instance. What the reference instances store is their common
// state.
func (inst *referenceInstance) StoredVersion(func(string) []byte) (uint64, error) {
	return inst.state.version, nil
}
func (inst *referenceInstance) Lists() (*pb.PlanList, *pb.Marks) {
	return inst.state.plans, inst.state.marks
}
func (inst *referenceInstance) Publishing(time.Time) bool { return false }

func (inst *referenceInstance) InUse() int { return 0 }

func (inst *referenceInstance) Handle(now time.Time, in any) []any {
	switch i := in.(type) {
	case CallerPacket:
		return inst.fromCaller(now, i.P)
	case ServerPacket:
		return inst.fromServer(i.P)
	case Leave:
		inst.leavingSince, inst.state.leaving[inst.spec.ID] = now, true
	case Tick:
		if !inst.leavingSince.IsZero() && !inst.stopped && now.Sub(inst.leavingSince) > instanceListLag+requestDeadline {
			inst.stopped = true
			return []any{Stopped{}}
		}
	case Edit:
		return inst.edit(i)
	}
	return nil
}

func (inst *referenceInstance) edit(e Edit) []any {
	if e.Request.GetBaseVersion() != inst.state.version {
		return []any{EditReply{Token: e.Token, Err: errors.New("conflict")}}
	}
	if e.Request.Plans != nil {
		inst.state.plans = e.Request.Plans
	}
	if e.Request.Marks != nil {
		inst.state.marks = e.Request.Marks
	}
	inst.state.version++
	return []any{StoreCall{Key: "root", Put: true}, EditReply{Token: e.Token, Version: inst.state.version}}
}

// siteOf returns the service and the site that a flow's address belongs to.
func (inst *referenceInstance) siteOf(flow wire.Flow) (*pb.ServiceEntry, *pb.ServiceSite) {
	for _, s := range inst.state.plans.GetServices() {
		for _, site := range s.GetSites() {
			if site.GetAddress() == flow.Service.String() {
				return s, site
			}
		}
	}
	return nil, nil
}

// allowed reports whether the plan of the flow's caller contains the service.
func (inst *referenceInstance) allowed(flow wire.Flow, service string) bool {
	plan := "parana"
	if flow.Caller.Addr().As4()[1] == 2 {
		plan = "other"
	}
	for _, p := range inst.state.plans.GetPlans() {
		if p.GetName() == plan {
			return slices.ContainsFunc(p.GetUses(), func(u *pb.PlanUse) bool { return u.GetService() == service })
		}
	}
	return false
}

func (inst *referenceInstance) refuse(p *pb.Packet, outcome pb.Outcome) []any {
	r := proto.Clone(p).(*pb.Packet)
	r.Kind, r.Reason, r.Outcome, r.Payload = pb.Kind_KIND_REFUSAL, pb.Reason_REASON_OVERLOAD, outcome, nil
	return []any{ToCaller{r}}
}

func (inst *referenceInstance) fromCaller(now time.Time, p *pb.Packet) []any {
	flow := wire.FlowOf(p)
	service, site := inst.siteOf(flow)
	if site == nil || !inst.allowed(flow, service.GetName()) || slices.Contains(inst.state.marks.GetDataCentresOut(), site.GetDataCentre()) {
		if p.GetKind() == pb.Kind_KIND_OPEN {
			return inst.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN)
		}
		return nil
	}
	if site.GetDataCentre() != string(inst.spec.DataCentre) {
		inst.state.roundRobin++
		to := model.InstanceID(site.GetDataCentre() + string('1'+rune(inst.state.roundRobin%2)))
		if inst.state.leaving[to] {
			to = model.InstanceID(site.GetDataCentre() + string('2'-rune(inst.state.roundRobin%2)))
		}
		p.Relayed = true
		return []any{ToInstance{instanceAddr(to), p}}
	}
	server := inst.state.serverOfFlow[flow]
	if server != nil && !slices.ContainsFunc(site.GetServers(), func(s *pb.ServerEntry) bool { return s.GetName() == server.GetName() }) {
		delete(inst.state.serverOfFlow, flow)
		server = nil
	}
	if server == nil && p.GetKind() == pb.Kind_KIND_OPEN {
		if server = inst.chooseServer(now, site); server == nil {
			return inst.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN)
		}
		inst.state.serverOfFlow[flow] = server
	}
	if server == nil {
		return nil
	}
	if p.GetKind() == pb.Kind_KIND_REQUEST {
		if out, ok := inst.admit(now, flow, p, server); !ok {
			return out
		}
	}
	return []any{ToServer{To: mustAddr(server.GetAddress()), P: p}}
}

// chooseServer returns the next server, round-robin, that is not draining and got
// fewer than 8 openings in the last second, or nil.
func (inst *referenceInstance) chooseServer(now time.Time, site *pb.ServiceSite) *pb.ServerEntry {
	for range site.GetServers() {
		inst.state.roundRobin++
		s := site.GetServers()[inst.state.roundRobin%len(site.GetServers())]
		recent := slices.DeleteFunc(inst.state.openingTimes[s.GetName()], func(t time.Time) bool { return now.Sub(t) > time.Second })
		if !s.GetDrain() && len(recent) < 8 {
			inst.state.openingTimes[s.GetName()] = append(recent, now)
			return s
		}
	}
	return nil
}

// admit lets one request at a time run on a server. For other requests it returns
// false and the outputs to return instead.
func (inst *referenceInstance) admit(now time.Time, flow wire.Flow, p *pb.Packet, server *pb.ServerEntry) ([]any, bool) {
	key := requestKey{flow, p.GetRequestId()}
	if r := inst.state.requests[key]; r != nil {
		switch {
		case r.notRun:
			return inst.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN), false
		case r.answered:
			return inst.refuse(p, pb.Outcome_OUTCOME_UNKNOWN), false
		}
		return nil, false
	}
	r := &referenceRequest{server: server.GetName(), parts: map[uint32]*pb.Packet{}, admittedAt: now}
	for _, o := range inst.state.requests {
		if o.server == r.server && !o.answered && !o.notRun && now.Sub(o.admittedAt) < requestDeadline {
			r.notRun = true
		}
	}
	inst.state.requests[key] = r
	if r.notRun {
		return inst.refuse(p, pb.Outcome_OUTCOME_DID_NOT_RUN), false
	}
	return nil, true
}

// fromServer holds the parts of an answer until all have arrived.
func (inst *referenceInstance) fromServer(p *pb.Packet) []any {
	r := inst.state.requests[requestKey{wire.FlowOf(p), p.GetRequestId()}]
	switch {
	case r != nil && r.answered:
		return nil
	case p.GetKind() == pb.Kind_KIND_ANSWER:
		r.parts[p.GetPart()] = p
		if len(r.parts) < int(p.GetParts()) {
			return nil
		}
		r.answered = true
		var out []any
		for k := range p.GetParts() {
			out = append(out, ToCaller{r.parts[k]})
		}
		return out
	case r != nil && p.GetKind() == pb.Kind_KIND_REFUSAL:
		r.notRun = true
	}
	return []any{ToCaller{p}}
}
