package gatewayshell

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"cuminshift/internal/gateway"
	"cuminshift/internal/metricstext"
	"cuminshift/internal/source"
)

const (
	// histogramSamples and histogramAlpha are the usual size and decay factor of
	// a sample that is weighted towards the last five minutes.
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// counters are the metrics of one instance since its start.
type counters struct {
	registry metrics.Registry

	packets, forwarded, resets, dropped, malformed                    metrics.Counter
	socketErrors, probes, storeCalls, storeErrors, feedCalls, reloads metrics.Counter
	// flows is the number of tracked flows, and servers that of the servers with an
	// entry in the registry.
	flows, servers metrics.Gauge
	// objectsRejected counts objects of the store that could not be decoded, each time
	// that they were received.
	objectsRejected metrics.Counter
	// answersTooLarge counts the answers of watches that exceeded the limit of the
	// store's client.
	answersTooLarge metrics.Counter
	// following is 1 while this instance is registered and follows another one.
	following  metrics.Gauge
	logDropped metrics.Gauge
	// storeEra is the era as of which the configuration was last read.
	storeEra metrics.Gauge
	// configurationVersion is the version in force; 0 before the first.
	configurationVersion   metrics.Gauge
	feedSent, feedReceived metrics.Gauge

	// feedUpdateSent is the size of the updates sent to followers, by source, and
	// feedStateSent the part of it that complete states take.
	feedUpdateSent [source.NumKinds]metrics.Counter
	feedStateSent  metrics.Counter

	// answerTime is the time in microseconds from a caller's request to the first
	// acknowledgement of its answer, openTime the time from an opening to its
	// acceptance.
	answerTime, openTime metrics.Histogram
	// refusedLink counts the openings refused because the link is full.
	refusedLink metrics.Counter
	// refusedOverload counts the openings refused because the servers of their service
	// are full, spilled those that go to another data centre for that reason.
	refusedOverload, spilled metrics.Counter
	// serverRefusals counts the requests that servers have refused.
	serverRefusals         metrics.Counter
	linkUtilizationPercent metrics.Gauge
	// probesDeferred is the number of probes that had to wait for the budget since the
	// start of the instance.
	probesDeferred metrics.Gauge
	// reasons counts verdicts by reason.
	reasons [gateway.Reasons]metrics.Counter
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	}
	c := &counters{
		registry:             r,
		packets:              counter("packets"),
		forwarded:            counter("packets_forwarded"),
		resets:               counter("packets_reset"),
		dropped:              counter("packets_dropped"),
		malformed:            counter("packets_malformed"),
		socketErrors:         counter("socket_errors"),
		probes:               counter("probes"),
		storeCalls:           counter("store_calls"),
		storeErrors:          counter("store_errors"),
		feedCalls:            counter("feed_calls"),
		reloads:              counter("settings_reloads"),
		flows:                metrics.GetOrRegisterGauge("flows", r),
		servers:              metrics.GetOrRegisterGauge("servers", r),
		objectsRejected:      counter("store_objects_rejected"),
		answersTooLarge:      counter("store_answers_too_large"),
		following:            metrics.GetOrRegisterGauge("following", r),
		feedSent:             metrics.GetOrRegisterGauge("feed_bytes_sent", r),
		feedReceived:         metrics.GetOrRegisterGauge("feed_bytes_received", r),
		configurationVersion: metrics.GetOrRegisterGauge("configuration_version", r),
		storeEra:             metrics.GetOrRegisterGauge("store_era", r),
		logDropped:           metrics.GetOrRegisterGauge("log_lines_dropped", r),
		answerTime:           histogram("answer_time_us"),
		openTime:             histogram("open_time_us"),

		refusedLink:            counter("openings_refused_link"),
		refusedOverload:        counter("openings_refused_overload"),
		spilled:                counter("openings_spilled"),
		serverRefusals:         counter("server_refusals"),
		probesDeferred:         metrics.GetOrRegisterGauge("probes_deferred", r),
		linkUtilizationPercent: metrics.GetOrRegisterGauge("link_utilization_percent", r),
	}
	c.feedStateSent = counter("feed_bytes_sent_complete")
	for k := range c.feedUpdateSent {
		c.feedUpdateSent[k] = counter("feed_bytes_sent_" + source.Kind(k).String())
	}
	for reason := range c.reasons {
		c.reasons[reason] = counter("verdict_" + strings.ReplaceAll(gateway.Reason(reason).String(), " ", "_"))
	}
	return c
}

// recordVerdict counts a verdict by its reason and records its OpenTime and
// AnswerTime.
func (c *counters) recordVerdict(v *gateway.Verdict) {
	c.reasons[v.Reason].Inc(1)
	switch v.Reason {
	case gateway.LinkFull:
		c.refusedLink.Inc(1)
	case gateway.Overloaded, gateway.TooSlow:
		c.refusedOverload.Inc(1)
	}
	if v.Spilled {
		c.spilled.Inc(1)
	}
	if v.RefusedByServer {
		c.serverRefusals.Inc(1)
	}
	if v.OpenTime > 0 {
		c.openTime.Update(v.OpenTime.Microseconds())
	}
	if v.AnswerTime > 0 {
		c.answerTime.Update(v.AnswerTime.Microseconds())
	}
}

func (sh *Shell) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	sh.counters.flows.Update(int64(sh.core.FlowCount()))
	sh.counters.linkUtilizationPercent.Update(int64(100 * sh.core.LinkUtilization(time.Now())))
	sh.counters.probesDeferred.Update(sh.core.ProbesDeferred())
	sh.counters.servers.Update(int64(sh.core.ServerCount()))
	sh.counters.following.Update(0)
	if sh.registered() && sh.followedInstance() != "" {
		sh.counters.following.Update(1)
	}
	sh.counters.configurationVersion.Update(sh.core.ConfigurationVersion())
	sh.counters.storeEra.Update(int64(sh.core.Positions()[source.Configuration].Era))
	sh.counters.feedSent.Update(int64(sh.feedBytes.Sent.Load()))
	sh.counters.feedReceived.Update(int64(sh.feedBytes.Received.Load()))
	if sh.adapter.LogDropped != nil {
		sh.counters.logDropped.Update(sh.adapter.LogDropped())
	}
	if err := metricstext.Write(w, sh.counters.registry); err != nil {
		sh.log.warn("cannot write the metrics", err)
	}
}
