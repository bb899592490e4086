// Package lists reads the operators' two YAML lists, checks them together with
// the marks, compares versions and builds the catalog.
package lists

import (
	"cuminshift/internal/findings"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/yamlsource"
)

// Callers is a caller list with the text it came from, if any.
type Callers struct {
	List   *pb.CallerList
	Source *yamlsource.Source
}

// Plans is a plan list with the text it came from, if any.
type Plans struct {
	List   *pb.PlanList
	Source *yamlsource.Source
}

// Content is the whole configuration of one version.
type Content struct {
	Callers *pb.CallerList
	Plans   *pb.PlanList
	Marks   *pb.Marks
}

// withDefaults replaces unset parts by empty ones.
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

// ParseCallers decodes callers.yaml. The findings are those of the form only;
// Validate checks the content.
func ParseCallers(file string, data []byte) (Callers, findings.Findings) {
	list := &pb.CallerList{}
	src, found := yamlsource.ParseYAML(file, data, list)
	return Callers{List: list, Source: src}, found
}

// ParsePlans decodes plans.yaml. The findings are those of the form only;
// Validate checks the content.
func ParsePlans(file string, data []byte) (Plans, findings.Findings) {
	list := &pb.PlanList{}
	src, found := yamlsource.ParseYAML(file, data, list)
	return Plans{List: list, Source: src}, found
}

// Validate returns every fault of the lists and marks.
func Validate(callers Callers, plans Plans, marks *pb.Marks) findings.Findings {
	c := newChecker(callers, plans, marks)
	c.checkAll()
	c.checkMarkedDataCentres()
	c.found.Sort()
	return c.found
}

// CheckContent returns the faults that keep content from becoming a version.
// A mark on a data centre without a site is none: a later edit may remove the
// last site of a marked data centre.
func CheckContent(content Content) findings.Findings {
	c := newChecker(Callers{List: content.Callers}, Plans{List: content.Plans}, content.Marks)
	c.checkAll()
	c.found.Sort()
	return c.found
}

// CheckPartialContent is CheckContent for the parts that are set. planNames names the
// plans when Plans is not set.
func CheckPartialContent(content Content, planNames []string) findings.Findings {
	c := newChecker(Callers{List: content.Callers}, Plans{List: content.Plans}, content.Marks)
	if content.Plans == nil {
		for _, name := range planNames {
			c.planNames[name] = true
		}
	}
	c.checkAll()
	c.found.Sort()
	return c.found
}
