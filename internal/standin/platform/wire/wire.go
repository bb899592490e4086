// Package wire encodes and decodes the packet format of the users' platform as
// callers and backend servers do. It follows the platform's published
// description and is independent of the product's codec. Package standin/wire is
// for the protocol of package packet.
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
	// HeaderSize is the size of a packet's header, in bytes.
	HeaderSize = 32
	// MaxPayload is the size of the largest payload of a packet, in bytes.
	MaxPayload = 1200
	// FenceSize is the size, in bytes, of the server number in front of a
	// packet to a server.
	FenceSize = 8
)

// checksumKey is the key of the checksum. The product does not know it.
const checksumKey = 0x9d1c7f22

// Packet is one datagram between a caller and a server.
type Packet struct {
	// Echo is the product's token. Callers and servers return the latest value
	// that they have received.
	Echo  uint32
	Flags byte
	// On an opening, Ack is the number of the copy; the first packet has 0.
	Seq, Ack uint32
	Src, Dst netip.AddrPort
	Payload  []byte
}

var errMalformed = errors.New("wire: malformed packet")

// Append appends the encoded packet, with its checksum, to out.
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

// Parse decodes a packet. checksumValid is false for a packet without a valid
// checksum, such as a reset by an entry instance.
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

// checksum returns the checksum of a packet. It covers everything except the
// checksum itself, the echo and the pad byte.
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
