package faultmatrix

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// startInstance starts a new instance, or restarts one that has stopped.
func (s *sim) startInstance(id model.InstanceID, dc model.DataCentre) {
	s.lastIncarnation++
	inst := s.instances[id]
	if inst == nil {
		inst = &simInstance{}
		s.instances[id] = inst
		s.instanceIDs = append(s.instanceIDs, id)
	}
	*inst = simInstance{spec: InstanceSpec{id, dc, instanceAddr(id), s.lastIncarnation, s.now, s.rng.Uint64()}, alive: true, listed: inst.listed, startedAt: s.now, inFlight: map[requestKey]time.Time{}}
	inst.impl = s.factory(inst.spec)
	s.tracef("%s starts, incarnation %d", id, inst.spec.Incarnation)
	incarnation := inst.spec.Incarnation
	s.after(instanceListLag, func() { inst.listed = true })
	s.every(tickInterval, func() bool {
		if inst.alive && inst.spec.Incarnation == incarnation && !inst.frozen {
			s.deliver(inst, Tick{})
		}
		return inst.alive && inst.spec.Incarnation == incarnation
	})
	// An instance reads the instance list at start-up and then at intervals.
	s.after(time.Millisecond, func() { s.deliverInstanceList(inst, incarnation) })
}

// deliverInstanceList delivers the instance list and repeats this every 500 ms
// until the incarnation ends. The list is not delivered while the instance is cut
// off from the platform.
func (s *sim) deliverInstanceList(inst *simInstance, incarnation uint64) {
	if !inst.alive || inst.spec.Incarnation != incarnation {
		return
	}
	if !s.blocked(string(inst.spec.ID), "platform") {
		s.deliver(inst, ListReply{s.instanceList()})
	}
	s.after(500*time.Millisecond, func() { s.deliverInstanceList(inst, incarnation) })
}

// instanceList returns the instance list as it is shown at present.
func (s *sim) instanceList() []*pb.ListedInstance {
	var out []*pb.ListedInstance
	for _, id := range s.instanceIDs {
		inst := s.instances[id]
		if inst.listed {
			out = append(out, &pb.ListedInstance{Instance: string(id), DataCentre: string(inst.spec.DataCentre),
				PeerAddress: string(id), PacketAddress: instanceAddr(id).String(), OperatorAddress: string(id), Leaving: inst.leaving})
		}
	}
	return out
}

func (s *sim) kill(inst *simInstance) {
	s.tracef("%s killed", inst.spec.ID)
	s.stop(inst)
}

// stop ends an instance at once. The instance list drops it after
// instanceListLag.
func (s *sim) stop(inst *simInstance) {
	inst.alive = false
	incarnation := inst.spec.Incarnation
	s.after(instanceListLag, func() {
		if inst.spec.Incarnation == incarnation {
			inst.listed = false
		}
	})
}

// freeze pauses an instance for d. Inputs that arrive meanwhile are queued and
// delivered when it resumes.
func (s *sim) freeze(inst *simInstance, d time.Duration) {
	s.tracef("%s frozen for %v", inst.spec.ID, d)
	inst.frozen = true
	incarnation := inst.spec.Incarnation
	s.after(d, func() {
		if !inst.alive || inst.spec.Incarnation != incarnation {
			return
		}
		s.tracef("%s resumes", inst.spec.ID)
		inst.frozen = false
		waiting := inst.queued
		inst.queued = nil
		for _, in := range waiting {
			s.deliver(inst, in)
		}
	})
}

// leave starts the planned stop of an instance.
func (s *sim) leave(inst *simInstance) {
	if !inst.alive || inst.leaving {
		return
	}
	s.tracef("%s starts its planned stop", inst.spec.ID)
	incarnation := inst.spec.Incarnation
	s.after(instanceListLag, func() {
		if inst.spec.Incarnation == incarnation {
			inst.leaving = true
		}
	})
	s.deliver(inst, Leave{})
}
