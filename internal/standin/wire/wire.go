// Package wire encodes and decodes the datagrams and payloads that the stand-ins
// for the protocol of package packet have in common. Package platform/wire has the
// packet format of the users' platform.
package wire

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

// MaxDatagramSize is the size of the largest datagram that the stand-ins read,
// in bytes.
const MaxDatagramSize = 64 << 10

// SocketBufferSize is the size of the kernel's receive and send buffers of a
// socket that serves many peers, in bytes. Buffers of the default size overflow
// when thousands of flows open at once.
const SocketBufferSize = 4 << 20

// ListenUDP opens an unconnected UDP socket on addr (ip:port) and requests
// kernel buffers of SocketBufferSize.
func ListenUDP(addr string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen address %q: %w", addr, err)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	// The kernel may limit the size; a smaller buffer is not an error.
	_ = c.SetReadBuffer(SocketBufferSize)
	_ = c.SetWriteBuffer(SocketBufferSize)
	return c, nil
}

// LocalAddr returns the address to which a socket is bound.
func LocalAddr(c *net.UDPConn) netip.AddrPort {
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Decode parses a datagram.
func Decode(b []byte) (*pb.Packet, error) {
	p := new(pb.Packet)
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, err
	}
	return p, nil
}

// Send encodes a packet and sends it as one datagram.
func Send(c *net.UDPConn, p *pb.Packet, to netip.AddrPort) error {
	b, err := proto.Marshal(p)
	if err != nil {
		return err
	}
	_, err = c.WriteToUDPAddrPort(b, to)
	return err
}

// SetCaller stores a caller address in a packet.
func SetCaller(p *pb.Packet, a netip.AddrPort) {
	p.CallerIp, p.CallerPort = a.Addr().Unmap().AsSlice(), uint32(a.Port())
}

// SetService stores a service address in a packet.
func SetService(p *pb.Packet, a netip.AddrPort) {
	p.ServiceIp, p.ServicePort = a.Addr().Unmap().AsSlice(), uint32(a.Port())
}

// Flow identifies a flow by the addresses of its caller and its service.
type Flow struct {
	Caller, Service netip.AddrPort
}

// FlowOf returns the flow to which a packet belongs.
func FlowOf(p *pb.Packet) Flow {
	caller, _ := netip.AddrFromSlice(p.GetCallerIp())
	service, _ := netip.AddrFromSlice(p.GetServiceIp())
	return Flow{
		netip.AddrPortFrom(caller.Unmap(), uint16(p.GetCallerPort())),
		netip.AddrPortFrom(service.Unmap(), uint16(p.GetServicePort())),
	}
}

// Reply is the payload of a server's echo or of one part of its answer. The
// payload repeats the part number so that a caller detects interchanged parts.
type Reply struct {
	Service, Server string
	Part            int
	Body            string
}

// Payload encodes a reply as its four fields separated by "|".
func (r Reply) Payload() []byte {
	return []byte(r.Service + "|" + r.Server + "|" + strconv.Itoa(r.Part) + "|" + r.Body)
}

// ParseReply decodes a payload that Payload has encoded.
func ParseReply(b []byte) (Reply, error) {
	fields := strings.SplitN(string(b), "|", 4)
	if len(fields) != 4 {
		return Reply{}, fmt.Errorf("reply payload of %d bytes: want 4 fields separated by |", len(b))
	}
	part, err := strconv.Atoi(fields[2])
	if err != nil {
		return Reply{}, fmt.Errorf("reply payload: invalid part number: %w", err)
	}
	return Reply{fields[0], fields[1], part, fields[3]}, nil
}
