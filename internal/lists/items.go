package lists

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Kind is the kind of a configuration item.
type Kind int

// The kinds, in the order in which Diff reports them.
const (
	KindService Kind = iota
	KindSite
	KindServer
	KindPlan
	KindCaller
	KindDataCentreOut
	KindInstanceOut
)

var kindNames = [...]string{"service", "site", "server", "plan", "caller", "data centre out", "instance out"}

func (k Kind) String() string { return kindNames[k] }

// Key identifies a configuration item. Two edits are compared item by item.
type Key struct {
	Kind Kind
	// Name is the name of the service, plan, caller, data centre or instance.
	// The items of a service all have the name of the service.
	Name string
	// Sub is the data centre of a site or the name of a server, and empty for
	// the other kinds.
	Sub string
}

func (k Key) String() string {
	switch {
	case k.Kind == KindSite:
		return "site " + k.Name + "@" + k.Sub
	case k.Sub != "":
		return k.Kind.String() + " " + k.Name + "/" + k.Sub
	}
	return k.Kind.String() + " " + k.Name
}

// Compare orders keys by Kind, Name and Sub.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name), cmp.Compare(k.Sub, o.Sub))
}

// Items is content split into items, by key. The value of an item is a CallerEntry for
// a caller, a PlanEntry for a plan, an empty Marks for a mark, and a ServiceEntry
// for the items of a service. That ServiceEntry holds only the objective (never
// nil), only the address of one site, or only one server.
type Items map[Key]proto.Message

// Flatten splits valid content into items. The items share memory with it.
func Flatten(c Content) Items {
	c = c.withDefaults()
	items := make(Items)
	for _, e := range c.Callers.GetCallers() {
		items[Key{KindCaller, e.GetName(), ""}] = e
	}
	for _, e := range c.Plans.GetPlans() {
		items[Key{KindPlan, e.GetName(), ""}] = e
	}
	for _, e := range c.Plans.GetServices() {
		items.addService(e, false)
	}
	for _, dc := range c.Marks.GetDataCentresOut() {
		items[Key{KindDataCentreOut, dc, ""}] = &pb.Marks{}
	}
	for _, id := range c.Marks.GetInstancesOut() {
		items[Key{KindInstanceOut, id, ""}] = &pb.Marks{}
	}
	return items
}

// FlattenPartialServices splits partial services, as stored in shards, into
// items. A partial service without an objective yields no item of KindService.
// A site without an address only gives the data centre of its servers and yields
// no item of KindSite.
func FlattenPartialServices(services []*pb.ServiceEntry) Items {
	items := make(Items)
	for _, e := range services {
		items.addService(e, true)
	}
	return items
}

func (items Items) addService(e *pb.ServiceEntry, partial bool) {
	name := e.GetName()
	if !partial || e.GetObjective() != nil {
		objective := e.GetObjective()
		if objective == nil {
			objective = &pb.Objective{}
		}
		items[Key{KindService, name, ""}] = &pb.ServiceEntry{Name: name, Objective: objective}
	}
	for _, s := range e.GetSites() {
		dc := s.GetDataCentre()
		if !partial || s.GetAddress() != "" {
			items[Key{KindSite, name, dc}] = &pb.ServiceEntry{Name: name,
				Sites: []*pb.ServiceSite{{DataCentre: dc, Address: s.GetAddress()}}}
		}
		for _, server := range s.GetServers() {
			items[Key{KindServer, name, server.GetName()}] = &pb.ServiceEntry{Name: name,
				Sites: []*pb.ServiceSite{{DataCentre: dc, Servers: []*pb.ServerEntry{server}}}}
		}
	}
}

// Keys returns the keys in the order of Key.Compare.
func (items Items) Keys() []Key {
	keys := make([]Key, 0, len(items))
	for k := range items {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}

// Unflatten is the inverse of Flatten; the lists are ordered by name. If the site of
// a server is not among the items, the result has the site without an address,
// which Validate reports.
func Unflatten(items Items) Content {
	c := Content{}.withDefaults()
	services := map[string]*pb.ServiceEntry{}
	for _, k := range items.Keys() {
		switch v := items[k].(type) {
		case *pb.CallerEntry:
			c.Callers.Callers = append(c.Callers.Callers, v)
		case *pb.PlanEntry:
			c.Plans.Plans = append(c.Plans.Plans, v)
		case *pb.ServiceEntry:
			s := services[k.Name]
			if s == nil {
				s = &pb.ServiceEntry{Name: k.Name}
				services[k.Name] = s
				c.Plans.Services = append(c.Plans.Services, s)
			}
			joinService(s, v)
		case *pb.Marks:
			if k.Kind == KindDataCentreOut {
				c.Marks.DataCentresOut = append(c.Marks.DataCentresOut, k.Name)
			} else {
				c.Marks.InstancesOut = append(c.Marks.InstancesOut, k.Name)
			}
		}
	}
	return c
}

// joinService adds the objective, sites and servers of part to s.
func joinService(s, part *pb.ServiceEntry) {
	if part.GetObjective() != nil {
		s.Objective = part.GetObjective()
	}
	for _, site := range part.GetSites() {
		i := slices.IndexFunc(s.Sites, func(o *pb.ServiceSite) bool { return o.GetDataCentre() == site.GetDataCentre() })
		if i < 0 {
			s.Sites = append(s.Sites, &pb.ServiceSite{DataCentre: site.GetDataCentre()})
			i = len(s.Sites) - 1
		}
		if site.GetAddress() != "" {
			s.Sites[i].Address = site.GetAddress()
		}
		s.Sites[i].Servers = append(s.Sites[i].Servers, site.GetServers()...)
	}
}

// Change is the difference of one item between two versions. From is nil if the
// item was added, To if it was removed.
type Change struct {
	Key      Key
	From, To proto.Message
}

// Changes returns the items that differ, in key order.
func Changes(from, to Items) []Change {
	var out []Change
	for k, v := range from {
		if w, ok := to[k]; !ok || !equal(v, w) {
			out = append(out, Change{k, v, to[k]})
		}
	}
	for k, w := range to {
		if _, ok := from[k]; !ok {
			out = append(out, Change{k, nil, w})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return out
}

func equal(a, b proto.Message) bool {
	return a == b || proto.Equal(a, b)
}
