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
	instanceListInterval = 500 * time.Millisecond
	// storeWatchDelay is the time after which a watch reports an edit.
	storeWatchDelay = 5 * time.Millisecond
	// frameOverheadBytes is the number of bytes that net/rpc and gob add to a
	// batch, in the call and the reply together (TestPeerCallOverhead in
	// internal/shell prints it).
	frameOverheadBytes = 50
)

// entryBalancer is the product's balancer. It runs the entry core and drives it
// as the shell does.
type entryBalancer struct {
	fleet        *fleet
	instance     *instance
	core         *entry.Core
	scratch      packet.Packet
	nextListRead time.Time
	// lastRootVersion is the store version of the root that was last read.
	lastRootVersion  uint64
	storeUnreachable bool
	// unreachable is the set of data centres that cannot be reached.
	unreachable map[model.DataCentre]bool
}

var entryScheme = scheme{"cuminshift", newEntryBalancer}

func newEntryBalancer(f *fleet, i *instance) balancer {
	return &entryBalancer{fleet: f, instance: i, core: entry.New(entry.Config{
		Self: i.id, DataCentre: i.dataCentre.name, Incarnation: uint64(f.now.UnixNano()) + i.incarnation, PeerAddress: string(i.id),
		PacketAddress: instanceAddress(i), Started: f.now, HeartbeatInterval: 200 * time.Millisecond, Lease: 600 * time.Millisecond,
		DeadAfter: time.Second, FlowIdleTimeout: f.size.flowIdleTimeout, Seed: f.rng.Uint64(),
	})}
}

func instanceAddress(i *instance) netip.AddrPort {
	for n, other := range i.dataCentre.instances {
		if other == i {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 50, i.dataCentre.address.Addr().As4()[3], byte(n + 1)}), 9100)
		}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 50, i.dataCentre.address.Addr().As4()[3], byte(len(i.dataCentre.instances) + 1)}), 9100)
}

func (b *entryBalancer) handleCallerPacket(now time.Time, pkt *packet.Packet) {
	data := pkt.Append(nil)
	if to, ok := b.core.FastPathFromCaller(now, &b.scratch, data); ok {
		b.sendToServer(to.Address, data)
		return
	}
	b.handle(now, entry.CallerPacket{Data: data})
}

func (b *entryBalancer) handleServerPacket(now time.Time, from *server, pkt *packet.Packet) {
	data := pkt.Append(nil)
	if _, ok := b.core.FastPathFromServer(&b.scratch, from.address, data); ok {
		b.fleet.sendToCaller(*pkt)
		return
	}
	b.handle(now, entry.ServerPacket{From: from.address, Path: flowPath(pkt), Data: data})
}

// flowPath returns the path to the server that the core uses for a packet's flow.
func flowPath(p *packet.Packet) int {
	return int(uint64(p.FlowHash()) % entry.PathsPerServer)
}

func (b *entryBalancer) handlePeerMessage(now time.Time, _ *instance, message any) {
	b.handle(now, entry.PeerBatch{Batch: message.(*pb.PeerBatch)})
}

func (b *entryBalancer) membershipChanged(time.Time) {}

func (b *entryBalancer) startPlannedStop(now time.Time) bool {
	b.handle(now, entry.LeaveRequested{})
	return true
}

func (b *entryBalancer) tick(now time.Time) {
	if !now.Before(b.nextListRead) {
		b.nextListRead = now.Add(instanceListInterval)
		b.handle(now, entry.InstanceListRead{Instances: b.fleet.instanceList()})
	}
	b.handle(now, entry.Tick{})
	b.readStore(now)
}

// readStore models the watch of the store, which only some instances keep.
func (b *entryBalancer) readStore(now time.Time) {
	if b.storeUnreachable || !b.core.ShouldWatchStore() {
		return
	}
	root := b.fleet.operator.store.objects[config.RootKey]
	if root.version == b.lastRootVersion || now.Sub(b.fleet.operator.acceptedAt) < storeWatchDelay {
		return
	}
	b.lastRootVersion = root.version
	b.handle(now, entry.StoreRootRead{Value: root.value})
	shards := map[string][]byte{}
	for _, hash := range b.core.MissingShards() {
		shards[hash] = b.fleet.operator.store.objects[config.ShardKey(hash)].value
	}
	if len(shards) > 0 {
		b.handle(now, entry.StoreShardsRead{Shards: shards})
	}
}

func (b *entryBalancer) sendToServer(to netip.AddrPort, data []byte) {
	var out packet.Packet
	if err := out.Decode(data); err != nil {
		panic(err)
	}
	if s := b.fleet.serversByAddress[to]; s != nil {
		b.fleet.sendToServer(b.instance, s, out)
	}
}

func (b *entryBalancer) handle(now time.Time, ev entry.Event) {
	for _, action := range b.core.Handle(now, ev) {
		switch a := action.(type) {
		case entry.SendToServer:
			b.sendToServer(a.Address, a.Data)
		case entry.SendToCaller:
			var out packet.Packet
			if err := out.Decode(a.Data); err != nil {
				panic(err)
			}
			b.fleet.sendToCaller(out)
		case entry.Relay:
			b.relay(a)
		case entry.SendToPeer:
			if to := b.fleet.instancesByID[a.To]; to != nil && b.unreachable[to.dataCentre.name] {
				continue
			}
			b.sendToPeer(a)
		case entry.Stopped:
			b.instance.alive = false
		}
	}
}

// sendToPeer sends a batch to a peer. It encodes and decodes the batch, as
// net/rpc does.
func (b *entryBalancer) sendToPeer(a entry.SendToPeer) {
	data, err := proto.Marshal(a.Batch)
	if err != nil {
		panic(err)
	}
	batch := &pb.PeerBatch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		panic(err)
	}
	b.fleet.sendToPeer(b.instance, a.To, batch, len(data)+frameOverheadBytes, false)
	b.fleet.countControlBytesByKind(b.instance, batch)
}

// countControlBytesByKind counts the control bytes of a batch by kind of message.
// The overhead of the frame is counted as a separate kind.
func (f *fleet) countControlBytesByKind(i *instance, batch *pb.PeerBatch) {
	if i.controlBytesByKind == nil {
		i.controlBytesByKind = map[string]uint64{}
	}
	i.controlBytesByKind["frame"] += frameOverheadBytes
	for _, m := range batch.GetMessages() {
		kind := strings.TrimPrefix(fmt.Sprintf("%T", m.GetBody()), "*cuminshiftv1.PeerMessage_")
		i.controlBytesByKind[kind] += uint64(proto.Size(m) + 2)
	}
}

// relay delivers a caller's packet to the instance at an address, which can be in
// another data centre.
func (b *entryBalancer) relay(a entry.Relay) {
	for _, dc := range b.fleet.dataCentres {
		for _, i := range dc.instances {
			if instanceAddress(i) == a.Address && i.alive {
				b.fleet.tally.forwarded++
				data := append([]byte(nil), a.Data...)
				b.fleet.after(b.fleet.delay(interCentreDelay), func() {
					var out packet.Packet
					if err := out.Decode(data); err == nil && i.alive {
						i.balancer.handleCallerPacket(b.fleet.now, &out)
					}
				})
			}
		}
	}
}

func (f *fleet) instanceList() []*pb.ListedInstance {
	var out []*pb.ListedInstance
	for _, dc := range f.dataCentres {
		for _, i := range dc.instances {
			if i.listed {
				out = append(out, &pb.ListedInstance{Instance: string(i.id), DataCentre: string(dc.name), PeerAddress: string(i.id), PacketAddress: instanceAddress(i).String(), OperatorAddress: string(i.id)})
			}
		}
	}
	return out
}
