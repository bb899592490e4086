package serverhealth

import (
	"cmp"
	"slices"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// silenceConfirm is the time without any answer after which a server that
	// instances report as silent is taken for dead. One instance with a broken
	// path is thereby outvoted by the answers that the others get.
	silenceConfirmTime = time.Second
	// maxQuorum bounds the number of instances that must agree on a condition.
	maxQuorum     = 3
	numConditions = 6
)

// Merged merges the server reports of the instances. It takes 4 bytes per
// instance and server: 15 MB with 750 instances and 5,000 servers, held only
// by instances that receive reports (the publisher and its first successor).
type MergedReports struct {
	index       map[model.ServerID]int
	servers     []mergedServer
	freeIndexes []int
	instances   map[model.InstanceID]*instanceReports
}

// merged is the sum of the reports on a server.
type mergedServer struct {
	openFlows  int64
	votes      [numConditions]int32
	lastAnswer time.Time
	// silentSince is the time since which enough instances report silence.
	silentSince time.Time
}

type instanceReports struct {
	incarnation uint64
	packed      []packedReport
}

// cell is the last report of one instance on one server: the open flows (14
// bits, signed; a server has about 2,000), the condition (3 bits, zero without
// report) and the low bits of the number of answers (15), which is used to see
// that it grows.
type packedReport uint32

const (
	answerBits    = 15
	conditionBits = 3
	flowBits      = 14

	conditionShift = answerBits
	flowShift      = conditionShift + conditionBits

	maxPackedFlows = 1<<(flowBits-1) - 1
	// cellChunk is the number of cells by which an instance's table grows.
	packedChunk = 64
)

func packReport(r *pb.ServerReport, c pb.ServerCondition) packedReport {
	flows := uint32(min(maxPackedFlows, max(-maxPackedFlows, r.GetOpenFlows())))
	return packedReport(flows<<flowShift | uint32(c)<<conditionShift | uint32(r.GetAnswers()&(1<<answerBits-1)))
}

func (c packedReport) openFlows() int64 { return int64(int32(c) >> flowShift) }

func (c packedReport) condition() pb.ServerCondition {
	return pb.ServerCondition(c >> conditionShift & (1<<conditionBits - 1))
}

func (c packedReport) answers() uint32 { return uint32(c & (1<<answerBits - 1)) }

// noReports stands for a server without reports; it is not changed.
var noReports mergedServer

// NewMerged returns an empty merger.
func NewMergedReports() *MergedReports {
	return &MergedReports{index: make(map[model.ServerID]int), instances: make(map[model.InstanceID]*instanceReports)}
}

// Add merges the reports of one heartbeat.
func (r *MergedReports) Add(now time.Time, from model.InstanceID, incarnation uint64, reports []*pb.ServerReport) {
	inst := r.instances[from]
	if inst != nil && inst.incarnation != incarnation {
		r.removeInstance(from)
		inst = nil
	}
	if inst == nil {
		inst = &instanceReports{incarnation: incarnation}
		r.instances[from] = inst
	}
	for _, report := range reports {
		r.addReport(now, inst, report)
	}
}

func (r *MergedReports) addReport(now time.Time, inst *instanceReports, report *pb.ServerReport) {
	condition := report.GetCondition()
	if condition <= 0 || condition >= numConditions {
		condition = Healthy
	}
	n := r.indexFor(model.ServerID(report.GetServer()))
	if n >= len(inst.packed) {
		grown := make([]packedReport, (len(r.servers)/packedChunk+1)*packedChunk)
		copy(grown, inst.packed)
		inst.packed = grown
	}
	s, old, fresh := &r.servers[n], inst.packed[n], packReport(report, condition)
	inst.packed[n] = fresh
	s.openFlows += fresh.openFlows() - old.openFlows()
	s.votes[condition]++
	if old.condition() != 0 {
		s.votes[old.condition()]--
		if fresh.answers() != old.answers() {
			s.lastAnswer = now
		}
	}
	s.updateSilentSince(now)
}

func (r *MergedReports) indexFor(server model.ServerID) int {
	n, ok := r.index[server]
	if ok {
		return n
	}
	if last := len(r.freeIndexes) - 1; last >= 0 {
		n, r.freeIndexes = r.freeIndexes[last], r.freeIndexes[:last]
	} else {
		n = len(r.servers)
		r.servers = append(r.servers, mergedServer{})
	}
	r.index[server] = n
	return n
}

func (s *mergedServer) updateSilentSince(now time.Time) {
	if s.votes[Silent] < quorum(s.reporters(), 2) {
		s.silentSince = time.Time{}
	} else if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

func (s *mergedServer) reporters() int32 {
	n := int32(0)
	for _, v := range s.votes {
		n += v
	}
	return n
}

// quorum is one in share of the reporters, at least 1 and at most maxQuorum.
func quorum(reporters, oneIn int32) int32 {
	return max(1, min(maxQuorum, (reporters+oneIn-1)/oneIn))
}

// drop takes the reports of an instance out of the sums.
func (r *MergedReports) removeInstance(id model.InstanceID) {
	inst := r.instances[id]
	delete(r.instances, id)
	for n, c := range inst.packed {
		if c.condition() != 0 {
			s := &r.servers[n]
			s.openFlows -= c.openFlows()
			s.votes[c.condition()]--
			if s.votes[Silent] < quorum(s.reporters(), 2) {
				s.silentSince = time.Time{}
			}
		}
	}
}

// Retain drops the reports of runs of instances that are not named and of
// servers that are not in the catalog.
func (r *MergedReports) Retain(incarnations map[model.InstanceID]uint64, servers map[model.ServerID]*model.BackendServer) {
	for id, inst := range r.instances {
		if incarnation, ok := incarnations[id]; !ok || incarnation != inst.incarnation {
			r.removeInstance(id)
		}
	}
	for id, n := range r.index {
		if servers[id] != nil {
			continue
		}
		for _, inst := range r.instances {
			if n < len(inst.packed) {
				inst.packed[n] = 0
			}
		}
		r.servers[n] = mergedServer{}
		r.freeIndexes = append(r.freeIndexes, n)
		delete(r.index, id)
	}
}

func (r *MergedReports) server(id model.ServerID) *mergedServer {
	if n, ok := r.index[id]; ok {
		return &r.servers[n]
	}
	return &noReports
}

// OpenFlows returns the open flows of a server over all instances.
func (r *MergedReports) OpenFlows(server model.ServerID) int64 { return r.server(server).openFlows }

// Condition returns the condition of a server on which enough instances agree:
// half of the reporters for silence, without an answer to any instance for
// silenceConfirm, and one in eight for the others; in both cases 3 suffice.
func (r *MergedReports) Condition(now time.Time, server model.ServerID) pb.ServerCondition {
	s := r.server(server)
	n := s.reporters()
	if n == 0 {
		return Unknown
	}
	minVotes := quorum(n, 8)
	if s.votes[Draining] >= minVotes {
		return Draining
	}
	if !s.silentSince.IsZero() && now.Sub(s.silentSince) >= silenceConfirmTime && now.Sub(s.lastAnswer) >= silenceConfirmTime {
		return Silent
	}
	for _, c := range []pb.ServerCondition{Shedding, Cold} {
		if s.votes[c] >= minVotes {
			return c
		}
	}
	return Healthy
}

// Verdicts returns the servers that are not healthy, by ID.
func (r *MergedReports) Verdicts(now time.Time) []*pb.ServerVerdict {
	var out []*pb.ServerVerdict
	for id := range r.index {
		c := r.Condition(now, id)
		if c != Healthy && c != Unknown {
			out = append(out, &pb.ServerVerdict{Server: uint64(id), Condition: c})
		}
	}
	slices.SortFunc(out, func(a, b *pb.ServerVerdict) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
