package serverhealth

import (
	"testing"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newTracker(n int) *Tracker {
	tracker := New(Config{})
	servers := map[model.ServerID]*model.BackendServer{}
	for i := 1; i <= n; i++ {
		id := model.ServerID(i)
		servers[id] = &model.BackendServer{ID: id, Service: 7, Slots: 3, ColdSlots: 1, ColdOpeningsPerSecond: 10}
	}
	tracker.SetServers(epoch, servers)
	return tracker
}

func observeAnswer(tracker *Tracker, ms int, id model.ServerID, o Observation) {
	o.Kind = Answered
	tracker.Observe(at(ms), id, 0, o)
}

func wantCondition(t *testing.T, tracker *Tracker, id model.ServerID, want Condition) {
	t.Helper()
	if got := tracker.Condition(id); got != want {
		t.Errorf("server %d: condition %v, want %v", id, got, want)
	}
}

// Guards against a cold or shedding condition that ends with the first good
// answer, and against one that never ends.
func TestColdAndSheddingHysteresis(t *testing.T) {
	for _, c := range []struct {
		sign Observation
		want Condition
	}{
		{Observation{Kind: Answered, Cold: true}, Cold},
		{Observation{Kind: Refused, Cold: true, Reason: pb.Reason_REASON_SHED}, Cold},
		{Observation{Kind: Refused, Reason: pb.Reason_REASON_SHED}, Shedding},
	} {
		tracker := newTracker(1)
		observeAnswer(tracker, 0, 1, Observation{})
		wantCondition(t, tracker, 1, Healthy)
		tracker.Observe(at(10), 1, 0, c.sign)
		wantCondition(t, tracker, 1, c.want)
		for i := 0; i < 10; i++ {
			observeAnswer(tracker, 100+i, 1, Observation{})
		}
		wantCondition(t, tracker, 1, c.want)
		observeAnswer(tracker, 1100, 1, Observation{})
		if c.sign.Reason == pb.Reason_REASON_SHED && c.sign.Cold {
			observeAnswer(tracker, 1101, 1, Observation{})
		}
		wantCondition(t, tracker, 1, Healthy)
	}
}

// Guards against a server that becomes cold without a cold flag or a refusal and
// is not detected, and against one that counts as cold after a few slow answers.
func TestRisingLatencyCountsAsCold(t *testing.T) {
	tracker := newTracker(1)
	for i := 0; i < 20; i++ {
		observeAnswer(tracker, i, 1, Observation{Latency: 10 * time.Millisecond})
	}
	for i := 0; i < 100; i++ {
		observeAnswer(tracker, 50+i, 1, Observation{Latency: time.Duration(10+190*(i%2)) * time.Millisecond})
	}
	wantCondition(t, tracker, 1, Healthy)
	for i := 0; i < 8; i++ {
		wantCondition(t, tracker, 1, Healthy)
		observeAnswer(tracker, 200+i, 1, Observation{Latency: 2 * time.Second})
	}
	wantCondition(t, tracker, 1, Cold)
}

// Guards against a wrong status of the health endpoint that overrides own
// observations, in both directions.
func TestOwnObservationsOutrankEndpoint(t *testing.T) {
	tracker := newTracker(4)
	observeAnswer(tracker, 0, 1, Observation{})
	tracker.ObserveEndpoint(at(10), 1, nil)
	wantCondition(t, tracker, 1, Healthy)
	tracker.Tick(at(2000))
	wantCondition(t, tracker, 1, Silent)
	observeAnswer(tracker, 2001, 1, Observation{})
	wantCondition(t, tracker, 1, Healthy)

	tracker.ObserveEndpoint(at(2100), 2, &pb.BackendStatusResponse{State: pb.BackendStatusResponse_STATE_READY})
	for i := 0; i < 3; i++ {
		tracker.Observe(at(2100), 2, 0, Observation{Kind: OpeningSent})
	}
	tracker.Tick(at(2700))
	wantCondition(t, tracker, 2, Silent)
}

// Guards against a whole service that is taken out of use because its health
// endpoints fail.
func TestEndpointDistrust(t *testing.T) {
	tracker := newTracker(4)
	for id := model.ServerID(1); id <= 4; id++ {
		observeAnswer(tracker, 0, id, Observation{})
	}
	tracker.ObserveEndpoint(at(5000), 1, nil)
	tracker.ObserveEndpoint(at(5000), 2, nil)
	tracker.Tick(at(5001))
	wantCondition(t, tracker, 1, Silent)
	tracker.ObserveEndpoint(at(5100), 3, &pb.BackendStatusResponse{State: pb.BackendStatusResponse_STATE_DRAINING})
	for id := model.ServerID(1); id <= 4; id++ {
		wantCondition(t, tracker, id, Healthy)
	}
	if !tracker.EndpointsDistrusted(7) {
		t.Error("endpoints of service 7 are trusted with 3 of 4 servers unusable by their endpoint alone")
	}
}

// Guards against new flows at a server that refuses as draining while its health
// endpoint still reports it as ready.
func TestDrainingOutlivesStaleEndpoint(t *testing.T) {
	tracker := newTracker(1)
	observeAnswer(tracker, 0, 1, Observation{})
	tracker.Observe(at(100), 1, 0, Observation{Kind: Refused, Reason: pb.Reason_REASON_DRAINING})
	tracker.ObserveEndpoint(at(200), 1, &pb.BackendStatusResponse{State: pb.BackendStatusResponse_STATE_READY})
	wantCondition(t, tracker, 1, Draining)
	if tracker.OpeningAllowed(at(300), 1, 4, 0) {
		t.Error("opening allowed at a draining server")
	}
	tracker.ObserveEndpoint(at(6000), 1, &pb.BackendStatusResponse{State: pb.BackendStatusResponse_STATE_READY})
	wantCondition(t, tracker, 1, Cold)
}

// Guards against a silent server that is never tried again, and against one that
// receives full load at once when it returns.
func TestSilentServerReturnsCold(t *testing.T) {
	tracker := newTracker(1)
	observeAnswer(tracker, 0, 1, Observation{})
	for i := 0; i < 3; i++ {
		tracker.Observe(at(100), 1, 0, Observation{Kind: SendRejected})
	}
	wantCondition(t, tracker, 1, Silent)
	tracker.Tick(at(2000))
	wantCondition(t, tracker, 1, Silent)
	tracker.Tick(at(2100))
	wantCondition(t, tracker, 1, Cold)
}

// Guards against replaced paths to a dead server, and against a silent path to a
// live server that is not replaced.
func TestSilentPaths(t *testing.T) {
	tracker := newTracker(1)
	for i := 0; i < 3; i++ {
		tracker.Observe(at(0), 1, 1, Observation{Kind: OpeningSent})
		tracker.Observe(at(0), 1, 2, Observation{Kind: OpeningSent})
	}
	if a := tracker.Tick(at(600)); len(a) != 0 {
		t.Errorf("paths of a dead server replaced: %v", a)
	}
	tracker.Observe(at(700), 1, 2, Observation{Kind: Answered})
	if a := tracker.Tick(at(710)); len(a) != 1 || a[0] != (ReplacePath{1, 1}) {
		t.Errorf("got %v, want replacement of path 1", a)
	}
	for i := 0; i < 3; i++ {
		tracker.Observe(at(720), 1, 1, Observation{Kind: TimedOut, Latency: 600 * time.Millisecond})
	}
	if a := tracker.Tick(at(1000)); len(a) != 0 {
		t.Errorf("path replaced twice within the interval: %v", a)
	}
	if a := tracker.Tick(at(1800)); len(a) != 1 {
		t.Errorf("got %v, want a second replacement", a)
	}
}

// Guards against more openings per second at a cold server than its limit,
// summed over instances that observe its condition at the same time.
func TestColdOpeningsSum(t *testing.T) {
	for _, instances := range []int{1, 3, 4, 12, 750} {
		var trackers []*Tracker
		for i := 0; i < instances; i++ {
			tracker := newTracker(1)
			observeAnswer(tracker, 0, 1, Observation{Cold: true})
			trackers = append(trackers, tracker)
		}
		perSecond := make([]int, 120)
		total := 0
		for ms := 0; ms < 120_000; ms += 10 {
			for rank, tracker := range trackers {
				if tracker.OpeningAllowed(at(ms), 1, instances, rank) {
					perSecond[ms/1000]++
					total++
				}
			}
		}
		for s, n := range perSecond {
			if n > 10 {
				t.Fatalf("%d instances: %d openings in second %d, want at most 10", instances, n, s)
			}
		}
		if total < 1000 {
			t.Errorf("%d instances: %d openings in 120 s, want most of 1200", instances, total)
		}
		if fresh := newTracker(1); fresh.OpeningAllowed(at(0), 1, instances, instances-1) != (instances <= 10) {
			t.Errorf("%d instances: wrong first opening without evidence", instances)
		}
	}
}

// Guards against a heartbeat that grows with the number of servers, and against
// a changed condition that is reported late.
func TestReportsAreBoundedAndUrgentFirst(t *testing.T) {
	tracker := newTracker(100)
	for id := model.ServerID(1); id <= 100; id++ {
		observeAnswer(tracker, 0, id, Observation{})
		tracker.Observe(at(0), id, 0, Observation{Kind: FlowOpened})
	}
	for i := 0; i < 3; i++ {
		tracker.Reports(at(i))
	}
	observeAnswer(tracker, 10, 50, Observation{Cold: true})
	seen := map[uint64]bool{}
	for i := 0; i < 13; i++ {
		reports := tracker.Reports(at(20 + i))
		if i == 0 && (reports[0].GetServer() != 50 || reports[0].GetCondition() != Cold) {
			t.Errorf("first report is %v, want the changed server 50", reports[0])
		}
		if len(reports) > 9 {
			t.Errorf("%d reports in one heartbeat, want at most 9", len(reports))
		}
		for _, r := range reports {
			seen[r.GetServer()] = true
			if r.GetOpenFlows() != 1 || r.GetAnswers() == 0 {
				t.Fatalf("wrong counters: %v", r)
			}
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d of 100 servers reported in 13 heartbeats", len(seen))
	}
}

// BenchmarkHeartbeat measures the periodic work of one heartbeat interval in a
// data centre of 5,000 servers, the scale expected in two years: two ticks and
// one list of reports.
func BenchmarkHeartbeat(b *testing.B) {
	tracker := newTracker(5000)
	for id := model.ServerID(1); id <= 5000; id++ {
		observeAnswer(tracker, 0, id, Observation{})
	}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		tracker.Tick(at(i * 200))
		tracker.Tick(at(i*200 + 100))
		tracker.Reports(at(i*200 + 100))
	}
}

// Guards against an instance that uses its share of a cold server's openings
// twice within a second, before and after its restart.
func TestRestartedInstanceWaitsForItsShare(t *testing.T) {
	for name, setCold := range map[string]func(*Tracker){
		"by the verdict": func(tracker *Tracker) {
			tracker.SetVerdicts(at(100), []*pb.ServerVerdict{{Server: 1, Condition: Cold}})
		},
		"by its endpoint": func(tracker *Tracker) {
			tracker.ObserveEndpoint(at(100), 1, &pb.BackendStatusResponse{State: pb.BackendStatusResponse_STATE_COLD})
		},
	} {
		tracker := newTracker(1)
		setCold(tracker)
		wantCondition(t, tracker, 1, Cold)
		if tracker.OpeningAllowed(at(200), 1, 4, 0) {
			t.Errorf("%s: opening allowed within a second of the start", name)
		}
		if !tracker.OpeningAllowed(at(1100), 1, 4, 0) {
			t.Errorf("%s: no opening allowed after that", name)
		}
	}
}

// Guards against a verdict that overrides what this instance observes itself,
// and against one that stays in effect after the publisher is gone.
func TestVerdict(t *testing.T) {
	tracker := newTracker(3)
	for id := model.ServerID(1); id <= 2; id++ {
		observeAnswer(tracker, 0, id, Observation{})
	}
	tracker.SetVerdicts(at(50), []*pb.ServerVerdict{{Server: 1, Condition: Silent}, {Server: 2, Condition: Cold}, {Server: 3, Condition: Silent}})
	wantCondition(t, tracker, 1, Healthy)
	wantCondition(t, tracker, 2, Cold)
	wantCondition(t, tracker, 3, Silent)
	if r := tracker.Reports(at(60)); len(r) == 0 || r[0].Condition != Healthy {
		t.Errorf("verdict reported as own evidence: %v", r)
	}
	tracker.Tick(at(1100))
	wantCondition(t, tracker, 2, Healthy)
	wantCondition(t, tracker, 3, Unknown)
}

// Guards against openings by several instances that together exceed the limit of
// a server that has become cold, before the publisher has received a report on it
// (fault matrix, seed 72, I3).
func TestPeerReportsBeforeNextVerdict(t *testing.T) {
	first, second := newTracker(1), newTracker(1)
	for _, tracker := range []*Tracker{first, second} {
		observeAnswer(tracker, 0, 1, Observation{})
	}
	if worsened := first.TakeWorsenedReports(); len(worsened) != 0 {
		t.Errorf("report on a healthy server: %v", worsened)
	}
	observeAnswer(first, 100, 1, Observation{Cold: true})
	worsened := first.TakeWorsenedReports()
	if len(worsened) != 1 || worsened[0].Condition != Cold {
		t.Fatalf("reports %v, want one on a cold server", worsened)
	}
	if again := first.TakeWorsenedReports(); len(again) != 0 {
		t.Errorf("reported twice: %v", again)
	}
	second.AddPeerReports(at(101), worsened)
	wantCondition(t, second, 1, Cold)
	if again := second.TakeWorsenedReports(); len(again) != 0 {
		t.Errorf("report of another instance passed on: %v", again)
	}
	second.SetVerdicts(at(300), nil)
	wantCondition(t, second, 1, Healthy)
}
