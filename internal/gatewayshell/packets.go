package gatewayshell

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/flow"
	"cuminshift/internal/gateway"
)

const (
	// maxPacketHold is how long a starting instance leaves packets in the socket's
	// buffer until it is loaded. A dropped packet costs its caller a retransmission
	// interval, which has grown to 1.6 s when all instances were down. The hold is
	// no longer than the callers' shortest interval, so that a packet and its
	// retransmission are not taken from the buffer together.
	maxPacketHold = 200 * time.Millisecond
	// loadPollInterval is the time between two checks whether the instance is
	// loaded.
	loadPollInterval = 5 * time.Millisecond
)

// awaitLoaded waits until the instance is loaded, for sh.packetHold at most.
func (sh *Shell) awaitLoaded(ctx context.Context) {
	for until := time.Now().Add(sh.packetHold); !sh.core.Loaded() && time.Now().Before(until); {
		if !sleepUntil(ctx, time.Now().Add(loadPollInterval)) {
			return
		}
	}
}

// readPackets reads and handles packets until ctx ends. It runs in each packet
// worker.
func (sh *Shell) readPackets(ctx context.Context) error {
	sh.awaitLoaded(ctx)
	in, out := make([]byte, maxPacketBytes), make([]byte, 0, maxPacketBytes)
	var s flow.Segment
	for {
		n, _, err := sh.packets.ReadFromUDPAddrPort(in)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "gateway: read packet")
		case err != nil:
			// The socket reports that the host of an earlier packet's receiver
			// rejected that packet.
			sh.counters.socketErrors.Inc(1)
			continue
		}
		sh.counters.packets.Inc(1)
		if err := sh.adapter.Codec.Decode(in[:n], &s); err != nil {
			sh.counters.malformed.Inc(1)
			sh.log.malformed(err)
			continue
		}
		s.Size = n
		sh.handlePacket(in[:n], out, &s)
	}
}

// handlePacket passes a packet to the core and carries out the verdict. b is the
// packet as received and s its decoded form; out is a buffer for the forwarded
// packet.
func (sh *Shell) handlePacket(b, out []byte, s *flow.Segment) {
	now := time.Now()
	sh.lastPacket.store(now)
	v, actions := sh.core.HandlePacket(now, s)
	switch v.Kind {
	case gateway.Forward:
		sh.counters.forwarded.Inc(1)
		sh.sendPacket(sh.adapter.Codec.AppendForward(out, b, v.Server.Fence, v.Token), v.Server.Address)
	case gateway.Reset:
		sh.counters.resets.Inc(1)
		sh.sendReset(s.Key, v.Ack)
	case gateway.Drop:
		sh.counters.dropped.Inc(1)
	}
	sh.counters.recordVerdict(&v)
	sh.burn.recordVerdict(now, &v)
	sh.log.recordVerdict(s, &v)
	sh.perform(actions)
}

func (sh *Shell) sendReset(k flow.Key, ack uint32) {
	to := netip.AddrPortFrom(k.Caller().Addr(), sh.settings.PacketAddress.Port())
	sh.sendPacket(sh.adapter.Codec.AppendReset(nil, k, ack), to)
}

// sendPacket sends a datagram. A failure is only counted, since the caller
// retransmits a lost packet.
func (sh *Shell) sendPacket(b []byte, to netip.AddrPort) {
	if _, err := sh.packets.WriteToUDPAddrPort(b, to); err != nil {
		sh.counters.socketErrors.Inc(1)
	}
}

// atomicTime is a time that several goroutines may read and write.
type atomicTime struct{ p atomic.Pointer[time.Time] }

func (t *atomicTime) store(now time.Time) { t.p.Store(&now) }

func (t *atomicTime) load() time.Time {
	if p := t.p.Load(); p != nil {
		return *p
	}
	return time.Time{}
}
