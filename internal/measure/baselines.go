package measure

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
	"cuminshift/internal/rendezvous"
)

// The baselines of docs/design.md, section 5. As in the product, changes of servers
// and instances reach the instances at slightly different times.
var (
	// statelessScheme hashes each packet over the current servers.
	statelessScheme = scheme{"stateless", func(f *fleet, i *instance) balancer { return &baseline{fleet: f, instance: i} }}
	// tableScheme keeps a table of the flows that an instance has seen.
	tableScheme = scheme{"table", func(f *fleet, i *instance) balancer {
		return &baseline{fleet: f, instance: i, table: map[netip.AddrPort]*server{}}
	}}
	// replicatedScheme copies each table entry to all instances.
	replicatedScheme = scheme{"replicated", func(f *fleet, i *instance) balancer {
		return &baseline{fleet: f, instance: i, table: map[netip.AddrPort]*server{}, replicate: true}
	}}
	// forwardScheme forwards each packet to the flow's owner, an instance that
	// rendezvous hashing of the flow selects.
	forwardScheme = scheme{"forward", func(f *fleet, i *instance) balancer {
		return &baseline{fleet: f, instance: i, table: map[netip.AddrPort]*server{}, forward: forwardAlways}
	}}
	// ownerOpensScheme lets only owners open flows. An owner copies the table
	// entry to its backup. Other instances forward packets of flows that they
	// do not know to the owner.
	ownerOpensScheme = scheme{"owner-opens", func(f *fleet, i *instance) balancer {
		return &baseline{fleet: f, instance: i, table: map[netip.AddrPort]*server{}, forward: forwardUnknown, backup: true}
	}}
)

// forwardingMode selects the caller packets that an instance forwards to the
// owner of the flow.
type forwardingMode int

const (
	forwardNever forwardingMode = iota
	forwardAlways
	// forwardUnknown forwards packets of flows that are not in the table.
	forwardUnknown
)

// tableEntryBytes is the size of a table entry in a control message: the flow
// hash and the server.
const tableEntryBytes = 12

// baseline is the balancer of an instance in a baseline scheme.
type baseline struct {
	fleet    *fleet
	instance *instance
	servers  []*server
	peers    []model.InstanceID
	// table maps callers to servers. It is nil in schemes without a table.
	table map[netip.AddrPort]*server
	// replicate copies new entries to all peers, backup to the second owner.
	replicate bool
	backup    bool
	forward   forwardingMode
}

type forwardedPacket struct{ p packet.Packet }

type tableEntry struct {
	caller netip.AddrPort
	server *server
}

func (b *baseline) membershipChanged(time.Time) {
	b.servers = b.servers[:0]
	for _, s := range b.instance.dataCentre.servers {
		if !s.draining && s.alive && !b.fleet.operator.absent[s.entry.Name] {
			b.servers = append(b.servers, s)
		}
	}
	b.peers = b.peers[:0]
	for _, i := range b.instance.dataCentre.instances {
		if i.listed {
			b.peers = append(b.peers, i.id)
		}
	}
}

// pickServer selects a server by weighted rendezvous hashing over the current
// servers, which all have the same weight.
func (b *baseline) pickServer(p *packet.Packet) *server {
	var best *server
	score := math.Inf(-1)
	flow := uint64(p.FlowHash())
	for _, s := range b.servers {
		hash := xxhash.Sum64String(s.entry.Name) ^ flow
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		hash ^= hash >> 33
		if serverScore := math.Log((float64(hash>>11) + 1) / (1 << 53)); serverScore > score {
			best, score = s, serverScore
		}
	}
	return best
}

// owners returns the owner of a packet's flow and its backup.
func (b *baseline) owners(p *packet.Packet) []model.InstanceID {
	return rendezvous.TopN(rendezvous.Key(p.FlowHash()), b.peers, 2)
}

func (b *baseline) handleCallerPacket(_ time.Time, p *packet.Packet) {
	if b.forward != forwardNever {
		_, known := b.table[p.Caller]
		owners := b.owners(p)
		if len(owners) > 0 && owners[0] != b.instance.id && (b.forward == forwardAlways || !known) {
			b.fleet.sendToPeer(b.instance, owners[0], forwardedPacket{*p}, 0, true)
			return
		}
	}
	b.steer(p)
}

// steer sends a packet to the server of its flow and selects one if the flow is
// not in the table.
func (b *baseline) steer(p *packet.Packet) {
	s := b.table[p.Caller]
	if s == nil {
		if s = b.pickServer(p); s == nil {
			return
		}
		b.recordFlow(p, s)
	}
	if p.Kind == pb.Kind_KIND_CLOSE {
		delete(b.table, p.Caller)
	}
	b.fleet.sendToServer(b.instance, s, *p)
}

// recordFlow adds a flow to the table and copies the entry to peers as the scheme
// requires.
func (b *baseline) recordFlow(p *packet.Packet, s *server) {
	if b.table == nil {
		return
	}
	b.table[p.Caller] = s
	switch {
	case b.replicate && p.Kind == pb.Kind_KIND_OPEN:
		for _, id := range b.peers {
			if id != b.instance.id {
				b.fleet.sendToPeer(b.instance, id, tableEntry{p.Caller, s}, tableEntryBytes, false)
			}
		}
	case b.backup:
		if owners := b.owners(p); len(owners) == 2 && owners[0] == b.instance.id {
			b.fleet.sendToPeer(b.instance, owners[1], tableEntry{p.Caller, s}, tableEntryBytes, false)
		}
	}
}

func (b *baseline) handleServerPacket(_ time.Time, from *server, p *packet.Packet) {
	if b.table != nil && p.Kind == pb.Kind_KIND_OPEN_ACK {
		b.table[p.Caller] = from
	}
	b.fleet.sendToCaller(*p)
}

func (b *baseline) handlePeerMessage(_ time.Time, _ *instance, message any) {
	switch m := message.(type) {
	case forwardedPacket:
		b.steer(&m.p)
	case tableEntry:
		b.table[m.caller] = m.server
	}
}

func (b *baseline) tick(time.Time)                  {}
func (b *baseline) startPlannedStop(time.Time) bool { return false }
