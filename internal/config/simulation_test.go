package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
)

// simulation runs several editors against one store with injected faults and
// checks each root as soon as it is stored.
type simulation struct {
	t     *rapid.T
	store *fakeStore
	now   time.Time
	// inForce is the newest version that is in force.
	inForce uint64
	// requested contains the requested changes by edit ID.
	requested map[string][]lists.Change
	// lastOwner is the last owner that lost an address, by address. releasedAt is
	// the version in which it lost the address.
	lastOwner  map[string]string
	releasedAt map[string]uint64
	// omittedServers contains, by edit ID, the servers that step one omitted with
	// their site; step two has to restore them.
	omittedServers map[string]map[lists.Key]proto.Message
	// appliedInStepOne is true, by edit ID and item, for the changes that step one
	// made. An edit that is accepted between the two steps may change these items
	// again.
	appliedInStepOne map[string]map[lists.Key]bool
	// valuesAfterStepOne contains, by edit ID, the values of the requested items
	// after step one.
	valuesAfterStepOne map[string]map[lists.Key]proto.Message
	// previousItems is the content of the last root checked, and checkedRoots the
	// number of roots checked.
	previousItems lists.Items
	checkedRoots  int
	// versionOfEdit contains the versions by the ID of the edit or of its step one.
	versionOfEdit map[string]uint64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, store: newFakeStore(), now: epoch, requested: map[string][]lists.Change{},
		lastOwner: map[string]string{}, releasedAt: map[string]uint64{}, omittedServers: map[string]map[lists.Key]proto.Message{}, appliedInStepOne: map[string]map[lists.Key]bool{}, valuesAfterStepOne: map[string]map[lists.Key]proto.Message{}, previousItems: lists.Items{}, versionOfEdit: map[string]uint64{}}
	sim.requested["init"] = nil
	if _, err := runEdit(t, sim.store, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: sampleCallers(2), Plans: samplePlans()}, inForceImmediately); err != nil {
		t.Fatal(err)
	}
	sim.checkNewRoots()
	faults := rapid.SampledFrom([]fault{noFault, noFault, noFault, noFault, unavailable, staleRead, requestLost, replyLost, writeDelayed})
	sim.store.fault = func() fault { return faults.Draw(t, "fault") }
	return sim
}

// fail logs the changes of each version and of each requested edit, and fails the
// test.
func (sim *simulation) fail(format string, args ...any) {
	var before lists.Items
	for i := range sim.store.objects[RootKey] {
		root, items := sim.rootAndItems(i)
		id := root.GetEdits()[len(root.GetEdits())-1].GetId()
		sim.t.Logf("version %d, edit %s: %q", root.GetVersion(), id, lists.Describe(lists.Changes(before, items)))
		before = items
	}
	for id, changes := range sim.requested {
		sim.t.Logf("edit %s requests %q", id, lists.Describe(changes))
	}
	sim.t.Fatalf(format, args...)
}

// rootAndItems returns the stored root with the index i and its content.
func (sim *simulation) rootAndItems(i int) (*pb.Root, lists.Items) {
	root, err := DecodeRoot(sim.store.objects[RootKey][i].value)
	if err != nil {
		sim.t.Fatal(err)
	}
	items, err := assembleItems(root.GetShards(), func(hash string) ([]byte, bool) {
		o := sim.store.latest(ShardKey(hash))
		return o.value, o.version > 0
	})
	if err != nil {
		sim.t.Fatalf("version %d: %v", root.GetVersion(), err)
	}
	return root, items
}

// checkNewRoots checks the roots that have been stored since the last call.
func (sim *simulation) checkNewRoots() {
	for ; sim.checkedRoots < len(sim.store.objects[RootKey]); sim.checkedRoots++ {
		root, items := sim.rootAndItems(sim.checkedRoots)
		version := uint64(sim.checkedRoots + 1)
		if root.GetVersion() != version {
			sim.fail("version %d follows %d", root.GetVersion(), version-1)
		}
		rec := root.GetEdits()[len(root.GetEdits())-1]
		if _, twice := sim.versionOfEdit[rec.GetId()]; twice {
			sim.fail("edit %s was applied twice", rec.GetId())
		}
		sim.versionOfEdit[rec.GetId()] = version
		if version > 1 {
			sim.checkContent(rec.GetId(), items)
		}
		sim.checkOwners(version, items)
		sim.previousItems = items
	}
}

// checkContent fails if an edit or its step one stored invalid content, changed an
// item that the edit does not request, or overwrote or reverted an accepted change.
func (sim *simulation) checkContent(id string, items lists.Items) {
	if found := lists.CheckContent(lists.Unflatten(items)); len(found) > 0 {
		sim.fail("edit %s stored invalid content: %v", id, found)
	}
	editID, isStepOne := id, false
	if _, ok := sim.requested[id]; !ok {
		editID, isStepOne = id[:len(id)-2], true
	}
	wanted := map[lists.Key]proto.Message{}
	for _, c := range sim.requested[editID] {
		wanted[c.Key] = c.To
	}
	for _, c := range sim.requested[editID] {
		previous, afterStepOne := sim.previousItems[c.Key], sim.valuesAfterStepOne[editID]
		value, known := afterStepOne[c.Key]
		if !equal(previous, c.From) && !equal(previous, c.To) && !(known && equal(previous, value)) && !sim.appliedInStepOne[editID][c.Key] {
			sim.fail("edit %s overwrites an accepted change of %s", id, c.Key)
		}
		if isStepOne {
			if afterStepOne == nil {
				sim.valuesAfterStepOne[editID] = map[lists.Key]proto.Message{}
			}
			sim.valuesAfterStepOne[editID][c.Key] = items[c.Key]
		}
	}
	for key, value := range sim.omittedServers[editID] {
		if _, ok := wanted[key]; !ok {
			wanted[key] = value
		}
	}
	if sim.appliedInStepOne[editID] == nil {
		sim.appliedInStepOne[editID] = map[lists.Key]bool{}
	}
	for key, to := range wanted {
		switch applied := equal(items[key], to); {
		case isStepOne:
			sim.appliedInStepOne[editID][key] = applied
		case !applied && !sim.appliedInStepOne[editID][key]:
			sim.fail("edit %s is accepted without its change of %s", id, key)
		}
	}
	for _, c := range lists.Changes(sim.previousItems, items) {
		if _, ok := wanted[c.Key]; ok {
			continue
		}
		_, site := wanted[lists.Key{Kind: lists.KindSite, Name: c.Key.Name, Sub: "norte"}]
		if !isStepOne || c.To != nil || c.Key.Kind != lists.KindServer || !site {
			sim.fail("edit %s made the change %s, which it does not request", id, c)
		}
		if sim.omittedServers[editID] == nil {
			sim.omittedServers[editID] = map[lists.Key]proto.Message{}
		}
		sim.omittedServers[editID][c.Key] = c.From
	}
}

// checkOwners fails if an address gets a new owner before the version that took it
// from its former owner is in force.
func (sim *simulation) checkOwners(version uint64, items lists.Items) {
	before, after := ownersOf(sim.previousItems), ownersOf(items)
	for address, owner := range before {
		if after[address] != owner {
			sim.lastOwner[address], sim.releasedAt[address] = owner, version
		}
	}
	for address, owner := range after {
		if old := sim.lastOwner[address]; old != "" && old != owner && before[address] != owner && sim.releasedAt[address] > sim.inForce {
			sim.fail("version %d gives %s to %s; version %d took it from %s and only %d is in force",
				version, address, owner, sim.releasedAt[address], old, sim.inForce)
		}
	}
}

func ownersOf(items lists.Items) map[string]string {
	_, all := addressOwners(lists.Changes(nil, items))
	return all
}

// randomEdit returns an edit that changes one or two items of a recent version.
func (sim *simulation) randomEdit(id string) Edit {
	newest := sim.checkedRoots
	base := rapid.IntRange(max(1, newest-3), newest).Draw(sim.t, "base")
	_, items := sim.rootAndItems(base - 1)
	c := lists.Unflatten(items)
	c = lists.Content{Callers: proto.CloneOf(c.Callers), Plans: proto.CloneOf(c.Plans), Marks: proto.CloneOf(c.Marks)}
	for range rapid.IntRange(1, 2).Draw(sim.t, "changes") {
		sim.changeRandomItem(c)
	}
	sim.requested[id] = lists.Changes(items, lists.Flatten(c))
	return Edit{ID: id, Operator: "o", BaseVersion: uint64(base), Callers: c.Callers, Plans: c.Plans, Marks: c.Marks}
}

func (sim *simulation) changeRandomItem(c lists.Content) {
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(sim.t, what) }
	switch pick(5, "kind") {
	case 0:
		caller := c.Callers.Callers[pick(len(c.Callers.Callers), "caller")]
		caller.Prefixes = append(caller.Prefixes[:1:1], fmt.Sprintf("10.%d.0.0/16", 100+pick(20, "prefix")))
	case 1:
		marks := []string{"norte"}
		if len(c.Marks.DataCentresOut) > 0 {
			marks = nil
		}
		c.Marks.DataCentresOut = marks
	default:
		sim.moveServer(c, pick)
	}
}

// moveServer removes a server from a service. It may add the server to a service
// under a new name, and may then exchange the addresses of the two sites.
func (sim *simulation) moveServer(c lists.Content, pick func(int, string) int) {
	from := c.Plans.Services[pick(2, "from")]
	if len(from.Sites) == 0 || len(from.Sites[0].Servers) == 0 {
		return
	}
	site := from.Sites[0]
	i := pick(len(site.Servers), "server")
	moved := site.Servers[i]
	site.Servers = slices.Delete(site.Servers, i, i+1)
	to := c.Plans.Services[pick(2, "to")]
	if rapid.Bool().Draw(sim.t, "remove") || len(to.Sites) == 0 {
		return
	}
	moved.Name = fmt.Sprintf("m%d", pick(1000, "name"))
	to.Sites[0].Servers = append(to.Sites[0].Servers, moved)
	if rapid.Bool().Draw(sim.t, "swap") && len(from.Sites) > 0 {
		from.Sites[0].Address, to.Sites[0].Address = to.Sites[0].Address, from.Sites[0].Address
	}
}

// operator runs one edit and repeats it if its error calls for that.
type operator struct {
	edit    Edit
	editor  *Editor
	action  Action
	repeats int
	// sawUnknownOutcome is true after an attempt with an unknown outcome. A later
	// "nothing was changed" then applies to the repeated attempt only.
	sawUnknownOutcome bool
	done              *Done
	err               error
}

func (sim *simulation) startEditor(op *operator) {
	op.editor = NewEditor(EditorConfig{Deadline: sim.now.Add(3 * time.Second), InForceVersion: sim.inForce,
		Rand: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(sim.t, "jitter")))}, op.edit)
	op.action = op.editor.Start(sim.now)
}

func (sim *simulation) step(op *operator) {
	var result Result
	switch a := op.action.(type) {
	case Wait:
		if a.Until.After(sim.now) {
			sim.now = a.Until
		}
		result = Elapsed{}
	case QueryInForce:
		if rapid.Bool().Draw(sim.t, "in force") {
			sim.inForce = max(sim.inForce, uint64(rapid.IntRange(0, sim.checkedRoots).Draw(sim.t, "version")))
		}
		result = InForce{sim.inForce}
	default:
		result = sim.store.perform(a)
	}
	sim.now = sim.now.Add(time.Millisecond)
	sim.checkNewRoots()
	op.action = op.editor.Handle(sim.now, result)
	switch a := op.action.(type) {
	case Done:
		op.done = &a
	case Fail:
		sim.handleFailure(op, a.Err)
	}
}

// handleFailure repeats the edit up to two times if its outcome is unknown or a version
// did not come into force in time; otherwise the edit ends with the error.
func (sim *simulation) handleFailure(op *operator, err error) {
	var unknown *OutcomeUnknownError
	var notInForce *NotInForceError
	repeat := errors.As(err, &unknown) || errors.As(err, &notInForce)
	op.sawUnknownOutcome = op.sawUnknownOutcome || errors.As(err, &unknown)
	if repeat && op.repeats < 2 {
		op.repeats++
		sim.startEditor(op)
		return
	}
	op.err = err
}

// deliverDelayedWrite lets a random delayed write reach the store, if there is one.
func (sim *simulation) deliverDelayedWrite() {
	if n := len(sim.store.delayed); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(sim.t, "delayed")
		sim.store.delayed[i]()
		sim.store.delayed = slices.Delete(sim.store.delayed, i, i+1)
		sim.checkNewRoots()
	}
}

// Guards against edits that are lost, reverted, applied twice, or applied although
// they were reported as refused, and against edits that move an address to another
// owner in one step. The test runs pairs of concurrent edits, in a random order of
// their actions and with random store faults.
func TestEditsUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		var all []*operator
		for round := range 3 {
			var active []*operator
			for i := range 2 {
				op := &operator{edit: sim.randomEdit(fmt.Sprintf("e%d.%d", round, i))}
				sim.startEditor(op)
				active = append(active, op)
			}
			all = append(all, active...)
			for len(active) > 0 {
				if rapid.IntRange(0, 9).Draw(t, "deliver") == 0 {
					sim.deliverDelayedWrite()
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "who")
				sim.step(active[i])
				if active[i].done != nil || active[i].err != nil {
					active = slices.Delete(active, i, i+1)
				}
			}
		}
		for len(sim.store.delayed) > 0 {
			sim.deliverDelayedWrite()
		}
		for _, op := range all {
			sim.checkOutcome(op)
		}
	})
}

// checkOutcome fails if the result of an edit contradicts what the store contains.
func (sim *simulation) checkOutcome(op *operator) {
	id := op.edit.ID
	version, stored := sim.versionOfEdit[id]
	var conflict *ConflictError
	var invalid *findings.Error
	final := !op.sawUnknownOutcome || errors.As(op.err, &conflict) || errors.As(op.err, &invalid)
	switch {
	case op.done != nil && len(sim.requested[id]) > 0 && version != op.done.Version:
		sim.fail("edit %s is reported as version %d but stored as version %d", id, op.done.Version, version)
	case op.err != nil && stored && final:
		sim.fail("edit %s is refused (%v) but stored as version %d", id, op.err, version)
	case errors.As(op.err, &invalid) && len(sim.requested[id]) == 0:
		sim.fail("edit %s without changes is refused: %v", id, op.err)
	}
}
