package faultmatrix

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/config"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

func clonePacket(p *pb.Packet) *pb.Packet { return proto.Clone(p).(*pb.Packet) }

type fakeStore struct {
	s       *sim
	objects map[string]object
	// snapshot holds the objects at the time at which the store became stale.
	snapshot map[string]object
	watches  []*storeWatch
	// down makes all calls fail.
	down bool
	// stale makes reads return the snapshot.
	stale bool
	// extraDelay is added to the delay of each call.
	extraDelay time.Duration
	// answersToLose is the number of writes that are carried out next but whose
	// answer is lost.
	answersToLose int
}

// object is an object of the store; version 0 means that it does not exist.
type object struct {
	version uint64
	value   []byte
}

// storeWatch is a watch that waits for a change of its object.
type storeWatch struct {
	instance    *simInstance
	incarnation uint64
	call        StoreCall
	done        bool
}

func newFakeStore(s *sim) *fakeStore {
	return &fakeStore{s: s, objects: map[string]object{}, snapshot: map[string]object{}}
}

// setStale starts or ends the fault in which reads return the objects as they were
// at its start.
func (store *fakeStore) setStale(on bool) {
	store.snapshot = map[string]object{}
	for k, o := range store.objects {
		store.snapshot[k] = o
	}
	store.stale = on
	store.completeWatches()
}

// restore replaces the objects by a copy. Watches that wait are cut off.
func (store *fakeStore) restore(objects map[string]object) {
	store.objects = maps.Clone(objects)
	store.s.tracef("store: restored from a copy, root version %d", store.objects[config.RootKey].version)
	for _, w := range slices.Clone(store.watches) {
		w.done = true
		store.answer(w.instance, w.incarnation, StoreReply{Token: w.call.Token, Err: errUnavailable}, time.Millisecond)
	}
	store.watches = nil
}

// completeWatches answers the watches whose object has a later version than the
// call's After.
func (store *fakeStore) completeWatches() {
	// completeWatch removes watches from the list, so the loop needs a copy.
	for _, w := range slices.Clone(store.watches) {
		if store.read(w.call.Key).version > w.call.After {
			store.completeWatch(w)
		}
	}
}

// read returns the object that reads and watches return.
func (store *fakeStore) read(key string) object {
	if store.stale {
		return store.snapshot[key]
	}
	return store.objects[key]
}

// answer delivers a reply after a delay, unless the instance restarts meanwhile.
func (store *fakeStore) answer(inst *simInstance, incarnation uint64, r StoreReply, delay time.Duration) {
	store.s.after(delay, func() {
		if inst.spec.Incarnation == incarnation {
			store.s.deliver(inst, r)
		}
	})
}

func (store *fakeStore) handleCall(inst *simInstance, c StoreCall) {
	incarnation := inst.spec.Incarnation
	if store.down || store.s.blocked(string(inst.spec.ID), "platform") {
		store.answer(inst, incarnation, StoreReply{Token: c.Token, Err: errUnavailable}, storeTimeout)
		return
	}
	store.s.after(store.s.jitter(time.Millisecond+store.extraDelay, 2*time.Millisecond), func() { store.execute(inst, incarnation, c) })
}

func (store *fakeStore) execute(inst *simInstance, incarnation uint64, c StoreCall) {
	switch {
	case c.Put:
		store.put(inst, incarnation, c)
	case c.Wait > 0 && store.read(c.Key).version <= c.After:
		w := &storeWatch{inst, incarnation, c, false}
		store.watches = append(store.watches, w)
		store.s.after(c.Wait, func() { store.completeWatch(w) })
	default:
		o := store.read(c.Key)
		store.answer(inst, incarnation, StoreReply{c.Token, o.version, o.value, nil}, time.Millisecond)
	}
}

func (store *fakeStore) put(inst *simInstance, incarnation uint64, c StoreCall) {
	o := store.objects[c.Key]
	if c.IfVersion != nil && *c.IfVersion != o.version {
		store.answer(inst, incarnation, StoreReply{Token: c.Token, Err: errVersionMismatch}, time.Millisecond)
		return
	}
	o = object{o.version + 1, append([]byte(nil), c.Value...)}
	store.objects[c.Key] = o
	store.s.tracef("store: %s version %d by %s", c.Key, o.version, inst.spec.ID)
	if store.answersToLose > 0 {
		store.answersToLose--
		store.s.tracef("store: answer lost")
		store.answer(inst, incarnation, StoreReply{Token: c.Token, Err: errUnavailable}, storeTimeout)
	} else {
		store.answer(inst, incarnation, StoreReply{Token: c.Token, Version: o.version}, time.Millisecond)
	}
	store.completeWatches()
}

// completeWatch answers a watch that has not been answered yet.
func (store *fakeStore) completeWatch(w *storeWatch) {
	if w.done {
		return
	}
	w.done = true
	r := StoreReply{Token: w.call.Token}
	if o := store.read(w.call.Key); store.down || store.s.blocked(string(w.instance.spec.ID), "platform") {
		r.Err = errUnavailable
	} else {
		r.Version, r.Value = o.version, o.value
	}
	store.answer(w.instance, w.incarnation, r, time.Millisecond)
	store.watches = slices.DeleteFunc(store.watches, func(o *storeWatch) bool { return o.done })
}

type fakeServer struct {
	s       *sim
	name    string
	service string
	dc      model.DataCentre
	addr    netip.AddrPort
	alive   bool
	// shedding makes the server refuse all requests.
	shedding bool
	// reportedState is the state that the health endpoint reports; 0 means the
	// real state.
	reportedState pb.BackendStatusResponse_State
	flows         map[wire.Flow]bool
	busySlots     int
	// runs counts how often each request ran on this server.
	runs map[requestKey]int
	// idempotent holds the idempotent flag of each request that ran.
	idempotent map[requestKey]bool
	diedAt     time.Time

	cold      bool
	coldSince time.Time
	// unannounced is set if the instances got no notice of the cold phase.
	unannounced bool
	// completions counts the openings and requests completed since the server
	// became cold.
	completions int
	// coldOpeningTimes holds the times of the openings within openingWindow.
	coldOpeningTimes []time.Time
}

const (
	// serverSlots is the number of requests that a server runs at once.
	serverSlots = 3
	// coldSlots and coldOpeningsPerSecond are the limits of a cold server.
	coldSlots             = 1
	coldOpeningsPerSecond = 10
	// completionsUntilWarm is the number of completed openings and requests after
	// which a cold server is warm.
	completionsUntilWarm = 30
)

// goCold starts a cold phase; unannounced means without notice to the instances.
func (srv *fakeServer) goCold(unannounced bool) {
	srv.s.tracef("server %s becomes cold", srv.name)
	srv.cold, srv.unannounced, srv.coldSince, srv.completions, srv.coldOpeningTimes = true, unannounced, srv.s.now, 0, nil
}

func (srv *fakeServer) kill() {
	srv.s.tracef("server %s killed", srv.name)
	srv.alive, srv.diedAt = false, srv.s.now
}

// status returns the answer of the health endpoint, or nil if there is none.
func (srv *fakeServer) status() *pb.BackendStatusResponse {
	state := pb.BackendStatusResponse_STATE_READY
	switch {
	case srv.reportedState != 0:
		state = srv.reportedState
	case !srv.alive:
		return nil
	case srv.cold:
		state = pb.BackendStatusResponse_STATE_COLD
	}
	return &pb.BackendStatusResponse{State: state, BusySlots: uint32(srv.busySlots), OpenFlows: uint32(len(srv.flows))}
}

func (srv *fakeServer) receive(inst *simInstance, path int, p *pb.Packet) {
	srv.s.observer.packetReceived(inst, srv, p)
	if !srv.alive {
		return
	}
	flow := wire.FlowOf(p)
	flowKnown := srv.flows[flow]
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		if !flowKnown {
			srv.s.observer.flowOpened(inst, srv, flow)
			srv.flows[flow] = true
			srv.countCompletion()
		}
		srv.sendReply(inst, path, srv.newReply(p, pb.Kind_KIND_OPEN_ACK, 0))
	case pb.Kind_KIND_CLOSE:
		delete(srv.flows, flow)
	case pb.Kind_KIND_DATA:
		if !flowKnown {
			srv.refuse(inst, path, p, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
		srv.sendReply(inst, path, srv.newReply(p, pb.Kind_KIND_DATA, 0))
	case pb.Kind_KIND_REQUEST:
		srv.handleRequest(inst, path, p, flow, flowKnown)
	}
}

// handleRequest runs a request and answers it in 3 parts, or refuses it.
func (srv *fakeServer) handleRequest(inst *simInstance, path int, p *pb.Packet, flow wire.Flow, flowKnown bool) {
	switch {
	case !flowKnown:
		srv.refuse(inst, path, p, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	case srv.shedding || srv.busySlots >= serverSlots:
		srv.refuse(inst, path, p, pb.Reason_REASON_SHED)
		return
	}
	key := requestKey{flow, p.GetRequestId()}
	srv.busySlots++
	srv.runs[key]++
	srv.idempotent[key] = p.GetIdempotent()
	srv.s.observer.requestRan(srv, p)
	srv.s.after(srv.s.jitter(5*time.Millisecond, 15*time.Millisecond), func() {
		srv.busySlots--
		srv.countCompletion()
		for k := range 3 {
			srv.sendReply(inst, path, srv.newReply(p, pb.Kind_KIND_ANSWER, k))
		}
	})
}

// countCompletion counts a completed opening or request; completionsUntilWarm of
// them end the cold phase.
func (srv *fakeServer) countCompletion() {
	if srv.completions++; srv.cold && srv.completions >= completionsUntilWarm {
		srv.s.tracef("server %s is warm", srv.name)
		srv.cold = false
	}
}

func (srv *fakeServer) newReply(p *pb.Packet, kind pb.Kind, part int) *pb.Packet {
	service := srv.service
	if flow := srv.s.flows[wire.FlowOf(p)]; flow != nil && srv.s.observer.movedServers[srv.name] {
		service = flow.service
	}
	a := &pb.Packet{Kind: kind, CallerIp: p.GetCallerIp(), CallerPort: p.GetCallerPort(), ServiceIp: p.GetServiceIp(), ServicePort: p.GetServicePort(),
		Token: p.GetToken(), RequestId: p.GetRequestId(), Attempt: p.GetAttempt(), CallerAttempt: p.GetCallerAttempt(), Idempotent: p.GetIdempotent(),
		Payload: wire.Reply{Service: service, Server: srv.name, Part: part, Body: string(p.GetPayload())}.Payload()}
	if kind == pb.Kind_KIND_ANSWER {
		a.Part, a.Parts = uint32(part), 3
	}
	a.Cold = srv.cold && kind != pb.Kind_KIND_DATA
	return a
}

func (srv *fakeServer) refuse(inst *simInstance, path int, p *pb.Packet, reason pb.Reason) {
	r := srv.newReply(p, pb.Kind_KIND_REFUSAL, 0)
	r.Payload, r.Reason, r.Outcome = nil, reason, pb.Outcome_OUTCOME_DID_NOT_RUN
	srv.sendReply(inst, path, r)
}

// sendReply sends a packet to the instance's path, subject to the faults of that
// direction.
func (srv *fakeServer) sendReply(inst *simInstance, path int, p *pb.Packet) {
	if !srv.alive || srv.s.silentPaths[pathKey(inst.spec.ID, srv.addr, path)] {
		return
	}
	incarnation := inst.spec.Incarnation
	copies := 1
	if srv.s.rng.Float64() < srv.s.replyDuplicateProbability {
		copies = 2
	}
	for range copies {
		srv.s.after(srv.s.jitter(200*time.Microsecond, 300*time.Microsecond+srv.s.replyDelay), func() {
			if inst.spec.Incarnation == incarnation {
				srv.s.notifyServerPacket(inst, srv, p)
				srv.s.deliver(inst, ServerPacket{srv.addr, path, clonePacket(p)})
			}
		})
	}
}
