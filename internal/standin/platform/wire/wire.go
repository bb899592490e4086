// Package wire holds the packet format of the users' platform as its two ends,
// callers and backend servers, write and read it. It is written from the
// platform's published page, apart from the product's own codec.
package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Flags of a packet.
const (
	SYN = 1
	RST = 2
	ACK = 4
	FIN = 8
)

const (
	// HeaderSize is the size of a packet's header.
	HeaderSize = 32
	// MaxPayload is the largest payload of a packet.
	MaxPayload = 1200
	// FenceSize is the size of the server's number in front of a packet to it.
	FenceSize = 8
)

// checksumKey keys the checksum. The product does not know it.
const checksumKey = 0x9d1c7f22

// Packet is one datagram between a caller and a server.
type Packet struct {
	Echo     uint32
	Flags    byte
	Seq, Ack uint32
	Src, Dst netip.AddrPort
	Payload  []byte
}

var errMalformed = errors.New("wire: malformed packet")

// Append appends the packet with its checksum.
func (p *Packet) Append(out []byte) []byte {
	start := len(out)
	out = append(out, make([]byte, HeaderSize)...)
	b := out[start:]
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.Echo)
	b[8] = p.Flags
	le.PutUint32(b[10:], p.Seq)
	le.PutUint32(b[14:], p.Ack)
	le.PutUint16(b[18:], uint16(len(p.Payload)))
	le.PutUint16(b[20:], p.Dst.Port())
	le.PutUint32(b[22:], ipv4(p.Dst.Addr()))
	le.PutUint32(b[26:], ipv4(p.Src.Addr()))
	le.PutUint16(b[30:], p.Src.Port())
	out = append(out, p.Payload...)
	le.PutUint32(out[start+4:], checksum(out[start:]))
	return out
}

// Parse reads a packet. sealed is false for one without a valid checksum, as a
// reset of an entry instance.
func Parse(b []byte) (p Packet, checksumValid bool, err error) {
	if len(b) < HeaderSize {
		return p, false, errMalformed
	}
	le := binary.LittleEndian
	p = Packet{
		Echo: le.Uint32(b[0:]), Flags: b[8], Seq: le.Uint32(b[10:]), Ack: le.Uint32(b[14:]),
		Dst: addrPort(le.Uint32(b[22:]), le.Uint16(b[20:])), Src: addrPort(le.Uint32(b[26:]), le.Uint16(b[30:])),
		Payload: b[HeaderSize:],
	}
	if int(le.Uint16(b[18:])) != len(p.Payload) {
		return p, false, errMalformed
	}
	return p, le.Uint32(b[4:]) == checksum(b), nil
}

// checksum covers all but the checksum itself, echo and pad.
func checksum(b []byte) uint32 {
	d := xxhash.NewWithSeed(checksumKey)
	// Digest.Write never fails.
	_, _ = d.Write(b[8:9])
	_, _ = d.Write(b[10:])
	return uint32(d.Sum64())
}

func ipv4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addrPort(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
