package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRegistry replays the entries, outages and lapses in testdata. Commands:
//
//	put at=MS name=N [draining] [incarnation=N] [sequence=N]
//	put-copy at=MS name=N [draining] [incarnation=N] [sequence=N]
//	restored at=MS
//	put-lost at=MS name=N sequence=N
//	lost at=MS
//	remove at=MS name=N
//	list at=MS names=(N,...)
//	call-failed at=MS
//	call-succeeded at=MS
//	tick at=MS
//	accepts-flows at=MS
func TestRegistry(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		g := New()
		entries := map[string]Entry{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int
			d.ScanArgs(t, "at", &ms)
			now := time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
			switch d.Cmd {
			case "restored":
				g.Restored(now)
				return ""
			case "put", "put-copy":
				var e Entry
				d.ScanArgs(t, "name", &e.Name)
				e.Service, e.Slots = "campo", 3
				e.Draining = d.HasArg("draining")
				if d.HasArg("incarnation") {
					d.ScanArgs(t, "incarnation", &e.Incarnation)
				}
				if d.HasArg("sequence") {
					d.ScanArgs(t, "sequence", &e.Sequence)
				}
				if d.Cmd == "put-copy" {
					return format(g.PutCopy(now, e))
				}
				entries[e.Name] = e
				return format(g.Put(now, e))
			case "remove":
				var name string
				d.ScanArgs(t, "name", &name)
				return format(g.Remove(now, name))
			case "list":
				listed := map[string]bool{}
				for _, arg := range d.CmdArgs {
					if arg.Key == "names" {
						for _, name := range arg.Vals {
							listed[name] = true
						}
					}
				}
				var changes []Change
				for _, name := range sorted(listed) {
					changes = append(changes, g.Put(now, entries[name])...)
				}
				return format(append(changes, g.KeepOnly(now, listed)...))
			case "call-failed":
				g.CallFailed(now)
				return ""
			case "call-succeeded":
				g.CallSucceeded(now)
				return ""
			case "put-lost":
				var e Entry
				d.ScanArgs(t, "name", &e.Name)
				d.ScanArgs(t, "sequence", &e.Sequence)
				e.Service, e.Slots, e.Draining = "campo", 3, true
				return format(g.PutLost(now, e))
			case "lost":
				var out []string
				for _, e := range g.Lost() {
					out = append(out, e.Name)
				}
				return strings.Join(out, " ")
			case "tick":
				return format(g.Tick(now))
			case "accepts-flows":
				var out []string
				for _, name := range g.sortedNames() {
					if g.records[name].AcceptsFlows(now) {
						out = append(out, name)
					}
				}
				return strings.Join(out, " ")
			}
			return fmt.Sprintf("unknown command %s", d.Cmd)
		})
	})
}

func sorted(set map[string]bool) []string {
	g := New()
	for name := range set {
		g.records[name] = nil
	}
	return g.sortedNames()
}

func format(changes []Change) string {
	var out []string
	for _, c := range changes {
		out = append(out, c.Record.Name+" "+c.Kind.String())
	}
	return strings.Join(out, "\n")
}
