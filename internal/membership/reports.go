package membership

import (
	"slices"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// reportQueue selects the server reports of the next heartbeat: first those of
// servers whose condition differs from the one last sent, then those of the
// others in round-robin order.
type reportQueue struct {
	// sent holds the condition last sent for each server, by server ID.
	sent map[uint64]pb.ServerCondition
	// lastRoutine is the index of the report chosen last in round-robin order.
	lastRoutine int
}

func newReportQueue() reportQueue {
	return reportQueue{sent: make(map[uint64]pb.ServerCondition)}
}

// next returns at most limit reports.
func (q *reportQueue) next(all []*pb.ServerReport, limit int) []*pb.ServerReport {
	if len(all) <= limit {
		return all
	}
	if len(q.sent) > 2*len(all) {
		// Drops servers that are no longer in the configuration.
		clear(q.sent)
	}
	out := make([]*pb.ServerReport, 0, limit)
	for _, r := range all {
		// The first report of a healthy server is not urgent.
		lastSent, known := q.sent[r.GetServer()]
		urgent := r.GetCondition() != lastSent && (known || r.GetCondition() != pb.ServerCondition_SERVER_CONDITION_HEALTHY)
		if urgent && len(out) < limit {
			out = append(out, r)
			q.sent[r.GetServer()] = r.GetCondition()
		}
	}
	for n := 0; n < len(all) && len(out) < limit; n++ {
		q.lastRoutine = (q.lastRoutine + 1) % len(all)
		r := all[q.lastRoutine]
		if !slices.Contains(out, r) {
			out = append(out, r)
			q.sent[r.GetServer()] = r.GetCondition()
		}
	}
	return out
}
