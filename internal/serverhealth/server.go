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
	maxRetryAfter = 30 * time.Second
	minRetryAfter = 2 * time.Second
	// maxDrainMemory ends a drain of which there is no sign any more, so that
	// a server whose endpoint is broken returns to use.
	maxDrainAge = time.Minute
)

type server struct {
	backend *model.BackendServer
	paths   map[int]*path
	// pathsMissing is set when a path may have something unanswered.
	pathsUnanswered bool
	// condition rests on own evidence; joint adds the verdict of all instances.
	condition, combined Condition

	openFlows         int64
	answers, refusals uint64

	lastAnswer time.Time
	// clean counts answers in a row without a sign of trouble.
	cleanAnswers                              int
	cold, shedding, draining                  bool
	lastColdSign, lastShedSign, lastDrainSign time.Time

	unanswered unanswered
	// rejected counts rejected datagrams since the last answer.
	rejectedDatagrams int
	silent            bool
	silentSince       time.Time
	retryAfter        time.Duration

	slowness SlownessDetector

	endpointState pb.BackendStatusResponse_State
	endpointAt    time.Time

	openingLimiter openingLimiter
	// urgent is the number of heartbeats that report a change of condition.
	changeReportsDue int
}

// silence counts what was not answered since the last answer.
type unanswered struct {
	sent, misses int
	// since is when the first of them was sent.
	since time.Time
}

func (s *unanswered) recordSent(now time.Time) {
	s.includeTime(now)
	s.sent++
}

func (s *unanswered) recordTimeout(sentAt time.Time) {
	s.includeTime(sentAt)
	s.misses++
}

func (s *unanswered) includeTime(at time.Time) {
	if s.sent+s.misses == 0 || at.Before(s.since) {
		s.since = at
	}
}

// lasting reports whether enough is unanswered for long enough.
func (s *unanswered) exceeds(now time.Time, misses int, minDuration time.Duration) bool {
	return max(s.sent, s.misses) >= misses && now.Sub(s.since) >= minDuration
}

func (s *server) path(id int) *path {
	p := s.paths[id]
	if p == nil {
		p = &path{}
		s.paths[id] = p
	}
	return p
}

func (s *server) recordReply(now time.Time, pathID int) {
	s.path(pathID).unanswered = unanswered{}
	s.lastAnswer = now
	s.unanswered, s.rejectedDatagrams = unanswered{}, 0
	if s.silent {
		// A server that was silent may have restarted.
		s.silent, s.cold, s.lastColdSign, s.cleanAnswers = false, true, now, 0
	}
	s.retryAfter = 0
}

func (s *server) observeAnswer(now time.Time, o Observation, cfg *Config) {
	slow := o.Latency > 0 && s.slowness.Observe(o.Latency, cfg.SlowFactor)
	if o.Cold || slow {
		s.markCold(now)
		return
	}
	s.cleanAnswers++
	if s.cleanAnswers < cfg.RecoverAnswers {
		return
	}
	s.cold = s.cold && now.Sub(s.lastColdSign) < cfg.RecoverAfter
	s.shedding = s.shedding && now.Sub(s.lastShedSign) < cfg.RecoverAfter
}

func (s *server) observeRefusal(now time.Time, o Observation) {
	if o.Cold {
		s.markCold(now)
	}
	switch o.Reason {
	case pb.Reason_REASON_SHED, pb.Reason_REASON_OVERLOAD:
		s.shedding, s.lastShedSign, s.cleanAnswers = true, now, 0
	case pb.Reason_REASON_DRAINING:
		s.draining, s.lastDrainSign, s.cleanAnswers = true, now, 0
	}
}

func (s *server) markCold(now time.Time) {
	s.cold, s.lastColdSign, s.cleanAnswers = true, now, 0
}

// silentAfter is longer for a server whose answers usually take long.
func (s *server) silentAfter(cfg *Config) time.Duration {
	return max(cfg.SilentAfter, 4*s.slowness.Baseline())
}

func (s *server) endpointFresh(now time.Time, cfg *Config) bool {
	return !s.endpointAt.IsZero() && now.Sub(s.endpointAt) < cfg.EndpointMaxAge
}

// deadByEndpointAlone reports that the endpoint calls the server dead or
// leaving while no own observation does.
func (s *server) unusableByEndpointAlone(now time.Time, cfg *Config) bool {
	unusable := s.endpointState == pb.BackendStatusResponse_STATE_DOWN || s.endpointState == pb.BackendStatusResponse_STATE_DRAINING
	return unusable && s.endpointFresh(now, cfg) && !s.silent && !s.draining && !s.backend.Drain
}

func (s *server) evaluate(now time.Time, cfg *Config, distrusted bool) Condition {
	s.updateSilent(now, cfg, distrusted)
	endpointState := s.endpointState
	if distrusted || !s.endpointFresh(now, cfg) {
		endpointState = pb.BackendStatusResponse_STATE_UNSPECIFIED
	}
	s.updateDraining(now, cfg, endpointState)
	switch {
	case s.backend.Drain || s.draining || endpointState == pb.BackendStatusResponse_STATE_DRAINING:
		return Draining
	case s.silent:
		return Silent
	case endpointState == pb.BackendStatusResponse_STATE_DOWN && now.Sub(s.lastAnswer) > cfg.RecoverAfter:
		return Silent
	case s.cold:
		return Cold
	case s.shedding:
		return Shedding
	case endpointState == pb.BackendStatusResponse_STATE_COLD && s.cleanAnswers < cfg.RecoverAnswers:
		return Cold
	case s.lastAnswer.IsZero():
		return Unknown
	}
	return Healthy
}

// judgeDraining ends a drain that the server itself announced once the
// endpoint, asked after the last such refusal, calls the server ready, or
// after a long time without another such refusal.
func (s *server) updateDraining(now time.Time, cfg *Config, endpointState pb.BackendStatusResponse_State) {
	if !s.draining {
		return
	}
	sinceSign := now.Sub(s.lastDrainSign)
	serving := endpointState == pb.BackendStatusResponse_STATE_READY || endpointState == pb.BackendStatusResponse_STATE_COLD
	if (serving && sinceSign > cfg.EndpointMaxAge && s.endpointAt.After(s.lastDrainSign)) || sinceSign > maxDrainAge {
		s.draining = false
		s.markCold(now)
	}
}

// judgeSilence sets silent on missing answers. A silent server gets another
// trial as a cold one, after a time that doubles, unless its endpoint calls it
// down: without traffic there is no other evidence that it is back.
func (s *server) updateSilent(now time.Time, cfg *Config, distrusted bool) {
	if !s.silent {
		after := s.silentAfter(cfg)
		missing := s.unanswered.exceeds(now, cfg.SilentUnanswered, after) && now.Sub(s.lastAnswer) >= after
		if missing || s.rejectedDatagrams >= cfg.SilentUnanswered {
			s.silent, s.silentSince = true, now
			s.retryAfter = min(max(2*s.retryAfter, minRetryAfter), maxRetryAfter)
		}
		return
	}
	down := s.endpointState == pb.BackendStatusResponse_STATE_DOWN && s.endpointFresh(now, cfg) && !distrusted
	if !down && now.Sub(s.silentSince) >= s.retryAfter {
		s.silent, s.unanswered, s.rejectedDatagrams = false, unanswered{}, 0
		s.markCold(now)
	}
}

func (s *server) report() *pb.ServerReport {
	return &pb.ServerReport{
		Server: uint64(s.backend.ID), Condition: s.condition, OpenFlows: s.openFlows, Answers: s.answers, Refusals: s.refusals,
	}
}

// path is one local socket to a server.
type path struct {
	unanswered
	replacedAt time.Time
}

// silentPaths returns the paths without answers whose server answered
// elsewhere, or whose endpoint answered, after their first unanswered packet.
// It forgets what those paths have missed.
func (s *server) takeSilentPaths(now time.Time, cfg *Config) []int {
	if !s.pathsUnanswered {
		return nil
	}
	var out []int
	s.pathsUnanswered = false
	for id, p := range s.paths {
		s.pathsUnanswered = s.pathsUnanswered || p.sent+p.misses > 0
		if !p.exceeds(now, cfg.SilentUnanswered, s.silentAfter(cfg)) || now.Sub(p.replacedAt) < cfg.ReplaceInterval {
			continue
		}
		endpointAnswers := s.endpointFresh(now, cfg) && s.endpointAt.After(p.since) &&
			s.endpointState != pb.BackendStatusResponse_STATE_DOWN
		if s.lastAnswer.After(p.since) || endpointAnswers {
			out = append(out, id)
			p.unanswered, p.replacedAt = unanswered{}, now
		}
	}
	sort.Ints(out)
	return out
}
