package lists

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/yamlsource"
)

// Guards against errors in the lists that are not reported, that prevent the
// report of other errors, or that are reported at the wrong position.
func TestValidateFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, td *datadriven.TestData) string {
		parts := append(strings.SplitN(td.Input, "\n---\n", 3), "", "")
		callers, found := ParseCallers("callers.yaml", []byte(parts[0]))
		plans, more := ParsePlans("plans.yaml", []byte(parts[1]))
		marks := &pb.Marks{}
		_, marksFound := yamlsource.ParseYAML("marks.yaml", []byte(parts[2]), marks)
		found = slices.Concat(found, more, marksFound)

		c := newChecker(callers, plans, marks)
		c.hashServer = func(service, server string) model.ServerID {
			name := service + "/" + server
			switch arg, _ := td.Arg("zero"); {
			case slices.Contains(arg.Vals, name):
				return 0
			}
			if arg, ok := td.Arg("collide"); ok && slices.Contains(arg.Vals, name) {
				return 42
			}
			return model.NewServerID(service, server)
		}
		c.checkAll()
		c.checkMarkedDataCentres()
		found = append(found, c.found...)
		found.Sort()
		return found.String()
	})
}

func sampleContent() Content {
	return Content{
		Callers: &pb.CallerList{Callers: []*pb.CallerEntry{{Name: "north", Plan: "gold", Prefixes: []string{"10.0.0.0/8"}}}},
		Plans: &pb.PlanList{
			Plans: []*pb.PlanEntry{{Name: "gold", Uses: []*pb.PlanUse{{Service: "campo", RequestsPerSecond: 100, Priority: 2}}}},
			Services: []*pb.ServiceEntry{{Name: "campo", Objective: &pb.Objective{LatePpm: 5, LateMs: 20}, Sites: []*pb.ServiceSite{
				{DataCentre: "norte", Address: "127.0.1.1:9000", Servers: []*pb.ServerEntry{{Name: "s1", Address: "127.0.2.1:9000",
					Slots: 3, Connections: 2000, ColdSlots: 1, ColdOpeningsPerSecond: 10}}},
				{DataCentre: "sur", Address: "127.0.1.2:9000"}}}},
		},
		Marks: &pb.Marks{DataCentresOut: []string{"sur"}, InstancesOut: []string{"e1"}},
	}
}

// Guards against entries of the lists that are missing in the catalog.
func TestBuildCatalog(t *testing.T) {
	c := sampleContent()
	cat, found := BuildCatalog(7, c.Callers, c.Plans, c.Marks)
	if len(found) > 0 {
		t.Fatal(found)
	}
	campo := model.NewServiceID("campo")
	use, ok := cat.AllowedUse(cat.CallerOf(netip.MustParseAddr("10.1.1.1")), campo)
	if !ok || use.RequestsPerSecond != 100 || use.Priority != 2 {
		t.Errorf("use %+v, %v", use, ok)
	}
	server := cat.Servers[model.NewServerID("campo", "s1")]
	site := cat.Sites[netip.MustParseAddrPort("127.0.1.1:9000")]
	if server == nil || site == nil || site.Servers[0] != server || server.Slots != 3 || server.DataCentre != "norte" {
		t.Errorf("server %+v, site %+v", server, site)
	}
	if !cat.DataCentres["sur"].Out || cat.DataCentres["norte"].Out || !cat.InstancesOut["e1"] {
		t.Errorf("marks %v %v", cat.DataCentres, cat.InstancesOut)
	}
	c.Plans.Services[0].Sites[1].Address = "127.0.1.1:9000"
	if cat, found := BuildCatalog(8, c.Callers, c.Plans, c.Marks); cat != nil || len(found) != 1 {
		t.Errorf("invalid content gives %v, %v", cat, found)
	}
}

// Guards against a rebase or a shard that drops or changes an entry.
func TestUnflattenInvertsFlatten(t *testing.T) {
	c := sampleContent()
	if changes := Diff(c, Unflatten(Flatten(c))); len(changes) > 0 {
		t.Errorf("changed: %q", changes)
	}
}

// Guards against changes that are missing in the description of an edit.
func TestDiff(t *testing.T) {
	from, to := sampleContent(), sampleContent()
	to.Callers.Callers[0].Plan = "silver"
	to.Callers.Callers = append(to.Callers.Callers, &pb.CallerEntry{Name: "south", Plan: "gold", Prefixes: []string{"11.0.0.0/8"}})
	to.Plans.Plans[0].Uses = append(to.Plans.Plans[0].Uses, &pb.PlanUse{Service: "ordenes", ConcurrentFlows: 4})
	to.Plans.Plans[0].Uses[0].RequestsPerSecond = 0
	to.Plans.Services[0].Objective.LateMs = 30
	to.Plans.Services[0].Sites[0].Servers[0].Drain = true
	to.Plans.Services[0].Sites = to.Plans.Services[0].Sites[:1]
	to.Marks.DataCentresOut = []string{"norte"}
	want := []string{
		"~ service campo: late_ms 20 -> 30",
		"- site campo@sur",
		"~ server campo/s1: drain true",
		"~ plan gold: uses campo: requests_per_second 100 -> 0, uses +ordenes concurrent_flows 4",
		"~ caller north: plan gold -> silver",
		"+ caller south: plan gold, prefixes +11.0.0.0/8",
		"data centre norte: marked out",
		"data centre sur: marked in",
	}
	if got := Diff(from, to); !slices.Equal(got, want) {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
}
