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
	t       *rapid.T
	store   *fakeStore
	now     time.Time
	inForce uint64
	asked   map[string][]lists.Change
	// lastOwner is the owner that an address had last, and released the version
	// that took it away.
	lastOwner map[string]string
	released  map[string]uint64
	// dropped are the servers that step one of an edit left out with their site;
	// step two has to restore them.
	dropped map[string]map[lists.Key]proto.Message
	// inStepOne are the changes that step one of an edit made. An edit accepted
	// between the steps may change these entries again.
	inStepOne map[string]map[lists.Key]bool
	// stepValues are the values of the named entries after step one of an edit.
	stepValues map[string]map[lists.Key]proto.Message
	previous   lists.Items
	seen       int
	versionOf  map[string]uint64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, store: newFakeStore(), now: epoch, asked: map[string][]lists.Change{},
		lastOwner: map[string]string{}, released: map[string]uint64{}, dropped: map[string]map[lists.Key]proto.Message{}, inStepOne: map[string]map[lists.Key]bool{}, stepValues: map[string]map[lists.Key]proto.Message{}, previous: lists.Items{}, versionOf: map[string]uint64{}}
	w.asked["init"] = nil
	if _, err := run(t, w.store, EditorConfig{}, Edit{ID: "init", Operator: "o", Callers: sampleCallers(2), Plans: samplePlans()}, atOnce); err != nil {
		t.Fatal(err)
	}
	w.check()
	faults := rapid.SampledFrom([]fault{noFault, noFault, noFault, noFault, down, stale, lostBefore, lostAfter, late})
	w.store.fault = func() fault { return faults.Draw(t, "fault") }
	return w
}

// fail stops the test and shows what each version changed.
func (w *simulation) fail(format string, args ...any) {
	var before lists.Items
	for i := range w.store.objects[RootKey] {
		root, items := w.itemsAt(i)
		id := root.GetEdits()[len(root.GetEdits())-1].GetId()
		w.t.Logf("version %d, edit %s: %q", root.GetVersion(), id, lists.Describe(lists.Changes(before, items)))
		before = items
	}
	for id, asked := range w.asked {
		w.t.Logf("edit %s asks for %q", id, lists.Describe(asked))
	}
	w.t.Fatalf(format, args...)
}

func (w *simulation) itemsAt(i int) (*pb.Root, lists.Items) {
	root, err := DecodeRoot(w.store.objects[RootKey][i].value)
	if err != nil {
		w.t.Fatal(err)
	}
	items, err := assembleItems(root.GetShards(), func(hash string) ([]byte, bool) {
		o := w.store.latest(ShardKey(hash))
		return o.value, o.version > 0
	})
	if err != nil {
		w.t.Fatalf("version %d: %v", root.GetVersion(), err)
	}
	return root, items
}

// check examines the roots stored since the last call.
func (w *simulation) check() {
	for ; w.seen < len(w.store.objects[RootKey]); w.seen++ {
		root, items := w.itemsAt(w.seen)
		version := uint64(w.seen + 1)
		if root.GetVersion() != version {
			w.fail("version %d follows %d", root.GetVersion(), version-1)
		}
		rec := root.GetEdits()[len(root.GetEdits())-1]
		if _, twice := w.versionOf[rec.GetId()]; twice {
			w.fail("edit %s was applied twice", rec.GetId())
		}
		w.versionOf[rec.GetId()] = version
		if version > 1 {
			w.checkContent(rec.GetId(), items)
		}
		w.checkOwners(version, items)
		w.previous = items
	}
}

// checkContent fails when an edit changed an entry that it did not name: that
// would lose or revert another accepted edit.
func (w *simulation) checkContent(id string, items lists.Items) {
	if found := lists.CheckContent(lists.Join(items)); len(found) > 0 {
		w.fail("edit %s stored invalid content: %v", id, found)
	}
	name, isStep := id, false
	if _, ok := w.asked[id]; !ok {
		name, isStep = id[:len(id)-2], true
	}
	wanted := map[lists.Key]proto.Message{}
	for _, c := range w.asked[name] {
		wanted[c.Key] = c.To
	}
	for _, c := range w.asked[name] {
		was, stepped := w.previous[c.Key], w.stepValues[name]
		value, known := stepped[c.Key]
		if !same(was, c.From) && !same(was, c.To) && !(known && same(was, value)) && !w.inStepOne[name][c.Key] {
			w.fail("edit %s overwrites an accepted change of %s", id, c.Key)
		}
		if isStep {
			if stepped == nil {
				w.stepValues[name] = map[lists.Key]proto.Message{}
			}
			w.stepValues[name][c.Key] = items[c.Key]
		}
	}
	for key, value := range w.dropped[name] {
		if _, ok := wanted[key]; !ok {
			wanted[key] = value
		}
	}
	if w.inStepOne[name] == nil {
		w.inStepOne[name] = map[lists.Key]bool{}
	}
	for key, to := range wanted {
		switch is := same(items[key], to); {
		case isStep:
			w.inStepOne[name][key] = is
		case !is && !w.inStepOne[name][key]:
			w.fail("edit %s is accepted without its change of %s", id, key)
		}
	}
	for _, c := range lists.Changes(w.previous, items) {
		if _, ok := wanted[c.Key]; ok {
			continue
		}
		_, site := wanted[lists.Key{Kind: lists.KindSite, Name: c.Key.Name, Sub: "norte"}]
		if !isStep || c.To != nil || c.Key.Kind != lists.KindServer || !site {
			w.fail("edit %s changed %s, which it does not name", id, c)
		}
		if w.dropped[name] == nil {
			w.dropped[name] = map[lists.Key]proto.Message{}
		}
		w.dropped[name][c.Key] = c.From
	}
}

// checkOwners fails when an address gets a new owner before the version that
// took it from the old one was in force.
func (w *simulation) checkOwners(version uint64, items lists.Items) {
	before, after := allOwners(w.previous), allOwners(items)
	for address, owner := range before {
		if after[address] != owner {
			w.lastOwner[address], w.released[address] = owner, version
		}
	}
	for address, owner := range after {
		if old := w.lastOwner[address]; old != "" && old != owner && before[address] != owner && w.released[address] > w.inForce {
			w.fail("version %d gives %s to %s; version %d took it from %s and only %d is in force",
				version, address, owner, w.released[address], old, w.inForce)
		}
	}
}

func allOwners(items lists.Items) map[string]string {
	_, all := owners(lists.Changes(nil, items))
	return all
}

// randomEdit changes a few entries of the content at a random base version.
func (w *simulation) randomEdit(id string) Edit {
	newest := w.seen
	base := rapid.IntRange(max(1, newest-3), newest).Draw(w.t, "base")
	_, items := w.itemsAt(base - 1)
	c := lists.Join(items)
	c = lists.Content{Callers: proto.CloneOf(c.Callers), Plans: proto.CloneOf(c.Plans), Marks: proto.CloneOf(c.Marks)}
	for range rapid.IntRange(1, 2).Draw(w.t, "changes") {
		w.change(c)
	}
	w.asked[id] = lists.Changes(items, lists.Flatten(c))
	return Edit{ID: id, Operator: "o", BaseVersion: uint64(base), Callers: c.Callers, Plans: c.Plans, Marks: c.Marks}
}

func (w *simulation) change(c lists.Content) {
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }
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
		w.moveServer(c, pick)
	}
}

// moveServer takes a server from one service and gives it, or another server
// at the same address, to a service.
func (w *simulation) moveServer(c lists.Content, pick func(int, string) int) {
	from := c.Plans.Services[pick(2, "from")]
	if len(from.Sites) == 0 || len(from.Sites[0].Servers) == 0 {
		return
	}
	site := from.Sites[0]
	i := pick(len(site.Servers), "server")
	moved := site.Servers[i]
	site.Servers = slices.Delete(site.Servers, i, i+1)
	to := c.Plans.Services[pick(2, "to")]
	if rapid.Bool().Draw(w.t, "remove") || len(to.Sites) == 0 {
		return
	}
	moved.Name = fmt.Sprintf("m%d", pick(1000, "name"))
	to.Sites[0].Servers = append(to.Sites[0].Servers, moved)
	if rapid.Bool().Draw(w.t, "swap") && len(from.Sites) > 0 {
		from.Sites[0].Address, to.Sites[0].Address = to.Sites[0].Address, from.Sites[0].Address
	}
}

// operator runs one edit, and repeats it when the answer asks for that.
type operator struct {
	edit    Edit
	editor  *Editor
	action  Action
	repeats int
	// unsure is set after an unknown outcome: the operator then takes a later
	// "nothing was changed" for the repetition only.
	unsure bool
	done   *Done
	err    error
}

func (w *simulation) start(op *operator) {
	op.editor = NewEditor(EditorConfig{Deadline: w.now.Add(3 * time.Second), InForceVersion: w.inForce,
		Rand: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(w.t, "jitter")))}, op.edit)
	op.action = op.editor.Start(w.now)
}

// step carries out one action of the operator's editor.
func (w *simulation) step(op *operator) {
	var answer Result
	switch a := op.action.(type) {
	case Wait:
		if a.Until.After(w.now) {
			w.now = a.Until
		}
		answer = Elapsed{}
	case AwaitInForce:
		if rapid.Bool().Draw(w.t, "in force") {
			w.inForce = max(w.inForce, uint64(rapid.IntRange(0, w.seen).Draw(w.t, "version")))
		}
		answer = InForce{w.inForce}
	default:
		answer = w.store.perform(a)
	}
	w.now = w.now.Add(time.Millisecond)
	w.check()
	op.action = op.editor.Handle(w.now, answer)
	switch a := op.action.(type) {
	case Done:
		op.done = &a
	case Fail:
		w.failed(op, a.Err)
	}
}

func (w *simulation) failed(op *operator, err error) {
	var unknown *OutcomeUnknownError
	var late *NotInForceError
	again := errors.As(err, &unknown) || errors.As(err, &late)
	op.unsure = op.unsure || errors.As(err, &unknown)
	if again && op.repeats < 2 {
		op.repeats++
		w.start(op)
		return
	}
	op.err = err
}

// deliver lets a delayed write arrive.
func (w *simulation) deliver() {
	if n := len(w.store.delayed); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(w.t, "delayed")
		w.store.delayed[i]()
		w.store.delayed = slices.Delete(w.store.delayed, i, i+1)
		w.check()
	}
}

// Guards against edits that are lost, reverted, applied twice, refused and yet
// applied, or that move an address in one step, whatever the store answers and
// however two operators interleave.
func TestEditsUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		var all []*operator
		for round := range 3 {
			var active []*operator
			for i := range 2 {
				op := &operator{edit: w.randomEdit(fmt.Sprintf("e%d.%d", round, i))}
				w.start(op)
				active = append(active, op)
			}
			all = append(all, active...)
			for len(active) > 0 {
				if rapid.IntRange(0, 9).Draw(t, "deliver") == 0 {
					w.deliver()
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "who")
				w.step(active[i])
				if active[i].done != nil || active[i].err != nil {
					active = slices.Delete(active, i, i+1)
				}
			}
		}
		for len(w.store.delayed) > 0 {
			w.deliver()
		}
		for _, op := range all {
			w.checkOutcome(op)
		}
	})
}

func (w *simulation) checkOutcome(op *operator) {
	id := op.edit.ID
	version, stored := w.versionOf[id]
	var conflict *ConflictError
	var invalid *findings.Error
	final := !op.unsure || errors.As(op.err, &conflict) || errors.As(op.err, &invalid)
	switch {
	case op.done != nil && len(w.asked[id]) > 0 && version != op.done.Version:
		w.fail("edit %s is reported as version %d and stored as %d", id, op.done.Version, version)
	case op.err != nil && stored && final:
		w.fail("edit %s is refused (%v) and stored as version %d", id, op.err, version)
	case errors.As(op.err, &invalid) && len(w.asked[id]) == 0:
		w.fail("edit %s without changes is refused: %v", id, op.err)
	}
}
