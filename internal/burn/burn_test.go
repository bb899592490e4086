package burn

import (
	"testing"
	"time"

	"cuminshift/internal/model"
)

// Guards against old slots being counted again after the ring has wrapped or
// after a pause longer than the ring.
func TestBurnRateExcludesEventsOutsideTheWindow(t *testing.T) {
	service := model.NewServiceID("campo")
	catalog := &model.Catalog{Services: map[model.ServiceID]*model.Service{
		service: {ID: service, Name: "campo", Objective: model.Objective{RefusedPPM: 10_000}},
	}}
	recorder, now := NewRecorder(), time.Unix(1_000_000, 0)
	recorder.AddGood(now, service, Refused, 98)
	recorder.AddBad(now, service, Refused, "overload")
	recorder.AddBad(now, service, Refused, "overload")

	lines := recorder.Report(now, catalog, "litoral-norte")
	if len(lines) != len(Windows) || lines[0].BurnRate != 2 {
		t.Fatalf("2%% refused of 1%% allowed: got %v, want burn rate 2", lines)
	}
	if got := lines[0].Events; len(got) != 1 || got[0] != "overload" {
		t.Errorf("causes: got %v", got)
	}
	for _, line := range recorder.Report(now.Add(10*time.Minute), catalog, "litoral-norte") {
		if short := line.WindowS == 300; short != (line.Bad == 0) {
			t.Errorf("window %d s after 10 min: %d bad events", line.WindowS, line.Bad)
		}
	}
	for _, line := range recorder.Report(now.Add(24*time.Hour), catalog, "litoral-norte") {
		if line.Bad != 0 {
			t.Errorf("window %d s after a day: %d bad events", line.WindowS, line.Bad)
		}
	}
}
