package faultmatrix

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/standin/wire"
)

func clonePacket(p *pb.Packet) *pb.Packet { return proto.Clone(p).(*pb.Packet) }

// fakeStore is the object store.
type fakeStore struct {
	s             *sim
	objects       map[string]object
	snapshot      map[string]object
	watches       []*storeWatch
	down          bool
	stale         bool
	extraDelay    time.Duration
	answersToLose int
}

type object struct {
	version uint64
	value   []byte
}

type storeWatch struct {
	instance    *simInstance
	incarnation uint64
	call        StoreCall
	done        bool
}

func newFakeStore(s *sim) *fakeStore {
	return &fakeStore{s: s, objects: map[string]object{}, snapshot: map[string]object{}}
}

func (store *fakeStore) setStale(on bool) {
	store.snapshot = map[string]object{}
	for k, o := range store.objects {
		store.snapshot[k] = o
	}
	store.stale = on
	store.completeWatches()
}

// wake answers the watches whose object is newer than they know.
func (store *fakeStore) completeWatches() {
	// finish removes watches from the list.
	for _, w := range slices.Clone(store.watches) {
		if store.read(w.call.Key).version > w.call.After {
			store.completeWatch(w)
		}
	}
}

func (store *fakeStore) read(key string) object {
	if store.stale {
		return store.snapshot[key]
	}
	return store.objects[key]
}

func (store *fakeStore) answer(inst *simInstance, incarnation uint64, r StoreReply, delay time.Duration) {
	store.s.after(delay, func() {
		if inst.spec.Incarnation == incarnation {
			store.s.deliver(inst, r)
		}
	})
}

func (store *fakeStore) call(inst *simInstance, c StoreCall) {
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

// fakeServer is a backend server.
type fakeServer struct {
	s             *sim
	name          string
	service       string
	dc            model.DataCentre
	addr          netip.AddrPort
	alive         bool
	shedding      bool
	reportedState pb.BackendStatusResponse_State
	flows         map[wire.Flow]bool
	busySlots     int
	runs          map[requestKey]int
	// idempotent remembers the flag of each request that ran.
	idempotent map[requestKey]bool
	diedAt     time.Time

	cold      bool
	coldSince time.Time
	// suddenly is set when the server went cold without warning.
	unannounced      bool
	completions      int
	coldOpeningTimes []time.Time
}

const (
	serverSlots           = 3
	coldSlots             = 1
	coldOpeningsPerSecond = 10
	completionsUntilWarm  = 30
)

func (srv *fakeServer) goCold(unannounced bool) {
	srv.s.tracef("server %s goes cold", srv.name)
	srv.cold, srv.unannounced, srv.coldSince, srv.completions, srv.coldOpeningTimes = true, unannounced, srv.s.now, 0, nil
}

func (srv *fakeServer) kill() {
	srv.s.tracef("server %s killed", srv.name)
	srv.alive, srv.diedAt = false, srv.s.now
}

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
		srv.reply(inst, path, srv.packet(p, pb.Kind_KIND_OPEN_ACK, 0))
	case pb.Kind_KIND_CLOSE:
		delete(srv.flows, flow)
	case pb.Kind_KIND_DATA:
		if !flowKnown {
			srv.refuse(inst, path, p, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
		srv.reply(inst, path, srv.packet(p, pb.Kind_KIND_DATA, 0))
	case pb.Kind_KIND_REQUEST:
		srv.request(inst, path, p, flow, flowKnown)
	}
}

func (srv *fakeServer) request(inst *simInstance, path int, p *pb.Packet, flow wire.Flow, flowKnown bool) {
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
			srv.reply(inst, path, srv.packet(p, pb.Kind_KIND_ANSWER, k))
		}
	})
}

// good counts good work, which ends the cold phase.
func (srv *fakeServer) countCompletion() {
	if srv.completions++; srv.cold && srv.completions >= completionsUntilWarm {
		srv.s.tracef("server %s is warm", srv.name)
		srv.cold = false
	}
}

func (srv *fakeServer) packet(p *pb.Packet, kind pb.Kind, part int) *pb.Packet {
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
	r := srv.packet(p, pb.Kind_KIND_REFUSAL, 0)
	r.Payload, r.Reason, r.Outcome = nil, reason, pb.Outcome_OUTCOME_DID_NOT_RUN
	srv.reply(inst, path, r)
}

// reply sends to the instance's path, with the faults of that direction.
func (srv *fakeServer) reply(inst *simInstance, path int, p *pb.Packet) {
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
