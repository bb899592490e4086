package config

import (
	"errors"
	"slices"
	"testing"
)

// Guards against an edit that is reported as accepted but not stored.
func TestEditIsStored(t *testing.T) {
	s := storeWithSamples(t)
	callers := sampleCallers(3)
	callers.Callers[1].Prefixes = []string{"10.9.0.0/16"}
	done, err := runEdit(t, s, EditorConfig{}, Edit{ID: "e2", Operator: "ana", BaseVersion: 1, Callers: callers}, inForceImmediately)
	if err != nil || done.Version != 2 {
		t.Fatalf("got %+v, %v", done, err)
	}
	if want := []string{"~ caller c00001: prefixes -10.0.1.0/24, prefixes +10.9.0.0/16"}; !slices.Equal(done.Changes, want) {
		t.Errorf("got changes %q, want %q", done.Changes, want)
	}
	c, _ := s.content(t)
	if got := c.Callers.Callers[1].Prefixes[0]; got != "10.9.0.0/16" {
		t.Errorf("got stored prefix %s", got)
	}
	if len(c.Plans.GetServices()) != 2 {
		t.Errorf("the edit changed a list that it does not set: %v", c.Plans)
	}
}

// Guards against an edit that reverts another edit accepted since its base version.
func TestEditsOfDifferentItemsAreMerged(t *testing.T) {
	s := storeWithSamples(t)
	for i, prefix := range []string{"10.7.0.0/16", "10.8.0.0/16"} {
		callers := sampleCallers(3)
		callers.Callers[i].Prefixes = []string{prefix}
		if _, err := runEdit(t, s, EditorConfig{}, Edit{ID: prefix, Operator: "ana", BaseVersion: 1, Callers: callers}, inForceImmediately); err != nil {
			t.Fatal(err)
		}
	}
	c, root := s.content(t)
	got := []string{c.Callers.Callers[0].Prefixes[0], c.Callers.Callers[1].Prefixes[0]}
	if !slices.Equal(got, []string{"10.7.0.0/16", "10.8.0.0/16"}) || root.GetVersion() != 3 {
		t.Errorf("version %d has %v", root.GetVersion(), got)
	}
}

// Guards against the silent loss of one of two edits of the same item.
func TestEditsOfSameItemConflict(t *testing.T) {
	s := storeWithSamples(t)
	edit := func(id, prefix string) error {
		callers := sampleCallers(3)
		callers.Callers[0].Prefixes = []string{prefix}
		_, err := runEdit(t, s, EditorConfig{}, Edit{ID: id, Operator: id, BaseVersion: 1, Callers: callers}, inForceImmediately)
		return err
	}
	if err := edit("ana", "10.7.0.0/16"); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := edit("bruno", "10.8.0.0/16"); !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a ConflictError", err)
	}
	if len(conflict.Yours) != 1 || len(conflict.Theirs) != 1 || conflict.TheirEdits[0].GetOperator() != "ana" {
		t.Errorf("the conflict does not describe both edits: %v", conflict)
	}
}

// Guards against sending packets of one service to a server that some instances
// still assign to another service.
func TestServerMoveTakesTwoVersions(t *testing.T) {
	s := storeWithSamples(t)
	plans := samplePlans()
	site := plans.Services[0].Sites[0]
	moved := site.Servers[1]
	site.Servers = site.Servers[:1]
	moved.Name = "s3"
	plans.Services[1].Sites[0].Servers = append(plans.Services[1].Sites[0].Servers, moved)

	queries := 0
	done, err := runEdit(t, s, EditorConfig{}, Edit{ID: "move", Operator: "ana", BaseVersion: 1, Plans: plans}, func(wanted uint64) uint64 {
		queries++
		c, _ := s.content(t)
		for _, service := range c.Plans.Services {
			for _, server := range service.Sites[0].Servers {
				if server.Address == moved.Address {
					t.Errorf("step one (version %d) already has %s in service %s", wanted, moved.Address, service.Name)
				}
			}
		}
		if queries < 3 {
			return wanted - 1
		}
		return wanted
	})
	if err != nil || done.StepOneVersion != 2 || done.Version != 3 || queries != 3 {
		t.Fatalf("got %+v, %v after %d queries", done, err, queries)
	}
	c, root := s.content(t)
	if n := len(c.Plans.Services[1].Sites[0].Servers); n != 3 {
		t.Errorf("service ordenes has %d servers, want 3", n)
	}
	if len(root.GetReleased()) != 0 {
		t.Errorf("the root still lists released addresses: %v", root.GetReleased())
	}
}

// Guards against an edit of a version older than the one that the instances use; it
// would be accepted but never come into force.
func TestStaleStoreIsNotEdited(t *testing.T) {
	s := storeWithSamples(t)
	_, err := runEdit(t, s, EditorConfig{LocalVersion: 7}, Edit{ID: "e", Operator: "ana", BaseVersion: 1, Callers: sampleCallers(2)}, inForceImmediately)
	var unavailable *StoreUnavailableError
	if !errors.As(err, &unavailable) || s.latest(RootKey).version != 1 {
		t.Errorf("got error %v, store at version %d", err, s.latest(RootKey).version)
	}
}
