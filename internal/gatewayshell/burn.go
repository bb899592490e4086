package gatewayshell

import (
	"net/http"
	"sync"
	"time"

	"cuminshift/internal/burn"
	"cuminshift/internal/gateway"
	"cuminshift/internal/model"
	"cuminshift/internal/routing"
	"cuminshift/internal/texttable"
)

// objective is the service-level objective of all services: of 1,000 each, at most
// 1 flow is broken, 10 openings are refused and 50 answers are late. The
// configuration states only the time after which an answer is late.
var objective = model.Objective{BrokenFlowsPPM: 1000, RefusedPPM: 10000, LatePPM: 50000}

// burnRecorder records the good and bad events of each service, from which the
// burn report computes how fast the error budget is used up.
type burnRecorder struct {
	mu     sync.Mutex
	events *burn.Recorder
}

func newBurnRecorder() *burnRecorder { return &burnRecorder{events: burn.NewRecorder()} }

// recordVerdict counts the good and bad events of a verdict for its service.
func (b *burnRecorder) recordVerdict(now time.Time, v *gateway.Verdict) {
	refused := v.Kind == gateway.Reset && v.Reason.RefusesOpening()
	if v.Service == "" || (v.OpenTime == 0 && v.AnswerTime == 0 && !v.Closed && !refused) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	service := model.NewServiceID(v.Service)
	if refused {
		b.events.AddBad(now, service, burn.Refused, v.Reason.String())
	}
	if v.RefusedByServer {
		b.events.AddBad(now, service, burn.Refused, "refused by the server")
		return
	}
	if v.OpenTime > 0 {
		b.events.AddGood(now, service, burn.Refused, 1)
	}
	if v.Closed {
		b.events.AddGood(now, service, burn.BrokenFlows, 1)
	}
	switch {
	case v.Late:
		b.events.AddBad(now, service, burn.Late, "answered late")
	case v.AnswerTime > 0:
		b.events.AddGood(now, service, burn.Late, 1)
	}
}

// recordReset counts a flow that was reset as broken, except for a flow whose route
// was removed, since that is a decision of the operators.
func (b *burnRecorder) recordReset(now time.Time, a *gateway.ResetFlow) {
	if a.Service == "" || a.Reason == gateway.RouteRemoved {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events.AddBad(now, model.NewServiceID(a.Service), burn.BrokenFlows, a.Reason.String())
}

// serveBurn writes the burn report of this instance as a table.
func (sh *Shell) serveBurn(w http.ResponseWriter, _ *http.Request) {
	c := sh.core.Configuration()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	sh.burn.mu.Lock()
	defer sh.burn.mu.Unlock()
	texttable.Write(w, burn.Rows(sh.burn.events.Report(time.Now(), catalog(c), sh.settings.DataCentre)))
}

// catalog returns the services' names and objectives for the report.
func catalog(c *routing.Configuration) *model.Catalog {
	out := &model.Catalog{Services: map[model.ServiceID]*model.Service{}}
	for name := range c.Services {
		id := model.NewServiceID(name)
		out.Services[id] = &model.Service{ID: id, Name: name, Objective: objective}
	}
	return out
}
