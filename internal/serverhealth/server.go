package serverhealth

import (
	"sort"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a silent
	// server is tried again; it doubles with each failure.
	maxRetryAfter = 30 * time.Second
	minRetryAfter = 2 * time.Second
	// maxDrainAge is the time without a draining refusal after which a drain is
	// assumed to be over, so that a server whose health endpoint is broken
	// returns to service.
	maxDrainAge = time.Minute
)

// server is the evidence about one backend server.
type server struct {
	backend *model.BackendServer
	paths   map[int]*path
	// pathsUnanswered is set if any of the paths may have unanswered packets.
	pathsUnanswered bool
	// ownCondition is based on this instance's evidence; combinedCondition
	// includes the verdict merged from all instances.
	ownCondition, combinedCondition Condition

	openFlows         int64
	answers, refusals uint64

	lastAnswer time.Time
	// cleanAnswers is the number of answers since the last sign that the server
	// is cold, overloaded, draining or silent.
	cleanAnswers                              int
	cold, shedding, draining                  bool
	lastColdSign, lastShedSign, lastDrainSign time.Time

	unanswered unanswered
	// rejectedDatagrams is the number of datagrams that the server's host has
	// rejected since the last answer.
	rejectedDatagrams int
	silent            bool
	silentSince       time.Time
	// retryAfter is the time after silentSince at which the server is tried again.
	retryAfter time.Duration

	slowness SlownessDetector

	// endpointState is what the health endpoint last reported, at endpointAt.
	endpointState pb.BackendStatusResponse_State
	endpointAt    time.Time

	openingLimiter openingLimiter
	// changeReportsDue is the number of heartbeats that still have to report
	// the last change of condition.
	changeReportsDue int
}

// unanswered counts the packets without an answer since the last answer: sent is
// the number observed when they were sent, timedOut the number observed at their
// timeout.
type unanswered struct {
	sent, timedOut int
	// since is the time at which the first of them was sent.
	since time.Time
}

func (s *unanswered) recordSent(now time.Time) {
	s.includeTime(now)
	s.sent++
}

func (s *unanswered) recordTimeout(sentAt time.Time) {
	s.includeTime(sentAt)
	s.timedOut++
}

// includeTime moves since back to at if that is earlier.
func (s *unanswered) includeTime(at time.Time) {
	if s.sent+s.timedOut == 0 || at.Before(s.since) {
		s.since = at
	}
}

// exceeds reports whether at least count packets are unanswered and the first of
// them was sent at least minDuration ago.
func (s *unanswered) exceeds(now time.Time, count int, minDuration time.Duration) bool {
	return max(s.sent, s.timedOut) >= count && now.Sub(s.since) >= minDuration
}

func (s *server) path(id int) *path {
	p := s.paths[id]
	if p == nil {
		p = &path{}
		s.paths[id] = p
	}
	return p
}

// recordReply records that the server replied, by an answer or a refusal.
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

// silentAfter returns the time without an answer after which the server counts
// as silent. It is longer for a server that usually takes long to answer.
func (s *server) silentAfter(cfg *Config) time.Duration {
	return max(cfg.SilentAfter, 4*s.slowness.Baseline())
}

func (s *server) endpointFresh(now time.Time, cfg *Config) bool {
	return !s.endpointAt.IsZero() && now.Sub(s.endpointAt) < cfg.EndpointMaxAge
}

// unusableByEndpointAlone reports whether the health endpoint reports the server
// as down or draining while neither an own observation nor an operator does.
func (s *server) unusableByEndpointAlone(now time.Time, cfg *Config) bool {
	unusable := s.endpointState == pb.BackendStatusResponse_STATE_DOWN || s.endpointState == pb.BackendStatusResponse_STATE_DRAINING
	return unusable && s.endpointFresh(now, cfg) && !s.silent && !s.draining && !s.backend.Drain
}

// evaluate returns the condition of the server by this instance's evidence. The
// health endpoint is ignored if it is distrusted.
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

// updateDraining ends a drain that the server announced by a refusal: once its
// health endpoint, probed after the last such refusal, reports it as ready or
// cold, or after maxDrainAge without another such refusal. endpointState is
// unspecified if the endpoint is not to be used.
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

// updateSilent sets silent when answers are missing. A silent server is tried
// again as a cold one after retryAfter, which doubles each time, because without
// traffic there is no other evidence that it is back. It is not tried while its
// health endpoint reports it as down.
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
		Server: uint64(s.backend.ID), Condition: s.ownCondition, OpenFlows: s.openFlows, Answers: s.answers, Refusals: s.refusals,
	}
}

// path holds the unanswered packets of one local socket to a server.
type path struct {
	unanswered
	replacedAt time.Time
}

// takeSilentPaths returns the paths without answers for which, after their first
// unanswered packet, the server answered on another path or its health endpoint
// answered. It resets the unanswered packets of those paths.
func (s *server) takeSilentPaths(now time.Time, cfg *Config) []int {
	if !s.pathsUnanswered {
		return nil
	}
	var out []int
	s.pathsUnanswered = false
	for id, p := range s.paths {
		s.pathsUnanswered = s.pathsUnanswered || p.sent+p.timedOut > 0
		if !p.exceeds(now, cfg.SilentUnanswered, s.silentAfter(cfg)) || now.Sub(p.replacedAt) < cfg.ReplaceInterval {
			continue
		}
		endpointAnswered := s.endpointFresh(now, cfg) && s.endpointAt.After(p.since) &&
			s.endpointState != pb.BackendStatusResponse_STATE_DOWN
		if s.lastAnswer.After(p.since) || endpointAnswered {
			out = append(out, id)
			p.unanswered, p.replacedAt = unanswered{}, now
		}
	}
	sort.Ints(out)
	return out
}
