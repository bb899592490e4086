package config

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/lists"
	"cuminshift/internal/model"
)

// merged is an edit applied to the current version.
type merged struct {
	// asked are the changes that the operator asked for.
	asked          []lists.Change
	current, items lists.Items
}

// merge applies the edit to the current version. versions comes from
// Editor.versions. It fails with *Conflict or *findings.Error.
func (e *Editor) merge(versions []uint64) (*merged, error) {
	at := make([]lists.Items, len(versions))
	for i, v := range versions {
		var err error
		if i > 0 && v == versions[i-1] {
			at[i] = at[i-1]
		} else if at[i], err = e.itemsAt(v); err != nil {
			return nil, err
		}
	}
	base, current := at[0], at[len(at)-1]
	wanted := e.wanted(base)
	target, found := lists.Flatten(wanted), lists.CheckContent(wanted)
	m := &merged{asked: lists.Changes(base, target), current: current}
	if found = append(found, unknownCentres(m.asked, target)...); len(found) > 0 {
		return nil, found.Err()
	}
	from, remaining := base, m.asked
	if len(at) == 4 {
		// Step one is in the root: what remains is the difference between its
		// content and the full edit as it was merged then.
		full, conflict := e.rebase(base, at[1], m.asked)
		if conflict != nil {
			return nil, conflict
		}
		from, remaining = at[2], lists.Changes(at[2], full)
	}
	items, conflict := e.rebase(from, current, remaining)
	if conflict != nil {
		return nil, conflict
	}
	m.items = items
	if versions[0] == e.root.GetVersion() {
		return m, nil
	}
	if found := lists.CheckContent(lists.Join(items)); len(found) > 0 {
		conflict := e.conflict(from, current, remaining, nil)
		conflict.Findings = found
		return nil, conflict
	}
	return m, nil
}

// wanted returns the content that the operator wants, given the base version.
func (e *Editor) wanted(base lists.Items) lists.Content {
	c := lists.Join(base)
	if e.edit.Callers != nil {
		c.Callers = e.edit.Callers
	}
	if e.edit.Plans != nil {
		c.Plans = e.edit.Plans
	}
	if e.edit.Marks != nil {
		c.Marks = e.edit.Marks
	}
	return c
}

// unknownCentres reports new marks on data centres that have no site. Such a
// mark has no effect, and the operator would believe the data centre is out.
// Older marks may stay when the last site of a marked data centre goes.
func unknownCentres(changes []lists.Change, target lists.Items) findings.Findings {
	known := map[string]bool{}
	for k := range target {
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

// rebase applies changes made to the base version to the current one. An entry
// that both edits changed differently is a conflict.
func (e *Editor) rebase(base, current lists.Items, changes []lists.Change) (lists.Items, *Conflict) {
	if len(changes) == 0 {
		return current, nil
	}
	clash := map[lists.Key]bool{}
	out := maps.Clone(current)
	for _, c := range changes {
		if !same(current[c.Key], c.From) && !same(current[c.Key], c.To) {
			clash[c.Key] = true
		}
		if c.To == nil {
			delete(out, c.Key)
		} else {
			out[c.Key] = c.To
		}
	}
	if len(clash) > 0 {
		return nil, e.conflict(base, current, changes, clash)
	}
	return out, nil
}

// conflict describes both edits of the given entries, or of all when only is
// nil.
func (e *Editor) conflict(base, current lists.Items, yours []lists.Change, only map[lists.Key]bool) *Conflict {
	pick := func(changes []lists.Change) []string {
		var out []lists.Change
		for _, c := range changes {
			if only == nil || only[c.Key] {
				out = append(out, c)
			}
		}
		return lists.Describe(out)
	}
	conflict := &Conflict{Published: e.stepOne, Yours: pick(yours), Theirs: pick(lists.Changes(base, current))}
	for _, r := range e.root.GetEdits() {
		if r.GetVersion() > e.edit.BaseVersion && r.GetId() != stepOneID(e.edit.ID) {
			conflict.TheirEdits = append(conflict.TheirEdits, &pb.EditRecord{Id: r.GetId(), Operator: r.GetOperator(),
				Summary: r.GetSummary(), Version: r.GetVersion(), AcceptedUnixMs: r.GetAcceptedUnixMs()})
		}
	}
	return conflict
}

func same(a, b proto.Message) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return proto.Equal(a, b)
}

func buildCatalog(version uint64, c lists.Content) (*model.Catalog, findings.Findings) {
	return lists.BuildCatalog(version, c.Callers, c.Plans, c.Marks)
}
