// Package flow holds the packets of callers' flows as the decisions see them,
// and what one instance can tell from the callers' half of a flow.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"cuminshift/internal/model"
	"cuminshift/internal/token"
)

// Key identifies a flow by its IPv4 addresses and ports. It is comparable and
// needs 12 bytes.
type Key struct {
	CallerIP, ServiceIP     uint32
	CallerPort, ServicePort uint16
}

// NewKey returns the key of a flow between two IPv4 addresses.
func NewKey(caller, service netip.AddrPort) Key {
	return Key{CallerIP: ipv4(caller.Addr()), CallerPort: caller.Port(), ServiceIP: ipv4(service.Addr()), ServicePort: service.Port()}
}

func ipv4(addr netip.Addr) uint32 {
	b := addr.As4()
	return binary.BigEndian.Uint32(b[:])
}

// Caller returns the caller's end.
func (k Key) Caller() netip.AddrPort { return addrPort(k.CallerIP, k.CallerPort) }

// Service returns the address that the caller opened the flow to.
func (k Key) Service() netip.AddrPort { return addrPort(k.ServiceIP, k.ServicePort) }

func addrPort(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// Hash returns the hash of the key. It does not allocate.
func (k Key) Hash() model.FlowHash {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], k.CallerIP)
	binary.BigEndian.PutUint32(b[4:], k.ServiceIP)
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.ServicePort)
	return model.FlowHash(xxhash.Sum64(b[:]))
}

// String is the flow's identifier in logs.
func (k Key) String() string {
	return fmt.Sprintf("%s>%s", k.Caller(), k.Service())
}

// Segment is one packet of a caller.
type Segment struct {
	Key Key
	// Opening marks a request to open a flow; Copy counts its repetitions, 0
	// for the first.
	Opening         bool
	RetransmitCount uint32
	// Final and Reset mark the end of the caller's half and of the flow.
	Final, Reset bool
	// Seq numbers the caller's bytes, Ack the server's bytes that the caller
	// has received. Ack is 0 on an opening.
	Seq, Ack uint32
	// Length is the number of bytes of payload.
	Length int
	// Token names the flow's server; token.None when the caller has heard of
	// no server yet.
	Token token.Token
}
