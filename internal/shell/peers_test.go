package shell

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/rpcframe"
)

// maxCallOverhead bounds the bytes that net/rpc and gob add to a batch, for the
// call and the reply together. internal/measure relies on it.
const maxCallOverhead = 64

// Guards against a change of the peer protocol that adds bytes to each batch.
// Most batches carry a few dozen bytes, so that the overhead matters.
func TestPeerCallOverhead(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	delivered := make(chan *pb.PeerBatch, 1)
	var received, sent rpcframe.ByteCounters
	go servePeers(ctx, listener, func(b *pb.PeerBatch) { delivered <- b }, &received, func(err error) { t.Error(err) })
	peers := newPeerSet(ctx, zap.NewNop(), &sent, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	send := func() {
		peers.send("peer", listener.Addr().String(), &pb.PeerBatch{From: "self"})
		select {
		case <-delivered:
		case <-time.After(10 * time.Second):
			t.Fatal("the batch did not arrive within 10 s")
		}
		// Wait until the reply is counted, before the next call is sent.
		for deadline := time.Now().Add(10 * time.Second); sent.Received.Load() < received.Sent.Load() || received.Sent.Load() == 0; {
			if time.Now().After(deadline) {
				t.Fatal("the reply did not arrive within 10 s")
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The first call on a connection also carries gob type descriptions, so it
	// is not counted.
	send()
	const calls = 20
	before := sent.Sent.Load() + sent.Received.Load()
	for range calls {
		send()
	}
	perCall := float64(sent.Sent.Load()+sent.Received.Load()-before) / calls
	const payload = 6
	t.Logf("%.0f bytes for each call, payload of %d bytes", perCall, payload)
	if perCall-payload > maxCallOverhead {
		t.Errorf("%.0f bytes for each call without the payload, want at most %d", perCall-payload, maxCallOverhead)
	}
}
