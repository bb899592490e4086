package gateway

import (
	"testing"
	"time"

	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// restore makes the next updates those of a store that was restored from a copy, at
// a lower revision.
func (inst *testInstance) restore() {
	inst.era++
	inst.revision = 1
}

// Guards against updates that are taken for known ones after the store's revisions
// went back.
func TestUpdatesAfterRestoreAreApplied(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	for version := int64(2); version <= 9; version++ {
		inst.setConfiguration(version, service)
	}
	inst.setWithdrawn(sur, true)
	inst.restore()
	inst.setConfiguration(11)
	inst.setServers(server("i-1", norte), server("i-2", norte))
	if c := inst.core.Configuration(); c.Version != 11 {
		t.Errorf("version %d is in force after version 11 was written", c.Version)
	}
	if inst.core.servers.Record("i-2") == nil {
		t.Error("a server that registered after the restoration is not known")
	}
}

// Guards against a configuration that reverts: the copy holds an older version than
// the one in force.
func TestConfigurationOfCopyDoesNotReplaceNewerOne(t *testing.T) {
	inst := newTestInstance(t)
	inst.setConfiguration(9, service)
	inst.restore()
	inst.setConfiguration(7)
	if c := inst.core.Configuration(); c.Version != 9 || c.Route(service) == nil {
		t.Errorf("version %d is in force", c.Version)
	}
}

// Guards against an answer from before the restoration that arrives after one from
// after it, on another connection or by another instance.
func TestAnswerOfEarlierEraIsIgnored(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	before := inst.revision
	inst.restore()
	inst.setServers(server("i-1", norte))
	asOf := inst.core.ConfirmedAt()[source.Registry]
	inst.advance(TickInterval)
	late := source.Update{Full: true, Position: source.Position{Revision: before + 10}}
	inst.handleEvent(SourceUpdated{Kind: source.Registry, AsOf: inst.now, Update: late})
	inst.handleEvent(SourceUpdated{Kind: source.Registry, AsOf: inst.now, Update: source.Update{Position: source.Position{Revision: before}}})
	if !inst.core.servers.Record("i-1").Listed {
		t.Error("a list from before the restoration is applied")
	}
	if inst.core.ConfirmedAt()[source.Registry] != asOf {
		t.Error("an answer from before the restoration counts as current")
	}
}

// Guards against changes that are applied to a state which they do not continue.
func TestChangesOfLaterEraNeedItsState(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.handleEvent(SourceUpdated{Kind: source.Configuration, AsOf: inst.now, Update: source.Update{
		Position: source.Position{Era: 1, Revision: 90}, Configuration: &routing.Configuration{Version: 5}}})
	if p := inst.core.Positions()[source.Configuration]; p.Era != 0 {
		t.Errorf("the position is %s without a complete state of that era", p)
	}
}

// Guards against a version that was accepted and is then left aside because the
// answer that holds it is from before the restoration.
func TestVersionFromBeforeRestoreIsUsed(t *testing.T) {
	inst := newTestInstance(t)
	inst.restore()
	inst.setConfiguration(7)
	inst.era--
	inst.revision = 90
	inst.setConfiguration(9, service)
	if c := inst.core.Configuration(); c.Version != 9 {
		t.Errorf("version %d is in force; version 9 was accepted", c.Version)
	}
}

// Guards against new flows at a server that drains: the copy is of before the drain,
// and the server writes it again only with its next heartbeat.
func TestDrainIsKeptWhenCopyIsOlder(t *testing.T) {
	drains, stays := server("i-1", norte), server("i-2", norte)
	drains.Sequence, stays.Sequence = 3, 3
	inst := newTestInstance(t, drains, stays)
	drains.Draining, drains.Sequence = true, 4
	inst.setServers(drains, stays)
	drains.Draining, drains.Sequence = false, 3
	inst.restore()
	inst.setServers(drains, stays)
	for port := range uint16(40) {
		if v := inst.open(3000 + port); v.Server == nil || v.Server.Name != "i-2" {
			t.Fatalf("opening: %+v; want it at the server that does not drain", v)
		}
	}
}

// Guards against resets of flows and refused openings because a server that registered
// after the copy was made is missing from it.
func TestServerMissingFromCopyIsKeptUntilItRegistersAgain(t *testing.T) {
	inst := newTestInstance(t)
	inst.setServers(server("i-9", norte))
	inst.restore()
	inst.setServers()
	if v := inst.open(3000); v.Kind != Forward {
		t.Errorf("opening while the server registers again: %+v", v)
	}
	inst.advance(registry.LapseGrace + TickInterval)
	inst.handleEvent(Tick{})
	if v := inst.open(3001); v.Kind == Forward {
		t.Error("the server counts as present although it has not registered again")
	}
}

// Guards against resets of the flows of a server that restarted after the copy was
// made, as if it had restarted once more.
func TestCopyWithEarlierIncarnationResetsNoFlows(t *testing.T) {
	earlier, later := server("i-1", norte), server("i-1", norte)
	earlier.Incarnation, later.Incarnation = 5, 6
	inst := newTestInstance(t, earlier)
	inst.setServers(later)
	inst.open(3000)
	inst.restore()
	inst.actions = nil
	inst.setServers(earlier)
	for _, a := range inst.actions {
		if r, ok := a.(ResetFlow); ok {
			t.Errorf("flow reset: %+v", r)
		}
	}
}

// Guards against packets to a withdrawn data centre, when the copy is of before its
// withdrawal.
func TestWithdrawnDataCentreGetsNoFlowsAfterRestore(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
	inst.setWithdrawn(norte, true)
	inst.restore()
	inst.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position()}})
	inst.setServers(server("i-1", norte), server("i-2", sur))
	for port := range uint16(20) {
		if v := inst.open(3000 + port); v.Server == nil || v.Server.Name != "i-2" {
			t.Fatalf("opening: %+v; want it in the data centre in service", v)
		}
	}
}

// Guards against an instance that starts on the copy and uses servers and data centres
// that others know to drain or to be withdrawn.
func TestInstanceStartedOnCopyLearnsLostChanges(t *testing.T) {
	drains, stays := server("i-1", norte), server("i-2", norte)
	drains.Sequence, stays.Sequence = 3, 3
	knows := newTestInstance(t, drains, stays, server("i-3", sur))
	later := drains
	later.Draining, later.Sequence = true, 4
	knows.setServers(later, stays, server("i-3", sur))
	knows.setWithdrawn(sur, true)
	knows.restore()
	knows.setServers(drains, stays, server("i-3", sur))
	knows.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: knows.now, Update: source.Update{Full: true, Position: knows.position()}})

	started := newTestInstance(t, drains, stays, server("i-3", sur))
	started.handleEvent(knows.core.LostChanges(knows.now))
	for port := range uint16(40) {
		if v := started.open(3000 + port); v.Server == nil || v.Server.Name != "i-2" {
			t.Fatalf("opening: %+v; want it at the only server in service", v)
		}
	}
	started.advance(registry.LostRetention)
	started.handleEvent(Tick{})
	if lost := started.core.LostChanges(started.now); len(lost.Servers)+len(lost.DataCentres) > 0 {
		t.Errorf("still passed on after %s: %+v", registry.LostRetention, lost)
	}
}

// Guards against a change that another instance passes on after an operator has changed
// the data centre again.
func TestLostChangeDoesNotReplaceLaterOne(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte))
	inst.setWithdrawn(norte, true)
	lost := source.DataCentreChange{DataCentre: norte, Withdrawn: true, Withdrawal: inst.revision, ChangedAt: inst.position(), Contradicted: true, KeepFor: time.Minute}
	inst.setWithdrawn(norte, false)
	inst.restore()
	inst.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position()}})
	inst.handleEvent(LostChanges{DataCentres: []source.DataCentreChange{lost}})
	if v := inst.open(3000); v.Kind != Forward {
		t.Errorf("%+v", v)
	}
}

// Guards against an evacuation that ends at all instances because one of them missed it:
// that one reads it only from a restored store, and takes its own state for the later one.
func TestMissedEvacuationIsNotUndoneAfterRestore(t *testing.T) {
	const evacuatedAt = source.Revision(20)
	servers := []registry.Entry{server("i-1", norte), server("i-2", sur)}
	fleet := []*testInstance{newTestInstance(t, servers...), newTestInstance(t, servers...), newTestInstance(t, servers...)}
	for i, inst := range fleet {
		inst.handleEvent(SourceUpdated{Kind: source.Withdrawals, AsOf: inst.now, Update: source.Update{Full: true, Position: inst.position()}})
		if missed := i == 0; !missed {
			inst.revision = evacuatedAt - 1
			inst.setWithdrawn(sur, true)
		}
		inst.restore()
		inst.listWithdrawn(sur, evacuatedAt)
	}
	for range 100 {
		for _, inst := range fleet {
			inst.advance(TickInterval)
			inst.handleEvent(Tick{})
			for _, other := range fleet {
				inst.handleEvent(other.core.LostChanges(inst.now))
			}
			if inst.core.withdrawn.Withdrawn(sur) {
				continue
			}
			t.Fatalf("%s after the restoration, an instance opens flows in the evacuated data centre", inst.now.Sub(time.Unix(1000, 0)))
		}
	}
}

// Guards against an evacuation that is not obeyed because it is the first that a restored
// store accepts: instances that know of no withdrawal take the store for outdated.
func TestFirstEvacuationAfterRestoreIsObeyed(t *testing.T) {
	inst := newTestInstance(t, server("i-1", norte), server("i-2", sur))
	inst.setWithdrawn(sur, true)
	inst.setWithdrawn(sur, false)
	inst.restore()
	inst.listWithdrawn(sur, 2)
	for port := range uint16(20) {
		if v := inst.open(3000 + port); v.Server == nil || v.Server.Name != "i-1" {
			t.Fatalf("opening: %+v; want it in the data centre in service", v)
		}
	}
}
