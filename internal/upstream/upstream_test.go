package upstream

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

var start = time.Unix(1000, 0)

func instance(name string, place Place) Instance {
	return Instance{Name: model.InstanceID(name), DataCentre: "norte", Place: place,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(place))}
}

func TestFollowsTheFirstThatAnswers(t *testing.T) {
	var u Selector
	other := instance("x", 10)
	other.DataCentre = "sur"
	u.Register(instance("c", 9), []Instance{instance("d", 12), instance("b", 5), other, instance("a", 3), instance("c", 9)})
	if i, ok := u.Next(start); !ok || i.Name != "a" {
		t.Fatalf("%+v", i)
	}
	u.RecordFailure(start, instance("a", 3))
	if i, _ := u.Next(start); i.Name != "b" {
		t.Fatalf("after a failed: %+v", i)
	}
	u.RecordRefusal(start, instance("b", 5))
	if _, ok := u.Next(start); ok {
		t.Fatal("somebody to follow though one is silent and one refuses")
	}
	if i, _ := u.Next(start.Add(failureBackoff)); i.Name != "a" {
		t.Fatalf("later: %+v", i)
	}
}

// The first instance of a data centre follows one of another data centre; the
// rest stay within.
func TestOwnDataCentreFirst(t *testing.T) {
	other := instance("x", 1)
	other.DataCentre = "sur"
	var first, second Selector
	first.Register(instance("a", 3), []Instance{other})
	if i, _ := first.Next(start); i.Name != "x" {
		t.Errorf("the first follows %+v", i)
	}
	second.Register(instance("b", 5), []Instance{other, instance("a", 3)})
	if i, _ := second.Next(start); i.Name != "a" {
		t.Errorf("the second follows %+v", i)
	}
	second.RecordFailure(start, instance("a", 3))
	if i, _ := second.Next(start); i.Name != "x" {
		t.Errorf("without the first, the second follows %+v", i)
	}
}

func TestWideLinksFirst(t *testing.T) {
	var u Selector
	wide := instance("w", 8)
	wide.Bandwidth = 200
	u.Register(instance("c", 9), []Instance{instance("a", 3), wide})
	if i, _ := u.Next(start); i.Name != "w" {
		t.Fatalf("%+v", i)
	}
}

// In a large data centre nobody is followed by more than FanOut others, and all
// are a few steps from the first one.
func TestInstancesFormATree(t *testing.T) {
	const n = 750
	var all []Instance
	followers, depth := map[model.InstanceID]int{}, map[model.InstanceID]int{}
	for p := Place(1); p <= n; p++ {
		self := instance(fmt.Sprint(p), p)
		all = append(all, self)
		var u Selector
		u.Register(self, all)
		if len(u.candidates) > 10 {
			t.Fatalf("instance %d has %d candidates", p, len(u.candidates))
		}
		if i, ok := u.Next(start); ok {
			followers[i.Name]++
			depth[self.Name] = depth[i.Name] + 1
		}
	}
	for name, n := range followers {
		if n > FanOut {
			t.Errorf("instance %s has %d followers", name, n)
		}
	}
	if last := depth[all[n-1].Name]; last > 4 {
		t.Errorf("the last one is %d steps from the first", last)
	}
}

// The parent is lost: its parent is followed.
func TestFollowsTheParentsParent(t *testing.T) {
	var all []Instance
	for p := Place(1); p <= 60; p++ {
		all = append(all, instance(fmt.Sprint(p), p))
	}
	var u Selector
	u.Register(all[59], all)
	parent, _ := u.Next(start)
	u.RecordFailure(start, parent)
	grand, _ := u.Next(start)
	u.RecordFailure(start, grand)
	root, _ := u.Next(start)
	if parent.Place != 9 || grand.Place != 2 || root.Place != 1 {
		t.Fatalf("%d, %d, %d", parent.Place, grand.Place, root.Place)
	}
}

// An instance that has registered anew is behind its former followers.
func TestRestartedInstanceIsNotFollowed(t *testing.T) {
	var u Selector
	u.Register(instance("b", 5), []Instance{instance("a", 3)})
	if u.RecordAnswer(start, instance("a", 3), 17, [source.NumKinds]time.Duration{}) {
		t.Fatal("followed though it registered later")
	}
	if _, ok := u.Next(start); ok {
		t.Fatal("asked again")
	}
}

// An instance that cannot register follows a seed, whatever its place; once it
// is registered the seeds no longer count.
func TestSeeds(t *testing.T) {
	var u Selector
	self := netip.MustParseAddrPort("10.0.0.9:7720")
	seed := netip.MustParseAddrPort("10.0.0.1:7720")
	u.AddSeed(self, self)
	u.AddSeed(self, seed)
	u.AddSeed(self, seed)
	i, ok := u.Next(start)
	if !ok || i.Address != seed || u.Registered() {
		t.Fatalf("%+v, %t", i, ok)
	}
	if !u.RecordAnswer(start, i, 77, [source.NumKinds]time.Duration{}) {
		t.Fatal("a seed that answers is not followed")
	}
	u.Register(instance("b", 80), nil)
	u.AddSeed(self, seed)
	if _, ok := u.Next(start); ok {
		t.Fatal("a registered instance follows a seed")
	}
}

func TestCoverEndsWithTheAge(t *testing.T) {
	var u Selector
	u.Register(instance("b", 5), []Instance{instance("a", 3)})
	if !u.FreshUntil(source.Registry, time.Second).IsZero() {
		t.Fatal("covered before any answer")
	}
	u.RecordAnswer(start, instance("a", 3), 3, [source.NumKinds]time.Duration{source.Registry: 400 * time.Millisecond})
	if got := u.FreshUntil(source.Registry, time.Second); !got.Equal(start.Add(600 * time.Millisecond)) {
		t.Fatalf("covered for %s", got.Sub(start))
	}
}

func TestDeadRegistrationIsRemovedLate(t *testing.T) {
	var u Selector
	u.Register(instance("b", 5), []Instance{instance("a", 3)})
	now := start
	for ; now.Before(start.Add(registrationTimeout)); now = now.Add(time.Minute) {
		if u.RecordFailure(now, instance("a", 3)) {
			t.Fatalf("removed after %s", now.Sub(start))
		}
	}
	if !u.RecordFailure(now, instance("a", 3)) {
		t.Fatal("not removed")
	}
}

// Whatever restarts and whoever knows whom, nobody follows in a circle.
func TestNobodyFollowsInACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		var all [n]Instance
		var ups [n]Selector
		next := Place(0)
		register := func(i int) {
			next++
			all[i] = instance(fmt.Sprint(i), next)
			all[i].Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
			all[i].Bandwidth = i % 2 * 100
			all[i].DataCentre = model.DataCentre(fmt.Sprint(i % 3))
			var known []Instance
			for _, other := range all {
				if other.Name != "" {
					known = append(known, other)
				}
			}
			ups[i].Register(all[i], known)
		}
		for i := range n {
			register(i)
		}
		follows := [n]int{}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 2*n-1), 1, 60).Draw(t, "steps") {
			if step >= n {
				register(step - n)
			}
			for i := range n {
				follows[i] = -1
				for {
					up, ok := ups[i].Next(start)
					if !ok {
						break
					}
					var other int
					fmt.Sscan(string(up.Name), &other)
					if ups[i].RecordAnswer(start, up, all[other].Place, [source.NumKinds]time.Duration{}) {
						follows[i] = other
						break
					}
				}
			}
			for i := range n {
				at := i
				for hops := 0; at >= 0; hops++ {
					if hops > n {
						t.Fatalf("a circle from %d: %v", i, follows)
					}
					at = follows[at]
				}
			}
		}
	})
}
