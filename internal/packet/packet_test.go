package packet

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminshift/internal/gen/cuminshift/v1"
)

func toProto(p *Packet) *pb.Packet {
	m := &pb.Packet{
		Kind: p.Kind, CallerPort: uint32(p.Caller.Port()), ServicePort: uint32(p.Service.Port()),
		RequestId: p.RequestID, Idempotent: p.Idempotent, Priority: p.Priority, DeadlineMs: p.DeadlineMS,
		CallerAttempt: p.CallerAttempt, Attempt: p.Attempt, Part: p.Part, Parts: p.Parts, Payload: p.Payload,
		Reason: p.Reason, Outcome: p.Outcome, Relayed: p.Relayed, Cold: p.Cold,
	}
	if p.Caller.Addr().IsValid() {
		m.CallerIp = p.Caller.Addr().AsSlice()
	}
	if p.Service.Addr().IsValid() {
		m.ServiceIp = p.Service.Addr().AsSlice()
	}
	return m
}

func samplePacket() *Packet {
	return &Packet{
		Kind: pb.Kind_KIND_REQUEST, Caller: netip.MustParseAddrPort("192.0.2.7:4711"),
		Service: netip.MustParseAddrPort("[2001:db8::9]:80"), RequestID: 1 << 60, Idempotent: true, Priority: 2,
		DeadlineMS: 1500, CallerAttempt: 1, Payload: bytes.Repeat([]byte("x"), 200),
	}
}

var packetGenerator = rapid.Custom(func(t *rapid.T) *Packet {
	addr := func(label string) netip.AddrPort {
		raw := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)
		port := rapid.Uint16().Draw(t, label+" port")
		switch rapid.IntRange(0, 2).Draw(t, label+" family") {
		case 0:
			return netip.AddrPortFrom(netip.Addr{}, port)
		case 1:
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[:4])), port)
		}
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(raw)), port)
	}
	u32 := rapid.Uint32()
	return &Packet{
		Kind: pb.Kind(rapid.Int32().Draw(t, "kind")), Caller: addr("caller"), Service: addr("service"),
		RequestID: rapid.Uint64().Draw(t, "id"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Priority: u32.Draw(t, "priority"), DeadlineMS: u32.Draw(t, "deadline"),
		CallerAttempt: u32.Draw(t, "caller attempt"), Attempt: u32.Draw(t, "attempt"),
		Part: u32.Draw(t, "part"), Parts: u32.Draw(t, "parts"),
		Payload: rapid.SliceOf(rapid.Byte()).Draw(t, "payload"),
		Reason:  pb.Reason(rapid.Int32Range(0, 20).Draw(t, "reason")), Outcome: pb.Outcome(rapid.Int32Range(0, 3).Draw(t, "outcome")),
		Relayed: rapid.Bool().Draw(t, "relayed"), Cold: rapid.Bool().Draw(t, "cold"),
	}
})

// Guards against Append and Decode differing from the protobuf library.
func TestEncodingMatchesProtobuf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := packetGenerator.Draw(t, "packet")
		var m pb.Packet
		if err := proto.Unmarshal(want.Append(nil), &m); err != nil || !proto.Equal(&m, toProto(want)) {
			t.Fatalf("append: got %v %v, want %v", &m, err, toProto(want))
		}
		raw, _ := proto.Marshal(toProto(want))
		var got Packet
		if err := got.Decode(raw); err != nil || !proto.Equal(toProto(&got), toProto(want)) {
			t.Fatalf("decode: got %+v %v, want %+v", got, err, want)
		}
		n := rapid.Uint32().Draw(t, "changed")
		raw = AppendBool(AppendUint32(raw, FieldAttempt, n), FieldRelayed, n%2 == 0)
		if err := got.Decode(raw); err != nil || got.Attempt != n || got.Relayed != (n%2 == 0) {
			t.Fatalf("changed fields: got %+v %v", got, err)
		}
	})
}

// Guards against accepting datagrams that the schema does not allow.
func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  string
		want Error
	}{
		{"truncated tag", "\x80", ErrMalformed},
		{"truncated payload", "\x72\x05ab", ErrMalformed},
		{"field zero", "\x00\x01", ErrMalformed},
		{"kind as bytes", "\x0a\x01a", ErrWireType},
		{"five-byte address", "\x12\x05abcde", ErrAddress},
		{"port 65536", "\x18\x80\x80\x04", ErrPort},
		{"attempt above 32 bits", "\x58\x80\x80\x80\x80\x10", ErrRange},
		{"unknown field truncated", "\xfa\x01\x05a", ErrMalformed},
	} {
		var p Packet
		if err := p.Decode([]byte(c.raw)); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against panics, and against accepting datagrams that the protobuf library
// rejects or decodes differently.
func FuzzDecode(f *testing.F) {
	f.Add(samplePacket().Append(nil))
	f.Add([]byte("\x12\x05abcde"))
	f.Add([]byte("\xb9\x9d\x90\xc5000000000")) // field number above 1<<29-1
	f.Add(AppendUint32(samplePacket().Append(nil), 200, 3))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p Packet
		if p.Decode(raw) != nil {
			return
		}
		var m pb.Packet
		if err := proto.Unmarshal(raw, &m); err != nil {
			t.Fatalf("accepted a datagram that proto.Unmarshal rejects: %v", err)
		}
		m.ProtoReflect().SetUnknown(nil)
		if !proto.Equal(&m, toProto(&p)) {
			t.Fatalf("got %v, want %v", toProto(&p), &m)
		}
	})
}

// Guards against an allocation on the packet path.
func TestEncodeAndDecodeDoNotAllocate(t *testing.T) {
	var p Packet
	raw, buf := samplePacket().Append(nil), make([]byte, 0, 2048)
	bad := []byte("\x12\x05abcde")
	if n := testing.AllocsPerRun(100, func() {
		_ = p.Decode(raw)
		buf = AppendUint32(p.Append(buf[:0]), FieldAttempt, 2)
		_ = p.Decode(bad)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkDecode(b *testing.B) {
	raw := samplePacket().Append(nil)
	var p Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	p, buf := samplePacket(), make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		buf = p.Append(buf[:0])
	}
}
