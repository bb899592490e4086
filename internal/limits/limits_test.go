package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// cluster is a set of instances whose messages are delivered without delay.
type cluster struct {
	instances map[model.InstanceID]*Limits
	use       model.PlanUse
}

func instanceIDs(n int) []model.InstanceID {
	var out []model.InstanceID
	for i := 0; i < n; i++ {
		out = append(out, model.InstanceID(fmt.Sprintf("entry-%d", i)))
	}
	return out
}

// newCluster returns n instances that started more than ShareIncreaseDelay ago.
func newCluster(n int, use model.PlanUse) (*cluster, []model.InstanceID) {
	cl := &cluster{map[model.InstanceID]*Limits{}, use}
	ids := instanceIDs(n)
	for _, id := range ids {
		cl.add(epoch.Add(-time.Hour), id, ids)
	}
	return cl, ids
}

func (cl *cluster) add(now time.Time, id model.InstanceID, ids []model.InstanceID) *Limits {
	l := New(Config{Self: id}, 0)
	l.SetInstances(now, ids)
	cl.instances[id] = l
	return l
}

func (cl *cluster) lookup(string, model.ServiceID) (model.PlanUse, bool) { return cl.use, true }

// deliver delivers the messages and all replies, and returns the resolved decisions.
func (cl *cluster) deliver(now time.Time, from model.InstanceID, messages []peer.Message) []Resolved {
	var out []Resolved
	for _, m := range messages {
		to := cl.instances[m.To]
		if to == nil {
			continue
		}
		replies, resolved := to.HandlePeer(now, from, m.Body, cl.lookup)
		out = append(append(out, resolved...), cl.deliver(now, m.To, replies)...)
	}
	return out
}

// start starts a request at the instance and reports whether it is allowed.
func (cl *cluster) start(now time.Time, id model.InstanceID) bool {
	d := cl.instances[id].StartRequest(now, "field", 1, cl.use)
	if d.Verdict != Pending {
		return d.Verdict == Allowed
	}
	resolved := cl.deliver(now, id, []peer.Message{d.Message})
	return len(resolved) == 1 && resolved[0].ID == d.ID && resolved[0].Allowed
}

func (cl *cluster) end(now time.Time, id model.InstanceID) {
	cl.deliver(now, id, cl.instances[id].EndRequest(now, "field", 1))
}

// Guards against exceeding a concurrency limit in the sum over all instances, and
// against refusing everything at instances without a share.
func TestConcurrencySum(t *testing.T) {
	for _, c := range []struct{ instances, limit int }{{4, 8}, {4, 10}, {4, 3}, {12, 5}, {1, 2}, {5, 1}} {
		cl, ids := newCluster(c.instances, model.PlanUse{ConcurrentRequests: c.limit})
		started := map[model.InstanceID]int{}
		total := 0
		for round := 0; round < c.limit+1; round++ {
			for _, id := range ids {
				if cl.start(at(0), id) {
					started[id]++
					total++
				}
			}
		}
		if total != c.limit {
			t.Errorf("%d instances, limit %d: %d concurrent requests, want the limit", c.instances, c.limit, total)
		}
		for id, n := range started {
			for ; n > 0; n-- {
				cl.end(at(10), id)
			}
		}
		// Only one instance has callers now. It uses its own share, or borrows a
		// unit if it has none.
		if !cl.start(at(20), ids[0]) {
			t.Errorf("%d instances, limit %d: refused although nothing is in use", c.instances, c.limit)
		}
	}
}

// Guards against exceeding a rate limit in the sum over all instances.
func TestRateSum(t *testing.T) {
	for _, c := range []struct{ instances, limit int }{{4, 100}, {4, 2}, {12, 5}, {3, 10}} {
		cl, ids := newCluster(c.instances, model.PlanUse{RequestsPerSecond: c.limit})
		const seconds = 20
		allowed := 0
		for ms := 0; ms < seconds*1000; ms += 5 {
			for _, id := range ids {
				if cl.start(at(ms), id) {
					allowed++
				}
			}
		}
		// Each instance may use its burst once.
		maxAllowed := c.limit*seconds + max(c.instances, c.limit/10)
		if allowed > maxAllowed || allowed < c.limit*(seconds-1) {
			t.Errorf("%d instances, limit %d/s: %d requests allowed in %d s", c.instances, c.limit, allowed, seconds)
		}
	}
}

// Guards against shares whose sum exceeds the limit while the instances have
// different instance lists or different versions of the plan.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instanceIDs(8)
		cl := &cluster{instances: map[model.InstanceID]*Limits{}}
		limits := []int{rapid.IntRange(1, 20).Draw(t, "limit")}
		knownVersion := map[model.InstanceID]int{}
		live := all[:rapid.IntRange(1, 8).Draw(t, "live")]
		for _, id := range live {
			cl.add(epoch.Add(-time.Hour), id, live)
		}
		now := epoch
		for step := 0; step < 30; step++ {
			// Each step makes one change, which reaches all instances within
			// ShareIncreaseDelay.
			n := rapid.IntRange(1, 8).Draw(t, "n")
			if rapid.Bool().Draw(t, "edit") {
				limits = append(limits, rapid.IntRange(1, 20).Draw(t, "limit"))
			} else {
				live = all[:n]
			}
			delays := map[model.InstanceID]int{}
			for _, id := range live {
				delays[id] = rapid.IntRange(0, 2900).Draw(t, "delay")
			}
			for ms := 0; ms < 3000; ms += 100 {
				sum, count := 0.0, 0
				for _, id := range all {
					if len(live) > 0 && !slices.Contains(live, id) {
						delete(cl.instances, id)
						continue
					}
					if delays[id] <= ms {
						if cl.instances[id] == nil {
							cl.add(now, id, live)
						}
						cl.instances[id].SetInstances(now, live)
						knownVersion[id] = len(limits) - 1
					}
					if l := cl.instances[id]; l != nil {
						limit := limits[knownVersion[id]]
						s := l.state(now, key{"field", 1, requests}, limit, limit)
						sum += s.rateShare
						count += s.concurrencyShare
					}
				}
				maxLimit := 0
				for _, v := range limits[max(0, len(limits)-2):] {
					maxLimit = max(maxLimit, v)
				}
				if sum > float64(maxLimit)+1e-9 || count > maxLimit {
					t.Fatalf("sum of the shares is %v/s and %d, want at most %d", sum, count, maxLimit)
				}
				now = now.Add(100 * time.Millisecond)
			}
		}
	})
}

// Guards against applying a plan edit only to new callers.
func TestPlanEdit(t *testing.T) {
	l := New(Config{Self: "a"}, 0)
	l.SetInstances(epoch.Add(-time.Hour), []model.InstanceID{"a"})
	open := func(limit int) Verdict {
		return l.Open(at(0), "field", 1, model.PlanUse{ConcurrentFlows: limit}).Verdict
	}
	for i, c := range []struct {
		limit int
		want  Verdict
	}{{2, Allowed}, {2, Allowed}, {2, Refused}, {3, Allowed}, {1, Refused}, {0, Allowed}} {
		if got := open(c.limit); got != c.want {
			t.Errorf("opening %d with limit %d: verdict %d, want %d", i, c.limit, got, c.want)
		}
	}
	// Flows above a lowered limit stay open; new ones are refused until enough
	// flows have ended. The flow that was opened without a limit does not count.
	for i := 0; i < 2; i++ {
		l.CloseFlow(at(1), "field", 1)
	}
	if open(1) != Refused {
		t.Error("opening allowed above the lowered limit")
	}
	l.CloseFlow(at(2), "field", 1)
	if open(1) != Allowed {
		t.Error("opening refused below the lowered limit")
	}
}

// Guards against not counting flows that are open above a lowered limit.
func TestFlowsAboveLimit(t *testing.T) {
	l := New(Config{Self: "a"}, 0)
	l.SetInstances(epoch.Add(-time.Hour), []model.InstanceID{"a"})
	for range 2 {
		if d := l.Open(at(0), "field", 1, model.PlanUse{ConcurrentFlows: 2}); d.Verdict != Allowed {
			t.Fatalf("verdict %d below the limit, want allowed", d.Verdict)
		}
	}
	for i, want := range []Verdict{Refused, Refused, Allowed} {
		if d := l.Open(at(0), "field", 1, model.PlanUse{ConcurrentFlows: 1}); d.Verdict != want {
			t.Errorf("opening %d: verdict %d, want %d", i, d.Verdict, want)
		}
		l.CloseFlow(at(1), "field", 1)
	}
}

// Guards against counting flows and requests whose end nobody reports: those that
// start while the plan sets no concurrency limit. A limit that is set later would
// refuse everything.
func TestUnlimitedStartsAreNotCounted(t *testing.T) {
	l := New(Config{Self: "a"}, 0)
	l.SetInstances(epoch.Add(-time.Hour), []model.InstanceID{"a"})
	for range 3 {
		l.Open(at(0), "field", 1, model.PlanUse{OpeningsPerSecond: 100})
		l.StartRequest(at(0), "field", 1, model.PlanUse{})
	}
	if d := l.Open(at(1), "field", 1, model.PlanUse{ConcurrentFlows: 1}); d.Verdict != Allowed {
		t.Errorf("opening: verdict %d under a new limit of 1, want allowed", d.Verdict)
	}
	if d := l.StartRequest(at(1), "field", 1, model.PlanUse{ConcurrentRequests: 1}); d.Verdict != Allowed {
		t.Errorf("request: verdict %d under a new limit of 1, want allowed", d.Verdict)
	}
	if n := l.InUse(); n != 2 {
		t.Errorf("%d units in use, want 2", n)
	}
}

// Guards against borrowed units of a rate limit that stay lent for ever, also when
// the lender already has a configuration with a concurrency limit.
func TestUnitsOfRateLimitAreNotLent(t *testing.T) {
	for _, lenderUse := range []model.PlanUse{{RequestsPerSecond: 1}, {RequestsPerSecond: 1, ConcurrentRequests: 1}} {
		cl, ids := newCluster(2, model.PlanUse{RequestsPerSecond: 1})
		lender, borrower := ids[0], ids[1]
		if shareHolders(ids, key{"field", 1, requests}, 1)[0] != lender {
			lender, borrower = borrower, lender
		}
		use := cl.use
		cl.use = lenderUse
		d := cl.instances[borrower].StartRequest(at(0), "field", 1, use)
		if d.Verdict != Pending {
			t.Fatalf("verdict %d without a share, want pending", d.Verdict)
		}
		cl.deliver(at(0), borrower, []peer.Message{d.Message})
		for _, id := range ids {
			if n := cl.instances[id].InUse(); n != 0 {
				t.Errorf("lender with %+v: %d units in use at %s, want 0", lenderUse, n, id)
			}
			if n := len(cl.instances[id].lent[borrower]); n != 0 {
				t.Errorf("lender with %+v: %d units lent by %s, want 0", lenderUse, n, id)
			}
		}
	}
}

// Guards against units that stay lent when a reply or a release is lost, when a
// release arrives before its request, or when the borrower has left.
func TestLentUnitsReturn(t *testing.T) {
	cl, ids := newCluster(2, model.PlanUse{ConcurrentRequests: 1})
	k := key{"field", 1, requests}
	lender, borrower := ids[0], ids[1]
	if shareHolders(ids, k, 1)[0] != lender {
		lender, borrower = borrower, lender
	}
	b, l := cl.instances[borrower], cl.instances[lender]
	want := func(what string, n int) {
		t.Helper()
		if got := l.state(at(0), k, 0, 1).inUse; got != n {
			t.Fatalf("%s: %d units in use, want %d", what, got, n)
		}
	}
	tick := func(ms int) []peer.Message {
		messages, _ := b.Tick(at(ms))
		return messages
	}
	d := b.StartRequest(at(0), "field", 1, cl.use)
	l.HandlePeer(at(0), borrower, d.Message.Body, cl.lookup)
	want("reply lost", 1)
	if _, resolved := b.Tick(at(300)); len(resolved) != 1 || resolved[0].Allowed {
		t.Fatalf("resolved %v, want one refusal", resolved)
	}
	cl.deliver(at(1400), borrower, tick(1400))
	want("release lost and repeated", 0)
	if m := tick(9000); len(m) != 0 {
		t.Errorf("messages %v after the release was confirmed, want none", m)
	}
	d = b.StartRequest(at(9000), "field", 1, cl.use)
	cl.deliver(at(9300), borrower, tick(9300))
	cl.deliver(at(9301), borrower, []peer.Message{d.Message})
	want("release before its request", 0)
	if !cl.start(at(9400), borrower) {
		t.Fatal("request refused although the unit was returned")
	}
	want("lent again", 1)
	l.SetInstances(at(9500), []model.InstanceID{lender})
	want("borrower gone", 0)
}

// Guards against memory that grows with every caller that was ever seen, and
// against allowing everything before the instances are known.
func TestIdleCallersAreDropped(t *testing.T) {
	l := New(Config{Self: "a"}, 0)
	if d := l.StartRequest(at(0), "field", 1, model.PlanUse{RequestsPerSecond: 1}); d.Verdict != Refused {
		t.Errorf("verdict %d without an instance list, want refusal", d.Verdict)
	}
	if m, r := l.HandlePeer(at(0), "b", &pb.PeerMessage{}, nil); m != nil || r != nil {
		t.Errorf("got %v and %v for an empty message", m, r)
	}
	l.SetInstances(epoch.Add(-time.Hour), []model.InstanceID{"a"})
	for i := 0; i < 500; i++ {
		l.Open(at(0), fmt.Sprint(i), 1, model.PlanUse{OpeningsPerSecond: 10, ConcurrentFlows: 10})
		if i > 0 {
			l.CloseFlow(at(0), fmt.Sprint(i), 1)
		}
	}
	l.Tick(at(61_000))
	if l.Len() != 1 {
		t.Errorf("%d states after IdleTimeout, want 1 for the caller with an open flow", l.Len())
	}
}

func BenchmarkOpenClose(b *testing.B) {
	l := New(Config{Self: "entry-0"}, 0)
	l.SetInstances(epoch.Add(-time.Hour), instanceIDs(4))
	use := model.PlanUse{OpeningsPerSecond: 1 << 30, ConcurrentFlows: 1000}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		l.Open(epoch, "field", 1, use)
		l.CloseFlow(epoch, "field", 1)
	}
}
