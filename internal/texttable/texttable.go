// Package texttable writes tables as text with aligned columns.
package texttable

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write writes rows as aligned columns. It ignores write errors: the reader of
// the output sees that it is incomplete.
func Write(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}
