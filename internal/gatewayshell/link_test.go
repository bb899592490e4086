package gatewayshell

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cuminshift/internal/flow"
	"cuminshift/internal/gateway"
)

// Guards against refusals for a full link that an operator cannot see or attribute to a
// service.
func TestOpeningsRefusedForFullLinkAreReported(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	c, log := newCounters(), newDecisionLog(zap.New(core))
	v := gateway.Verdict{Kind: gateway.Reset, Reason: gateway.LinkFull, Service: "campo"}
	c.recordVerdict(&v)
	log.recordVerdict(&flow.Segment{Opening: true}, &v)
	if n := c.refusedLink.Count(); n != 1 {
		t.Errorf("%d openings counted", n)
	}
	fields := lines.All()[0].ContextMap()
	if fields[logReason] != "link full" || fields[logService] != "campo" {
		t.Errorf("log line %v", fields)
	}
}
