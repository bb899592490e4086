package lists

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// MaxUpdateChanges is the largest number of changes for which UpdateCatalog is
// cheaper than BuildCatalog. UpdateCatalog compares every new address and prefix
// with all existing ones.
const MaxUpdateChanges = 64

// UpdateCatalog applies changes to a catalog and returns the new catalog. It
// returns findings if and only if BuildCatalog would; their texts may differ.
// The new catalog shares unchanged entries with the old one.
func UpdateCatalog(old *model.Catalog, version uint64, changes []Change) (*model.Catalog, findings.Findings) {
	u := &updater{old: old, next: shallowCopy(old), changes: changes}
	u.next.Version = version
	u.applyServices()
	u.applyPlans()
	u.applyCallers()
	u.applyMarks()
	if found := u.check(); len(found) > 0 {
		found.Sort()
		return nil, found
	}
	return u.next, nil
}

// shallowCopy copies the catalog with its maps, but not the values of the maps.
// DataCentres starts out empty; applyServices and applyMarks fill it.
func shallowCopy(c *model.Catalog) *model.Catalog {
	next := *c
	next.Services = maps.Clone(c.Services)
	next.Servers = maps.Clone(c.Servers)
	next.Sites = maps.Clone(c.Sites)
	next.Plans = maps.Clone(c.Plans)
	next.Callers = maps.Clone(c.Callers)
	next.DataCentres = map[model.DataCentre]model.Mark{}
	next.InstancesOut = maps.Clone(c.InstancesOut)
	return &next
}

// updater builds the catalog next from the catalog old and the changes.
type updater struct {
	old, next *model.Catalog
	changes   []Change
	found     findings.Findings
}

func (u *updater) report(c Change, format string, args ...any) {
	u.found = append(u.found, findings.Finding{File: "update", Path: c.Key.String(), Message: fmt.Sprintf(format, args...)})
}

func (u *updater) forEachOfKind(kind Kind, each func(c Change)) {
	for _, c := range u.changes {
		if c.Key.Kind == kind {
			each(c)
		}
	}
}

// writableService returns the named service of the next catalog for
// modification. The first call for a service copies it from the old catalog or
// creates it.
func (u *updater) writableService(name string) *model.Service {
	id := model.NewServiceID(name)
	oldService, newService := u.old.Services[id], u.next.Services[id]
	if newService != nil && newService != oldService {
		return newService
	}
	newService = &model.Service{ID: id, Name: name}
	if oldService != nil && oldService.Name != name {
		u.report(Change{Key: Key{Kind: KindService, Name: name}}, "service has the same id hash as %q", oldService.Name)
	}
	if oldService != nil {
		newService.Objective = oldService.Objective
		for _, site := range oldService.Sites {
			newService.Sites = append(newService.Sites, &model.Site{Service: newService, DataCentre: site.DataCentre,
				Address: site.Address, Servers: slices.Clone(site.Servers)})
			u.next.Sites[site.Address] = newService.Sites[len(newService.Sites)-1]
		}
	}
	u.next.Services[id] = newService
	return newService
}

func (u *updater) applyServices() {
	// Removals are applied first because an address may move from one entry to
	// another.
	for _, c := range slices.Backward(u.changes) {
		if c.From != nil {
			u.removeServiceItem(c)
		}
	}
	for _, c := range u.changes {
		if c.To != nil {
			u.addServiceItem(c)
		}
	}
	u.forEachOfKind(KindService, func(c Change) {
		if s := u.next.Services[model.NewServiceID(c.Key.Name)]; c.To == nil && s != nil {
			if len(s.Sites) > 0 {
				u.report(c, "service is removed but still has sites")
			}
			delete(u.next.Services, s.ID)
		}
	})
	for _, site := range u.next.Sites {
		u.next.DataCentres[site.DataCentre] = model.Mark{}
	}
}

// removeServiceItem removes the old value of a site or a server.
func (u *updater) removeServiceItem(c Change) {
	switch c.Key.Kind {
	case KindServer:
		s := u.writableService(c.Key.Name)
		id := model.NewServerID(c.Key.Name, c.Key.Sub)
		delete(u.next.Servers, id)
		for _, site := range s.Sites {
			site.Servers = deleteOrNil(site.Servers, func(b *model.BackendServer) bool { return b.ID == id })
		}
	case KindSite:
		s := u.writableService(c.Key.Name)
		if site := s.SiteOf(model.DataCentre(c.Key.Sub)); site != nil {
			delete(u.next.Sites, site.Address)
			if c.To == nil {
				if len(site.Servers) > 0 {
					u.report(c, "site is removed but still has servers")
				}
				s.Sites = deleteOrNil(s.Sites, func(o *model.Site) bool { return o == site })
			}
		}
	}
}

// deleteOrNil is slices.DeleteFunc, but returns nil for an empty result, as in
// the catalogs of BuildCatalog.
func deleteOrNil[T any](list []T, drop func(T) bool) []T {
	if list = slices.DeleteFunc(list, drop); len(list) == 0 {
		return nil
	}
	return list
}

// addServiceItem applies the new value of a service, a site or a server.
func (u *updater) addServiceItem(c Change) {
	e, ok := c.To.(*pb.ServiceEntry)
	if !ok {
		return
	}
	s := u.writableService(c.Key.Name)
	switch c.Key.Kind {
	case KindService:
		s.Objective = newObjective(e.GetObjective())
	case KindSite:
		u.addSite(c, s, e.GetSites()[0])
	case KindServer:
		u.addServer(c, s, e.GetSites()[0])
	}
}

func (u *updater) addSite(c Change, s *model.Service, e *pb.ServiceSite) {
	address, err := ParseAddress(e.GetAddress())
	if err != nil {
		u.report(c, "%v", err)
		return
	}
	site := s.SiteOf(model.DataCentre(e.GetDataCentre()))
	if site == nil {
		site = &model.Site{Service: s, DataCentre: model.DataCentre(e.GetDataCentre())}
		i, _ := slices.BinarySearchFunc(s.Sites, site, func(a, b *model.Site) int {
			return strings.Compare(string(a.DataCentre), string(b.DataCentre))
		})
		s.Sites = slices.Insert(s.Sites, i, site)
	}
	site.Address = address
	if other := u.next.Sites[address]; other != nil {
		u.report(c, "address %s is already used by service %q", address, other.Service.Name)
	}
	u.next.Sites[address] = site
}

func (u *updater) addServer(c Change, s *model.Service, e *pb.ServiceSite) {
	dc := model.DataCentre(e.GetDataCentre())
	site := s.SiteOf(dc)
	if site == nil {
		u.report(c, "service has no site in data centre %q", dc)
		return
	}
	b := newServer(s, dc, e.GetServers()[0])
	if other := u.next.Servers[b.ID]; other != nil || b.ID == 0 {
		u.report(c, "server has a reserved or duplicate id hash")
		return
	}
	u.next.Servers[b.ID] = b
	i, _ := slices.BinarySearchFunc(site.Servers, b, func(a, b *model.BackendServer) int { return strings.Compare(a.Name, b.Name) })
	site.Servers = slices.Insert(site.Servers, i, b)
}

func (u *updater) applyPlans() {
	replaced := map[*model.Plan]*model.Plan{}
	u.forEachOfKind(KindPlan, func(c Change) {
		oldPlan := u.old.Plans[c.Key.Name]
		delete(u.next.Plans, c.Key.Name)
		var updatedPlan *model.Plan
		if e, ok := c.To.(*pb.PlanEntry); ok {
			updatedPlan = newPlan(e)
			u.next.Plans[c.Key.Name] = updatedPlan
		}
		if oldPlan != nil {
			replaced[oldPlan] = updatedPlan
		}
	})
	if len(replaced) == 0 {
		return
	}
	for name, caller := range u.next.Callers {
		if updatedPlan, ok := replaced[caller.Plan]; ok {
			u.next.Callers[name] = &model.Caller{Name: name, Plan: updatedPlan, Prefixes: caller.Prefixes}
		}
	}
	u.next.IndexCallers()
}

func (u *updater) applyCallers() {
	var removed, added []*model.Caller
	u.forEachOfKind(KindCaller, func(c Change) {
		if oldCaller := u.next.Callers[c.Key.Name]; oldCaller != nil {
			removed = append(removed, oldCaller)
		}
		delete(u.next.Callers, c.Key.Name)
		if e, ok := c.To.(*pb.CallerEntry); ok {
			updatedCaller := newCaller(e, u.next.Plans[e.GetPlan()])
			u.next.Callers[c.Key.Name] = updatedCaller
			added = append(added, updatedCaller)
		}
	})
	if len(removed)+len(added) > 0 {
		u.next.ReindexCallers(removed, added)
	}
}

func (u *updater) applyMarks() {
	for dc, mark := range u.old.DataCentres {
		if mark.Out {
			u.next.DataCentres[dc] = mark
		}
	}
	u.forEachOfKind(KindDataCentreOut, func(c Change) {
		dc := model.DataCentre(c.Key.Name)
		_, known := u.next.DataCentres[dc]
		if c.To != nil {
			u.next.DataCentres[dc] = model.Mark{Out: true}
		} else if known {
			u.next.DataCentres[dc] = model.Mark{}
			if !u.hasSite(dc) {
				delete(u.next.DataCentres, dc)
			}
		}
	})
	u.forEachOfKind(KindInstanceOut, func(c Change) {
		id := model.InstanceID(c.Key.Name)
		delete(u.next.InstancesOut, id)
		if c.To != nil {
			u.next.InstancesOut[id] = true
		}
	})
}

func (u *updater) hasSite(dc model.DataCentre) bool {
	for _, site := range u.next.Sites {
		if site.DataCentre == dc {
			return true
		}
	}
	return false
}
