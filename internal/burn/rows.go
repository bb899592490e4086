package burn

import (
	"fmt"
	"strings"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// Rows returns the lines of a report as the rows of a table, header row first.
func Rows(lines []*pb.BurnLine) [][]string {
	rows := [][]string{{"SERVICE", "DATA CENTRE", "OBJECTIVE", "WINDOW", "GOOD", "BAD", "BURN", "BUDGET LEFT", "EVENTS"}}
	for _, l := range lines {
		rows = append(rows, []string{l.GetService(), l.GetDataCentre(), l.GetObjective(),
			(time.Duration(l.GetWindowS()) * time.Second).String(), fmt.Sprint(l.GetGood()), fmt.Sprint(l.GetBad()),
			fmt.Sprintf("%.2f", l.GetBurnRate()), fmt.Sprintf("%.1f%%", 100*l.GetBudgetLeft()), strings.Join(l.GetEvents(), "; ")})
	}
	return rows
}
