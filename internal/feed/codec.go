package feed

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/registry"
	"cuminshift/internal/routing"
	"cuminshift/internal/source"
)

// Encode returns the message of an update. A configuration is encoded as its
// differences from base, which the receiver has; with a nil base it is complete.
func Encode(k source.Kind, u *source.Update, base *routing.Configuration) *pb.FeedUpdate {
	m := &pb.FeedUpdate{Kind: uint32(k), Full: u.Full, Era: int64(u.Position.Era), Revision: int64(u.Position.Revision)}
	if u.Configuration != nil {
		m.Configuration = EncodeConfiguration(u.Configuration, base)
	}
	for i := range u.Servers {
		m.Servers = append(m.Servers, EncodeServer(&u.Servers[i].Entry, u.Servers[i].Removed))
	}
	m.DataCentres = EncodeDataCentres(u.DataCentres)
	return m
}

// EncodeDataCentres returns the messages of changes of data centres.
func EncodeDataCentres(changes []source.DataCentreChange) []*pb.FeedDataCentre {
	var out []*pb.FeedDataCentre
	for _, c := range changes {
		out = append(out, &pb.FeedDataCentre{DataCentre: string(c.DataCentre), Withdrawn: c.Withdrawn, Withdrawal: int64(c.Withdrawal),
			ChangedEra: int64(c.ChangedAt.Era), ChangedRevision: int64(c.ChangedAt.Revision),
			Contradicted: c.Contradicted, KeepMs: uint32(c.KeepFor.Milliseconds())})
	}
	return out
}

// DecodeDataCentres returns the changes of messages.
func DecodeDataCentres(messages []*pb.FeedDataCentre) []source.DataCentreChange {
	var out []source.DataCentreChange
	for _, m := range messages {
		out = append(out, source.DataCentreChange{DataCentre: model.DataCentre(m.DataCentre), Withdrawn: m.Withdrawn, Withdrawal: source.Revision(m.Withdrawal),
			ChangedAt:    source.Position{Era: source.Era(m.ChangedEra), Revision: source.Revision(m.ChangedRevision)},
			Contradicted: m.Contradicted, KeepFor: time.Duration(m.KeepMs) * time.Millisecond})
	}
	return out
}

// EncodeConfiguration returns the message of a configuration, as its differences from
// base or, if base is nil, complete.
func EncodeConfiguration(c, base *routing.Configuration) *pb.FeedConfiguration {
	m := &pb.FeedConfiguration{Version: c.Version, IdleTimeoutMs: uint32(c.IdleTimeout.Milliseconds())}
	for _, s := range c.Services {
		m.Services = append(m.Services, &pb.FeedService{Name: s.Name, HealthPath: s.HealthPath, ColdOpenings: s.ColdOpenings})
	}
	if base == nil {
		base = &routing.Configuration{}
	}
	m.BaseVersion = base.Version
	for address, route := range c.Routes {
		if !route.Equal(base.Routes[address]) {
			m.Routes = append(m.Routes, encodeRoute(address, route))
		}
	}
	for address := range base.Routes {
		if c.Routes[address] == nil {
			m.RemovedRoutes = append(m.RemovedRoutes, address.String())
		}
	}
	return m
}

func encodeRoute(address netip.AddrPort, route *routing.Route) *pb.FeedRoute {
	r := &pb.FeedRoute{Name: route.Name, Address: address.String(), AnswerWithinMs: uint32(route.AnswerWithin.Milliseconds()),
		Priority: proto.Uint32(uint32(route.Priority)), GiveUpAfterMs: uint32(route.GiveUpAfter.Milliseconds())}
	for _, s := range route.Shares {
		r.Shares = append(r.Shares, &pb.FeedShare{Service: s.Service, Weight: uint32(s.Weight)})
	}
	return r
}

// EncodeServer returns the message of a server's entry.
func EncodeServer(e *registry.Entry, removed bool) *pb.FeedServer {
	if removed {
		return &pb.FeedServer{Name: e.Name, Removed: true}
	}
	return &pb.FeedServer{
		Name: e.Name, Fence: e.Fence, Service: e.Service, DataCentre: string(e.DataCentre), Address: e.Address.String(),
		Slots: uint32(e.Slots), Draining: e.Draining, ColdMs: uint32(e.ColdRemaining.Milliseconds()), Incarnation: e.Incarnation, Sequence: e.Sequence,
	}
}

// ErrBaseMismatch means that an update holds the differences from a version of
// the configuration other than the current one.
var ErrBaseMismatch = errors.New("feed: configuration is encoded as differences from another version")

// Decode returns the update of a message. current is the configuration to which
// differences are applied; it may be nil.
func Decode(m *pb.FeedUpdate, current *routing.Configuration) (source.Kind, source.Update, error) {
	k := source.Kind(m.Kind)
	if m.Kind >= source.NumKinds {
		return 0, source.Update{}, errors.Newf("feed: unknown source %d", m.Kind)
	}
	u := source.Update{Full: m.Full, Position: source.Position{Era: source.Era(m.Era), Revision: source.Revision(m.Revision)}}
	if m.Configuration != nil {
		c, err := DecodeConfiguration(m.Configuration, current)
		if err != nil {
			return 0, source.Update{}, err
		}
		u.Configuration = c
	}
	for _, s := range m.Servers {
		e, err := DecodeServer(s)
		if err != nil {
			return 0, source.Update{}, err
		}
		u.Servers = append(u.Servers, source.ServerChange{Entry: e, Removed: s.Removed})
	}
	u.DataCentres = DecodeDataCentres(m.DataCentres)
	return k, u, nil
}

// DecodeConfiguration returns the configuration of a message. current is the one to
// which differences are applied; it may be nil.
func DecodeConfiguration(m *pb.FeedConfiguration, current *routing.Configuration) (*routing.Configuration, error) {
	c := &routing.Configuration{
		Version:     m.Version,
		IdleTimeout: time.Duration(m.IdleTimeoutMs) * time.Millisecond,
		Routes:      make(map[netip.AddrPort]*routing.Route, len(m.Routes)),
		Services:    make(map[string]routing.Service, len(m.Services)),
	}
	if m.BaseVersion != 0 {
		if current == nil || current.Version != m.BaseVersion {
			return nil, ErrBaseMismatch
		}
		maps.Copy(c.Routes, current.Routes)
	}
	for _, text := range m.RemovedRoutes {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrap(err, "feed: address of a removed route")
		}
		delete(c.Routes, address)
	}
	for _, r := range m.Routes {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "feed: address of route %s", r.Name)
		}
		route := &routing.Route{Name: r.Name, AnswerWithin: time.Duration(r.AnswerWithinMs) * time.Millisecond,
			Priority: decodePriority(r.Priority), GiveUpAfter: time.Duration(r.GiveUpAfterMs) * time.Millisecond}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, routing.Share{Service: s.Service, Weight: int(s.Weight)})
		}
		c.Routes[address] = route
	}
	for _, s := range m.Services {
		c.Services[s.Name] = routing.Service{Name: s.Name, HealthPath: s.HealthPath, ColdOpenings: s.ColdOpenings}
	}
	return c, nil
}

// decodePriority returns the priority of a route; the least urgent one if the message
// comes from an instance that does not know of priorities.
func decodePriority(p *uint32) uint8 {
	if p == nil {
		return math.MaxUint8
	}
	return uint8(min(*p, math.MaxUint8))
}

// DecodeServer returns the entry of a server's message. Only the name is set for
// a removed server.
func DecodeServer(m *pb.FeedServer) (registry.Entry, error) {
	if m.Removed {
		return registry.Entry{Name: m.Name}, nil
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return registry.Entry{}, errors.Wrapf(err, "feed: address of server %s", m.Name)
	}
	return registry.Entry{
		Name: m.Name, Fence: m.Fence, Service: m.Service, DataCentre: model.DataCentre(m.DataCentre), Address: address,
		Slots: int(m.Slots), Draining: m.Draining, ColdRemaining: time.Duration(m.ColdMs) * time.Millisecond, Incarnation: m.Incarnation, Sequence: m.Sequence,
	}, nil
}
