package gatewayshell

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"cuminshift/internal/flow"
	"cuminshift/internal/gateway"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
)

// openingCodec decodes every packet as the opening of one flow and forwards it as it
// is.
type openingCodec struct{ flow flow.Key }

func (c openingCodec) Decode(_ []byte, s *flow.Segment) error {
	*s = flow.Segment{Key: c.flow, Opening: true}
	return nil
}

func (openingCodec) AppendForward(out, b []byte, _ uint64, _ token.Token) []byte {
	return append(out, b...)
}

func (openingCodec) AppendReset(out []byte, _ flow.Key, _ uint32) []byte { return out }

// listen returns a UDP socket on loopback and its address.
func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Guards against dropping the packets that arrive while a starting instance loads:
// after a loss of all instances, a caller waits up to 1.6 s before it repeats a
// packet.
func TestPacketsWaitForLoad(t *testing.T) {
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	socket, address := listen(t)
	backend, backendAddress := listen(t)
	sh := &Shell{core: gateway.New(gateway.Config{MaxStaleness: time.Hour, Instances: 1}), counters: newCounters(), burn: newBurnRecorder(),
		log: newDecisionLog(zap.NewNop()), packets: socket, packetHold: 10 * time.Second,
		adapter: Adapter{Codec: openingCodec{flow.NewKey(netip.MustParseAddrPort("100.64.0.7:4001"), service)}}}
	caller, _ := listen(t)
	if _, err := caller.WriteToUDPAddrPort([]byte("opening"), address); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- sh.readPackets(ctx) }()
	time.Sleep(50 * time.Millisecond)
	sh.handleEvent(gateway.SourceUpdated{Kind: source.Configuration, AsOf: time.Now(), Update: source.Update{Full: true, Position: source.Position{Revision: 1},
		Configuration: &routing.Configuration{Version: 1, Routes: map[netip.AddrPort]*routing.Route{service: {Shares: []routing.Share{{Service: "campo", Weight: 1}}}}}}})
	sh.handleEvent(gateway.SourceUpdated{Kind: source.Registry, AsOf: time.Now(), Update: source.Update{Full: true, Position: source.Position{Revision: 1},
		Servers: []source.ServerChange{{Entry: registry.Entry{Name: "i-1", Service: "campo", Address: backendAddress, Slots: 1}}}}})
	if err := backend.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	if n, _, err := backend.ReadFromUDPAddrPort(buffer); err != nil || string(buffer[:n]) != "opening" {
		t.Errorf("server received %q, %v; want the opening", buffer[:n], err)
	}
	if n := sh.counters.dropped.Count(); n != 0 {
		t.Errorf("%d packets dropped", n)
	}
	cancel()
	socket.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
