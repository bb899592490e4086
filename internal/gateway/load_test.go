package gateway

import (
	"testing"

	"cuminshift/internal/flow"
)

// Guards against a log whose volume at the start of a fleet grows with servers times
// instances. Later changes of a server are logged one by one.
func TestFirstLoadIsOneLogEntry(t *testing.T) {
	draining := server("i-2", norte)
	draining.Draining = true
	inst := newTestInstance(t, server("i-1", norte), draining, server("i-3", norte))
	var entries []StateChange
	for _, a := range inst.actions {
		if s, ok := a.(StateChange); ok && s.Subject != "1" {
			entries = append(entries, s)
		}
	}
	if len(entries) != 1 || entries[0].Description != "registry loaded" || entries[0].Cause != "3 servers, 1 of them draining" {
		t.Errorf("%+v", entries)
	}
	inst.actions = nil
	inst.setServers(server("i-1", norte), draining, server("i-3", norte), server("i-4", norte))
	if len(inst.actions) != 1 || inst.actions[0].(StateChange).Subject != "i-4" {
		t.Errorf("after one server was added: %+v", inst.actions)
	}
}

// Guards against an opening that avoids a server because of another caller: the
// servers that did not answer one caller are no reason for a later opening.
func TestSuspectsOfOneCallerDoNotConcernAnother(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", norte))
	first := inst.open(2001).Server
	inst.open(2002) // the same caller, whose first flow is unanswered: suspects its server
	other := flow.Key{CallerIP: 0x0a090909, CallerPort: 7, ServiceIP: key(1).ServiceIP, ServicePort: key(1).ServicePort}
	inst.handlePacket(&flow.Segment{Key: other, Opening: true})
	f := inst.core.flows[other]
	inst.core.suspects = append(inst.core.suspects[:0], inst.core.serverStates[inst.core.servers.Record(first.Name)])
	f.OpeningAt = inst.now
	inst.handlePacket(&flow.Segment{Key: other, Opening: true, RetransmitCount: 1})
	if len(inst.core.suspects) != 0 {
		t.Errorf("%d suspects of another caller are left for a retransmitted opening", len(inst.core.suspects))
	}
}
