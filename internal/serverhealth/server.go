package serverhealth

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// minSlowdown keeps the noise of fast answers from counting as slowness.
	minSlowdown = 20 * time.Millisecond
	// minLatencySamples must be seen before latency is judged.
	minLatencySamples = 8
	// maxProbeAfter bounds the growing time after which a silent server is
	// tried again.
	maxProbeAfter = 30 * time.Second
	minProbeAfter = 2 * time.Second
)

type server struct {
	info      *model.BackendServer
	paths     map[int]*path
	condition Condition

	openFlows         int64
	answers, refusals uint64

	lastAnswer time.Time
	// clean counts answers in a row without a sign of trouble.
	clean                         int
	lastCold, lastShed, lastDrain time.Time
	cold, shedding, draining      bool
	unanswered, misses            int
	firstUnanswered               time.Time
	silent                        bool
	silentAt                      time.Time
	probeAfter                    time.Duration
	fastLatency, usualLatency     float64
	samples                       int
	endpoint                      pb.BackendStatusResponse_State
	endpointAt                    time.Time
	coldSince                     time.Time
	openings                      openings
	urgent                        int
	reportedAt                    time.Time
}

func (s *server) path(id int) *path {
	p := s.paths[id]
	if p == nil {
		p = &path{}
		s.paths[id] = p
	}
	return p
}

func (s *server) sent(now time.Time) {
	if s.unanswered == 0 {
		s.firstUnanswered = now
	}
	s.unanswered++
}

func (s *server) heard(now time.Time, pathID int) {
	s.path(pathID).heard(now)
	s.lastAnswer = now
	s.unanswered, s.misses = 0, 0
	if s.silent {
		// A server that was silent may have restarted.
		s.silent, s.cold, s.lastCold, s.clean = false, true, now, 0
	}
	s.probeAfter = 0
}

func (s *server) observeAnswer(now time.Time, o Observation, cfg *Config) {
	slow := s.observeLatency(o.Latency, cfg)
	if o.Cold || slow {
		s.markCold(now)
		return
	}
	s.clean++
	if s.clean < cfg.RecoverAnswers {
		return
	}
	s.cold = s.cold && now.Sub(s.lastCold) < cfg.Recover
	s.shedding = s.shedding && now.Sub(s.lastShed) < cfg.Recover
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

// observeLatency reports whether recent answers are much slower than usual.
// The usual latency follows slowly, so that lasting slowness becomes usual.
func (s *server) observeLatency(d time.Duration, cfg *Config) bool {
	if d <= 0 {
		return false
	}
	x := float64(d)
	s.samples++
	if s.samples == 1 {
		s.fastLatency, s.usualLatency = x, x
		return false
	}
	s.fastLatency += (x - s.fastLatency) / 4
	s.usualLatency += (x - s.usualLatency) / 64
	return s.samples >= minLatencySamples && s.fastLatency > cfg.SlowFactor*s.usualLatency &&
		s.fastLatency > s.usualLatency+float64(minSlowdown)
}

// silentAfter is longer for a server whose answers usually take long.
func (s *server) silentAfter(cfg *Config) time.Duration {
	return max(cfg.SilentAfter, 4*time.Duration(s.usualLatency))
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
	case endpoint == pb.BackendStatusResponse_STATE_DOWN && now.Sub(s.lastAnswer) > cfg.Recover:
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
// endpoint, asked after the last such refusal, calls the server ready.
func (s *server) judgeDraining(now time.Time, cfg *Config, endpoint pb.BackendStatusResponse_State) {
	back := endpoint == pb.BackendStatusResponse_STATE_READY || endpoint == pb.BackendStatusResponse_STATE_COLD
	if s.draining && back && now.Sub(s.lastDrain) > cfg.EndpointMaxAge && s.endpointAt.After(s.lastDrain) {
		s.draining = false
		s.markCold(now)
	}
}

// judgeSilence sets silent on missing answers. A silent server gets another
// trial as a cold one, after a time that doubles, unless its endpoint calls it
// down: without traffic there is no other evidence that it is back.
func (s *server) judgeSilence(now time.Time, cfg *Config, distrusted bool) {
	quiet := s.misses >= cfg.SilentMisses || s.unanswered >= cfg.SilentMisses
	waited := s.unanswered > 0 && now.Sub(s.firstUnanswered) >= s.silentAfter(cfg)
	if !s.silent && quiet && waited && now.Sub(s.lastAnswer) >= s.silentAfter(cfg) {
		s.silent, s.silentAt = true, now
		s.probeAfter = min(max(2*s.probeAfter, minProbeAfter), maxProbeAfter)
		return
	}
	down := s.endpoint == pb.BackendStatusResponse_STATE_DOWN && s.endpointFresh(now, cfg) && !distrusted
	if s.silent && !down && now.Sub(s.silentAt) >= s.probeAfter {
		s.silent = false
		s.unanswered, s.misses = 0, 0
		s.markCold(now)
	}
}

func (s *server) report(id model.ServerID, now time.Time) *pb.ServerReport {
	s.reportedAt = now
	return &pb.ServerReport{Server: uint64(id), Condition: s.condition, OpenFlows: s.openFlows, Answers: s.answers, Refusals: s.refusals}
}

type path struct {
	unanswered, misses int
	firstUnanswered    time.Time
	lastAnswer         time.Time
	replacedAt         time.Time
}

func (p *path) sent(now time.Time) {
	if p.unanswered == 0 {
		p.firstUnanswered = now
	}
	p.unanswered++
}

func (p *path) heard(now time.Time) {
	p.unanswered, p.misses = 0, 0
	p.lastAnswer = now
}

// silentPaths returns the paths without answers whose server answered
// elsewhere, or whose endpoint answered, after their first unanswered packet.
// It forgets what those paths have missed.
func (s *server) silentPaths(now time.Time, cfg *Config) []int {
	var out []int
	for id, p := range s.paths {
		if p.unanswered == 0 || max(p.misses, p.unanswered) < cfg.SilentMisses {
			continue
		}
		if now.Sub(p.firstUnanswered) < s.silentAfter(cfg) || now.Sub(p.replacedAt) < cfg.ReplaceInterval {
			continue
		}
		endpointAnswers := s.endpointFresh(now, cfg) && s.endpointAt.After(p.firstUnanswered) &&
			s.endpoint != pb.BackendStatusResponse_STATE_DOWN
		if s.lastAnswer.After(p.firstUnanswered) || endpointAnswers {
			out = append(out, id)
			p.unanswered, p.misses, p.replacedAt = 0, 0, now
		}
	}
	sort.Ints(out)
	return out
}
