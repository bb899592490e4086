package placement

import (
	"maps"
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

const (
	// rebaseDelay is the shortest time from the publication of ACTIVE to
	// COLLECTING. An owner that had not yet applied ACTIVE may have answered a
	// query with the base server; the answer arrives, and the flow is pinned,
	// before the pins are collected.
	rebaseDelay = membership.DefaultDeadAfter
	// maxCollecting bounds the buckets of a service that are collected at the
	// same time, and with them the records sent at once: about 100 flows of 8
	// bytes per bucket.
	maxCollecting = 256
	// replicationTime is allowed to a new owner for copying its records to its
	// backup. When it dies earlier, the records count as lost.
	replicationTime = 5 * time.Second
)

// advance takes the moves of a service one phase further.
func (p *Publisher) advance(now time.Time, svc *service) {
	p.activate(now, svc)
	p.finishCollections(now, svc)
	if len(svc.active)+len(svc.mixed) > 0 && p.rebaseAllowed() {
		p.startCollections(now, svc)
	}
	p.stabilise(now, svc)
	p.unsettle(now, svc)
}

// activate makes announced buckets ACTIVE once all members know that the
// bucket's unknown flows are ambiguous.
func (p *Publisher) activate(now time.Time, svc *service) {
	for _, i := range slices.Sorted(maps.Keys(svc.announced)) {
		if p.confirmedByAll(svc.announced[i]) {
			b := svc.at(i)
			b.Phase = dcstate.Active
			svc.set(i, b, p.gen, now)
		}
	}
}

func (p *Publisher) startCollections(now time.Time, svc *service) {
	for _, i := range slices.Sorted(maps.Keys(svc.active)) {
		if len(svc.collecting) >= maxCollecting {
			return
		}
		since := svc.active[i]
		if p.confirmedByAll(since.generation) && now.Sub(since.at) >= rebaseDelay {
			b := svc.at(i)
			b.Phase = dcstate.Collecting
			svc.set(i, b, p.gen, now)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(svc.mixed)) {
		if len(svc.collecting) >= maxCollecting {
			return
		}
		if svc.mixed[i].lost {
			b := svc.at(i)
			svc.set(i, dcstate.Bucket{Base: b.Base, Next: b.Base, Phase: dcstate.Collecting}, p.gen, now)
		}
	}
}

// finishCollections makes collected buckets MIXED. After an unplanned death
// the collection may miss pins of the dead instance's flows, and the bucket is
// ACTIVE again, which needs no complete records.
func (p *Publisher) finishCollections(now time.Time, svc *service) {
	for _, i := range slices.Sorted(maps.Keys(svc.collecting)) {
		b := svc.at(i)
		switch {
		case len(p.in.UnplannedDeaths) > 0:
			b.Phase = dcstate.Active
			svc.set(i, b, p.gen, now)
		case p.confirmedByAll(svc.collecting[i]):
			svc.set(i, dcstate.Bucket{Base: b.Next, Phase: dcstate.Mixed}, p.gen, now)
		}
	}
}

// revertCollections makes buckets ACTIVE again when an instance has left
// without confirming the collection, planned or not.
func (p *Publisher) revertCollections(now time.Time, svc *service, gone map[model.InstanceID]bool) {
	for _, i := range slices.Sorted(maps.Keys(svc.collecting)) {
		for id := range gone {
			if p.confirmed[id] < svc.collecting[i] {
				b := svc.at(i)
				b.Phase = dcstate.Active
				svc.set(i, b, p.gen, now)
				break
			}
		}
	}
}

// findLostRecords marks the MIXED buckets whose owner and backup are gone
// together, or one after the other before the records were copied. Such a
// bucket is collected again before it may become STABLE.
func (p *Publisher) findLostRecords(now time.Time, svc *service, gone map[model.InstanceID]bool) {
	if len(gone) == 0 {
		return
	}
	lost := 0
	for i, m := range svc.mixed {
		owner, backup := p.state.Owner(svc.id, int(i))
		if !gone[owner] {
			continue
		}
		if !m.lost && (gone[backup] || (!m.ownerDied.IsZero() && now.Sub(m.ownerDied) < replicationTime)) {
			m.lost = true
			lost++
		}
		m.ownerDied = now
	}
	if lost > 0 {
		p.event(Event{Service: svc.id, Name: EventRecordsLost, Cause: "owner and backup gone", Buckets: lost})
	}
}

// stabilise ends the moves of buckets whose owner reports that no flow is left
// elsewhere. The report must come from the present owner, and be younger than
// the MIXED phase and the last change of owners.
func (p *Publisher) stabilise(now time.Time, svc *service) {
	for _, e := range p.in.Empty {
		if e.Service != svc.id || e.Confirmed.Publisher != p.cfg.Self || e.Confirmed.Generation < p.ownersSince {
			continue
		}
		for _, i := range e.Buckets {
			m := svc.mixed[i]
			if m == nil || m.lost || e.Confirmed.Generation < m.generation {
				continue
			}
			if owner, _ := p.state.Owner(svc.id, int(i)); owner == e.Owner {
				svc.set(i, dcstate.Bucket{Base: svc.at(i).Base, Phase: dcstate.Stable}, p.gen, now)
			}
		}
	}
}

// unsettle makes STABLE buckets MIXED of which the owner reports records: flows
// that the other side of a partition, or an instance that was away, knows at
// other servers. Without it their unknown packets would go to the base server.
func (p *Publisher) unsettle(now time.Time, svc *service) {
	for _, e := range p.in.Stray {
		if e.Service != svc.id || e.Confirmed.Publisher != p.cfg.Self || e.Confirmed.Generation < p.ownersSince {
			continue
		}
		for _, i := range e.Buckets {
			if int(i) >= svc.n || svc.at(i).Phase != dcstate.Stable {
				continue
			}
			if owner, _ := p.state.Owner(svc.id, int(i)); owner == e.Owner {
				svc.set(i, dcstate.Bucket{Base: svc.at(i).Base, Phase: dcstate.Mixed}, p.gen, now)
			}
		}
	}
}

// moveBucket lets the openings of a bucket go to another server, in two steps
// unless the owner decides on the openings already.
func (p *Publisher) moveBucket(now time.Time, svc *service, i uint32, to model.ServerID) {
	b := svc.at(i)
	switch b.Phase {
	case dcstate.Announced, dcstate.Active:
		// Only the owner uses next in these phases.
		b.Next = to
		svc.edit(i, b)
	case dcstate.Collecting:
		// The collection was of the pins that are not at the former next.
		svc.set(i, dcstate.Bucket{Base: b.Base, Next: to, Phase: dcstate.Active}, p.gen, now)
	default:
		svc.set(i, dcstate.Bucket{Base: b.Base, Next: to, Phase: dcstate.Announced}, p.gen, now)
	}
}

// dropRemovedBases replaces the base server of active moves when the catalog
// does not name it any more: its address may be given to another service.
func (p *Publisher) dropRemovedBases(svc *service) {
	removed := false
	for _, t := range svc.sorted() {
		removed = removed || (t.server == nil && t.refs > len(t.buckets))
	}
	if !removed {
		return
	}
	for _, i := range slices.Concat(slices.Sorted(maps.Keys(svc.active)), slices.Sorted(maps.Keys(svc.collecting))) {
		b := svc.at(i)
		if t := svc.targets[b.Base]; t != nil && t.server == nil && b.Base != b.Next {
			b.Base = b.Next
			svc.edit(i, b)
		}
	}
}
