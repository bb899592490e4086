package gatewayshell

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"cuminshift/internal/metricstext"
)

// counters are the metrics of one instance; they count from its start.
type counters struct {
	registry metrics.Registry

	packets, forwarded, resets, dropped, malformed           metrics.Counter
	socketErrors, probes, storeCalls, storeErrors, feedCalls metrics.Counter
	flows                                                    metrics.Gauge
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		registry:     r,
		packets:      counter("packets"),
		forwarded:    counter("packets_forwarded"),
		resets:       counter("packets_reset"),
		dropped:      counter("packets_dropped"),
		malformed:    counter("packets_malformed"),
		socketErrors: counter("socket_errors"),
		probes:       counter("probes"),
		storeCalls:   counter("store_calls"),
		storeErrors:  counter("store_errors"),
		feedCalls:    counter("feed_calls"),
		flows:        metrics.GetOrRegisterGauge("flows", r),
	}
}

func (sh *Shell) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	sh.counters.flows.Update(int64(sh.core.Flows()))
	if err := metricstext.Write(w, sh.counters.registry); err != nil {
		sh.log.failed("metrics", err)
	}
}
