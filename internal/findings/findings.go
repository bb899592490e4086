// Package findings collects the faults of an input file with their places, so
// that one report shows all of them.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault at one place. Line and Column start at 1; they are 0
// when the input has no text form, and Path then names the place.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is a report; it is empty when the input is valid.
type Findings []Finding

// Sort orders the report by file and place.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
}

// String formats the report with one finding per line.
func (fs Findings) String() string {
	var b strings.Builder
	for _, f := range fs {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Err returns the report as an *Error, or nil when it is empty.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return &Error{Findings: fs}
}

// Error is a non-empty report as an error.
type Error struct {
	Findings Findings
}

// Error returns the whole report.
func (e *Error) Error() string {
	return fmt.Sprintf("%d findings:\n%s", len(e.Findings), e.Findings)
}
