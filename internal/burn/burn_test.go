package burn

import (
	"testing"
	"time"

	"cuminshift/internal/model"
)

// Guards against expired buckets being counted again after the ring has wrapped
// around, or after a pause longer than the ring.
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
		t.Fatalf("2%% refused, 1%% allowed: got %v, want one line for each window and burn rate 2 in the first", lines)
	}
	if got := lines[0].Events; len(got) != 1 || got[0] != "overload" {
		t.Errorf("got causes %v, want overload alone", got)
	}
	for _, line := range recorder.Report(now.Add(10*time.Minute), catalog, "litoral-norte") {
		if short := line.WindowS == 300; short != (line.Bad == 0) {
			t.Errorf("window of %d s, 10 min after the events: got %d bad events, want 0 in the window of 300 s alone", line.WindowS, line.Bad)
		}
	}
	for _, line := range recorder.Report(now.Add(24*time.Hour), catalog, "litoral-norte") {
		if line.Bad != 0 {
			t.Errorf("window of %d s, a day after the events: got %d bad events, want 0", line.WindowS, line.Bad)
		}
	}
}
