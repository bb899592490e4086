package lists

import (
	"net/netip"
	"time"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// BuildCatalog validates the content of a version and returns its catalog, or
// the findings of CheckContent.
func BuildCatalog(version uint64, callers *pb.CallerList, plans *pb.PlanList, marks *pb.Marks) (*model.Catalog, findings.Findings) {
	if found := CheckContent(Content{callers, plans, marks}); len(found) > 0 {
		return nil, found
	}
	cat := &model.Catalog{
		Version:  version,
		Services: map[model.ServiceID]*model.Service{}, Servers: map[model.ServerID]*model.BackendServer{},
		Sites: map[netip.AddrPort]*model.Site{}, Plans: map[string]*model.Plan{}, Callers: map[string]*model.Caller{},
		DataCentres: map[model.DataCentre]model.Mark{}, InstancesOut: map[model.InstanceID]bool{},
	}
	for _, s := range plans.GetServices() {
		addService(cat, s)
	}
	for _, p := range plans.GetPlans() {
		cat.Plans[p.GetName()] = newPlan(p)
	}
	for _, e := range callers.GetCallers() {
		cat.Callers[e.GetName()] = newCaller(e, cat.Plans[e.GetPlan()])
	}
	for _, dc := range marks.GetDataCentresOut() {
		cat.DataCentres[model.DataCentre(dc)] = model.Mark{Out: true}
	}
	for _, id := range marks.GetInstancesOut() {
		cat.InstancesOut[model.InstanceID(id)] = true
	}
	cat.IndexCallers()
	return cat, nil
}

func addService(cat *model.Catalog, e *pb.ServiceEntry) {
	s := &model.Service{ID: model.NewServiceID(e.GetName()), Name: e.GetName(), Objective: newObjective(e.GetObjective())}
	cat.Services[s.ID] = s
	for _, site := range e.GetSites() {
		address, _ := ParseAddress(site.GetAddress())
		m := &model.Site{Service: s, DataCentre: model.DataCentre(site.GetDataCentre()), Address: address}
		s.Sites = append(s.Sites, m)
		cat.Sites[address] = m
		cat.DataCentres[m.DataCentre] = model.Mark{}
		for _, server := range site.GetServers() {
			b := newServer(s, m.DataCentre, server)
			m.Servers = append(m.Servers, b)
			cat.Servers[b.ID] = b
		}
	}
}

func newObjective(o *pb.Objective) model.Objective {
	return model.Objective{
		BrokenFlowsPPM: o.GetBrokenFlowsPpm(), RefusedPPM: o.GetRefusedPpm(), LatePPM: o.GetLatePpm(),
		LateAfter: time.Duration(o.GetLateMs()) * time.Millisecond,
	}
}

func newServer(s *model.Service, dc model.DataCentre, e *pb.ServerEntry) *model.BackendServer {
	address, _ := ParseAddress(e.GetAddress())
	return &model.BackendServer{
		ID: model.NewServerID(s.Name, e.GetName()), Name: e.GetName(), Service: s.ID, DataCentre: dc,
		Address: address, Health: e.GetHealth(), Slots: int(e.GetSlots()),
		ColdSlots: int(e.GetColdSlots()), ColdOpeningsPerSecond: int(e.GetColdOpeningsPerSecond()), Drain: e.GetDrain(),
	}
}

func newPlan(e *pb.PlanEntry) *model.Plan {
	p := &model.Plan{Name: e.GetName(), Uses: map[model.ServiceID]model.PlanUse{}}
	for _, u := range e.GetUses() {
		p.Uses[model.NewServiceID(u.GetService())] = model.PlanUse{
			OpeningsPerSecond: int(u.GetOpeningsPerSecond()), RequestsPerSecond: int(u.GetRequestsPerSecond()),
			ConcurrentFlows: int(u.GetConcurrentFlows()), ConcurrentRequests: int(u.GetConcurrentRequests()),
			Priority: u.GetPriority(),
		}
	}
	return p
}

func newCaller(e *pb.CallerEntry, plan *model.Plan) *model.Caller {
	c := &model.Caller{Name: e.GetName(), Plan: plan}
	for _, text := range e.GetPrefixes() {
		prefix, _ := ParsePrefix(text)
		c.Prefixes = append(c.Prefixes, prefix)
	}
	return c
}
