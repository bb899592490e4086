package steering

import (
	"cmp"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/flowtable"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// resolution is a flow that this instance resolves by asking its peers. Any
// instance that is asked resolves, whether or not it is the owner under its
// own state; two instances that resolve one flow at the same time notice each
// other's PinQuery, and the one with the higher ID yields.
type resolution struct {
	key     key
	opening bool
	// yielded is set when another instance resolves the flow. This one then
	// decides nothing itself and only passes on a server that a peer names.
	yielded bool
	ask     *ask
	waiters []model.InstanceID
}

// ask is one PinQuery sent to the peers.
type ask struct {
	id      uint64
	items   []key
	missing []model.InstanceID
	sent    time.Time
	until   time.Time
}

// claim remembers an instance outside the view that asked about a flow: it
// may decide about the flow, so it is asked too.
type claim struct {
	by    model.InstanceID
	until time.Time
}

func (s *Steering) handleQuery(now time.Time, from model.InstanceID, q *pb.ResolveQuery) {
	if s.state == nil || s.fenced(now) {
		return // the sender repeats the query
	}
	for _, item := range q.GetItems() {
		s.resolve(now, from, item)
	}
}

// resolve answers from the instance's record or pin, or starts asking peers.
func (s *Steering) resolve(now time.Time, from model.InstanceID, item *pb.ResolveQuery_Item) {
	k := key{Service: model.ServiceID(item.GetService()), Flow: model.FlowHash(item.GetFlow())}
	if r := s.resolutions[k]; r != nil {
		r.opening = r.opening || item.GetOpening()
		if !slices.Contains(r.waiters, from) {
			r.waiters = append(r.waiters, from)
		}
		return
	}
	if server, recorded, ok := s.known(k); ok {
		s.answer(now, from, k, server, recorded)
		return
	}
	id, b, ok := s.bucketOf(k)
	if !ok {
		s.answer(now, from, k, 0, false)
		return
	}
	r := &resolution{key: k, opening: item.GetOpening(), waiters: []model.InstanceID{from}}
	if !s.mustAsk(now, id, b) || r.opening && s.opensAlone(now, id, k) {
		s.decide(now, r)
		return
	}
	s.resolutions[k] = r
	s.askFor(now, r)
}

// askFor adds a flow to the PinQuery that this call sends.
func (s *Steering) askFor(now time.Time, r *resolution) {
	if s.newAsk == nil {
		s.sequence++
		s.newAsk = &ask{id: s.sequence, until: now.Add(s.cfg.ResolveTimeout)}
	}
	if r.ask != s.newAsk {
		r.ask = s.newAsk
		s.newAsk.items = append(s.newAsk.items, r.key)
	}
}

// known returns the server of a flow from a record or the instance's own pin.
func (s *Steering) known(k key) (server model.ServerID, recorded, ok bool) {
	if id, _, have := s.bucketOf(k); have {
		if server, ok := s.copies[id].lookup(k); ok && s.belongs(k.Service, server) {
			return server, true, true
		}
	}
	p, ok := s.table.Peek(k.Service, k.Flow)
	if !ok || !s.belongs(k.Service, p.Server) {
		return 0, false, false
	}
	return p.Server, p.Recorded, true
}

// opensAlone reports whether the owner may decide about an opening without
// asking its peers: the opening server has not changed for as long as an
// opening may be repeated, the owner holds all records, so a repetition finds
// the first one's, and no other instance has just asked about the flow.
// Without it each opening of a moved bucket would cost a query to all peers.
func (s *Steering) opensAlone(now time.Time, id bucketID, k key) bool {
	c := s.copies[id]
	return s.owner(id) == s.cfg.Self && c != nil && c.complete && !s.newlyMoved(now, id) &&
		s.settled(now, id) && !s.askedElsewhere.has(k)
}

// mustAsk reports whether a flow without record may still be pinned by a peer
// at another server than the bucket's base.
func (s *Steering) mustAsk(now time.Time, id bucketID, b dcstate.Bucket) bool {
	if !b.Questionable() {
		return false
	}
	c := s.copies[id]
	return b.Phase != dcstate.Mixed || c == nil || !c.complete || !s.settled(now, id)
}

// settled reports whether reports of pins that follow from the last change of
// the bucket or the view must have arrived.
func (s *Steering) settled(now time.Time, id bucketID) bool {
	return now.Sub(s.changed[id]) >= s.cfg.SettleAfter && now.Sub(s.lastJoin) >= s.cfg.SettleAfter
}

// sendAsk sends the PinQuery for the flows collected in this call.
func (s *Steering) sendAsk(now time.Time) {
	a := s.newAsk
	if a == nil {
		return
	}
	s.newAsk = nil
	for _, m := range s.state.Members {
		if m.Instance != s.cfg.Self {
			a.missing = append(a.missing, m.Instance)
		}
	}
	for _, k := range a.items {
		c, ok := s.claims[k]
		if ok && now.Before(c.until) && c.by != s.cfg.Self && !slices.Contains(a.missing, c.by) {
			a.missing = append(a.missing, c.by)
		}
	}
	s.asks[a.id] = a
	if len(a.missing) == 0 {
		s.finishAsk(now, a)
		return
	}
	s.repeatAsk(now, a)
}

func (s *Steering) repeatAsk(now time.Time, a *ask) {
	a.sent = now
	q := &pb.PinQuery{Query: a.id}
	for _, k := range a.items {
		if s.resolutions[k] != nil {
			q.Items = append(q.Items, &pb.PinQuery_Item{Service: uint64(k.Service), Flow: uint64(k.Flow)})
		}
	}
	for _, to := range a.missing {
		s.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_PinQuery{PinQuery: q}})
	}
}

// handlePinQuery names the flows that the instance has a pin or record of.
func (s *Steering) handlePinQuery(now time.Time, from model.InstanceID, q *pb.PinQuery) {
	keys := make([]key, 0, len(q.GetItems()))
	for _, item := range q.GetItems() {
		k := key{Service: model.ServiceID(item.GetService()), Flow: model.FlowHash(item.GetFlow())}
		if r := s.resolutions[k]; r != nil && !r.yielded && s.cfg.Self < from {
			// This instance decides first; the sender repeats the query and
			// then gets the decision.
			return
		}
		keys = append(keys, k)
	}
	reply := &pb.PinReply{Query: q.GetQuery()}
	var groups groups
	for _, k := range keys {
		s.askedElsewhere.add(k)
		if r := s.resolutions[k]; r != nil {
			r.yielded = true
		}
		if server, _, ok := s.known(k); ok {
			groups.add(k, server)
			continue
		}
		if !s.inView(from) {
			s.claims[k] = claim{from, now.Add(s.cfg.HoldTimeout + s.cfg.ResolveTimeout)}
		}
	}
	reply.Pins = groups.list
	s.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_PinReply{PinReply: reply}})
}

func (s *Steering) inView(id model.InstanceID) bool {
	if s.state == nil {
		return false
	}
	_, ok := s.state.Member(id)
	return ok
}

func (s *Steering) handlePinReply(now time.Time, from model.InstanceID, reply *pb.PinReply) {
	if reply.GetQuery() == 0 {
		s.takeHints(now, reply)
		return
	}
	a := s.asks[reply.GetQuery()]
	if a == nil || !slices.Contains(a.missing, from) {
		return
	}
	for _, g := range reply.GetPins() {
		for _, f := range g.GetFlows() {
			k := key{Service: model.ServiceID(g.GetService()), Flow: model.FlowHash(f)}
			server := model.ServerID(g.GetServer())
			if r := s.resolutions[k]; r != nil && r.ask == a && s.belongs(k.Service, server) {
				s.settle(now, r, server)
			}
		}
	}
	s.answered(now, a, from)
}

// answered notes that a peer needs no longer be waited for.
func (s *Steering) answered(now time.Time, a *ask, from model.InstanceID) {
	a.missing = slices.DeleteFunc(a.missing, func(id model.InstanceID) bool { return id == from })
	if len(a.missing) == 0 {
		s.finishAsk(now, a)
	}
}

// finishAsk decides the flows of which no peer has a pin.
func (s *Steering) finishAsk(now time.Time, a *ask) {
	delete(s.asks, a.id)
	for _, k := range a.items {
		r := s.resolutions[k]
		switch {
		case r == nil || r.ask != a:
		case r.opening && !r.yielded && s.unvouched(now, k):
			s.asks[a.id] = a // Tick tries again
		default:
			s.decide(now, r)
		}
	}
}

// decide chooses the server of a flow that no instance knows.
func (s *Steering) decide(now time.Time, r *resolution) {
	if s.fenced(now) {
		delete(s.resolutions, r.key) // the askers repeat their queries
		return
	}
	// A packet may have pinned the flow here since the peers were asked.
	if server, _, ok := s.known(r.key); ok {
		s.settle(now, r, server)
		return
	}
	id, b, ok := s.bucketOf(r.key)
	if !ok || r.yielded || r.opening && s.repeatAtRisk(now, id) {
		s.settle(now, r, 0)
		return
	}
	server := b.Base
	if r.opening {
		server = b.OpeningServer()
	}
	if !s.belongs(r.key.Service, server) || r.opening && !s.mayOpen(now, server) {
		server = 0
	}
	s.settle(now, r, server)
	if r.opening && server != 0 && b.Phase == dcstate.Active {
		s.hint(r.key, server)
	}
}

// unvouched reports whether this instance joined so recently that it does not
// know if another one died shortly before, and no older member has said that
// none did. Openings that it resolves then wait, or are refused.
func (s *Steering) unvouched(now time.Time, k key) bool {
	_, b, ok := s.bucketOf(k)
	return ok && !b.OpensDirectly() && !s.knowsDeaths(now)
}

func (s *Steering) knowsDeaths(now time.Time) bool {
	return s.vouched || now.Sub(s.joined) >= s.cfg.OpeningRepeat
}

// repeatAtRisk reports whether an opening may be the repetition of one that an
// instance sent to another server before it died: its pin is lost, and the
// bucket's opening server has changed since.
func (s *Steering) repeatAtRisk(now time.Time, id bucketID) bool {
	return s.newlyMoved(now, id) && now.Sub(s.lastDeath) < s.cfg.OpeningRepeat
}

// settle stores the server of a flow, so that later queries get the same, and
// answers the waiters. Server 0 means that the flow is refused.
func (s *Steering) settle(now time.Time, r *resolution, server model.ServerID) {
	delete(s.resolutions, r.key)
	recorded := false
	if server != 0 {
		var stored bool
		stored, recorded = s.store(now, r.key, server)
		if !stored && r.opening {
			server = 0
		}
	}
	for _, w := range r.waiters {
		s.answer(now, w, r.key, server, recorded)
	}
}

// store records a resolved flow when it is an exception, and otherwise pins
// it here, where later queries find it.
func (s *Steering) store(now time.Time, k key, server model.ServerID) (stored, recorded bool) {
	id, b, ok := s.bucketOf(k)
	if !ok {
		return false, false
	}
	p, pinned := s.table.Peek(k.Service, k.Flow)
	pinned = pinned && p.Server == server
	if exceptional(b, server) {
		if s.owner(id) == s.cfg.Self {
			s.addRecord(now, k, server, s.cfg.Self, nil)
			return true, true
		}
		s.report(now, op{kind: opReport, key: k, server: server})
		recorded = true
	}
	if pinned {
		s.table.SetRecorded(k.Service, k.Flow, p.Recorded || recorded)
		return true, p.Recorded || recorded
	}
	return s.table.Pin(k.Service, k.Flow, flowtable.Pin{Server: server, Recorded: recorded}, now), recorded
}

// answer tells the instance that asked; it may be this one.
func (s *Steering) answer(now time.Time, to model.InstanceID, k key, server model.ServerID, recorded bool) {
	if to == s.cfg.Self {
		if w := s.waits[k]; w != nil && w.target == to {
			s.finish(now, w, server, recorded)
		}
		return
	}
	r := s.replyTo(to)
	s.attachFilter(now, r, k, server)
	r.Items = append(r.Items, &pb.ResolveReply_Item{Service: uint64(k.Service), Flow: uint64(k.Flow), Server: uint64(server), Recorded: recorded})
}

// replyTo returns the reply of this call to an instance.
func (s *Steering) replyTo(to model.InstanceID) *pb.ResolveReply {
	r := s.out.replies[to]
	if r == nil {
		if s.out.replies == nil {
			s.out.replies = map[model.InstanceID]*pb.ResolveReply{}
		}
		r = &pb.ResolveReply{}
		s.out.replies[to] = r
	}
	return r
}

// tickAsks repeats unanswered pin queries and refuses flows whose peers did
// not answer in time: a missing pin could name another server.
func (s *Steering) tickAsks(now time.Time) {
	for _, id := range sortedKeys(s.asks, cmp.Compare[uint64]) {
		a := s.asks[id]
		if now.Before(a.until) && len(a.missing) == 0 {
			s.finishAsk(now, a)
		} else if !now.Before(a.until) {
			delete(s.asks, id)
			for _, k := range a.items {
				if r := s.resolutions[k]; r != nil && r.ask == a {
					s.settle(now, r, 0)
				}
			}
		} else if now.Sub(a.sent) >= s.cfg.RetryInterval {
			s.repeatAsk(now, a)
		}
	}
	for k, c := range s.claims {
		if !now.Before(c.until) {
			delete(s.claims, k)
		}
	}
}

// groups sorts flows into groups of one service and server.
type groups struct {
	list  []*pb.FlowGroup
	index map[[2]uint64]*pb.FlowGroup
}

func (g *groups) add(k key, server model.ServerID) {
	at := [2]uint64{uint64(k.Service), uint64(server)}
	group := g.index[at]
	if group == nil {
		if g.index == nil {
			g.index = map[[2]uint64]*pb.FlowGroup{}
		}
		group = &pb.FlowGroup{Service: at[0], Server: at[1]}
		g.index[at] = group
		g.list = append(g.list, group)
	}
	group.Flows = append(group.Flows, uint64(k.Flow))
}
