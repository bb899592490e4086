package lists

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// mutateRandomly makes a random change to content; the result may be invalid.
func mutateRandomly(t *rapid.T, c Content) Content {
	n := func(limit int, what string) int { return rapid.IntRange(0, limit-1).Draw(t, what) }
	address := func() string { return fmt.Sprintf("127.0.%d.%d:9000", n(4, "net"), 1+n(6, "host")) }
	c = Content{Callers: proto.CloneOf(c.Callers), Plans: proto.CloneOf(c.Plans), Marks: proto.CloneOf(c.Marks)}
	items := Flatten(c)
	switch key := (Key{Kind: Kind(n(7, "kind"))}); key.Kind {
	case KindService:
		key.Name = []string{"a", "b"}[n(2, "service")]
		items[key] = &pb.ServiceEntry{Name: key.Name, Objective: &pb.Objective{RefusedPpm: uint32(n(3, "objective"))}}
		if rapid.Bool().Draw(t, "remove service") {
			for k := range items {
				if k.Kind <= KindServer && k.Name == key.Name {
					delete(items, k)
				}
			}
		}
	case KindSite:
		key.Name, key.Sub = []string{"a", "b"}[n(2, "service")], []string{"x", "y"}[n(2, "centre")]
		items[Key{KindService, key.Name, ""}] = &pb.ServiceEntry{Name: key.Name, Objective: &pb.Objective{}}
		items[key] = &pb.ServiceEntry{Name: key.Name, Sites: []*pb.ServiceSite{{DataCentre: key.Sub, Address: address()}}}
	case KindServer:
		key.Name, key.Sub = []string{"a", "b"}[n(2, "service")], fmt.Sprintf("s%d", n(4, "server"))
		dc := []string{"x", "y"}[n(2, "centre")]
		if items[Key{KindSite, key.Name, dc}] == nil || rapid.Bool().Draw(t, "remove server") {
			delete(items, key)
			break
		}
		items[key] = &pb.ServiceEntry{Name: key.Name, Sites: []*pb.ServiceSite{{DataCentre: dc, Servers: []*pb.ServerEntry{{
			Name: key.Sub, Address: address(), Health: address(), Slots: uint32(1 + n(3, "slots")), Connections: 9,
			ColdSlots: uint32(1 + n(2, "cold")), ColdOpeningsPerSecond: 1}}}}}
	case KindPlan:
		key.Name = []string{"p", "q"}[n(2, "plan")]
		items[key] = &pb.PlanEntry{Name: key.Name, Uses: []*pb.PlanUse{{Service: []string{"a", "b"}[n(2, "service")], ConcurrentFlows: uint32(n(3, "flows"))}}}
		if rapid.Bool().Draw(t, "remove plan") {
			delete(items, key)
		}
	case KindCaller:
		key.Name = fmt.Sprintf("c%d", n(3, "caller"))
		items[key] = &pb.CallerEntry{Name: key.Name, Plan: []string{"p", "q"}[n(2, "plan")],
			Prefixes: []string{fmt.Sprintf("10.%d.0.0/%d", n(4, "prefix")*64, 10+6*n(2, "bits"))}}
		if rapid.Bool().Draw(t, "remove caller") {
			delete(items, key)
		}
	default:
		key.Name = []string{"x", "y", "z"}[n(3, "mark")]
		if items[key] != nil {
			delete(items, key)
		} else {
			items[key] = &pb.Marks{}
		}
	}
	return Unflatten(items)
}

// Guards against an instance whose catalog differs from the published version
// because UpdateCatalog produced it and not BuildCatalog.
func TestUpdateCatalogMatchesBuildCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := Content{}.withDefaults()
		cat, _ := BuildCatalog(0, from.Callers, from.Plans, from.Marks)
		for version := range uint64(rapid.IntRange(5, 60).Draw(t, "versions")) {
			to := from
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				to = mutateRandomly(t, to)
			}
			changes := Changes(Flatten(from), Flatten(to))
			want, wantFound := BuildCatalog(version, to.Callers, to.Plans, to.Marks)
			got, gotFound := UpdateCatalog(cat, version, changes)
			if (len(wantFound) == 0) != (len(gotFound) == 0) {
				t.Fatalf("%q\nfindings of BuildCatalog: %v\nfindings of UpdateCatalog: %v", Describe(changes), wantFound, gotFound)
			}
			if len(wantFound) > 0 {
				continue
			}
			if diff := catalogDifference(got, want); diff != "" {
				t.Fatalf("%q\n%s", Describe(changes), diff)
			}
			from, cat = to, got
		}
	})
}

// catalogDifference describes the first difference between two catalogs; it is
// empty if they are equal.
func catalogDifference(got, want *model.Catalog) string {
	g, w := reflect.ValueOf(got).Elem(), reflect.ValueOf(want).Elem()
	for i := range g.NumField() {
		if f := g.Type().Field(i); f.IsExported() && !reflect.DeepEqual(g.Field(i).Interface(), w.Field(i).Interface()) {
			return fmt.Sprintf("%s: %+v, want %+v", f.Name, g.Field(i), w.Field(i))
		}
	}
	for i := range 256 {
		addr := netip.AddrFrom4([4]byte{10, byte(i), 0, 1})
		a, b := got.CallerOf(addr), want.CallerOf(addr)
		if (a == nil) != (b == nil) || a != nil && (a != got.Callers[b.Name] || a.Plan != got.Plans[b.Plan.Name]) {
			return fmt.Sprintf("caller of %s: %v, want %v", addr, a, b)
		}
	}
	return ""
}
