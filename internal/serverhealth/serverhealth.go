// Package serverhealth keeps one instance's evidence about backend servers:
// what it sent and received itself, and what the servers' health endpoints
// say. Own observations outrank the endpoints, which lag or mislead.
package serverhealth

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Condition is the condition of a server as this instance sees it.
type Condition = pb.ServerCondition

// Conditions. Unknown means that there is no evidence yet; admission treats
// such a server as cold.
const (
	Unknown  = pb.ServerCondition_SERVER_CONDITION_UNSPECIFIED
	Healthy  = pb.ServerCondition_SERVER_CONDITION_HEALTHY
	Cold     = pb.ServerCondition_SERVER_CONDITION_COLD
	Shedding = pb.ServerCondition_SERVER_CONDITION_SHEDDING
	Draining = pb.ServerCondition_SERVER_CONDITION_DRAINING
	Silent   = pb.ServerCondition_SERVER_CONDITION_SILENT
)

// Kind says what was observed.
type Kind uint8

// Kinds of observations.
const (
	// Sent is an opening, which a server answers promptly. Requests are not
	// observed when sent, because their answers may rightly take long.
	OpeningSent Kind = iota + 1
	// Answered is an OPEN_ACK or the last part of an answer.
	Answered
	// Refused is a REFUSAL by the server.
	Refused
	// TimedOut is an opening or a request that was not answered in time.
	TimedOut
	// SendRefused is a datagram that the server's host rejected.
	SendRejected
	// FlowOpened and FlowEnded change the number of open flows.
	FlowOpened
	FlowEnded
)

// Observation is one event between this instance and a server.
type Observation struct {
	Kind Kind
	// Reason of a refusal; SHED and DRAINING change the condition.
	Reason pb.Reason
	// Cold is the cold flag of OPEN_ACK, ANSWER or REFUSAL.
	Cold bool
	// Latency is the time from sending to the answer or to the timeout; zero
	// when not measured. Openings and requests differ in cost, so for answers
	// the caller passes it for one of the two.
	Latency time.Duration
}

// Config holds the thresholds; zero fields take the defaults.
type Config struct {
	// SilentAfter is the shortest time without any answer after which a path
	// or a server counts as silent; default 500 ms.
	SilentAfter time.Duration
	// SilentMisses is the number of unanswered packets that it takes; default 3.
	SilentUnanswered int
	// Recover is the shortest time that cold, shedding and draining last
	// after their last sign; default 1 s.
	RecoverAfter time.Duration
	// RecoverAnswers is the number of clean answers in a row that end them;
	// default 4.
	RecoverAnswers int
	// SlowFactor is the ratio of recent to usual latency from which a server
	// counts as cold; default 3.
	SlowFactor float64
	// EndpointMaxAge is the age at which an endpoint status is no longer
	// used; default 5 s.
	EndpointMaxAge time.Duration
	// EvidenceMaxAge is the age at which answers no longer show that a server
	// is healthy now; default 10 s.
	EvidenceMaxAge time.Duration
	// ReplaceInterval is the shortest time between replacements of one path;
	// default 1 s.
	ReplaceInterval time.Duration
	// MaxReports bounds the routine reports of one heartbeat; default 8,
	// which is about 1.2 KB/s for each receiver.
	MaxReports int
}

func (c *Config) setDefaults() {
	setDefault(&c.SilentAfter, 500*time.Millisecond)
	setDefault(&c.SilentUnanswered, 3)
	setDefault(&c.RecoverAfter, time.Second)
	setDefault(&c.RecoverAnswers, 4)
	setDefault(&c.SlowFactor, 3)
	setDefault(&c.EndpointMaxAge, 5*time.Second)
	setDefault(&c.EvidenceMaxAge, 10*time.Second)
	setDefault(&c.ReplaceInterval, time.Second)
	setDefault(&c.MaxReports, 8)
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Action is a decision for the caller to carry out: ReplacePath.
type Action interface{ action() }

// ReplacePath asks for a new socket for a silent path.
type ReplacePath struct {
	Server model.ServerID
	Path   int
}

func (ReplacePath) action() {}

// Health is the evidence of one instance. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	servers map[model.ServerID]*server
	// list holds the servers by ID; cursor is the next in turn to be reported.
	sorted      []*server
	nextRoutine int
	services    map[model.ServiceID][]*server
	distrusted  map[model.ServiceID]bool
	// verdicts are what the publisher has merged from all instances' reports.
	verdicts   map[model.ServerID]Condition
	verdictsAt time.Time
	// news are servers whose condition got worse since the last TakeNews.
	worsened []*server
	// since is the time at which the servers first were known.
	serversSince time.Time
}

// New returns a Health without servers.
func New(cfg Config) *Tracker {
	cfg.setDefaults()
	return &Tracker{cfg: cfg, servers: map[model.ServerID]*server{}, distrusted: map[model.ServiceID]bool{}}
}

// SetServers replaces the set of servers: those of the instance's data
// centre. Evidence about servers that stay is kept.
func (t *Tracker) SetServers(now time.Time, servers map[model.ServerID]*model.BackendServer) {
	if t.serversSince.IsZero() {
		t.serversSince = now
	}
	for id := range t.servers {
		if servers[id] == nil {
			delete(t.servers, id)
		}
	}
	t.sorted, t.services, t.nextRoutine = nil, map[model.ServiceID][]*server{}, 0
	for id, backend := range servers {
		s := t.servers[id]
		if s == nil {
			s = &server{paths: map[int]*path{}}
			t.servers[id] = s
		}
		s.backend = backend
		t.sorted = append(t.sorted, s)
	}
	sort.Slice(t.sorted, func(i, j int) bool { return t.sorted[i].backend.ID < t.sorted[j].backend.ID })
	for _, s := range t.sorted {
		t.services[s.backend.Service] = append(t.services[s.backend.Service], s)
	}
	t.refreshAll(now)
}

// Observe adds an observation made on a path to a server. Paths are numbered
// from 0; the socket that replaces a silent one takes over its number.
// Observations of unknown servers are ignored.
func (t *Tracker) Observe(now time.Time, id model.ServerID, pathID int, o Observation) {
	s := t.servers[id]
	if s == nil {
		return
	}
	switch o.Kind {
	case FlowOpened:
		s.openFlows++
	case FlowEnded:
		s.openFlows--
	case OpeningSent:
		s.path(pathID).recordSent(now)
		s.pathsUnanswered = true
		s.unanswered.recordSent(now)
		return
	case TimedOut:
		s.path(pathID).recordTimeout(now.Add(-o.Latency))
		s.pathsUnanswered = true
		s.unanswered.recordTimeout(now.Add(-o.Latency))
		s.cleanAnswers = 0
	case SendRejected:
		s.rejectedDatagrams++
		s.cleanAnswers = 0
	case Answered:
		s.answers++
		s.recordReply(now, pathID)
		s.observeAnswer(now, o, &t.cfg)
	case Refused:
		s.refusals++
		s.recordReply(now, pathID)
		s.observeRefusal(now, o)
	}
	t.refresh(now, s)
}

// Endpoint records what the server's health endpoint said; nil means that it
// could not be reached.
func (t *Tracker) ObserveEndpoint(now time.Time, id model.ServerID, status *pb.BackendStatusResponse) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.endpointState, s.endpointAt = status.GetState(), now
	if status == nil {
		s.endpointState = pb.BackendStatusResponse_STATE_DOWN
	}
	if t.updateDistrust(now, s.backend.Service) {
		for _, other := range t.services[s.backend.Service] {
			t.refresh(now, other)
		}
	}
	t.refresh(now, s)
}

// Condition returns the present condition of a server, by this instance's
// evidence and the verdict of all.
func (t *Tracker) Condition(id model.ServerID) Condition {
	if s := t.servers[id]; s != nil {
		return s.combined
	}
	return Unknown
}

// OpenFlows returns the flows opened less those ended at a server, as this
// instance has seen them. The end of a flow may be seen by another instance
// than its opening; over all instances the sum is right, and each one that
// keeps its own numbers even keeps the sum even.
func (t *Tracker) OpenFlows(id model.ServerID) int {
	if s := t.servers[id]; s != nil {
		return int(s.openFlows)
	}
	return 0
}

// Recent returns the condition as far as it rests on recent evidence, for
// admission: a server that has not answered here for EvidenceMaxAge may have
// restarted, so that it is not called healthy.
func (t *Tracker) RecentCondition(now time.Time, id model.ServerID) Condition {
	s := t.servers[id]
	if s == nil || (s.combined == Healthy && now.Sub(s.lastAnswer) > t.cfg.EvidenceMaxAge) {
		return Unknown
	}
	return s.combined
}

// EndpointsDistrusted reports whether the endpoints of a service are ignored
// because more than half of its servers look dead by endpoint alone.
func (t *Tracker) EndpointsDistrusted(service model.ServiceID) bool {
	return t.distrusted[service]
}

// Tick detects silence. It is called every 100 ms or so.
func (t *Tracker) Tick(now time.Time) []Action {
	t.refreshAll(now)
	var actions []Action
	for _, s := range t.sorted {
		for _, p := range s.takeSilentPaths(now, &t.cfg) {
			actions = append(actions, ReplacePath{s.backend.ID, p})
		}
	}
	return actions
}

// urgentFactor times MaxReports bounds the changed conditions of a heartbeat.
const changedReportsFactor = 4

// Reports returns the summaries for the next heartbeat. A changed condition
// is reported at once and repeated twice, because a heartbeat can be lost;
// of the other servers, MaxReports are reported in turn.
//
// The changes of one heartbeat are bounded too, because after a start all
// conditions change at once.
func (t *Tracker) Reports(now time.Time) []*pb.ServerReport {
	var out []*pb.ServerReport
	for _, s := range t.sorted {
		if s.changeReportsDue > 0 && len(out) < changedReportsFactor*t.cfg.MaxReports {
			s.changeReportsDue--
			out = append(out, s.report())
		}
	}
	routine := 0
	for i := 0; i < len(t.sorted) && routine < t.cfg.MaxReports; i++ {
		s := t.sorted[t.nextRoutine]
		t.nextRoutine = (t.nextRoutine + 1) % len(t.sorted)
		if s.condition != Unknown || s.openFlows != 0 {
			routine++
			out = append(out, s.report())
		}
	}
	return out
}

func (t *Tracker) refreshAll(now time.Time) {
	clear(t.distrusted)
	for service := range t.services {
		t.updateDistrust(now, service)
	}
	for _, s := range t.sorted {
		t.refresh(now, s)
	}
}

// judgeEndpoints reports whether the service's endpoints became or ceased to
// be distrusted.
func (t *Tracker) updateDistrust(now time.Time, service model.ServiceID) bool {
	unusable := 0
	for _, s := range t.services[service] {
		if s.unusableByEndpointAlone(now, &t.cfg) {
			unusable++
		}
	}
	before := t.distrusted[service]
	if 2*unusable > len(t.services[service]) {
		t.distrusted[service] = true
	} else {
		delete(t.distrusted, service)
	}
	return before != t.distrusted[service]
}

func (t *Tracker) refresh(now time.Time, s *server) {
	own := s.evaluate(now, &t.cfg, t.distrusted[s.backend.Service])
	combined := t.combined(now, s, own)
	switch {
	case combined != Cold || s.combined == Cold:
	case s.combined != Unknown:
		// The openings just sent to the warm server were not counted.
		s.openingLimiter.pausedUntil = now.Add(openingWindow)
	default:
		// An earlier run of this instance may have used its share just now.
		s.openingLimiter.pausedUntil = t.serversSince.Add(openingWindow)
	}
	s.combined = combined
	if own == s.condition {
		return
	}
	if s.condition != Unknown || own != Healthy {
		s.changeReportsDue = 3
	}
	if own == Cold || own == Silent || own == Shedding || own == Draining {
		t.worsened = append(t.worsened, s)
	}
	s.condition = own
}
