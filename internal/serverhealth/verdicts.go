package serverhealth

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// verdictsMaxAge is the age at which the verdicts of a publisher that is not
// heard any more are forgotten: five heartbeats.
const verdictsMaxAge = time.Second

// SetVerdicts takes the conditions that the publisher has merged from the
// reports of all instances; servers that are not named are healthy.
func (h *Health) SetVerdicts(now time.Time, verdicts []*pb.ServerVerdict) {
	h.verdicts, h.verdictsAt = make(map[model.ServerID]Condition, len(verdicts)), now
	for _, v := range verdicts {
		h.verdicts[model.ServerID(v.GetServer())] = v.GetCondition()
	}
	for _, s := range h.list {
		h.refresh(now, s)
	}
}

// TakeNews returns the reports of the servers whose condition got worse since
// the last call. They are worth a message at once: until the next heartbeats
// the other instances go on as before.
func (h *Health) TakeNews() []*pb.ServerReport {
	var out []*pb.ServerReport
	for _, s := range h.news {
		out = append(out, s.report())
	}
	h.news = nil
	return out
}

// AddNews takes another instance's reports until the next verdicts come.
func (h *Health) AddNews(now time.Time, reports []*pb.ServerReport) {
	if h.verdicts == nil {
		h.verdicts = map[model.ServerID]Condition{}
	}
	h.verdictsAt = now
	for _, r := range reports {
		id := model.ServerID(r.GetServer())
		h.verdicts[id] = r.GetCondition()
		if s := h.servers[id]; s != nil {
			h.refresh(now, s)
		}
	}
}

// joint adds the verdict of all instances to the own condition. An instance
// that still gets answers does not believe in silence.
func (h *Health) joint(now time.Time, s *server, own Condition) Condition {
	if now.Sub(h.verdictsAt) > verdictsMaxAge {
		return own
	}
	verdict := h.verdicts[s.info.ID]
	if verdict == Silent && now.Sub(s.lastAnswer) < silenceConfirm {
		return own
	}
	for _, c := range []Condition{Draining, Silent, Cold, Shedding} {
		if own == c || verdict == c {
			return c
		}
	}
	return own
}
