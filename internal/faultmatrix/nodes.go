package faultmatrix

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// startNode starts an instance, also again after it stopped.
func (s *sim) startNode(id model.InstanceID, dc model.DataCentre) {
	s.incarnation++
	n := s.nodes[id]
	if n == nil {
		n = &node{}
		s.nodes[id] = n
		s.order = append(s.order, id)
	}
	*n = node{spec: NodeSpec{id, dc, instanceAddr(id), s.incarnation, s.now, s.rng.Uint64()}, alive: true, listed: n.listed, changed: s.now, coordinated: map[reqKey]time.Time{}}
	n.core = s.factory(n.spec)
	s.log("%s starts, incarnation %d", id, n.spec.Incarnation)
	inc := n.spec.Incarnation
	s.after(listLag, func() { n.listed = true })
	s.every(tickInterval, func() bool {
		if n.alive && n.spec.Incarnation == inc && !n.frozen {
			s.deliver(n, Tick{})
		}
		return n.alive && n.spec.Incarnation == inc
	})
	// The list is read at start-up and then at intervals.
	s.after(time.Millisecond, func() { s.giveList(n, inc) })
}

func (s *sim) giveList(n *node, inc uint64) {
	if !n.alive || n.spec.Incarnation != inc {
		return
	}
	if !s.blocked(string(n.spec.ID), "platform") {
		s.deliver(n, ListReply{s.list()})
	}
	s.after(500*time.Millisecond, func() { s.giveList(n, inc) })
}

// list is the instance list with its lag.
func (s *sim) list() []*pb.ListedInstance {
	var out []*pb.ListedInstance
	for _, id := range s.order {
		n := s.nodes[id]
		if n.listed {
			out = append(out, &pb.ListedInstance{Instance: string(id), DataCentre: string(n.spec.DataCentre),
				PeerAddress: string(id), PacketAddress: instanceAddr(id).String(), OperatorAddress: string(id), Leaving: n.leaving})
		}
	}
	return out
}

func (s *sim) kill(n *node) {
	s.log("%s killed", n.spec.ID)
	s.stop(n)
}

func (s *sim) stop(n *node) {
	n.alive = false
	inc := n.spec.Incarnation
	s.after(listLag, func() {
		if n.spec.Incarnation == inc {
			n.listed = false
		}
	})
}

func (s *sim) freeze(n *node, d time.Duration) {
	s.log("%s frozen for %v", n.spec.ID, d)
	n.frozen = true
	inc := n.spec.Incarnation
	s.after(d, func() {
		if !n.alive || n.spec.Incarnation != inc {
			return
		}
		s.log("%s wakes", n.spec.ID)
		n.frozen = false
		waiting := n.waiting
		n.waiting = nil
		for _, in := range waiting {
			s.deliver(n, in)
		}
	})
}

func (s *sim) leave(n *node) {
	if !n.alive || n.leaving {
		return
	}
	s.log("%s leaves", n.spec.ID)
	inc := n.spec.Incarnation
	s.after(listLag, func() {
		if n.spec.Incarnation == inc {
			n.leaving = true
		}
	})
	s.deliver(n, Leave{})
}
