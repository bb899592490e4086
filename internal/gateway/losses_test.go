package gateway

import (
	"fmt"
	"testing"
	"time"

	"cuminshift/internal/reach"
	"cuminshift/internal/registry"
)

func (w *world) noted() int {
	n := 0
	for _, a := range w.actions {
		if _, ok := a.(LossNoted); ok {
			n++
		}
	}
	return n
}

// lose makes the instance find that it does not reach a server.
func (w *world) lose(name string) {
	w.core.backends[w.core.servers.Record(name)].reach.Doubt(w.now)
	w.handle(Probed{Server: name, Result: reach.NoAnswer, PathGood: true})
}

// Another instance that hears of a lost server probes it before any of its own
// callers is sent there in vain.
func TestReportedLossIsProbed(t *testing.T) {
	first, second := newWorld(t, server("i-1", norte), server("i-2", norte)), newWorld(t, server("i-1", norte), server("i-2", norte))
	first.lose("i-1")
	losses, _ := first.core.LossesSince(first.now, 0)
	if first.noted() != 1 || len(losses) != 1 || losses[0].Server != "i-1" {
		t.Fatalf("%d notes, losses %+v", first.noted(), losses)
	}
	second.handle(LossesReported{Losses: losses})
	if n := second.probes(); n != 1 {
		t.Fatalf("%d probes after the report", n)
	}
	second.handle(Probed{Server: "i-1", Result: reach.NoAnswer, PathGood: true})
	for port := uint16(1); port <= 6; port++ {
		if v := second.open(port); v.Server.Name != "i-2" {
			t.Fatalf("opening %d at %s", port, v.Server.Name)
		}
	}
}

// An instance on a bad link must not empty the others' services.
func TestFalseReportCostsAProbe(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	v := w.opened(1)
	w.pass(time.Second)
	w.handle(LossesReported{Losses: []Loss{{Server: "i-1", At: w.now}}})
	if v := w.open(2); v.Kind != Forward {
		t.Fatalf("while it is probed: %s, %s", v.Kind, v.Reason)
	}
	w.handle(Probed{Server: "i-1", Result: reach.Answered})
	if v := w.open(3); v.Kind != Forward {
		t.Fatalf("after it answered: %s, %s", v.Kind, v.Reason)
	}
	if v := w.request(1, v, 1); v.Kind != Forward || len(w.resets()) > 0 {
		t.Fatalf("open flow: %s, %d resets", v.Kind, len(w.resets()))
	}
}

// What the instance saw after the loss was noted outweighs the report.
func TestReportBeforeProgressIsIgnored(t *testing.T) {
	w := newWorld(t, server("i-1", norte))
	at := w.now
	w.pass(50 * time.Millisecond)
	w.opened(1)
	w.handle(LossesReported{Losses: []Loss{{Server: "i-1", At: at}}})
	if w.probes() != 0 {
		t.Error("a server that answered since is probed")
	}
}

func TestReportOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	e := server("i-1", norte)
	e.Incarnation = 5
	w := newWorld(t, e)
	w.handle(LossesReported{Losses: []Loss{{Server: "i-1", Incarnation: 4, At: w.now}}})
	if w.probes() != 0 {
		t.Error("a restarted server is probed for a loss before its start")
	}
}

// Reports pass through the tree of instances in both directions: each instance
// passes one on once.
func TestReportIsPassedOnOnce(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte))
	report := LossesReported{Losses: []Loss{{Server: "i-1", At: w.now}}}
	w.handle(report)
	w.handle(Probed{Server: "i-1", Result: reach.NoAnswer, PathGood: true})
	w.handle(report)
	losses, seq := w.core.LossesSince(w.now, 0)
	if w.noted() != 1 || len(losses) != 1 {
		t.Fatalf("%d notes, losses %+v", w.noted(), losses)
	}
	if again, _ := w.core.LossesSince(w.now, seq); len(again) != 0 {
		t.Fatalf("handed out again: %+v", again)
	}
	w.pass(lossFor + time.Millisecond)
	if old, _ := w.core.LossesSince(w.now, 0); len(old) != 0 {
		t.Fatalf("after %s: %+v", lossFor, old)
	}
}

// An instance that is cut off finds no server reachable; the number of its
// reports is bounded.
func TestReportsAreBounded(t *testing.T) {
	w := newWorld(t)
	all := make([]string, 4*maxLosses)
	for i := range all {
		all[i] = fmt.Sprintf("i-%d", i)
	}
	var report LossesReported
	for _, name := range all {
		report.Losses = append(report.Losses, Loss{Server: name, At: w.now})
	}
	w = newWorld(t, entries(all)...)
	w.handle(report)
	losses, _ := w.core.LossesSince(w.now, 0)
	if len(losses) > maxLosses || w.probes() > maxLosses {
		t.Fatalf("%d losses, %d probes", len(losses), w.probes())
	}
}

func entries(names []string) []registry.Entry {
	var out []registry.Entry
	for _, name := range names {
		out = append(out, server(name, norte))
	}
	return out
}

// A server that drained and left is no loss: the registry says so to all.
func TestDepartedServerIsNotReported(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte), server("i-3", norte))
	for port := uint16(1); port <= 6; port++ {
		w.opened(port)
	}
	w.pass(time.Second)
	draining := server("i-1", norte)
	draining.Draining = true
	w.list(draining, server("i-2", norte), server("i-3", norte))
	w.list(server("i-2", norte), server("i-3", norte))
	before := w.probes()
	if before != 1 {
		t.Fatalf("%d probes of a server that left with flows", before)
	}
	w.handle(Probed{Server: "i-1", Result: reach.Refused})
	if w.noted() != 0 || w.probes() != before {
		t.Errorf("%d losses noted, %d more probes", w.noted(), w.probes()-before)
	}
	w.handle(LossesReported{Losses: []Loss{{Server: "i-1", At: w.now}}})
	if w.probes() != before {
		t.Error("a report of a server that left is probed")
	}
}

// The instance that found the loss has the data centre's other servers probed;
// those that hear of it probe only what is reported.
func TestReportsDoNotMultiply(t *testing.T) {
	w := newWorld(t, server("i-1", norte), server("i-2", norte), server("i-3", norte))
	w.handle(LossesReported{Losses: []Loss{{Server: "i-1", At: w.now}}})
	w.handle(Probed{Server: "i-1", Result: reach.Refused})
	if n := w.probes(); n != 1 {
		t.Errorf("%d probes for one report", n)
	}
}
