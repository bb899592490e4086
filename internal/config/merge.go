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

// mergeResult is the result of applying an edit to the current version.
type mergeResult struct {
	// requested are the changes that the operator requested, relative to the base
	// version. changes are those that still have to be made to the current
	// version.
	requested, changes []lists.Change
	// items and shardSet are the resulting content. They leave out the lists that the
	// edit does not set.
	items    lists.Items
	shardSet *ShardSet
}

// merge applies the edit to the current version as a three-way merge. It compares
// shards by hash and decodes only those that differ, so its cost does not depend
// on the size of the lists that the edit does not set. versions is the result of
// comparedVersions. It fails with *ConflictError or *findings.Error.
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
	if m.shardSet, err = splitItems(m.items); err != nil {
		return nil, err
	}
	shard := func(hash string) ([]byte, bool) {
		if data, ok := m.shardSet.Shards[hash]; ok {
			return data, true
		}
		return e.lookupShard(hash)
	}
	if m.requested, err = diffRefs(base, m.shardSet.Refs, shard); err != nil {
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

// errOrFindings returns err or, if that is nil, the findings as an error.
func errOrFindings(err error, found findings.Findings) error {
	if err != nil {
		return err
	}
	return found.Err()
}

// applyToCurrent sets the items and the shards of m to the current content with
// the changes of m applied.
func (e *Editor) applyToCurrent(current []*pb.ShardRef, m *mergeResult, theirs []lists.Change) error {
	items, err := assembleItems(current, e.lookupShard)
	if err != nil {
		return err
	}
	m.items = applyChanges(items, m.changes)
	if m.shardSet, err = splitItems(m.items); err != nil {
		return err
	}
	parts := e.withoutUnsetLists(lists.Unflatten(m.items))
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

// editsShard reports whether the edit may change the shard with the name.
func (e *Editor) editsShard(name string) bool {
	switch family, _, _ := strings.Cut(name, "/"); family {
	case familyCallers:
		return e.edit.Callers != nil
	case familyPlans, familyServices:
		return e.edit.Plans != nil
	}
	return e.edit.Marks != nil
}

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

// afterStepOne returns the shard references of the version that step one published
// and the changes from that version to the complete edit. The complete edit is the
// requested changes applied to the version before step one. refs contains the
// references of the versions of comparedVersions.
func (e *Editor) afterStepOne(refs [][]*pb.ShardRef, requested []lists.Change) ([]*pb.ShardRef, []lists.Change, error) {
	base, before, step := refs[0], refs[1], refs[2]
	theirs, err := diffRefs(base, before, e.lookupShard)
	if err != nil {
		return nil, nil, err
	}
	full, conflict := e.rebase(theirs, requested)
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

// rebase converts changes to a version into changes to a later version that
// differs from it by theirs. An item that both have changed to different values
// is a conflict.
func (e *Editor) rebase(theirs, changes []lists.Change) ([]lists.Change, *ConflictError) {
	current := make(map[lists.Key]proto.Message, len(theirs))
	for _, c := range theirs {
		current[c.Key] = c.To
	}
	conflicting := map[lists.Key]bool{}
	var out []lists.Change
	for _, c := range changes {
		if value, ok := current[c.Key]; ok && !equal(value, c.From) {
			conflicting[c.Key] = !equal(value, c.To)
			c.From = value
		}
		if !equal(c.From, c.To) {
			out = append(out, c)
		}
	}
	maps.DeleteFunc(conflicting, func(_ lists.Key, conflicts bool) bool { return !conflicts })
	if len(conflicting) > 0 {
		return nil, e.newConflict(theirs, changes, conflicting)
	}
	return out, nil
}

// applyChanges modifies items and returns them.
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

// validate checks the lists that the edit sets, together with the other lists of
// the given version, and returns the findings. changes are the edit's changes to
// that version.
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
		checked.Callers = lists.Unflatten(callers).Callers
	}
	found := lists.CheckPartialContent(checked, planNames)
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

// unknownDataCentres returns a finding for each new mark that takes a data centre
// without any site out of service. Such a mark has no effect, yet the operator
// would assume that the data centre is out of service. An existing mark may remain
// when the last site of its data centre is removed.
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

// newConflict returns an error that describes both edits of the items in only, or
// of all items if only is nil.
func (e *Editor) newConflict(theirs, yours []lists.Change, only map[lists.Key]bool) *ConflictError {
	describe := func(changes []lists.Change) []string {
		var out []lists.Change
		for _, c := range changes {
			if only == nil || only[c.Key] {
				out = append(out, c)
			}
		}
		return lists.Describe(out)
	}
	conflict := &ConflictError{StepOneVersion: e.stepOneVersion, Yours: describe(yours), Theirs: describe(theirs)}
	for _, r := range e.root.GetEdits() {
		if r.GetVersion() > e.edit.BaseVersion && r.GetId() != stepOneID(e.edit.ID) {
			conflict.TheirEdits = append(conflict.TheirEdits, &pb.EditRecord{Id: r.GetId(), Operator: r.GetOperator(),
				Summary: r.GetSummary(), Version: r.GetVersion(), AcceptedUnixMs: r.GetAcceptedUnixMs()})
		}
	}
	return conflict
}

// equal reports whether two items are equal; nil stands for a missing item.
func equal(a, b proto.Message) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return a == b || proto.Equal(a, b)
}

func buildCatalog(version uint64, c lists.Content) (*model.Catalog, findings.Findings) {
	return lists.BuildCatalog(version, c.Callers, c.Plans, c.Marks)
}
