package admission

import (
	"sort"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
)

// reportSet builds the GrantReports of a state, one for each pair of receiver and
// former admitter.
type reportSet struct {
	generation uint64
	reports    map[reportKey]*pb.GrantReport
}

type reportKey struct{ to, former model.InstanceID }

func newReportSet(generation uint64) *reportSet {
	return &reportSet{generation, map[reportKey]*pb.GrantReport{}}
}

func (r *reportSet) add(to, former model.InstanceID, server model.ServerID, c pb.ServerCondition, held []*pb.OutstandingGrant) {
	if to == "" {
		return
	}
	k := reportKey{to, former}
	if r.reports[k] == nil {
		r.reports[k] = &pb.GrantReport{Generation: r.generation, Former: string(former)}
	}
	r.reports[k].Servers = append(r.reports[k].Servers, uint64(server))
	r.reports[k].Conditions = append(r.reports[k].Conditions, c)
	r.reports[k].Outstanding = append(r.reports[k].Outstanding, held...)
}

func (r *reportSet) messages() []peer.Message {
	var out []peer.Message
	for k, m := range r.reports {
		out = append(out, peer.Message{To: k.to, Body: &pb.PeerMessage{Body: &pb.PeerMessage_GrantReport{GrantReport: m}}})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].To != out[j].To {
			return out[i].To < out[j].To
		}
		return out[i].Body.GetGrantReport().GetFormer() < out[j].Body.GetGrantReport().GetFormer()
	})
	return out
}

func sortedSequences(m map[uint64]*handover) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
