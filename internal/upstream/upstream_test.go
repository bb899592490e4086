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

func TestSelectsFirstResponsiveInstance(t *testing.T) {
	var s Selector
	other := instance("x", 10)
	other.DataCentre = "sur"
	s.Register(instance("c", 9), []Instance{instance("d", 12), instance("b", 5), other, instance("a", 3), instance("c", 9)})
	if i, ok := s.Next(start); !ok || i.Name != "a" {
		t.Fatalf("first candidate: %+v", i)
	}
	s.RecordFailure(start, instance("a", 3))
	if i, _ := s.Next(start); i.Name != "b" {
		t.Fatalf("after a failed: %+v", i)
	}
	s.RecordRefusal(start, instance("b", 5))
	if _, ok := s.Next(start); ok {
		t.Fatal("an instance is selected though one failed and the other refused")
	}
	if i, _ := s.Next(start.Add(failureBackoff)); i.Name != "a" {
		t.Fatalf("after the backoff of a: %+v", i)
	}
}

// The first instance of a data centre follows one of another data centre; the
// others follow an instance of their own.
func TestPrefersOwnDataCentre(t *testing.T) {
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

func TestPrefersWiderLinks(t *testing.T) {
	var s Selector
	wide := instance("w", 8)
	wide.Bandwidth = 200
	s.Register(instance("c", 9), []Instance{instance("a", 3), wide})
	if i, _ := s.Next(start); i.Name != "w" {
		t.Fatalf("follows %+v", i)
	}
}

// In a large data centre no instance has more than FanOut followers, and the
// tree is at most 4 levels deep.
func TestInstancesFormTree(t *testing.T) {
	const n = 750
	var all []Instance
	followers, depth := map[model.InstanceID]int{}, map[model.InstanceID]int{}
	for p := Place(1); p <= n; p++ {
		self := instance(fmt.Sprint(p), p)
		all = append(all, self)
		var s Selector
		s.Register(self, all)
		if len(s.candidates) > 10 {
			t.Fatalf("instance %d has %d candidates", p, len(s.candidates))
		}
		if i, ok := s.Next(start); ok {
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
		t.Errorf("the last instance is at depth %d", last)
	}
}

// When the parent fails, the instance follows its grandparent.
func TestFollowsGrandparentWhenParentFails(t *testing.T) {
	var all []Instance
	for p := Place(1); p <= 60; p++ {
		all = append(all, instance(fmt.Sprint(p), p))
	}
	var s Selector
	s.Register(all[59], all)
	parent, _ := s.Next(start)
	s.RecordFailure(start, parent)
	grandparent, _ := s.Next(start)
	s.RecordFailure(start, grandparent)
	root, _ := s.Next(start)
	if parent.Place != 9 || grandparent.Place != 2 || root.Place != 1 {
		t.Fatalf("parent %d, grandparent %d, root %d", parent.Place, grandparent.Place, root.Place)
	}
}

// An instance that has registered again comes after its former followers.
func TestRestartedInstanceIsNotFollowed(t *testing.T) {
	var s Selector
	s.Register(instance("b", 5), []Instance{instance("a", 3)})
	if s.RecordAnswer(start, instance("a", 3), 17, [source.NumKinds]time.Duration{}) {
		t.Fatal("an instance that registered later is followed")
	}
	if _, ok := s.Next(start); ok {
		t.Fatal("an instance that registered later is still a candidate")
	}
}

// An instance that cannot register follows a seed, whatever the seed's place.
// Once it is registered, the seeds are ignored.
func TestSeeds(t *testing.T) {
	var s Selector
	self := netip.MustParseAddrPort("10.0.0.9:7720")
	seed := netip.MustParseAddrPort("10.0.0.1:7720")
	s.AddSeed(self, self)
	s.AddSeed(self, seed)
	s.AddSeed(self, seed)
	i, ok := s.Next(start)
	if !ok || i.Address != seed || s.Registered() {
		t.Fatalf("follows %+v, %t", i, ok)
	}
	if !s.RecordAnswer(start, i, 77, [source.NumKinds]time.Duration{}) {
		t.Fatal("a seed that answers is not followed")
	}
	s.Register(instance("b", 80), nil)
	s.AddSeed(self, seed)
	if _, ok := s.Next(start); ok {
		t.Fatal("a registered instance follows a seed")
	}
}

func TestFreshUntilDependsOnAge(t *testing.T) {
	var s Selector
	s.Register(instance("b", 5), []Instance{instance("a", 3)})
	if !s.FreshUntil(source.Registry, time.Second).IsZero() {
		t.Fatal("data counts as fresh before any answer")
	}
	s.RecordAnswer(start, instance("a", 3), 3, [source.NumKinds]time.Duration{source.Registry: 400 * time.Millisecond})
	if got := s.FreshUntil(source.Registry, time.Second); !got.Equal(start.Add(600 * time.Millisecond)) {
		t.Fatalf("fresh for %s", got.Sub(start))
	}
}

func TestRegistrationIsRemovedAfterTimeout(t *testing.T) {
	var s Selector
	s.Register(instance("b", 5), []Instance{instance("a", 3)})
	now := start
	for ; now.Before(start.Add(registrationTimeout)); now = now.Add(time.Minute) {
		if s.RecordFailure(now, instance("a", 3)) {
			t.Fatalf("removed after %s", now.Sub(start))
		}
	}
	if !s.RecordFailure(now, instance("a", 3)) {
		t.Fatal("not removed after the timeout")
	}
}

// Instances never follow each other in a cycle, whichever of them restart and
// whichever registrations each of them has read.
func TestNoFollowCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		var all [n]Instance
		var selectors [n]Selector
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
			selectors[i].Register(all[i], known)
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
					up, ok := selectors[i].Next(start)
					if !ok {
						break
					}
					var other int
					fmt.Sscan(string(up.Name), &other)
					if selectors[i].RecordAnswer(start, up, all[other].Place, [source.NumKinds]time.Duration{}) {
						follows[i] = other
						break
					}
				}
			}
			for i := range n {
				at := i
				for hops := 0; at >= 0; hops++ {
					if hops > n {
						t.Fatalf("instance %d leads to a cycle: %v", i, follows)
					}
					at = follows[at]
				}
			}
		}
	})
}

// Guards against candidates that are all in one other data centre: while it is cut
// off, each of them costs a call that times out.
func TestFallbacksInSeveralDataCentres(t *testing.T) {
	var all []Instance
	for place, dc := range []model.DataCentre{"sur", "sur", "sur", "este", "este", "oeste"} {
		i := instance(fmt.Sprint(dc, place), Place(place+1))
		i.DataCentre = dc
		all = append(all, i)
	}
	var s Selector
	s.Register(instance("n", 20), all)
	var got []model.DataCentre
	for {
		i, ok := s.Next(start)
		if !ok {
			break
		}
		got = append(got, i.DataCentre)
		s.RecordFailure(start, i)
	}
	if fmt.Sprint(got) != "[sur este oeste sur]" {
		t.Errorf("candidates in %v", got)
	}
}

// Guards against an instance that calls the store for ever: after all instances
// have registered again, it knows the others only by earlier registrations, which
// preceded its own.
func TestRefreshFindsInstancesThatRegisteredAgain(t *testing.T) {
	var s Selector
	s.Register(instance("b", 9), []Instance{instance("a", 3)})
	s.RecordAnswer(start, instance("a", 3), 12, [source.NumKinds]time.Duration{})
	if _, ok := s.Next(start); ok {
		t.Fatal("an instance that has registered later is still a candidate")
	}
	s.Refresh([]Instance{instance("a", 12), instance("b", 9), instance("c", 8)})
	if i, ok := s.Next(start); !ok || i.Name != "c" {
		t.Errorf("after the refresh: %+v, %t; want c", i, ok)
	}
	var unregistered Selector
	unregistered.Refresh([]Instance{instance("a", 3)})
	if _, ok := unregistered.Next(start); ok {
		t.Error("an unregistered instance has candidates after a refresh")
	}
}

// In each data centre a few instances are the first to call the store again.
func TestReliesOnOthers(t *testing.T) {
	var all []Instance
	relying := 0
	for p := Place(1); p <= 30; p++ {
		i := instance(fmt.Sprint(p), p)
		i.DataCentre = model.DataCentre(fmt.Sprint(p % 2))
		var s Selector
		s.Register(i, all)
		if s.ReliesOnOthers() {
			relying++
		}
		all = append(all, i)
	}
	if relying != 30-2*leaders {
		t.Errorf("%d of 30 instances in 2 data centres rely on others", relying)
	}
}

// Without an instance to follow, the data that was passed on does not keep the
// instance from calling the store.
func TestForgetAges(t *testing.T) {
	var s Selector
	s.Register(instance("b", 5), []Instance{instance("a", 3)})
	s.RecordAnswer(start, instance("a", 3), 3, [source.NumKinds]time.Duration{})
	s.ForgetAges()
	if !s.FreshUntil(source.Registry, time.Hour).IsZero() {
		t.Error("data still counts as passed on")
	}
}
