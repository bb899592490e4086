package lists

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Diff describes the changes between two valid contents, one change per line.
func Diff(from, to Content) []string {
	return Describe(Changes(Flatten(from), Flatten(to)))
}

// maxDescribedChanges limits the lines of a description. A first import has one
// change per entry: too many to read and too large for the response.
const maxDescribedChanges = 1000

// Describe formats changes, one per line. Of the changes after the first 1,000
// it gives only the number.
func Describe(changes []Change) []string {
	out := make([]string, 0, min(len(changes), maxDescribedChanges+1))
	for i, c := range changes {
		if i == maxDescribedChanges {
			return append(out, fmt.Sprintf("and %d more changes", len(changes)-i))
		}
		out = append(out, c.String())
	}
	return out
}

// String formats the change for operators: "+" is an added item, "-" a removed
// one, "~" a modified one.
func (c Change) String() string {
	switch {
	case c.Key.Kind == KindDataCentreOut || c.Key.Kind == KindInstanceOut:
		kind := map[Kind]string{KindDataCentreOut: "data centre", KindInstanceOut: "instance"}[c.Key.Kind]
		if c.To == nil {
			return kind + " " + c.Key.Name + ": marked in"
		}
		return kind + " " + c.Key.Name + ": marked out"
	case c.From == nil:
		return strings.TrimSuffix("+ "+c.Key.String()+": "+describeItem(c.To), ": ")
	case c.To == nil:
		return "- " + c.Key.String()
	}
	return "~ " + c.Key.String() + ": " + strings.Join(itemChanges(c.From, c.To), ", ")
}

// itemChanges lists the fields that differ between two values of an item. Names
// do not appear because they are part of the key.
func itemChanges(a, b proto.Message) []string {
	var out []string
	from, to := itemMessages(a), itemMessages(b)
	for i := range to {
		out = append(out, fieldChanges(from[i].ProtoReflect(), to[i].ProtoReflect())...)
	}
	return out
}

// describeItem lists the fields of an item that are set, except for its name.
func describeItem(m proto.Message) string {
	var out []string
	for _, p := range itemMessages(m) {
		r := p.ProtoReflect()
		empty := r.New()
		if name := r.Descriptor().Fields().ByName("name"); name != nil {
			empty.Set(name, r.Get(name))
		}
		out = append(out, fieldChanges(empty, r)...)
	}
	return strings.Join(out, ", ")
}

// itemMessages returns the messages that hold the fields of an item: an item of
// a service is a ServiceEntry, of which only the objective, the site or the site
// and the server are relevant.
func itemMessages(m proto.Message) []proto.Message {
	s, ok := m.(*pb.ServiceEntry)
	if !ok {
		return []proto.Message{m}
	}
	if len(s.GetSites()) == 0 {
		return []proto.Message{s.GetObjective()}
	}
	site := s.GetSites()[0]
	siteOnly := &pb.ServiceSite{DataCentre: site.GetDataCentre(), Address: site.GetAddress()}
	if len(site.GetServers()) == 0 {
		return []proto.Message{siteOnly}
	}
	return []proto.Message{siteOnly, site.GetServers()[0]}
}

// fieldChanges lists the fields that differ as "name old -> new", or as
// "name new" if the field was not set.
func fieldChanges(a, b protoreflect.Message) []string {
	var out []string
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Message() != nil:
			out = append(out, messageListChanges(f, a.Get(f).List(), b.Get(f).List())...)
		case f.IsList():
			out = append(out, valueListChanges(f, a.Get(f).List(), b.Get(f).List())...)
		case f.Message() != nil:
			out = append(out, fieldChanges(a.Get(f).Message(), b.Get(f).Message())...)
		case !a.Get(f).Equal(b.Get(f)):
			if a.Has(f) {
				out = append(out, fmt.Sprintf("%s %v -> %v", f.Name(), a.Get(f), b.Get(f)))
			} else {
				out = append(out, fmt.Sprintf("%s %v", f.Name(), b.Get(f)))
			}
		}
	}
	return out
}

// valueListChanges lists the elements removed from and added to a list of
// scalars.
func valueListChanges(f protoreflect.FieldDescriptor, a, b protoreflect.List) []string {
	valueSet := func(l protoreflect.List) map[string]bool {
		m := map[string]bool{}
		for i := range l.Len() {
			m[l.Get(i).String()] = true
		}
		return m
	}
	inA, inB := valueSet(a), valueSet(b)
	var out []string
	for i := range a.Len() {
		if v := a.Get(i).String(); !inB[v] {
			out = append(out, fmt.Sprintf("%s -%s", f.Name(), v))
		}
	}
	for i := range b.Len() {
		if v := b.Get(i).String(); !inA[v] {
			out = append(out, fmt.Sprintf("%s +%s", f.Name(), v))
		}
	}
	if len(out) == 0 && !listsEqual(a, b) {
		out = append(out, fmt.Sprintf("%s reordered", f.Name()))
	}
	return out
}

func listsEqual(a, b protoreflect.List) bool {
	return protoreflect.ValueOfList(a).Equal(protoreflect.ValueOfList(b))
}

// messageListChanges lists the elements removed from, added to and changed in a
// list of messages. Elements are matched by their first field, which is a name.
func messageListChanges(f protoreflect.FieldDescriptor, a, b protoreflect.List) []string {
	name := f.Message().Fields().Get(0)
	byName := func(l protoreflect.List) map[string]protoreflect.Message {
		m := map[string]protoreflect.Message{}
		for i := range l.Len() {
			m[l.Get(i).Message().Get(name).String()] = l.Get(i).Message()
		}
		return m
	}
	inA, inB := byName(a), byName(b)
	var out []string
	for i := range a.Len() {
		if n := a.Get(i).Message().Get(name).String(); inB[n] == nil {
			out = append(out, fmt.Sprintf("%s -%s", f.Name(), n))
		}
	}
	for i := range b.Len() {
		m := b.Get(i).Message()
		n := m.Get(name).String()
		from := inA[n]
		if from == nil {
			empty := m.New()
			empty.Set(name, m.Get(name))
			out = append(out, strings.TrimSpace(fmt.Sprintf("%s +%s %s", f.Name(), n, strings.Join(fieldChanges(empty, m), " "))))
			continue
		}
		if changes := fieldChanges(from, m); len(changes) > 0 {
			out = append(out, fmt.Sprintf("%s %s: %s", f.Name(), n, strings.Join(changes, " ")))
		}
	}
	if len(out) == 0 && !listsEqual(a, b) {
		out = append(out, fmt.Sprintf("%s reordered", f.Name()))
	}
	return out
}
