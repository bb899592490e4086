package admission

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/serverhealth"
)

// ramp is the number of slots of a server that may be busy. It starts at
// ColdSlots and doubles per interval while clean answers come.
type ramp struct {
	slots int
	cold  bool
	// cleanAnswers counts answers without a sign of trouble since the last step.
	cleanAnswers int
	// probing is set when a warm server was taken over without a handover or
	// has answered no request for quietFor: it may have gone cold since it was
	// last heard. The first clean answer ends it.
	probing            bool
	steppedAt, resetAt time.Time
	latency            serverhealth.LatencyWatch
}

// probeAfterIdle is the time without an answer after which a server may have gone
// cold unnoticed; under load a server answers many requests in it.
const probeAfterIdle = time.Second

func coldSlots(backend *model.BackendServer) int { return min(backend.ColdSlots, backend.Slots) }

// start sets the ramp from what this instance's serverhealth knows. A server
// without evidence counts as cold, and so does one that drains, since that says
// nothing of whether it is warm.
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

// reset sets the ramp back to its start.
func (r *ramp) reset(now time.Time, backend *model.BackendServer) {
	r.slots, r.cleanAnswers, r.resetAt, r.steppedAt = coldSlots(backend), 0, now, now
}

// probe limits a server believed to be warm to what it bears when cold, until
// an answer shows that it is warm.
func (r *ramp) probe(backend *model.BackendServer) {
	if slots := max(1, coldSlots(backend)); !r.cold && r.slots > slots {
		r.probing, r.slots = true, slots
	}
}

func (r *ramp) resize(backend *model.BackendServer) {
	r.slots = min(max(r.slots, coldSlots(backend)), backend.Slots)
}

// observe applies a change of condition. Healthy alone gives no slots, except
// the first one of a server that bears none while cold.
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

// observeRelease applies the evidence of an ended attempt.
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
		r.cleanAnswers = 0
		return
	}
	// An attempt from before the last set-back says nothing about the server
	// since then.
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
	r.cleanAnswers++
	if r.cleanAnswers >= r.slots && now.Sub(r.steppedAt) >= cfg.RampInterval {
		r.cold = false
		r.slots = min(max(2*r.slots, r.slots+1), backend.Slots)
		r.cleanAnswers, r.steppedAt = 0, now
	}
}
