// Command matrix injects every fault at every step, and generated pairs of faults
// at random steps, into simulated instances that run the entry core. It prints the
// cells that violate an invariant and exits with 1 if there are any.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"

	"cuminshift/internal/faultmatrix"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random choices and of the pairs")
	pairs := flag.Int("pairs", 100, "number of generated pairs of faults")
	cellFilter := flag.String("cell", "", "run only cells whose name contains this text")
	trace := flag.Int("trace", 40, "trace lines printed before a cell's first violation")
	tracedCaller := flag.String("watch", "", "caller (ip:port) whose packets are added to the trace")
	workers := flag.Int("workers", 4, "number of cells that run in parallel")
	flag.Parse()
	var cells []faultmatrix.Cell
	for _, c := range faultmatrix.Cells(*seed, *pairs) {
		if strings.Contains(c.String(), *cellFilter) {
			cells = append(cells, c)
		}
	}
	failed, notReached, broken, flows := 0, 0, 0, 0
	for _, r := range runAll(cells, *seed, *workers, *tracedCaller) {
		if !r.StepReached {
			notReached++
			fmt.Printf("step not reached: %v\n", r.Cell)
		}
		if r.BrokenFlows > 0 {
			fmt.Printf("unplanned: %v broke %d of %d flows: %s\n", r.Cell, r.BrokenFlows, r.OpenedFlows, r.LastBrokenFlow)
		}
		broken += r.BrokenFlows
		flows += r.OpenedFlows
		if len(r.Violations) > 0 {
			failed++
			report(r, *trace)
		}
	}
	fmt.Printf("matrix seed=%d cells=%d passed=%d failed=%d step_not_reached=%d broken_unplanned=%d flows=%d\n",
		*seed, len(cells), len(cells)-failed, failed, notReached, broken, flows)
	if failed > 0 {
		os.Exit(1)
	}
}

// runAll runs the cells in parallel and returns the results in order.
func runAll(cells []faultmatrix.Cell, seed uint64, workers int, tracedCaller string) []faultmatrix.Result {
	results := make([]faultmatrix.Result, len(cells))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i] = faultmatrix.RunTracingCaller(cells[i], seed, faultmatrix.NewEntryInstance, tracedCaller)
			}
		})
	}
	for i := range cells {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// report prints a failed cell and the trace lines before its first violation.
func report(r faultmatrix.Result, lines int) {
	fmt.Printf("cell %v seed=%d: %d violations, first %v\n", r.Cell, r.Seed, len(r.Violations), r.Violations[0])
	last := len(r.Trace)
	for i, l := range r.Trace {
		if strings.Contains(l, "VIOLATION") {
			last = i + 1
			break
		}
	}
	for _, l := range r.Trace[max(0, last-lines):last] {
		fmt.Println("    " + l)
	}
}
