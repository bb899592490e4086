package client

import (
	"testing"

	"cuminshift/internal/standin/platform/wire"
)

// Guards against a reset that only the first call of WasReset reports. A condition
// over several flows, polled until all of them are reset, would never be met.
func TestWasResetRemembersReset(t *testing.T) {
	f := &Flow{arrivals: make(chan arrival, 2)}
	if f.WasReset() {
		t.Error("flow without a packet counts as reset")
	}
	f.deliver(wire.Packet{Flags: wire.RST}, false)
	f.deliver(wire.Packet{Flags: wire.ACK}, true)
	for call := range 2 {
		if !f.WasReset() {
			t.Errorf("call %d: the flow does not count as reset", call)
		}
	}
	if _, err := f.Request(t.Context(), "a", 1, 1); err != ErrReset {
		t.Errorf("request on a reset flow: %v, want %v", err, ErrReset)
	}
}
