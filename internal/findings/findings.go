// Package findings collects the errors in an input file with their positions, so
// that they are reported all at once.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is an error at a position in the input. Line and Column start at 1. If
// the input is not text, they are 0 and Path gives the position.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as "file:line:column: message", or as
// "file: path: message" without a line.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings are the errors in an input; it is empty if the input is valid.
type Findings []Finding

// Sort orders the findings by file and position.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
}

// String formats the findings, one per line.
func (fs Findings) String() string {
	var b strings.Builder
	for _, f := range fs {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Err returns the findings as an *Error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return &Error{Findings: fs}
}

// Error is an error that consists of one or more findings.
type Error struct {
	Findings Findings
}

// Error returns the number of findings and all findings, one per line.
func (e *Error) Error() string {
	return fmt.Sprintf("%d findings:\n%s", len(e.Findings), e.Findings)
}
