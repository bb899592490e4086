package entry

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/packet"
)

// Guards against a panic on malformed datagrams and control messages. Anyone can
// send a malformed datagram, and a peer of another version may send an unexpected
// control message.
func FuzzEvents(f *testing.F) {
	now := time.Unix(1000, 0)
	_, data := coreWithOpenFlow(now)
	f.Add(data, uint8(0))
	update := &pb.PeerBatch{From: "b", Incarnation: 1, Messages: []*pb.PeerMessage{
		{Body: &pb.PeerMessage_StateUpdate{StateUpdate: &pb.StateUpdate{Generation: 1, Publisher: "b",
			Members: []*pb.Member{{Instance: "a1", Incarnation: 1}, {Instance: "b"}}}}},
		{Body: &pb.PeerMessage_HeartbeatAck{HeartbeatAck: &pb.HeartbeatAck{SentMs: 1, Publisher: "b", Incarnation: 1, InForceVersion: 9,
			Servers: []*pb.ServerVerdict{{Server: 3, Condition: pb.ServerCondition_SERVER_CONDITION_COLD}}}}},
		{Body: &pb.PeerMessage_GrantRequest{GrantRequest: &pb.GrantRequest{Grant: 1, Server: 3}}},
		{},
	}}
	encoded, err := proto.Marshal(update)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, uint8(1))
	f.Fuzz(func(_ *testing.T, data []byte, kind uint8) {
		c, _ := coreWithOpenFlow(now)
		c.catalog = c.forwarding.Load().catalog
		c.catalog.IndexCallers()
		c.catalog.Services = map[model.ServiceID]*model.Service{}
		switch kind % 3 {
		case 0:
			var scratch packet.Packet
			c.FastPathFromCaller(now, &scratch, data)
			c.Handle(now, CallerPacket{Data: data})
		case 1:
			batch := &pb.PeerBatch{}
			if proto.Unmarshal(data, batch) == nil {
				c.Handle(now, PeerBatch{Batch: batch})
			}
		case 2:
			var scratch packet.Packet
			from := netip.MustParseAddrPort("10.9.0.1:9000")
			c.FastPathFromServer(&scratch, from, data)
			c.Handle(now, ServerPacket{From: from, Data: data})
		}
		c.Handle(now.Add(TickInterval), Tick{})
	})
}
