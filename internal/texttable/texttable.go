// Package texttable writes tables for operators.
package texttable

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write writes rows as aligned columns. A failure of the output shows to whoever
// reads it.
func Write(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}
