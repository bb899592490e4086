// Package metricstext writes metrics in the Prometheus text format.
package metricstext

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "cuminshift_"

// quantiles are the quantiles reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Write writes the counters, gauges and histograms of a registry in the
// Prometheus text format, sorted by name. No library for this format is
// available through the module proxy.
func Write(w io.Writer, registry metrics.Registry) error {
	var names []string
	registry.Each(func(name string, _ any) { names = append(names, name) })
	sort.Strings(names)
	for _, name := range names {
		if err := writeMetric(w, metricPrefix+strings.ReplaceAll(name, "-", "_"), registry.Get(name)); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, name string, metric any) error {
	switch m := metric.(type) {
	case metrics.Counter:
		_, err := fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
		return err
	case metrics.Gauge:
		_, err := fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
		return err
	case metrics.Histogram:
		return writeHistogram(w, name, m.Snapshot())
	}
	return nil
}

// writeHistogram writes a histogram as a summary with quantiles.
func writeHistogram(w io.Writer, name string, h metrics.Histogram) error {
	if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
		return err
	}
	for i, value := range h.Percentiles(quantiles) {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
	return err
}
