package model

import (
	"net/netip"
	"time"
)

// Catalog is one validated version of the configuration. It is immutable.
type Catalog struct {
	Version  uint64
	Services map[ServiceID]*Service
	Servers  map[ServerID]*BackendServer
	// Sites contains the sites by service address.
	Sites map[netip.AddrPort]*Site
	// Plans and Callers are by name.
	Plans   map[string]*Plan
	Callers map[string]*Caller
	// DataCentres contains each data centre that has a site or is marked out.
	DataCentres map[DataCentre]Mark
	// InstancesOut is the set of instances that operators marked out of service.
	InstancesOut map[InstanceID]bool

	prefixes prefixTable
}

// Mark is the state that operators set for a data centre.
type Mark struct {
	// Out is true if the data centre is out of service.
	Out bool
}

// Service is a named service with at most one site per data centre.
type Service struct {
	ID        ServiceID
	Name      string
	Sites     []*Site
	Objective Objective
}

// Objective is the service-level objective (SLO) of a service. The PPM fields are
// shares in parts per million.
type Objective struct {
	BrokenFlowsPPM uint32
	RefusedPPM     uint32
	// LatePPM is the share of requests answered later than LateAfter.
	LatePPM   uint32
	LateAfter time.Duration
}

// Site is a service in one data centre.
type Site struct {
	Service    *Service
	DataCentre DataCentre
	Address    netip.AddrPort
	Servers    []*BackendServer
}

// BackendServer is a server of a service in one data centre.
type BackendServer struct {
	ID         ServerID
	Name       string
	Service    ServiceID
	DataCentre DataCentre
	Address    netip.AddrPort
	// Health is the ip:port of the health and load endpoint, or empty if there is
	// none.
	Health string
	// Slots is the number of concurrent requests that the server can handle.
	Slots int
	// ColdSlots and ColdOpeningsPerSecond are the concurrent requests and the
	// openings per second that the server can handle during a cold start.
	ColdSlots             int
	ColdOpeningsPerSecond int
	// Drain is true if operators want the server to get no new flows.
	Drain bool
}

// Plan lists the services that callers on the plan may use.
type Plan struct {
	Name string
	Uses map[ServiceID]PlanUse
}

// PlanUse holds the limits of a plan for one service. A limit of zero means
// unlimited.
type PlanUse struct {
	OpeningsPerSecond  int
	RequestsPerSecond  int
	ConcurrentFlows    int
	ConcurrentRequests int
	// Priority is the highest (numerically lowest) priority that requests of
	// the plan may have.
	Priority uint32
}

// Caller is a customer, identified by the address prefixes of its packets.
type Caller struct {
	Name     string
	Plan     *Plan
	Prefixes []netip.Prefix
}

// SiteOf returns the site of the service in a data centre, or nil.
func (s *Service) SiteOf(dc DataCentre) *Site {
	for _, site := range s.Sites {
		if site.DataCentre == dc {
			return site
		}
	}
	return nil
}

// IndexCallers builds the index that CallerOf uses. It must be called before the
// catalog is shared.
func (c *Catalog) IndexCallers() {
	c.prefixes = newPrefixTable(c.Callers)
}

// ReindexCallers updates the index that CallerOf uses in a shallow copy of an
// indexed catalog after callers were removed and added. The index of the
// original catalog is not modified.
func (c *Catalog) ReindexCallers(removed, added []*Caller) {
	c.prefixes = c.prefixes.replace(removed, added)
}

// CallerOf returns the caller with the longest prefix that contains the address,
// or nil. It does not allocate.
func (c *Catalog) CallerOf(addr netip.Addr) *Caller {
	return c.prefixes.lookup(addr.Unmap())
}

// AllowedUse returns the limits of the caller's plan for the service. It returns
// false if the plan does not include the service or caller is nil.
func (c *Catalog) AllowedUse(caller *Caller, service ServiceID) (PlanUse, bool) {
	if caller == nil || caller.Plan == nil {
		return PlanUse{}, false
	}
	use, ok := caller.Plan.Uses[service]
	return use, ok
}
