package wire

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"strings"
	"testing"
)

func TestAppendMatchesPlatformExample(t *testing.T) {
	want, err := hex.DecodeString(strings.ReplaceAll("00 00 00 00 d5 c3 b2 a1 01 00 44 33 22 11 00 00 00 00 00 00 bb 01 01 00 12 c6 07 00 40 64 41 9c", " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	p := Packet{Flags: SYN, Seq: 0x11223344, Src: netip.MustParseAddrPort("100.64.0.7:40001"), Dst: netip.MustParseAddrPort("198.18.0.1:443")}
	got := p.Append(nil)
	// The checksum of the platform's example has another key.
	copy(got[4:8], want[4:8])
	if !bytes.Equal(got, want) {
		t.Fatalf("encoded packet % x differs from the platform's example", got)
	}
}

func TestChecksumCoversAllButEchoAndPad(t *testing.T) {
	p := Packet{Flags: ACK, Seq: 5, Ack: 9, Src: netip.MustParseAddrPort("127.0.0.1:1"), Dst: netip.MustParseAddrPort("127.0.0.2:2"), Payload: []byte("x")}
	b := p.Append(nil)
	for i := range b {
		changed := bytes.Clone(b)
		changed[i] ^= 1
		_, checksumValid, err := Parse(changed)
		uncovered := i < 4 || i == 9
		if (err == nil && checksumValid) != uncovered {
			t.Errorf("byte %d changed: checksum valid %t, error %v", i, checksumValid, err)
		}
	}
}
