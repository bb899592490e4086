package placement

import (
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/membership"
	"cuminshift/internal/model"
)

// formerUse is an address that a server used and that the newest catalog does
// not give to that server any more. A server of another service may use it
// only when the former use is over: no bucket names the former server, and all
// members have confirmed that state and the catalog without it.
type formerUse struct {
	service model.ServiceID
	server  model.ServerID
	// address is unset when this publisher never saw a catalog with the
	// server; it then stands for any address.
	address netip.AddrPort
	// version is the first catalog version without the use.
	version uint64
	// moved is set when the server has got another address; buckets may then
	// go on naming it.
	moved bool
	// freeSince is the generation in which no bucket named the server.
	freeSince uint64
}

// addressBook remembers the addresses of the servers of the catalogs seen.
type addressBook struct {
	addresses map[model.ServerID]netip.AddrPort
	former    []formerUse
	// admitted holds the servers that may be given buckets; waiting holds the
	// others with the catalog version that first named them.
	admitted map[model.ServerID]bool
	waiting  map[model.ServerID]uint64
}

func newAddressBook() addressBook {
	return addressBook{
		addresses: make(map[model.ServerID]netip.AddrPort),
		admitted:  make(map[model.ServerID]bool),
		waiting:   make(map[model.ServerID]uint64),
	}
}

// adopted starts the confirmation of former uses anew: earlier confirmations
// were about another publisher's state.
func (b *addressBook) adopted(generation uint64) {
	for i := range b.former {
		if b.former[i].freeSince != 0 {
			b.former[i].freeSince = generation
		}
	}
}

// conflicts reports whether the address may still be in use by a server other
// than id.
func (b *addressBook) conflicts(id model.ServerID, address netip.AddrPort) bool {
	return slices.ContainsFunc(b.former, func(f formerUse) bool {
		return f.server != id && (f.address == address || !f.address.IsValid())
	})
}

// setCatalog takes over a new catalog. A catalog older than one that a member
// has confirmed is left alone: acting on it could undo a change.
func (p *Publisher) setCatalog(now time.Time, membersChanged bool) {
	c := p.in.Catalog
	if c == nil || slices.ContainsFunc(p.in.Confirmations, func(m membership.Confirmation) bool { return m.ConfigVersion > c.Version }) {
		return
	}
	if p.catalog != nil && c.Version < p.catalog.Version {
		return
	}
	if c != p.catalog {
		adopted := p.catalog == nil
		p.catalog = c
		p.applyCatalog(now, adopted)
	} else if !membersChanged {
		return
	}
	if p.in.Reports != nil {
		p.in.Reports.Retain(p.in.View, c.Servers)
	}
}

func (p *Publisher) applyCatalog(now time.Time, adopted bool) {
	for id, svc := range p.services {
		service := p.catalog.Services[id]
		if service == nil || service.SiteOf(p.cfg.DataCentre) == nil {
			p.removeService(svc)
		}
	}
	for id, service := range p.catalog.Services {
		site := service.SiteOf(p.cfg.DataCentre)
		if site == nil {
			continue
		}
		svc := p.services[id]
		if svc == nil || svc.removed {
			svc = newService(id, nil, p.gen, now)
			p.services[id] = svc
		}
		svc.setSite(site)
		p.noteAddresses(svc, adopted)
	}
}

func (p *Publisher) removeService(svc *service) {
	for _, t := range svc.sorted() {
		p.book.former = append(p.book.former, formerUse{service: svc.id, server: t.id, address: p.book.addresses[t.id], version: p.catalog.Version})
		p.book.forget(t.id)
	}
	if svc.n == 0 {
		delete(p.services, svc.id)
		return
	}
	svc.removed = true
	p.event(Event{Service: svc.id, Name: EventServiceRemoved, Cause: "catalog"})
}

func (b *addressBook) forget(id model.ServerID) {
	delete(b.addresses, id)
	delete(b.admitted, id)
	delete(b.waiting, id)
}

// noteAddresses records which servers of a service are new, have left or have
// another address. A server to which an adopted state gives buckets was
// admitted by the publisher of that state.
func (p *Publisher) noteAddresses(svc *service, adopted bool) {
	b := &p.book
	for _, t := range svc.sorted() {
		known, seen := b.addresses[t.id]
		switch {
		case t.server == nil:
			if !b.isFormer(t.id) {
				b.former = append(b.former, formerUse{service: svc.id, server: t.id, address: known, version: p.catalog.Version})
			}
			b.forget(t.id)
		case !seen:
			b.addresses[t.id] = t.server.Address
			b.waiting[t.id] = p.catalog.Version
		case known != t.server.Address:
			b.former = append(b.former, formerUse{service: svc.id, server: t.id, address: known, version: p.catalog.Version, moved: true})
			b.addresses[t.id] = t.server.Address
			delete(b.admitted, t.id)
			b.waiting[t.id] = p.catalog.Version
		}
		if adopted && t.server != nil && t.refs > 0 {
			delete(b.waiting, t.id)
			b.admitted[t.id] = true
		}
	}
}

func (b *addressBook) isFormer(id model.ServerID) bool {
	return slices.ContainsFunc(b.former, func(f formerUse) bool { return f.server == id && !f.moved })
}

// admitServers ends former uses that are over and admits the servers that wait
// for them. A new server also waits until all members have confirmed the
// catalog that names it: by then no instance holds an older catalog that gives
// the address to another service.
func (p *Publisher) admitServers(takeover bool) {
	b := &p.book
	if len(b.former) == 0 && len(b.waiting) == 0 {
		return
	}
	kept := b.former[:0]
	for _, f := range b.former {
		if !p.useOver(&f, takeover) {
			kept = append(kept, f)
		}
	}
	b.former = kept
	if p.catalog == nil {
		return
	}
	for id, version := range b.waiting {
		if p.allConf >= version && !b.conflicts(id, b.addresses[id]) {
			delete(b.waiting, id)
			b.admitted[id] = true
		}
	}
}

// useOver reports whether a former use is over, and notes since when no bucket
// names the server.
func (p *Publisher) useOver(f *formerUse, takeover bool) bool {
	if !f.moved {
		if svc := p.services[f.service]; svc != nil {
			if t := svc.targets[f.server]; t != nil && t.refs > 0 {
				f.freeSince = 0
				return false
			}
		}
	}
	if f.freeSince == 0 {
		f.freeSince = p.state.Version.Generation
		if takeover || p.servicePending(f.service) {
			f.freeSince = p.gen
		}
	}
	return p.confirmedByAll(f.freeSince) && p.allConf >= f.version
}

// servicePending reports whether the removal of a service is part of the
// update of this Step.
func (p *Publisher) servicePending(id model.ServiceID) bool {
	svc := p.services[id]
	return svc != nil && svc.removed
}
