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
func (t *Tracker) SetVerdicts(now time.Time, verdicts []*pb.ServerVerdict) {
	t.verdicts, t.verdictsAt = make(map[model.ServerID]Condition, len(verdicts)), now
	for _, v := range verdicts {
		t.verdicts[model.ServerID(v.GetServer())] = v.GetCondition()
	}
	for _, s := range t.sorted {
		t.refresh(now, s)
	}
}

// TakeNews returns the reports of the servers whose condition got worse since
// the last call. They are worth a message at once: until the next heartbeats
// the other instances go on as before.
func (t *Tracker) TakeWorsenedReports() []*pb.ServerReport {
	var out []*pb.ServerReport
	for _, s := range t.worsened {
		out = append(out, s.report())
	}
	t.worsened = nil
	return out
}

// AddNews takes another instance's reports until the next verdicts come.
func (t *Tracker) AddPeerReports(now time.Time, reports []*pb.ServerReport) {
	if t.verdicts == nil {
		t.verdicts = map[model.ServerID]Condition{}
	}
	t.verdictsAt = now
	for _, r := range reports {
		id := model.ServerID(r.GetServer())
		t.verdicts[id] = r.GetCondition()
		if s := t.servers[id]; s != nil {
			t.refresh(now, s)
		}
	}
}

// joint adds the verdict of all instances to the own condition. An instance
// that still gets answers does not believe in silence.
func (t *Tracker) combined(now time.Time, s *server, own Condition) Condition {
	if now.Sub(t.verdictsAt) > verdictsMaxAge {
		return own
	}
	verdict := t.verdicts[s.backend.ID]
	if verdict == Silent && now.Sub(s.lastAnswer) < silenceConfirmTime {
		return own
	}
	for _, c := range []Condition{Draining, Silent, Cold, Shedding} {
		if own == c || verdict == c {
			return c
		}
	}
	return own
}
