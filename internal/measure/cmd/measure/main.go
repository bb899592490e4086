// Command measure prints the measured figures, one per line, and writes them as a
// table to a file.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"cuminshift/internal/measure"
)

func main() {
	seed, only, file := uint64(1), "", ""
	flaggy.SetName("measure")
	flaggy.SetDescription("prints the measured figures with those of the baselines")
	flaggy.UInt64(&seed, "s", "seed", "seed of the simulation")
	flaggy.String(&only, "o", "only", "run only this part: broken, control, imbalance, alerts, centre or edits")
	flaggy.String(&file, "f", "file", "file to write the table to")
	flaggy.Parse()

	parts := []struct {
		name string
		run  func(uint64, func(measure.Figure))
	}{
		{"broken", measure.BrokenFlows},
		{"control", measure.Control},
		{"imbalance", measure.Imbalance},
		{"alerts", measure.AlertWaits},
		{"centre", measure.DataCentreOut},
		{"edits", measure.Edits},
	}
	var figures []measure.Figure
	for _, p := range parts {
		if only != "" && only != p.name {
			continue
		}
		begin := time.Now()
		p.run(seed, func(f measure.Figure) {
			fmt.Println(f)
			figures = append(figures, f)
		})
		fmt.Fprintf(os.Stderr, "%s took %.0f s\n", p.name, time.Since(begin).Seconds())
	}
	if file == "" {
		return
	}
	if err := os.WriteFile(file, []byte(table(seed, figures)), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func table(seed uint64, figures []measure.Figure) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurements\n\nWritten by `make measure SEED=%d` on %s. The model is `internal/measure`: the decision code\nof the product with a simulated clock, sizes as in docs/design.md, section 1.\n\n", seed, time.Now().UTC().Format("2006-01-02"))
	b.WriteString("| figure | value | unit | baseline | its value | goal |\n|---|---|---|---|---|---|\n")
	for _, f := range figures {
		base := ""
		if f.Baseline != "" {
			base = fmt.Sprintf("%.4g", f.ValueBaseline)
		}
		fmt.Fprintf(&b, "| %s | %.4g | %s | %s | %s | %s |\n", f.Name, f.Value, f.Unit, f.Baseline, base, f.Goal)
	}
	return b.String()
}
