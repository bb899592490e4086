package admission

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// ramp limits the number of slots of a server that may be busy (slow start). The
// limit starts at ColdSlots, unless the server is known to be healthy. It doubles, at
// most once per RampInterval, after as many normal answers as the limit, until it
// reaches Slots.
type ramp struct {
	// slots is the present limit.
	slots int
	cold  bool
	// normalAnswers counts the answers since the last step. It is reset when an
	// attempt shows that the server is cold, shedding, silent or slow.
	normalAnswers int
	// probing is set when a warm server was taken over without a handover or has
	// not answered any request for probeAfterIdle, since it may have become cold
	// unnoticed. The first normal answer clears it.
	probing            bool
	steppedAt, resetAt time.Time
	latency            serverhealth.SlownessDetector
}

// probeAfterIdle is the time without an answer after which a server is probed,
// because it may have become cold unnoticed. A server under load answers many
// requests in this time.
const probeAfterIdle = time.Second

func coldSlots(backend *model.BackendServer) int { return min(backend.ColdSlots, backend.Slots) }

// start initializes the ramp from the condition of the server. A server whose
// condition is unknown is treated as cold. So is a server that is draining,
// because draining does not show that the server is warm.
func (r *ramp) start(now time.Time, backend *model.BackendServer, c pb.ServerCondition) {
	r.reset(now, backend)
	switch c {
	case pb.ServerCondition_SERVER_CONDITION_HEALTHY:
		r.slots = backend.Slots
	case pb.ServerCondition_SERVER_CONDITION_SHEDDING:
	default:
		r.cold = true
	}
}

// reset sets the ramp back to its initial limit.
func (r *ramp) reset(now time.Time, backend *model.BackendServer) {
	r.slots, r.normalAnswers, r.resetAt, r.steppedAt = coldSlots(backend), 0, now, now
}

// probe limits a server that is not known to be cold to its cold-start slots, or
// one slot if it has none, until an answer shows that it is warm.
func (r *ramp) probe(backend *model.BackendServer) {
	if slots := max(1, coldSlots(backend)); !r.cold && r.slots > slots {
		r.probing, r.slots = true, slots
	}
}

func (r *ramp) resize(backend *model.BackendServer) {
	r.slots = min(max(r.slots, coldSlots(backend)), backend.Slots)
}

// observe applies a change of the server's condition. A change to healthy does
// not raise the limit, except from zero to one for a server without cold-start
// slots.
func (r *ramp) observe(now time.Time, backend *model.BackendServer, c pb.ServerCondition) {
	switch c {
	case pb.ServerCondition_SERVER_CONDITION_COLD, pb.ServerCondition_SERVER_CONDITION_SILENT:
		r.reset(now, backend)
		r.cold = true
	case pb.ServerCondition_SERVER_CONDITION_SHEDDING:
		r.reset(now, backend)
	case pb.ServerCondition_SERVER_CONDITION_HEALTHY:
		r.slots = min(max(r.slots, 1), backend.Slots)
	}
}

// observeRelease applies the result of an attempt that has ended.
func (r *ramp) observeRelease(now time.Time, backend *model.BackendServer, cfg *Config, grantedAt time.Time, m *pb.GrantRelease) {
	switch m.GetCondition() {
	case pb.ServerCondition_SERVER_CONDITION_COLD:
		r.reset(now, backend)
		r.cold = true
		return
	case pb.ServerCondition_SERVER_CONDITION_SHEDDING:
		r.reset(now, backend)
		return
	case pb.ServerCondition_SERVER_CONDITION_SILENT:
		r.normalAnswers = 0
		return
	}
	// An attempt that was granted before the last reset does not show the
	// condition of the server after it.
	if !m.GetAnswered() || grantedAt.Before(r.resetAt) {
		return
	}
	if r.latency.Observe(time.Duration(m.GetLatencyMs())*time.Millisecond, cfg.SlowFactor) {
		r.reset(now, backend)
		r.cold = true
		return
	}
	if r.probing {
		r.probing, r.slots = false, backend.Slots
	}
	r.normalAnswers++
	if r.normalAnswers >= r.slots && now.Sub(r.steppedAt) >= cfg.RampInterval {
		r.cold = false
		r.slots = min(max(2*r.slots, r.slots+1), backend.Slots)
		r.normalAnswers, r.steppedAt = 0, now
	}
}
