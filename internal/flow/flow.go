// Package flow defines the identity and the decoded packets of callers' flows on
// the users' platform, and tracks what an instance can infer about a flow from the
// caller's packets alone. A flow is a connection of a caller to a service address;
// its first packet is the opening.
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

// Caller returns the caller's address and port.
func (k Key) Caller() netip.AddrPort { return addrPort(k.CallerIP, k.CallerPort) }

// Service returns the service address to which the caller opened the flow.
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

// String returns the flow's identifier used in logs: caller>service.
func (k Key) String() string {
	return fmt.Sprintf("%s>%s", k.Caller(), k.Service())
}

// Segment is one decoded packet of a caller.
type Segment struct {
	Key Key
	// Opening marks a request to open a flow. RetransmitCount is 0 on its first
	// transmission and counts the retransmissions.
	Opening         bool
	RetransmitCount uint32
	// Final marks the end of the caller's half of the flow, Reset the end of
	// the whole flow.
	Final, Reset bool
	// Seq is the sequence number of the caller's bytes. Ack acknowledges the
	// server's bytes that the caller has received; it is 0 on an opening.
	Seq, Ack uint32
	// Length is the payload size in bytes.
	Length int
	// Size is the size of the datagram in bytes; 0 if unknown.
	Size int
	// Token names the flow's server; it is token.None until the caller has
	// received a packet of a server.
	Token token.Token
}
