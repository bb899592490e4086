// Package serverhealth tracks the health of backend servers for package entry,
// through which the servers' answers pass. Package reach does the same for the
// gateway, which does not see the answers.
//
// A Tracker derives the condition of each server from the instance's own
// evidence: what it sent and received itself and what the servers' health
// endpoints report. Own observations take precedence over the endpoints, which
// may lag or be wrong. Instances report these conditions in their heartbeats to
// the publisher of the data centre, where MergedReports derives the verdict on
// each server. The condition in use is the worse of the own one and the verdict.
//
// An opening is the first packet of a flow. A path is one of the local sockets
// that send to a server; each flow uses one of them. A cold server has just
// started and takes few openings.
package serverhealth

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Condition is the condition of a server.
type Condition = pb.ServerCondition

// Conditions of a server. A Shedding server refuses load, a Draining one takes no
// new flows, and a Silent one does not answer. Unknown means that there is no
// evidence yet; admission treats such a server as cold.
const (
	Unknown  = pb.ServerCondition_SERVER_CONDITION_UNSPECIFIED
	Healthy  = pb.ServerCondition_SERVER_CONDITION_HEALTHY
	Cold     = pb.ServerCondition_SERVER_CONDITION_COLD
	Shedding = pb.ServerCondition_SERVER_CONDITION_SHEDDING
	Draining = pb.ServerCondition_SERVER_CONDITION_DRAINING
	Silent   = pb.ServerCondition_SERVER_CONDITION_SILENT
)

// Kind is the kind of an observation.
type Kind uint8

// Kinds of observations.
const (
	// OpeningSent is the sending of an opening, which a server answers promptly,
	// or of an attempt of a request. Because the answer to a request may
	// legitimately take long, SilentAfter is extended for a server that usually
	// takes long to answer.
	OpeningSent Kind = iota + 1
	// Answered is an OPEN_ACK or the last part of an answer.
	Answered
	// Refused is a REFUSAL by the server.
	Refused
	// TimedOut is an opening or a request that was not answered in time.
	TimedOut
	// SendRejected is a datagram that the server's host rejected.
	SendRejected
	// FlowOpened and FlowEnded change the number of open flows by one.
	FlowOpened
	FlowEnded
)

// Observation is one event between this instance and a server.
type Observation struct {
	Kind Kind
	// Reason is the reason of a refusal. Only SHED, OVERLOAD and DRAINING change
	// the condition.
	Reason pb.Reason
	// Cold is the cold flag of OPEN_ACK, ANSWER or REFUSAL.
	Cold bool
	// Latency is the time from sending to the answer or to the timeout; it is
	// zero when not measured. It is set for answers to requests but not for
	// those to openings, because the two differ in cost.
	Latency time.Duration
}

// Config holds the thresholds. Fields that are zero are replaced by the
// defaults.
type Config struct {
	// SilentAfter is the shortest time without any answer after which a path
	// or a server counts as silent; default 500 ms.
	SilentAfter time.Duration
	// SilentUnanswered is the number of packets that must also be unanswered
	// for a path or a server to count as silent; default 3. The same number of
	// datagrams rejected by the server's host makes a server silent at once.
	SilentUnanswered int
	// RecoverAfter is the shortest time for which a server stays cold or
	// shedding after the last answer or refusal that showed it to be so. A server
	// that its health endpoint reports as down counts as silent once it has not
	// answered for the same time. Default 1 s.
	RecoverAfter time.Duration
	// RecoverAnswers is the number of answers without a sign that the server is
	// cold, overloaded or silent, one after the other, that it needs besides
	// RecoverAfter to be no longer cold or shedding; default 4.
	RecoverAnswers int
	// SlowFactor is the ratio of recent latency to the baseline above which a
	// server counts as cold; default 3.
	SlowFactor float64
	// EndpointMaxAge is the age from which the status of a health endpoint is no
	// longer used; default 5 s.
	EndpointMaxAge time.Duration
	// EvidenceMaxAge is the age from which the last answer no longer proves that
	// a server is healthy; default 10 s.
	EvidenceMaxAge time.Duration
	// ReplaceInterval is the shortest time between replacements of one path;
	// default 1 s.
	ReplaceInterval time.Duration
	// MaxReports is the largest number of routine reports that Tracker.Reports
	// returns for one heartbeat; default 8, which is about 1.2 KB/s for each
	// receiver. How many reports a heartbeat carries in total is limited by
	// membership.Config.
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

// Action is an action that Tick requests of the code that calls it. ReplacePath
// is the only one.
type Action interface{ action() }

// ReplacePath requests a new socket for a silent path.
type ReplacePath struct {
	Server model.ServerID
	Path   int
}

func (ReplacePath) action() {}

// Tracker tracks the health of the servers of one instance's data centre. It is
// not safe for concurrent use.
type Tracker struct {
	cfg     Config
	servers map[model.ServerID]*server
	// sortedServers holds the servers, sorted by ID; nextRoutine is the index of
	// the next one to report in round-robin order.
	sortedServers    []*server
	nextRoutine      int
	serversByService map[model.ServiceID][]*server
	// distrusted holds the services whose health endpoints are ignored.
	distrusted map[model.ServiceID]bool
	// verdicts holds the conditions that the publisher has merged from the
	// reports of all instances, and those that other instances have sent since.
	verdicts   map[model.ServerID]Condition
	verdictsAt time.Time
	// worsened holds the servers whose own condition has become worse since the
	// last TakeWorsenedReports.
	worsened []*server
	// serversSince is the time of the first SetServers.
	serversSince time.Time
}

// New returns a Tracker without servers.
func New(cfg Config) *Tracker {
	cfg.setDefaults()
	return &Tracker{cfg: cfg, servers: map[model.ServerID]*server{}, distrusted: map[model.ServiceID]bool{}}
}

// SetServers replaces the set of servers, which are those of the instance's data
// centre. Evidence about servers that remain is kept.
func (t *Tracker) SetServers(now time.Time, servers map[model.ServerID]*model.BackendServer) {
	if t.serversSince.IsZero() {
		t.serversSince = now
	}
	for id := range t.servers {
		if servers[id] == nil {
			delete(t.servers, id)
		}
	}
	t.sortedServers, t.serversByService, t.nextRoutine = nil, map[model.ServiceID][]*server{}, 0
	for id, backend := range servers {
		s := t.servers[id]
		if s == nil {
			s = &server{paths: map[int]*path{}}
			t.servers[id] = s
		}
		s.backend = backend
		t.sortedServers = append(t.sortedServers, s)
	}
	sort.Slice(t.sortedServers, func(i, j int) bool { return t.sortedServers[i].backend.ID < t.sortedServers[j].backend.ID })
	for _, s := range t.sortedServers {
		t.serversByService[s.backend.Service] = append(t.serversByService[s.backend.Service], s)
	}
	t.refreshAll(now)
}

// Observe records an observation made on a path to a server. Paths are numbered
// from 0; the socket that replaces that of a silent path takes over its number.
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

// ObserveEndpoint records the status that the server's health endpoint returned.
// A nil status means that the endpoint could not be reached.
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
		for _, other := range t.serversByService[s.backend.Service] {
			t.refresh(now, other)
		}
	}
	t.refresh(now, s)
}

// Condition returns the current condition of a server: the worse of the one by
// this instance's evidence and the verdict merged from all instances. A verdict
// of Silent does not count while this instance receives answers.
func (t *Tracker) Condition(id model.ServerID) Condition {
	if s := t.servers[id]; s != nil {
		return s.combinedCondition
	}
	return Unknown
}

// OpenFlows returns the number of flows opened minus the number ended at a
// server, as observed by this instance. The end of a flow may be observed by a
// different instance than its opening, so the number may be negative. The sum
// over all instances is right, and if each instance balances its own numbers over
// the servers, the sums are balanced too.
func (t *Tracker) OpenFlows(id model.ServerID) int {
	if s := t.servers[id]; s != nil {
		return int(s.openFlows)
	}
	return 0
}

// RecentCondition returns the condition for admission, which relies on recent
// evidence only: a healthy server that has not answered this instance for
// EvidenceMaxAge may have restarted, so its condition is Unknown.
func (t *Tracker) RecentCondition(now time.Time, id model.ServerID) Condition {
	s := t.servers[id]
	if s == nil || (s.combinedCondition == Healthy && now.Sub(s.lastAnswer) > t.cfg.EvidenceMaxAge) {
		return Unknown
	}
	return s.combinedCondition
}

// EndpointsDistrusted reports whether the health endpoints of a service are
// ignored because more than half of its servers look unusable by their endpoint
// alone.
func (t *Tracker) EndpointsDistrusted(service model.ServiceID) bool {
	return t.distrusted[service]
}

// Tick updates the conditions that change with time and returns the silent paths
// to replace. It is called about every 100 ms.
func (t *Tracker) Tick(now time.Time) []Action {
	t.refreshAll(now)
	var actions []Action
	for _, s := range t.sortedServers {
		for _, p := range s.takeSilentPaths(now, &t.cfg) {
			actions = append(actions, ReplacePath{s.backend.ID, p})
		}
	}
	return actions
}

// changedReportsFactor times MaxReports is the largest number of reports of
// changed conditions in one heartbeat.
const changedReportsFactor = 4

// Reports returns the server reports for the next heartbeat. A changed condition
// is reported at once and repeated in the next two heartbeats, because a
// heartbeat can be lost. In addition, up to MaxReports servers are reported in
// round-robin order.
//
// The number of changes in one heartbeat is limited too, because after a start
// all conditions change at once.
func (t *Tracker) Reports(now time.Time) []*pb.ServerReport {
	var out []*pb.ServerReport
	for _, s := range t.sortedServers {
		if s.changeReportsDue > 0 && len(out) < changedReportsFactor*t.cfg.MaxReports {
			s.changeReportsDue--
			out = append(out, s.report())
		}
	}
	routine := 0
	for i := 0; i < len(t.sortedServers) && routine < t.cfg.MaxReports; i++ {
		s := t.sortedServers[t.nextRoutine]
		t.nextRoutine = (t.nextRoutine + 1) % len(t.sortedServers)
		if s.ownCondition != Unknown || s.openFlows != 0 {
			routine++
			out = append(out, s.report())
		}
	}
	return out
}

func (t *Tracker) refreshAll(now time.Time) {
	clear(t.distrusted)
	for service := range t.serversByService {
		t.updateDistrust(now, service)
	}
	for _, s := range t.sortedServers {
		t.refresh(now, s)
	}
}

// updateDistrust updates whether the health endpoints of the service are
// distrusted, and reports whether that changed.
func (t *Tracker) updateDistrust(now time.Time, service model.ServiceID) bool {
	unusable := 0
	for _, s := range t.serversByService[service] {
		if s.unusableByEndpointAlone(now, &t.cfg) {
			unusable++
		}
	}
	before := t.distrusted[service]
	if 2*unusable > len(t.serversByService[service]) {
		t.distrusted[service] = true
	} else {
		delete(t.distrusted, service)
	}
	return before != t.distrusted[service]
}

// refresh updates the conditions of a server, and starts the pause of its
// openings if it has become cold.
func (t *Tracker) refresh(now time.Time, s *server) {
	own := s.evaluate(now, &t.cfg, t.distrusted[s.backend.Service])
	combined := t.combineWithVerdict(now, s, own)
	switch {
	case combined != Cold || s.combinedCondition == Cold:
	case s.combinedCondition != Unknown:
		// Openings sent to the server while it was warm were not counted.
		s.openingLimiter.pausedUntil = now.Add(openingWindow)
	default:
		// An earlier run of this instance may have used its share just before
		// this run started.
		s.openingLimiter.pausedUntil = t.serversSince.Add(openingWindow)
	}
	s.combinedCondition = combined
	if own == s.ownCondition {
		return
	}
	if s.ownCondition != Unknown || own != Healthy {
		s.changeReportsDue = 3
	}
	if own == Cold || own == Silent || own == Shedding || own == Draining {
		t.worsened = append(t.worsened, s)
	}
	s.ownCondition = own
}
