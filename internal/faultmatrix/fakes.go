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
	s        *sim
	objects  map[string]object
	frozen   map[string]object
	watches  []*watch
	down     bool
	stale    bool
	slow     time.Duration
	loseNext int
}

type object struct {
	version uint64
	value   []byte
}

type watch struct {
	n    *node
	inc  uint64
	call StoreCall
	done bool
}

func newFakeStore(s *sim) *fakeStore {
	return &fakeStore{s: s, objects: map[string]object{}, frozen: map[string]object{}}
}

func (f *fakeStore) setStale(on bool) {
	f.frozen = map[string]object{}
	for k, o := range f.objects {
		f.frozen[k] = o
	}
	f.stale = on
	f.wake()
}

// wake answers the watches whose object is newer than they know.
func (f *fakeStore) wake() {
	// finish removes watches from the list.
	for _, w := range slices.Clone(f.watches) {
		if f.read(w.call.Key).version > w.call.After {
			f.finish(w)
		}
	}
}

func (f *fakeStore) read(key string) object {
	if f.stale {
		return f.frozen[key]
	}
	return f.objects[key]
}

func (f *fakeStore) answer(n *node, inc uint64, r StoreReply, delay time.Duration) {
	f.s.after(delay, func() {
		if n.spec.Incarnation == inc {
			f.s.deliver(n, r)
		}
	})
}

func (f *fakeStore) call(n *node, c StoreCall) {
	inc := n.spec.Incarnation
	if f.down || f.s.blocked(string(n.spec.ID), "platform") {
		f.answer(n, inc, StoreReply{Token: c.Token, Err: errUnavailable}, rpcTimeout)
		return
	}
	f.s.after(f.s.jitter(time.Millisecond+f.slow, 2*time.Millisecond), func() { f.execute(n, inc, c) })
}

func (f *fakeStore) execute(n *node, inc uint64, c StoreCall) {
	switch {
	case c.Put:
		f.put(n, inc, c)
	case c.Wait > 0 && f.read(c.Key).version <= c.After:
		w := &watch{n, inc, c, false}
		f.watches = append(f.watches, w)
		f.s.after(c.Wait, func() { f.finish(w) })
	default:
		o := f.read(c.Key)
		f.answer(n, inc, StoreReply{c.Token, o.version, o.value, nil}, time.Millisecond)
	}
}

func (f *fakeStore) put(n *node, inc uint64, c StoreCall) {
	o := f.objects[c.Key]
	if c.IfVersion != nil && *c.IfVersion != o.version {
		f.answer(n, inc, StoreReply{Token: c.Token, Err: errConflict}, time.Millisecond)
		return
	}
	o = object{o.version + 1, append([]byte(nil), c.Value...)}
	f.objects[c.Key] = o
	f.s.log("store: %s version %d by %s", c.Key, o.version, n.spec.ID)
	if f.loseNext > 0 {
		f.loseNext--
		f.s.log("store: answer lost")
		f.answer(n, inc, StoreReply{Token: c.Token, Err: errUnavailable}, rpcTimeout)
	} else {
		f.answer(n, inc, StoreReply{Token: c.Token, Version: o.version}, time.Millisecond)
	}
	f.wake()
}

func (f *fakeStore) finish(w *watch) {
	if w.done {
		return
	}
	w.done = true
	r := StoreReply{Token: w.call.Token}
	if o := f.read(w.call.Key); f.down || f.s.blocked(string(w.n.spec.ID), "platform") {
		r.Err = errUnavailable
	} else {
		r.Version, r.Value = o.version, o.value
	}
	f.answer(w.n, w.inc, r, time.Millisecond)
	f.watches = slices.DeleteFunc(f.watches, func(o *watch) bool { return o.done })
}

// fakeServer is a backend server.
type fakeServer struct {
	s       *sim
	name    string
	service string
	dc      model.DataCentre
	addr    netip.AddrPort
	alive   bool
	shed    bool
	lie     pb.BackendStatusResponse_State
	flows   map[wire.Flow]bool
	busy    int
	runs    map[reqKey]int
	// idempotent remembers the flag of each request that ran.
	idempotent map[reqKey]bool
	diedAt     time.Time

	cold      bool
	coldSince time.Time
	// suddenly is set when the server went cold without warning.
	suddenly bool
	warming  int
	arrivals []time.Time
}

const (
	serverSlots  = 3
	coldSlots    = 1
	coldOpenings = 10
	warmAfter    = 30
)

func (f *fakeServer) goCold(suddenly bool) {
	f.s.log("server %s goes cold", f.name)
	f.cold, f.suddenly, f.coldSince, f.warming, f.arrivals = true, suddenly, f.s.now, 0, nil
}

func (f *fakeServer) kill() {
	f.s.log("server %s killed", f.name)
	f.alive, f.diedAt = false, f.s.now
}

func (f *fakeServer) status() *pb.BackendStatusResponse {
	state := pb.BackendStatusResponse_STATE_READY
	switch {
	case f.lie != 0:
		state = f.lie
	case !f.alive:
		return nil
	case f.cold:
		state = pb.BackendStatusResponse_STATE_COLD
	}
	return &pb.BackendStatusResponse{State: state, BusySlots: uint32(f.busy), OpenFlows: uint32(len(f.flows))}
}

func (f *fakeServer) receive(n *node, path int, p *pb.Packet) {
	f.s.obs.serverReceived(n, f, p)
	if !f.alive {
		return
	}
	flow := wire.FlowOf(p)
	known := f.flows[flow]
	switch p.GetKind() {
	case pb.Kind_KIND_OPEN:
		if !known {
			f.s.obs.opened(n, f, flow)
			f.flows[flow] = true
			f.good()
		}
		f.reply(n, path, f.packet(p, pb.Kind_KIND_OPEN_ACK, 0))
	case pb.Kind_KIND_CLOSE:
		delete(f.flows, flow)
	case pb.Kind_KIND_DATA:
		if !known {
			f.refuse(n, path, p, pb.Reason_REASON_UNKNOWN_FLOW)
			return
		}
		f.reply(n, path, f.packet(p, pb.Kind_KIND_DATA, 0))
	case pb.Kind_KIND_REQUEST:
		f.request(n, path, p, flow, known)
	}
}

func (f *fakeServer) request(n *node, path int, p *pb.Packet, flow wire.Flow, known bool) {
	switch {
	case !known:
		f.refuse(n, path, p, pb.Reason_REASON_UNKNOWN_FLOW)
		return
	case f.shed || f.busy >= serverSlots:
		f.refuse(n, path, p, pb.Reason_REASON_SHED)
		return
	}
	key := reqKey{flow, p.GetRequestId()}
	f.busy++
	f.runs[key]++
	f.idempotent[key] = p.GetIdempotent()
	f.s.obs.ran(f, p)
	f.s.after(f.s.jitter(5*time.Millisecond, 15*time.Millisecond), func() {
		f.busy--
		f.good()
		for k := range 3 {
			f.reply(n, path, f.packet(p, pb.Kind_KIND_ANSWER, k))
		}
	})
}

// good counts good work, which ends the cold phase.
func (f *fakeServer) good() {
	if f.warming++; f.cold && f.warming >= warmAfter {
		f.s.log("server %s is warm", f.name)
		f.cold = false
	}
}

func (f *fakeServer) packet(p *pb.Packet, kind pb.Kind, part int) *pb.Packet {
	service := f.service
	if flow := f.s.flows[wire.FlowOf(p)]; flow != nil && f.s.obs.moved[f.name] {
		service = flow.service
	}
	a := &pb.Packet{Kind: kind, CallerIp: p.GetCallerIp(), CallerPort: p.GetCallerPort(), ServiceIp: p.GetServiceIp(), ServicePort: p.GetServicePort(),
		Token: p.GetToken(), RequestId: p.GetRequestId(), Attempt: p.GetAttempt(), CallerAttempt: p.GetCallerAttempt(), Idempotent: p.GetIdempotent(),
		Payload: wire.Reply{Service: service, Server: f.name, Part: part, Body: string(p.GetPayload())}.Payload()}
	if kind == pb.Kind_KIND_ANSWER {
		a.Part, a.Parts = uint32(part), 3
	}
	a.Cold = f.cold && kind != pb.Kind_KIND_DATA
	return a
}

func (f *fakeServer) refuse(n *node, path int, p *pb.Packet, reason pb.Reason) {
	r := f.packet(p, pb.Kind_KIND_REFUSAL, 0)
	r.Payload, r.Reason, r.Outcome = nil, reason, pb.Outcome_OUTCOME_DID_NOT_RUN
	f.reply(n, path, r)
}

// reply sends to the instance's path, with the faults of that direction.
func (f *fakeServer) reply(n *node, path int, p *pb.Packet) {
	if !f.alive || f.s.silentPaths[pathKey(n.spec.ID, f.addr, path)] {
		return
	}
	inc := n.spec.Incarnation
	copies := 1
	if f.s.rng.Float64() < f.s.answerDuplicate {
		copies = 2
	}
	for range copies {
		f.s.after(f.s.jitter(200*time.Microsecond, 300*time.Microsecond+f.s.answerDelay), func() {
			if n.spec.Incarnation == inc {
				f.s.hookServerAnswer(n, f, p)
				f.s.deliver(n, ServerPacket{f.addr, path, clonePacket(p)})
			}
		})
	}
}
