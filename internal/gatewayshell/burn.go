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

// objective is the service level of all services, whose configuration names
// only the time to an answer: 1 broken flow and 10 refused openings in 1,000,
// and 50 late answers.
var objective = model.Objective{BrokenFlowsPPM: 1000, RefusedPPM: 10000, LatePPM: 50000}

// burnBook counts what the service-level burn report shows.
type burnBook struct {
	mu   sync.Mutex
	book *burn.Recorder
}

func newBurnBook() *burnBook { return &burnBook{book: burn.NewRecorder()} }

// verdict counts what a decision says about its service.
func (b *burnBook) verdict(now time.Time, v *gateway.Verdict) {
	refused := v.Kind == gateway.Reset && v.Reason == gateway.NoServer
	if v.Service == "" || (v.Opened == 0 && v.Answered == 0 && !v.Closed && !refused) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	service := model.NewServiceID(v.Service)
	if refused {
		b.book.AddBad(now, service, burn.Refused, v.Reason.String())
	}
	if v.Opened > 0 {
		b.book.AddGood(now, service, burn.Refused, 1)
	}
	if v.Closed {
		b.book.AddGood(now, service, burn.BrokenFlows, 1)
	}
	switch {
	case v.Late:
		b.book.AddBad(now, service, burn.Late, "answered late")
	case v.Answered > 0:
		b.book.AddGood(now, service, burn.Late, 1)
	}
}

// givenUp counts a flow that was given up. That its route was dropped is the
// operators' decision.
func (b *burnBook) givenUp(now time.Time, a *gateway.ResetFlow) {
	if a.Service == "" || a.Reason == gateway.RouteDropped {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.AddBad(now, model.NewServiceID(a.Service), burn.BrokenFlows, a.Reason.String())
}

// serveBurn writes the report of this instance as a table.
func (sh *Shell) serveBurn(w http.ResponseWriter, _ *http.Request) {
	c := sh.core.Configuration()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	sh.burn.mu.Lock()
	defer sh.burn.mu.Unlock()
	texttable.Write(w, burn.Rows(sh.burn.book.Report(time.Now(), catalog(c), sh.settings.DataCentre)))
}

// catalog holds the services' names and objectives for the report.
func catalog(c *routing.Configuration) *model.Catalog {
	out := &model.Catalog{Services: map[model.ServiceID]*model.Service{}}
	for name := range c.Services {
		id := model.NewServiceID(name)
		out.Services[id] = &model.Service{ID: id, Name: name, Objective: objective}
	}
	return out
}
