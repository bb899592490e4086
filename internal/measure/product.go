package measure

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminshift/internal/config"
	"cuminshift/internal/entry"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

const (
	listInterval = 500 * time.Millisecond
	// storeDelay is the delay of a watch's answer.
	storeDelay = 5 * time.Millisecond
	// frameOverhead is what net/rpc and gob add to a batch, call and answer
	// together (TestPeerCallOverhead in internal/shell prints it).
	frameOverhead = 50
)

// product runs the entry core, driven as the shell does.
type product struct {
	f         *fleet
	i         *instance
	core      *entry.Core
	scratch   packet.Packet
	nextList  time.Time
	rootSeen  uint64
	storeDown bool
	// cut names the data centres that cannot be reached.
	cut map[model.DataCentre]bool
}

var productScheme = scheme{"cuminshift", newProduct}

func newProduct(f *fleet, i *instance) balancer {
	return &product{f: f, i: i, core: entry.New(entry.Config{
		Self: i.id, DataCentre: i.dc.name, Incarnation: uint64(f.now.UnixNano()) + i.run, PeerAddress: string(i.id),
		PacketAddress: instanceAddress(i), Started: f.now, HeartbeatInterval: 200 * time.Millisecond, Lease: 600 * time.Millisecond,
		DeadAfter: time.Second, FlowIdleTimeout: f.size.idle, Seed: f.rng.Uint64(),
	})}
}

func instanceAddress(i *instance) netip.AddrPort {
	for n, other := range i.dc.instances {
		if other == i {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 50, i.dc.address.Addr().As4()[3], byte(n + 1)}), 9100)
		}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 50, i.dc.address.Addr().As4()[3], byte(len(i.dc.instances) + 1)}), 9100)
}

func (p *product) fromCaller(now time.Time, pkt *packet.Packet) {
	data := pkt.Append(nil)
	if to, ok := p.core.FastPathFromCaller(now, &p.scratch, data); ok {
		p.toServer(to.Address, data)
		return
	}
	p.handle(now, entry.CallerPacket{Data: data})
}

func (p *product) fromServer(now time.Time, from *server, pkt *packet.Packet) {
	data := pkt.Append(nil)
	if _, ok := p.core.FastPathFromServer(&p.scratch, from.addr, data); ok {
		p.f.toCaller(*pkt)
		return
	}
	p.handle(now, entry.ServerPacket{From: from.addr, Path: pathOf(pkt), Data: data})
}

// pathOf returns the path that the core uses for the flow.
func pathOf(p *packet.Packet) int {
	return int(uint64(p.FlowHash()) % entry.PathsPerServer)
}

func (p *product) fromPeer(now time.Time, _ *instance, message any) {
	p.handle(now, entry.PeerBatch{Batch: message.(*pb.PeerBatch)})
}

func (p *product) changed(time.Time) {}

func (p *product) leave(now time.Time) bool {
	p.handle(now, entry.LeaveRequested{})
	return true
}

func (p *product) tick(now time.Time) {
	if !now.Before(p.nextList) {
		p.nextList = now.Add(listInterval)
		p.handle(now, entry.InstanceListRead{Instances: p.f.instanceList()})
	}
	p.handle(now, entry.Tick{})
	p.readStore(now)
}

// readStore stands for the reader's watch.
func (p *product) readStore(now time.Time) {
	if p.storeDown || !p.core.ShouldWatchStore() {
		return
	}
	root := p.f.control.store.objects[config.RootKey]
	if root.version == p.rootSeen || now.Sub(p.f.control.accepted) < storeDelay {
		return
	}
	p.rootSeen = root.version
	p.handle(now, entry.StoreRootRead{Value: root.value})
	shards := map[string][]byte{}
	for _, hash := range p.core.MissingShards() {
		shards[hash] = p.f.control.store.objects[config.ShardKey(hash)].value
	}
	if len(shards) > 0 {
		p.handle(now, entry.StoreShardsRead{Shards: shards})
	}
}

func (p *product) toServer(to netip.AddrPort, data []byte) {
	var out packet.Packet
	if err := out.Decode(data); err != nil {
		panic(err)
	}
	if s := p.f.byAddr[to]; s != nil {
		p.f.toServer(p.i, s, out)
	}
}

func (p *product) handle(now time.Time, ev entry.Event) {
	for _, action := range p.core.Handle(now, ev) {
		switch a := action.(type) {
		case entry.SendToServer:
			p.toServer(a.Address, a.Data)
		case entry.SendToCaller:
			var out packet.Packet
			if err := out.Decode(a.Data); err != nil {
				panic(err)
			}
			p.f.toCaller(out)
		case entry.Relay:
			p.relay(a)
		case entry.SendToPeer:
			if to := p.f.byID[a.To]; to != nil && p.cut[to.dc.name] {
				continue
			}
			p.send(a)
		case entry.Stopped:
			p.i.alive = false
		}
	}
}

// send delivers a batch through its encoding, as net/rpc does.
func (p *product) send(a entry.SendToPeer) {
	data, err := proto.Marshal(a.Batch)
	if err != nil {
		panic(err)
	}
	batch := &pb.PeerBatch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		panic(err)
	}
	p.f.toPeer(p.i, a.To, batch, len(data)+frameOverhead, false)
	p.f.countKinds(p.i, batch)
}

// countKinds splits the control bytes of a batch by message; the frame counts
// as a kind of its own.
func (f *fleet) countKinds(i *instance, batch *pb.PeerBatch) {
	if i.byKind == nil {
		i.byKind = map[string]uint64{}
	}
	i.byKind["frame"] += frameOverhead
	for _, m := range batch.GetMessages() {
		kind := strings.TrimPrefix(fmt.Sprintf("%T", m.GetBody()), "*cuminshiftv1.PeerMessage_")
		i.byKind[kind] += uint64(proto.Size(m) + 2)
	}
}

func (p *product) relay(a entry.Relay) {
	for _, c := range p.f.centres {
		for _, i := range c.instances {
			if instanceAddress(i) == a.Address && i.alive {
				p.f.tally.forwarded++
				data := append([]byte(nil), a.Data...)
				p.f.after(p.f.delay(centreDelay), func() {
					var out packet.Packet
					if err := out.Decode(data); err == nil && i.alive {
						i.b.fromCaller(p.f.now, &out)
					}
				})
			}
		}
	}
}

// instanceList is the platform's instance list.
func (f *fleet) instanceList() []*pb.ListedInstance {
	var out []*pb.ListedInstance
	for _, c := range f.centres {
		for _, i := range c.instances {
			if i.listed {
				out = append(out, &pb.ListedInstance{Instance: string(i.id), DataCentre: string(c.name), PeerAddress: string(i.id), PacketAddress: instanceAddress(i).String(), OperatorAddress: string(i.id)})
			}
		}
	}
	return out
}
