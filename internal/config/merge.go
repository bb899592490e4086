package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
	"cuminshift/internal/model"
)

// mergeResult is an edit applied to the current version.
type mergeResult struct {
	// requested are the changes that the operator requested for; changes are those that
	// remain to be made to the current version.
	requested, changes []lists.Change
	// items and set are the result, without the parts that the edit leaves as
	// they are.
	items lists.Items
	set   *ShardSet
}

// merge applies the edit to the current version. It compares shards by hash and
// decodes those that differ, so its work does not grow with the parts that the
// edit leaves as they are. versions comes from Editor.versions. It fails with
// *Conflict or *findings.Error.
func (e *Editor) merge(versions []uint64) (*mergeResult, error) {
	refs := make([][]*pb.ShardRef, len(versions))
	for i, v := range versions {
		all, _ := RefsAt(e.root, v)
		refs[i] = slices.DeleteFunc(all, func(r *pb.ShardRef) bool { return !e.editsShard(r.GetName()) })
	}
	base, current := refs[0], refs[len(refs)-1]
	parts := lists.Content{Callers: e.edit.Callers, Plans: e.edit.Plans, Marks: e.edit.Marks}
	m := &mergeResult{items: lists.Flatten(parts)}
	var err error
	if m.set, err = splitItems(m.items); err != nil {
		return nil, err
	}
	shard := func(hash string) ([]byte, bool) {
		if data, ok := m.set.Shards[hash]; ok {
			return data, true
		}
		return e.lookupShard(hash)
	}
	if m.requested, err = diffRefs(base, m.set.Refs, shard); err != nil {
		return nil, err
	}
	if found, err := e.validate(parts, m.requested, versions[0]); err != nil || len(found) > 0 {
		return nil, errOrFindings(err, found)
	}
	from, remaining := base, m.requested
	if len(refs) == 4 {
		if from, remaining, err = e.afterStepOne(refs, m.requested); err != nil {
			return nil, err
		}
	}
	theirs, err := diffRefs(from, current, e.lookupShard)
	if err != nil {
		return nil, err
	}
	var conflict *ConflictError
	if m.changes, conflict = e.rebase(theirs, remaining); conflict != nil {
		return nil, conflict
	}
	if len(theirs) == 0 && len(refs) == 2 {
		return m, nil
	}
	return m, e.applyToCurrent(current, m, theirs)
}

func errOrFindings(err error, found findings.Findings) error {
	if err != nil {
		return err
	}
	return found.Err()
}

// applyToCurrent replaces the items and set by the current ones with the changes.
func (e *Editor) applyToCurrent(current []*pb.ShardRef, m *mergeResult, theirs []lists.Change) error {
	items, err := assembleItems(current, e.lookupShard)
	if err != nil {
		return err
	}
	m.items = applyChanges(items, m.changes)
	if m.set, err = splitItems(m.items); err != nil {
		return err
	}
	parts := e.withoutUnsetLists(lists.Join(m.items))
	found, err := e.validate(parts, m.changes, e.root.GetVersion())
	if err != nil {
		return err
	}
	if len(found) > 0 {
		conflict := e.newConflict(theirs, m.changes, nil)
		conflict.Findings = found
		return conflict
	}
	return nil
}

// editsShard says whether the edit may change the shard.
func (e *Editor) editsShard(name string) bool {
	switch family, _, _ := strings.Cut(name, "/"); family {
	case familyCallers:
		return e.edit.Callers != nil
	case familyPlans, familyServices:
		return e.edit.Plans != nil
	}
	return e.edit.Marks != nil
}

// withoutUnsetLists unsets the parts that the edit does not set.
func (e *Editor) withoutUnsetLists(c lists.Content) lists.Content {
	if e.edit.Callers == nil {
		c.Callers = nil
	}
	if e.edit.Plans == nil {
		c.Plans = nil
	}
	if e.edit.Marks == nil {
		c.Marks = nil
	}
	return c
}

// afterStepOne returns the references of step one and what remains of the edit:
// the difference between step one and the full edit as it was merged then.
func (e *Editor) afterStepOne(refs [][]*pb.ShardRef, asked []lists.Change) ([]*pb.ShardRef, []lists.Change, error) {
	base, before, step := refs[0], refs[1], refs[2]
	theirs, err := diffRefs(base, before, e.lookupShard)
	if err != nil {
		return nil, nil, err
	}
	full, conflict := e.rebase(theirs, asked)
	if conflict != nil {
		return nil, nil, conflict
	}
	undo, err := diffRefs(step, before, e.lookupShard)
	if err != nil {
		return nil, nil, err
	}
	remaining := map[lists.Key]lists.Change{}
	for _, c := range undo {
		remaining[c.Key] = c
	}
	for _, c := range full {
		if u, ok := remaining[c.Key]; ok {
			c.From = u.From
		}
		remaining[c.Key] = c
	}
	out := slices.Collect(maps.Values(remaining))
	out = slices.DeleteFunc(out, func(c lists.Change) bool { return equal(c.From, c.To) })
	slices.SortFunc(out, func(a, b lists.Change) int { return a.Key.Compare(b.Key) })
	return step, out, nil
}

// rebase returns what changes when the changes, made to some version, are made
// to the one that differs from it by theirs. An entry that both changed
// differently is a conflict.
func (e *Editor) rebase(theirs, changes []lists.Change) ([]lists.Change, *ConflictError) {
	current := make(map[lists.Key]proto.Message, len(theirs))
	for _, c := range theirs {
		current[c.Key] = c.To
	}
	conflicting := map[lists.Key]bool{}
	var out []lists.Change
	for _, c := range changes {
		if now, ok := current[c.Key]; ok && !equal(now, c.From) {
			conflicting[c.Key] = !equal(now, c.To)
			c.From = now
		}
		if !equal(c.From, c.To) {
			out = append(out, c)
		}
	}
	maps.DeleteFunc(conflicting, func(_ lists.Key, is bool) bool { return !is })
	if len(conflicting) > 0 {
		return nil, e.newConflict(theirs, changes, conflicting)
	}
	return out, nil
}

func applyChanges(items lists.Items, changes []lists.Change) lists.Items {
	for _, c := range changes {
		if c.To == nil {
			delete(items, c.Key)
		} else {
			items[c.Key] = c.To
		}
	}
	return items
}

// validate returns the faults of the parts that the edit sets, given the other
// parts of the version.
func (e *Editor) validate(parts lists.Content, changes []lists.Change, version uint64) (findings.Findings, error) {
	refs, _ := RefsAt(e.root, version)
	family := func(name string) (lists.Items, error) {
		return assembleItems(slices.DeleteFunc(slices.Clone(refs), func(r *pb.ShardRef) bool {
			return !strings.HasPrefix(r.GetName(), name+"/")
		}), e.lookupShard)
	}
	var planNames []string
	checked := parts
	if parts.Callers != nil && parts.Plans == nil {
		plans, err := family(familyPlans)
		if err != nil {
			return nil, err
		}
		for k := range plans {
			planNames = append(planNames, k.Name)
		}
	}
	if parts.Callers == nil && removes(changes, lists.KindPlan) {
		callers, err := family(familyCallers)
		if err != nil {
			return nil, err
		}
		checked.Callers = lists.Join(callers).Callers
	}
	found := lists.CheckParts(checked, planNames)
	if !adds(changes, lists.KindDataCentreOut) {
		return found, nil
	}
	services := lists.Flatten(lists.Content{Plans: parts.Plans})
	if parts.Plans == nil {
		var err error
		if services, err = family(familyServices); err != nil {
			return nil, err
		}
	}
	return append(found, unknownDataCentres(changes, services)...), nil
}

func removes(changes []lists.Change, kind lists.Kind) bool {
	return slices.ContainsFunc(changes, func(c lists.Change) bool { return c.Key.Kind == kind && c.To == nil })
}

func adds(changes []lists.Change, kind lists.Kind) bool {
	return slices.ContainsFunc(changes, func(c lists.Change) bool { return c.Key.Kind == kind && c.From == nil })
}

// unknownDataCentres reports new marks on data centres that have no site. Such a
// mark has no effect, and the operator would believe the data centre is out.
// Older marks may stay when the last site of a marked data centre goes.
func unknownDataCentres(changes []lists.Change, services lists.Items) findings.Findings {
	known := map[string]bool{}
	for k := range services {
		if k.Kind == lists.KindSite {
			known[k.Sub] = true
		}
	}
	var found findings.Findings
	for _, c := range changes {
		if c.Key.Kind == lists.KindDataCentreOut && c.To != nil && !known[c.Key.Name] {
			found = append(found, findings.Finding{File: "marks", Path: "data_centres_out",
				Message: fmt.Sprintf("data centre %q has no site", c.Key.Name)})
		}
	}
	return found
}

// newConflict describes both edits of the given entries, or of all when only is
// nil.
func (e *Editor) newConflict(theirs, yours []lists.Change, only map[lists.Key]bool) *ConflictError {
	pick := func(changes []lists.Change) []string {
		var out []lists.Change
		for _, c := range changes {
			if only == nil || only[c.Key] {
				out = append(out, c)
			}
		}
		return lists.Describe(out)
	}
	conflict := &ConflictError{StepOneVersion: e.stepOneVersion, Yours: pick(yours), Theirs: pick(theirs)}
	for _, r := range e.root.GetEdits() {
		if r.GetVersion() > e.edit.BaseVersion && r.GetId() != stepOneID(e.edit.ID) {
			conflict.TheirEdits = append(conflict.TheirEdits, &pb.EditRecord{Id: r.GetId(), Operator: r.GetOperator(),
				Summary: r.GetSummary(), Version: r.GetVersion(), AcceptedUnixMs: r.GetAcceptedUnixMs()})
		}
	}
	return conflict
}

func equal(a, b proto.Message) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return a == b || proto.Equal(a, b)
}

func buildCatalog(version uint64, c lists.Content) (*model.Catalog, findings.Findings) {
	return lists.BuildCatalog(version, c.Callers, c.Plans, c.Marks)
}
