package serverhealth

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// maxProbeAfter bounds the growing time after which a silent server is
	// tried again.
	maxProbeAfter = 30 * time.Second
	minProbeAfter = 2 * time.Second
	// maxDrainMemory ends a drain of which there is no sign any more, so that
	// a server whose endpoint is broken returns to use.
	maxDrainMemory = time.Minute
)

type server struct {
	info  *model.BackendServer
	paths map[int]*path
	// pathsMissing is set when a path may have something unanswered.
	pathsMissing bool
	// condition rests on own evidence; joint adds the verdict of all instances.
	condition, joint Condition

	openFlows         int64
	answers, refusals uint64

	lastAnswer time.Time
	// clean counts answers in a row without a sign of trouble.
	clean                         int
	cold, shedding, draining      bool
	lastCold, lastShed, lastDrain time.Time

	silence silence
	// rejected counts rejected datagrams since the last answer.
	rejected   int
	silent     bool
	silentAt   time.Time
	probeAfter time.Duration

	latency SlownessDetector

	endpoint   pb.BackendStatusResponse_State
	endpointAt time.Time

	openings openings
	// urgent is the number of heartbeats that report a change of condition.
	urgent int
}

// silence counts what was not answered since the last answer.
type silence struct {
	sent, misses int
	// since is when the first of them was sent.
	since time.Time
}

func (s *silence) unanswered(now time.Time) {
	s.begin(now)
	s.sent++
}

func (s *silence) missed(sentAt time.Time) {
	s.begin(sentAt)
	s.misses++
}

func (s *silence) begin(at time.Time) {
	if s.sent+s.misses == 0 || at.Before(s.since) {
		s.since = at
	}
}

// lasting reports whether enough is unanswered for long enough.
func (s *silence) lasting(now time.Time, misses int, after time.Duration) bool {
	return max(s.sent, s.misses) >= misses && now.Sub(s.since) >= after
}

func (s *server) path(id int) *path {
	p := s.paths[id]
	if p == nil {
		p = &path{}
		s.paths[id] = p
	}
	return p
}

func (s *server) heard(now time.Time, pathID int) {
	s.path(pathID).silence = silence{}
	s.lastAnswer = now
	s.silence, s.rejected = silence{}, 0
	if s.silent {
		// A server that was silent may have restarted.
		s.silent, s.cold, s.lastCold, s.clean = false, true, now, 0
	}
	s.probeAfter = 0
}

func (s *server) observeAnswer(now time.Time, o Observation, cfg *Config) {
	slow := o.Latency > 0 && s.latency.Observe(o.Latency, cfg.SlowFactor)
	if o.Cold || slow {
		s.markCold(now)
		return
	}
	s.clean++
	if s.clean < cfg.RecoverAnswers {
		return
	}
	s.cold = s.cold && now.Sub(s.lastCold) < cfg.RecoverAfter
	s.shedding = s.shedding && now.Sub(s.lastShed) < cfg.RecoverAfter
}

func (s *server) observeRefusal(now time.Time, o Observation) {
	if o.Cold {
		s.markCold(now)
	}
	switch o.Reason {
	case pb.Reason_REASON_SHED, pb.Reason_REASON_OVERLOAD:
		s.shedding, s.lastShed, s.clean = true, now, 0
	case pb.Reason_REASON_DRAINING:
		s.draining, s.lastDrain, s.clean = true, now, 0
	}
}

func (s *server) markCold(now time.Time) {
	s.cold, s.lastCold, s.clean = true, now, 0
}

// silentAfter is longer for a server whose answers usually take long.
func (s *server) silentAfter(cfg *Config) time.Duration {
	return max(cfg.SilentAfter, 4*s.latency.Baseline())
}

func (s *server) endpointFresh(now time.Time, cfg *Config) bool {
	return !s.endpointAt.IsZero() && now.Sub(s.endpointAt) < cfg.EndpointMaxAge
}

// deadByEndpointAlone reports that the endpoint calls the server dead or
// leaving while no own observation does.
func (s *server) deadByEndpointAlone(now time.Time, cfg *Config) bool {
	gone := s.endpoint == pb.BackendStatusResponse_STATE_DOWN || s.endpoint == pb.BackendStatusResponse_STATE_DRAINING
	return gone && s.endpointFresh(now, cfg) && !s.silent && !s.draining && !s.info.Drain
}

func (s *server) judge(now time.Time, cfg *Config, distrusted bool) Condition {
	s.judgeSilence(now, cfg, distrusted)
	endpoint := s.endpoint
	if distrusted || !s.endpointFresh(now, cfg) {
		endpoint = pb.BackendStatusResponse_STATE_UNSPECIFIED
	}
	s.judgeDraining(now, cfg, endpoint)
	switch {
	case s.info.Drain || s.draining || endpoint == pb.BackendStatusResponse_STATE_DRAINING:
		return Draining
	case s.silent:
		return Silent
	case endpoint == pb.BackendStatusResponse_STATE_DOWN && now.Sub(s.lastAnswer) > cfg.RecoverAfter:
		return Silent
	case s.cold:
		return Cold
	case s.shedding:
		return Shedding
	case endpoint == pb.BackendStatusResponse_STATE_COLD && s.clean < cfg.RecoverAnswers:
		return Cold
	case s.lastAnswer.IsZero():
		return Unknown
	}
	return Healthy
}

// judgeDraining ends a drain that the server itself announced once the
// endpoint, asked after the last such refusal, calls the server ready, or
// after a long time without another such refusal.
func (s *server) judgeDraining(now time.Time, cfg *Config, endpoint pb.BackendStatusResponse_State) {
	if !s.draining {
		return
	}
	quiet := now.Sub(s.lastDrain)
	back := endpoint == pb.BackendStatusResponse_STATE_READY || endpoint == pb.BackendStatusResponse_STATE_COLD
	if (back && quiet > cfg.EndpointMaxAge && s.endpointAt.After(s.lastDrain)) || quiet > maxDrainMemory {
		s.draining = false
		s.markCold(now)
	}
}

// judgeSilence sets silent on missing answers. A silent server gets another
// trial as a cold one, after a time that doubles, unless its endpoint calls it
// down: without traffic there is no other evidence that it is back.
func (s *server) judgeSilence(now time.Time, cfg *Config, distrusted bool) {
	if !s.silent {
		after := s.silentAfter(cfg)
		missing := s.silence.lasting(now, cfg.SilentUnanswered, after) && now.Sub(s.lastAnswer) >= after
		if missing || s.rejected >= cfg.SilentUnanswered {
			s.silent, s.silentAt = true, now
			s.probeAfter = min(max(2*s.probeAfter, minProbeAfter), maxProbeAfter)
		}
		return
	}
	down := s.endpoint == pb.BackendStatusResponse_STATE_DOWN && s.endpointFresh(now, cfg) && !distrusted
	if !down && now.Sub(s.silentAt) >= s.probeAfter {
		s.silent, s.silence, s.rejected = false, silence{}, 0
		s.markCold(now)
	}
}

func (s *server) report() *pb.ServerReport {
	return &pb.ServerReport{
		Server: uint64(s.info.ID), Condition: s.condition, OpenFlows: s.openFlows, Answers: s.answers, Refusals: s.refusals,
	}
}

// path is one local socket to a server.
type path struct {
	silence
	replacedAt time.Time
}

// silentPaths returns the paths without answers whose server answered
// elsewhere, or whose endpoint answered, after their first unanswered packet.
// It forgets what those paths have missed.
func (s *server) silentPaths(now time.Time, cfg *Config) []int {
	if !s.pathsMissing {
		return nil
	}
	var out []int
	s.pathsMissing = false
	for id, p := range s.paths {
		s.pathsMissing = s.pathsMissing || p.sent+p.misses > 0
		if !p.lasting(now, cfg.SilentUnanswered, s.silentAfter(cfg)) || now.Sub(p.replacedAt) < cfg.ReplaceInterval {
			continue
		}
		endpointAnswers := s.endpointFresh(now, cfg) && s.endpointAt.After(p.since) &&
			s.endpoint != pb.BackendStatusResponse_STATE_DOWN
		if s.lastAnswer.After(p.since) || endpointAnswers {
			out = append(out, id)
			p.silence, p.replacedAt = silence{}, now
		}
	}
	sort.Ints(out)
	return out
}
