package packet

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"cuminshift/internal/model"
)

// Append appends the encoding of p to b and returns the extended buffer. It
// allocates only if the capacity of b is insufficient. Fields with a zero value
// are omitted, as in proto.Marshal.
func (p *Packet) Append(b []byte) []byte {
	b = appendVarint(b, FieldKind, uint64(int64(p.Kind)))
	b = appendAddr(b, FieldCallerIP, p.Caller.Addr())
	b = appendVarint(b, FieldCallerPort, uint64(p.Caller.Port()))
	b = appendAddr(b, FieldServiceIP, p.Service.Addr())
	b = appendVarint(b, FieldServicePort, uint64(p.Service.Port()))
	b = appendFixed64(b, FieldRequestID, p.RequestID)
	b = appendVarint(b, FieldIdempotent, protowire.EncodeBool(p.Idempotent))
	b = appendVarint(b, FieldPriority, uint64(p.Priority))
	b = appendVarint(b, FieldDeadlineMS, uint64(p.DeadlineMS))
	b = appendVarint(b, FieldCallerAttempt, uint64(p.CallerAttempt))
	b = appendVarint(b, FieldAttempt, uint64(p.Attempt))
	b = appendVarint(b, FieldPart, uint64(p.Part))
	b = appendVarint(b, FieldParts, uint64(p.Parts))
	if len(p.Payload) > 0 {
		b = protowire.AppendTag(b, FieldPayload, protowire.BytesType)
		b = protowire.AppendBytes(b, p.Payload)
	}
	b = appendVarint(b, FieldReason, uint64(int64(p.Reason)))
	b = appendVarint(b, FieldOutcome, uint64(int64(p.Outcome)))
	b = appendVarint(b, FieldRelayed, protowire.EncodeBool(p.Relayed))
	b = appendVarint(b, FieldCold, protowire.EncodeBool(p.Cold))
	return appendFixed64(b, FieldToken, uint64(p.Token))
}

// AppendUint32 appends a new value of an integer field to an encoded packet.
// Decoders use the last value of a scalar field, so this changes the field without
// encoding the packet again. Zero is written as well because it must override the
// earlier value.
func AppendUint32(datagram []byte, field Field, v uint32) []byte {
	datagram = protowire.AppendTag(datagram, field, protowire.VarintType)
	return protowire.AppendVarint(datagram, uint64(v))
}

// AppendBool is AppendUint32 for a boolean field.
func AppendBool(datagram []byte, field Field, v bool) []byte {
	datagram = protowire.AppendTag(datagram, field, protowire.VarintType)
	return protowire.AppendVarint(datagram, protowire.EncodeBool(v))
}

// AppendToken is AppendUint32 for the token.
func AppendToken(datagram []byte, token model.ServerID) []byte {
	datagram = protowire.AppendTag(datagram, FieldToken, protowire.Fixed64Type)
	return protowire.AppendFixed64(datagram, uint64(token))
}

// appendFixed64 appends a fixed64 field, unless it is zero.
func appendFixed64(b []byte, field Field, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

// appendVarint appends a varint field, unless it is zero.
func appendVarint(b []byte, field Field, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// appendAddr appends an address as 4 or 16 bytes, unless it is the zero
// netip.Addr.
func appendAddr(b []byte, field Field, addr netip.Addr) []byte {
	switch {
	case addr.Is4():
		raw := addr.As4()
		b = protowire.AppendTag(b, field, protowire.BytesType)
		return protowire.AppendBytes(b, raw[:])
	case addr.Is6():
		raw := addr.As16()
		b = protowire.AppendTag(b, field, protowire.BytesType)
		return protowire.AppendBytes(b, raw[:])
	}
	return b
}
