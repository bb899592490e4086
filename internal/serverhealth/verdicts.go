package serverhealth

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// verdictsMaxAge is the age from which verdicts are no longer used because the
// publisher has gone silent: five heartbeat intervals.
const verdictsMaxAge = time.Second

// SetVerdicts replaces the verdicts, the conditions that the publisher has merged
// from the reports of all instances. Servers that are not in verdicts are healthy
// by the reports.
func (t *Tracker) SetVerdicts(now time.Time, verdicts []*pb.ServerVerdict) {
	t.verdicts, t.verdictsAt = make(map[model.ServerID]Condition, len(verdicts)), now
	for _, v := range verdicts {
		t.verdicts[model.ServerID(v.GetServer())] = v.GetCondition()
	}
	for _, s := range t.sortedServers {
		t.refresh(now, s)
	}
}

// TakeWorsenedReports returns reports on the servers whose own condition has
// become worse since the previous call. They should be sent to the other instances
// at once, because those would otherwise use the servers as before until the next
// heartbeats.
func (t *Tracker) TakeWorsenedReports() []*pb.ServerReport {
	var out []*pb.ServerReport
	for _, s := range t.worsened {
		out = append(out, s.report())
	}
	t.worsened = nil
	return out
}

// AddPeerReports uses the result of TakeWorsenedReports of another instance as
// verdicts on the servers that it contains, until the next SetVerdicts.
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

// combineWithVerdict returns the worse of the own condition and the verdict
// merged from all instances. A verdict of Silent is ignored while this instance
// receives answers.
func (t *Tracker) combineWithVerdict(now time.Time, s *server, own Condition) Condition {
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
