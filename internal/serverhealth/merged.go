package serverhealth

import (
	"cmp"
	"slices"
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

const (
	// silenceConfirmTime is the time without any answer after which a server
	// that instances report as silent counts as silent. A single instance with a
	// broken path is thereby overruled by the answers that the others receive.
	silenceConfirmTime = time.Second
	// maxQuorum bounds the number of instances that must agree on a condition.
	maxQuorum = 3
	// numConditions is the number of values of Condition.
	numConditions = 6
)

// MergedReports merges the server reports of all instances of a data centre into
// verdicts. It takes 4 bytes per instance and server: 15 MB with 750 instances and
// 5,000 servers. Only instances that receive reports (the publisher and its first
// successor) need that memory.
type MergedReports struct {
	index       map[model.ServerID]int
	servers     []mergedServer
	freeIndexes []int
	instances   map[model.InstanceID]*instanceReports
}

// mergedServer is the sum of the reports on one server.
type mergedServer struct {
	openFlows int64
	// votes is the number of instances that report each condition.
	votes [numConditions]int32
	// lastAnswer is the last time at which an instance reported new answers.
	lastAnswer time.Time
	// silentSince is the time since which enough instances report the server
	// as silent; it is zero while they do not.
	silentSince time.Time
}

// instanceReports holds the last reports of one run of an instance. packed is
// indexed by the index of the server.
type instanceReports struct {
	incarnation uint64
	packed      []packedReport
}

// packedReport is the last report of one instance on one server. It holds the
// number of open flows (14 bits, signed; a server has about 2,000), the
// condition (3 bits, zero if there is no report) and the low 15 bits of the
// number of answers, which suffice to detect that it has grown.
type packedReport uint32

const (
	answerBits    = 15
	conditionBits = 3
	flowBits      = 14

	conditionShift = answerBits
	flowShift      = conditionShift + conditionBits

	maxPackedFlows = 1<<(flowBits-1) - 1
	// packedChunk is the number of reports by which an instance's slice grows.
	packedChunk = 64
)

func packReport(r *pb.ServerReport, c pb.ServerCondition) packedReport {
	flows := uint32(min(maxPackedFlows, max(-maxPackedFlows, r.GetOpenFlows())))
	return packedReport(flows<<flowShift | uint32(c)<<conditionShift | uint32(r.GetAnswers()&(1<<answerBits-1)))
}

func (p packedReport) openFlows() int64 { return int64(int32(p) >> flowShift) }

func (p packedReport) condition() pb.ServerCondition {
	return pb.ServerCondition(p >> conditionShift & (1<<conditionBits - 1))
}

func (p packedReport) answers() uint32 { return uint32(p & (1<<answerBits - 1)) }

// noReports is returned for a server without reports; it must not be changed.
var noReports mergedServer

// NewMergedReports returns a MergedReports without any reports.
func NewMergedReports() *MergedReports {
	return &MergedReports{index: make(map[model.ServerID]int), instances: make(map[model.InstanceID]*instanceReports)}
}

// Add merges the server reports of one heartbeat. Reports of an earlier run of
// the instance are dropped.
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
	s, old, updated := &r.servers[n], inst.packed[n], packReport(report, condition)
	inst.packed[n] = updated
	s.openFlows += updated.openFlows() - old.openFlows()
	s.votes[condition]++
	if old.condition() != 0 {
		s.votes[old.condition()]--
		if updated.answers() != old.answers() {
			s.lastAnswer = now
		}
	}
	s.updateSilentSince(now)
}

// indexFor returns the index of the server and assigns one if it has none.
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

// updateSilentSince sets or clears silentSince after a change of the votes.
func (s *mergedServer) updateSilentSince(now time.Time) {
	if s.votes[Silent] < quorum(s.reporters(), 2) {
		s.silentSince = time.Time{}
	} else if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// reporters returns the number of instances whose report on the server is held.
func (s *mergedServer) reporters() int32 {
	n := int32(0)
	for _, v := range s.votes {
		n += v
	}
	return n
}

// quorum returns one in oneIn of the reporters, rounded up, at least 1 and at
// most maxQuorum.
func quorum(reporters, oneIn int32) int32 {
	return max(1, min(maxQuorum, (reporters+oneIn-1)/oneIn))
}

// removeInstance removes an instance and subtracts its reports from the sums.
func (r *MergedReports) removeInstance(id model.InstanceID) {
	inst := r.instances[id]
	delete(r.instances, id)
	for n, report := range inst.packed {
		if report.condition() != 0 {
			s := &r.servers[n]
			s.openFlows -= report.openFlows()
			s.votes[report.condition()]--
			if s.votes[Silent] < quorum(s.reporters(), 2) {
				s.silentSince = time.Time{}
			}
		}
	}
}

// Retain drops the reports of all runs except those in incarnations, and the
// reports on all servers except those in servers.
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

// OpenFlows returns the number of open flows of a server, summed over all
// instances.
func (r *MergedReports) OpenFlows(server model.ServerID) int64 { return r.server(server).openFlows }

// Condition returns the condition of a server on which enough of its reporters
// agree, which are the instances that have reported it. A server is silent if half
// of its reporters have reported so for at least 1 s (silenceConfirmTime) and no
// instance has received an answer in that time. For any other condition an eighth
// of the reporters is enough. In both cases no more than 3 (maxQuorum) are needed.
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

// Verdicts returns the conditions of the servers that are not healthy, sorted by
// server ID.
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
