// Package lists parses and validates the configuration of the entry instances:
// the operators' caller list and plan list (YAML files) and the marks that take
// data centres and instances out of service. The plan list also contains the
// services and their servers. The package compares two versions of the
// configuration item by item and builds the catalog (model.Catalog), which is the
// indexed form that the packet path uses.
package lists

import (
	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/yamlsource"
)

// CallerFile is a caller list and the YAML text that it was parsed from. Source is
// nil if the list does not come from a file.
type CallerFile struct {
	List   *pb.CallerList
	Source *yamlsource.Source
}

// PlanFile is a plan list and the YAML text that it was parsed from. Source is nil
// if the list does not come from a file.
type PlanFile struct {
	List   *pb.PlanList
	Source *yamlsource.Source
}

// Content is the whole configuration of one version.
type Content struct {
	Callers *pb.CallerList
	Plans   *pb.PlanList
	Marks   *pb.Marks
}

// withDefaults replaces nil fields with empty messages.
func (c Content) withDefaults() Content {
	if c.Callers == nil {
		c.Callers = &pb.CallerList{}
	}
	if c.Plans == nil {
		c.Plans = &pb.PlanList{}
	}
	if c.Marks == nil {
		c.Marks = &pb.Marks{}
	}
	return c
}

// ParseCallers decodes callers.yaml. The findings are syntax and type errors only;
// Validate checks the values.
func ParseCallers(file string, data []byte) (CallerFile, findings.Findings) {
	list := &pb.CallerList{}
	src, found := yamlsource.ParseYAML(file, data, list)
	return CallerFile{List: list, Source: src}, found
}

// ParsePlans decodes plans.yaml. The findings are syntax and type errors only;
// Validate checks the values.
func ParsePlans(file string, data []byte) (PlanFile, findings.Findings) {
	list := &pb.PlanList{}
	src, found := yamlsource.ParseYAML(file, data, list)
	return PlanFile{List: list, Source: src}, found
}

// Validate returns all findings in the lists and marks.
func Validate(callers CallerFile, plans PlanFile, marks *pb.Marks) findings.Findings {
	c := newChecker(callers, plans, marks)
	c.checkAll()
	c.checkMarkedDataCentres()
	c.found.Sort()
	return c.found
}

// CheckContent returns the findings that prevent content from being published
// as a version. Unlike Validate, it accepts a mark on a data centre without a
// site, because a later edit may remove the last site of a marked data centre.
func CheckContent(content Content) findings.Findings {
	c := newChecker(CallerFile{List: content.Callers}, PlanFile{List: content.Plans}, content.Marks)
	c.checkAll()
	c.found.Sort()
	return c.found
}

// CheckPartialContent is CheckContent for content of which some fields may be
// nil. If Plans is nil, planNames lists the plans that callers may refer to.
func CheckPartialContent(content Content, planNames []string) findings.Findings {
	c := newChecker(CallerFile{List: content.Callers}, PlanFile{List: content.Plans}, content.Marks)
	if content.Plans == nil {
		for _, name := range planNames {
			c.planNames[name] = true
		}
	}
	c.checkAll()
	c.found.Sort()
	return c.found
}
