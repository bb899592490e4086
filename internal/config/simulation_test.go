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

// simulation runs several editors against one store with generated faults and
// checks each root as it is stored.
type simulation struct {
	t         *rapid.T
	store     *fakeStore
	now       time.Time
	inForce   uint64
	requested map[string][]lists.Change
	// lastOwner is the owner that an address had last, and released the version
	// that took it away.
	lastOwner  map[string]string
	releasedAt map[string]uint64
	// omittedServers are the servers that step one of an edit left out with their site;
	// step two has to restore them.
	omittedServers map[string]map[lists.Key]proto.Message
	// madeInStepOne are the changes that step one of an edit made. An edit accepted
	// between the steps may change these entries again.
	madeInStepOne map[string]map[lists.Key]bool
	// valuesAfterStepOne are the values of the named entries after step one of an edit.
	valuesAfterStepOne map[string]map[lists.Key]proto.Message
	previousItems      lists.Items
	checkedRoots       int
	versionOfEdit      map[string]uint64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, store: newFakeStore(), now: epoch, requested: map[string][]lists.Change{},
		lastOwner: map[string]string{}, releasedAt: map[string]uint64{}, omittedServers: map[string]map[lists.Key]proto.Message{}, madeInStepOne: map[string]map[lists.Key]bool{}, valuesAfterStepOne: map[string]map[lists.Key]proto.Message{}, previousItems: lists.Items{}, versionOfEdit: map[string]uint64{}}
	sim.requested["init"] = nil
	if _, err := runEdit(t, sim.store, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: sampleCallers(2), Plans: samplePlans()}, inForceAtOnce); err != nil {
		t.Fatal(err)
	}
	sim.checkNewRoots()
	faults := rapid.SampledFrom([]fault{noFault, noFault, noFault, noFault, unavailable, staleRead, requestLost, replyLost, writeDelayed})
	sim.store.fault = func() fault { return faults.Draw(t, "fault") }
	return sim
}

// fail stops the test and shows what each version changed.
func (sim *simulation) fail(format string, args ...any) {
	var before lists.Items
	for i := range sim.store.objects[RootKey] {
		root, items := sim.rootAndItems(i)
		id := root.GetEdits()[len(root.GetEdits())-1].GetId()
		sim.t.Logf("version %d, edit %s: %q", root.GetVersion(), id, lists.Describe(lists.Changes(before, items)))
		before = items
	}
	for id, asked := range sim.requested {
		sim.t.Logf("edit %s asks for %q", id, lists.Describe(asked))
	}
	sim.t.Fatalf(format, args...)
}

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

// checkNewRoots examines the roots stored since the last call.
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

// checkContent fails when an edit changed an entry that it did not name: that
// would lose or revert another accepted edit.
func (sim *simulation) checkContent(id string, items lists.Items) {
	if found := lists.CheckContent(lists.Join(items)); len(found) > 0 {
		sim.fail("edit %s stored invalid content: %v", id, found)
	}
	name, isStep := id, false
	if _, ok := sim.requested[id]; !ok {
		name, isStep = id[:len(id)-2], true
	}
	wanted := map[lists.Key]proto.Message{}
	for _, c := range sim.requested[name] {
		wanted[c.Key] = c.To
	}
	for _, c := range sim.requested[name] {
		was, stepped := sim.previousItems[c.Key], sim.valuesAfterStepOne[name]
		value, known := stepped[c.Key]
		if !equal(was, c.From) && !equal(was, c.To) && !(known && equal(was, value)) && !sim.madeInStepOne[name][c.Key] {
			sim.fail("edit %s overwrites an accepted change of %s", id, c.Key)
		}
		if isStep {
			if stepped == nil {
				sim.valuesAfterStepOne[name] = map[lists.Key]proto.Message{}
			}
			sim.valuesAfterStepOne[name][c.Key] = items[c.Key]
		}
	}
	for key, value := range sim.omittedServers[name] {
		if _, ok := wanted[key]; !ok {
			wanted[key] = value
		}
	}
	if sim.madeInStepOne[name] == nil {
		sim.madeInStepOne[name] = map[lists.Key]bool{}
	}
	for key, to := range wanted {
		switch is := equal(items[key], to); {
		case isStep:
			sim.madeInStepOne[name][key] = is
		case !is && !sim.madeInStepOne[name][key]:
			sim.fail("edit %s is accepted without its change of %s", id, key)
		}
	}
	for _, c := range lists.Changes(sim.previousItems, items) {
		if _, ok := wanted[c.Key]; ok {
			continue
		}
		_, site := wanted[lists.Key{Kind: lists.KindSite, Name: c.Key.Name, Sub: "norte"}]
		if !isStep || c.To != nil || c.Key.Kind != lists.KindServer || !site {
			sim.fail("edit %s changed %s, which it does not name", id, c)
		}
		if sim.omittedServers[name] == nil {
			sim.omittedServers[name] = map[lists.Key]proto.Message{}
		}
		sim.omittedServers[name][c.Key] = c.From
	}
}

// checkOwners fails when an address gets a new owner before the version that
// took it from the old one was in force.
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

// randomEdit changes a few entries of the content at a random base version.
func (sim *simulation) randomEdit(id string) Edit {
	newest := sim.checkedRoots
	base := rapid.IntRange(max(1, newest-3), newest).Draw(sim.t, "base")
	_, items := sim.rootAndItems(base - 1)
	c := lists.Join(items)
	c = lists.Content{Callers: proto.CloneOf(c.Callers), Plans: proto.CloneOf(c.Plans), Marks: proto.CloneOf(c.Marks)}
	for range rapid.IntRange(1, 2).Draw(sim.t, "changes") {
		sim.changeRandomEntry(c)
	}
	sim.requested[id] = lists.Changes(items, lists.Flatten(c))
	return Edit{ID: id, Operator: "o", BaseVersion: uint64(base), Callers: c.Callers, Plans: c.Plans, Marks: c.Marks}
}

func (sim *simulation) changeRandomEntry(c lists.Content) {
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

// moveServer takes a server from one service and gives it, or another server
// at the same address, to a service.
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

// operator runs one edit, and repeats it when the answer asks for that.
type operator struct {
	edit    Edit
	editor  *Editor
	action  Action
	repeats int
	// sawUnknownOutcome is set after an unknown outcome: the operator then takes a later
	// "nothing was changed" for the repetition only.
	sawUnknownOutcome bool
	done              *Done
	err               error
}

func (sim *simulation) startEditor(op *operator) {
	op.editor = NewEditor(EditorConfig{Deadline: sim.now.Add(3 * time.Second), InForceVersion: sim.inForce,
		Rand: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(sim.t, "jitter")))}, op.edit)
	op.action = op.editor.Start(sim.now)
}

// step carries out one action of the operator's editor.
func (sim *simulation) step(op *operator) {
	var answer Result
	switch a := op.action.(type) {
	case Wait:
		if a.Until.After(sim.now) {
			sim.now = a.Until
		}
		answer = Elapsed{}
	case AwaitInForce:
		if rapid.Bool().Draw(sim.t, "in force") {
			sim.inForce = max(sim.inForce, uint64(rapid.IntRange(0, sim.checkedRoots).Draw(sim.t, "version")))
		}
		answer = InForce{sim.inForce}
	default:
		answer = sim.store.perform(a)
	}
	sim.now = sim.now.Add(time.Millisecond)
	sim.checkNewRoots()
	op.action = op.editor.Handle(sim.now, answer)
	switch a := op.action.(type) {
	case Done:
		op.done = &a
	case Fail:
		sim.handleFailure(op, a.Err)
	}
}

func (sim *simulation) handleFailure(op *operator, err error) {
	var unknown *OutcomeUnknownError
	var late *NotInForceError
	again := errors.As(err, &unknown) || errors.As(err, &late)
	op.sawUnknownOutcome = op.sawUnknownOutcome || errors.As(err, &unknown)
	if again && op.repeats < 2 {
		op.repeats++
		sim.startEditor(op)
		return
	}
	op.err = err
}

// deliverDelayedWrite lets a delayed write arrive.
func (sim *simulation) deliverDelayedWrite() {
	if n := len(sim.store.delayed); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(sim.t, "delayed")
		sim.store.delayed[i]()
		sim.store.delayed = slices.Delete(sim.store.delayed, i, i+1)
		sim.checkNewRoots()
	}
}

// Guards against edits that are lost, reverted, applied twice, refused and yet
// applied, or that move an address in one step, whatever the store answers and
// however two operators interleave.
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

func (sim *simulation) checkOutcome(op *operator) {
	id := op.edit.ID
	version, stored := sim.versionOfEdit[id]
	var conflict *ConflictError
	var invalid *findings.Error
	final := !op.sawUnknownOutcome || errors.As(op.err, &conflict) || errors.As(op.err, &invalid)
	switch {
	case op.done != nil && len(sim.requested[id]) > 0 && version != op.done.Version:
		sim.fail("edit %s is reported as version %d and stored as %d", id, op.done.Version, version)
	case op.err != nil && stored && final:
		sim.fail("edit %s is refused (%v) and stored as version %d", id, op.err, version)
	case errors.As(op.err, &invalid) && len(sim.requested[id]) == 0:
		sim.fail("edit %s without changes is refused: %v", id, op.err)
	}
}
