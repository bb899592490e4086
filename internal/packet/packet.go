// Package packet decodes and encodes the protobuf message Packet without
// allocating. The wire format is defined in proto/cuminshift/v1/packet.proto.
package packet

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Error is the reason why a datagram is not a valid Packet. It is a single byte,
// so that converting it to the error interface does not allocate.
type Error uint8

// Errors of Decode.
const (
	// ErrMalformed reports a truncated or invalid protobuf encoding.
	ErrMalformed Error = iota + 1
	// ErrWireType reports a known field with a wire type that differs from the
	// schema.
	ErrWireType
	// ErrAddress reports an address that is neither 4 nor 16 bytes long.
	ErrAddress
	// ErrPort reports a port above 65535.
	ErrPort
	// ErrRange reports an integer that does not fit its field.
	ErrRange
)

// Error implements error.
func (e Error) Error() string {
	switch e {
	case ErrMalformed:
		return "packet: malformed protobuf"
	case ErrWireType:
		return "packet: wrong wire type"
	case ErrAddress:
		return "packet: address is not 4 or 16 bytes long"
	case ErrPort:
		return "packet: port above 65535"
	case ErrRange:
		return "packet: integer out of range"
	}
	return "packet: unknown error"
}

// Field is a field number of Packet.
type Field = protowire.Number

// Field numbers of Packet.
const (
	FieldKind          Field = 1
	FieldCallerIP      Field = 2
	FieldCallerPort    Field = 3
	FieldServiceIP     Field = 4
	FieldServicePort   Field = 5
	FieldRequestID     Field = 6
	FieldIdempotent    Field = 7
	FieldPriority      Field = 8
	FieldDeadlineMS    Field = 9
	FieldCallerAttempt Field = 10
	FieldAttempt       Field = 11
	FieldPart          Field = 12
	FieldParts         Field = 13
	FieldPayload       Field = 14
	FieldReason        Field = 15
	FieldOutcome       Field = 16
	FieldRelayed       Field = 17
	FieldCold          Field = 18
	FieldToken         Field = 19
)

// Packet is the decoded form of a datagram. After Decode, Payload points into
// the datagram and is valid only as long as the datagram is unchanged.
type Packet struct {
	Kind pb.Kind
	// Caller and Service form the flow key. An address that the packet does not
	// contain is the zero netip.Addr.
	Caller     netip.AddrPort
	Service    netip.AddrPort
	RequestID  uint64
	Idempotent bool
	// Priority 0 is the highest.
	Priority uint32
	// DeadlineMS is the time left to answer, in milliseconds.
	DeadlineMS uint32
	// CallerAttempt counts the caller's transmissions of the request, from 1.
	CallerAttempt uint32
	// Attempt is set by the instance that coordinates the request; answers repeat it.
	Attempt uint32
	// Part is the number of this part of an answer, from 0, and Parts the number of
	// parts.
	Part    uint32
	Parts   uint32
	Payload []byte
	Reason  pb.Reason
	Outcome pb.Outcome
	// Relayed is true if an instance of another data centre passed the datagram on;
	// it is not passed on again.
	Relayed bool
	// Cold is set by a server during its cold start.
	Cold bool
	// Token is the ID of the flow's server, or 0 if it is not known yet.
	Token model.ServerID
}

// FlowKey returns the flow key of the packet.
func (p *Packet) FlowKey() model.FlowKey {
	return model.FlowKey{Caller: p.Caller, Service: p.Service}
}

// FlowHash returns the hash of FlowKey.
func (p *Packet) FlowHash() model.FlowHash {
	return p.FlowKey().Hash()
}

// Decode overwrites p with the packet in datagram. If the datagram is not a valid
// Packet, it returns an Error and the contents of p are undefined. Unknown fields
// are skipped, so that newer senders can add fields.
func (p *Packet) Decode(datagram []byte) error {
	*p = Packet{}
	var caller, service netip.Addr
	var callerPort, servicePort uint32
	for b := datagram; len(b) > 0; {
		num, typ, n := protowire.ConsumeTag(b)
		// ConsumeTag accepts field numbers that proto.Unmarshal rejects.
		if n < 0 || num > protowire.MaxValidNumber {
			return ErrMalformed
		}
		b = b[n:]
		var err Error
		switch num {
		case FieldCallerIP:
			caller, n, err = consumeAddr(b, typ)
		case FieldServiceIP:
			service, n, err = consumeAddr(b, typ)
		case FieldCallerPort:
			callerPort, n, err = consumeUint32(b, typ)
		case FieldServicePort:
			servicePort, n, err = consumeUint32(b, typ)
		case FieldPayload:
			p.Payload, n, err = consumeBytes(b, typ)
		case FieldRequestID:
			p.RequestID, n, err = consumeFixed64(b, typ)
		case FieldToken:
			var token uint64
			token, n, err = consumeFixed64(b, typ)
			p.Token = model.ServerID(token)
		default:
			n, err = p.decodeVarintField(num, typ, b)
		}
		if err != 0 {
			return err
		}
		b = b[n:]
	}
	if callerPort > 65535 || servicePort > 65535 {
		return ErrPort
	}
	p.Caller = netip.AddrPortFrom(caller, uint16(callerPort))
	p.Service = netip.AddrPortFrom(service, uint16(servicePort))
	return nil
}

// decodeVarintField decodes the varint fields and skips unknown ones.
func (p *Packet) decodeVarintField(num Field, typ protowire.Type, b []byte) (n int, err Error) {
	switch num {
	case FieldKind:
		var v int32
		v, n, err = consumeEnum(b, typ)
		p.Kind = pb.Kind(v)
	case FieldReason:
		var v int32
		v, n, err = consumeEnum(b, typ)
		p.Reason = pb.Reason(v)
	case FieldOutcome:
		var v int32
		v, n, err = consumeEnum(b, typ)
		p.Outcome = pb.Outcome(v)
	case FieldIdempotent:
		p.Idempotent, n, err = consumeBool(b, typ)
	case FieldRelayed:
		p.Relayed, n, err = consumeBool(b, typ)
	case FieldCold:
		p.Cold, n, err = consumeBool(b, typ)
	case FieldPriority:
		p.Priority, n, err = consumeUint32(b, typ)
	case FieldDeadlineMS:
		p.DeadlineMS, n, err = consumeUint32(b, typ)
	case FieldCallerAttempt:
		p.CallerAttempt, n, err = consumeUint32(b, typ)
	case FieldAttempt:
		p.Attempt, n, err = consumeUint32(b, typ)
	case FieldPart:
		p.Part, n, err = consumeUint32(b, typ)
	case FieldParts:
		p.Parts, n, err = consumeUint32(b, typ)
	default:
		n = protowire.ConsumeFieldValue(num, typ, b)
		if n < 0 {
			err = ErrMalformed
		}
	}
	return n, err
}

func consumeVarint(b []byte, typ protowire.Type) (uint64, int, Error) {
	if typ != protowire.VarintType {
		return 0, 0, ErrWireType
	}
	v, n := protowire.ConsumeVarint(b)
	if n < 0 {
		return 0, 0, ErrMalformed
	}
	return v, n, 0
}

func consumeUint32(b []byte, typ protowire.Type) (uint32, int, Error) {
	v, n, err := consumeVarint(b, typ)
	if err == 0 && v > 1<<32-1 {
		return 0, 0, ErrRange
	}
	return uint32(v), n, err
}

func consumeEnum(b []byte, typ protowire.Type) (int32, int, Error) {
	v, n, err := consumeVarint(b, typ)
	if err == 0 && int64(v) != int64(int32(v)) {
		return 0, 0, ErrRange
	}
	return int32(v), n, err
}

func consumeBool(b []byte, typ protowire.Type) (bool, int, Error) {
	v, n, err := consumeVarint(b, typ)
	return protowire.DecodeBool(v), n, err
}

func consumeFixed64(b []byte, typ protowire.Type) (uint64, int, Error) {
	if typ != protowire.Fixed64Type {
		return 0, 0, ErrWireType
	}
	v, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return 0, 0, ErrMalformed
	}
	return v, n, 0
}

func consumeBytes(b []byte, typ protowire.Type) ([]byte, int, Error) {
	if typ != protowire.BytesType {
		return nil, 0, ErrWireType
	}
	v, n := protowire.ConsumeBytes(b)
	if n < 0 {
		return nil, 0, ErrMalformed
	}
	return v, n, 0
}

func consumeAddr(b []byte, typ protowire.Type) (netip.Addr, int, Error) {
	v, n, err := consumeBytes(b, typ)
	if err != 0 {
		return netip.Addr{}, 0, err
	}
	switch len(v) {
	case 0:
		return netip.Addr{}, n, 0
	case 4:
		return netip.AddrFrom4([4]byte(v)), n, 0
	case 16:
		return netip.AddrFrom16([16]byte(v)), n, 0
	}
	return netip.Addr{}, 0, ErrAddress
}
