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
	// Sites maps a service address to the service and data centre it belongs to.
	Sites       map[netip.AddrPort]*Site
	Plans       map[string]*Plan
	Callers     map[string]*Caller
	DataCentres map[DataCentre]Mark
	// InstancesOut lists the instances that operators marked out.
	InstancesOut map[InstanceID]bool

	prefixes prefixTable
}

// Mark says whether a data centre is in service.
type Mark struct {
	Out bool
}

// Service is a named service with one site per data centre.
type Service struct {
	ID        ServiceID
	Name      string
	Sites     []*Site
	Objective Objective
}

// Objective is a service-level objective. Shares are in parts per million.
type Objective struct {
	BrokenFlowsPPM uint32
	RefusedPPM     uint32
	LatePPM        uint32
	LateAfter      time.Duration
}

// Site is a service in one data centre.
type Site struct {
	Service    *Service
	DataCentre DataCentre
	Address    netip.AddrPort
	Servers    []*BackendServer
}

// BackendServer is one target of a service.
type BackendServer struct {
	ID                    ServerID
	Name                  string
	Service               ServiceID
	DataCentre            DataCentre
	Address               netip.AddrPort
	Health                string
	Slots                 int
	Connections           int
	ColdSlots             int
	ColdOpeningsPerSecond int
	Drain                 bool
}

// Plan says what its callers may use.
type Plan struct {
	Name string
	Uses map[ServiceID]PlanUse
}

// PlanUse is what a plan allows of one service; zero limits mean no limit.
type PlanUse struct {
	OpeningsPerSecond  int
	RequestsPerSecond  int
	ConcurrentFlows    int
	ConcurrentRequests int
	// Priority is the highest (numerically lowest) priority that requests of
	// the plan may have.
	Priority uint32
}

// Caller is a customer with address prefixes and a plan.
type Caller struct {
	Name     string
	Plan     *Plan
	Prefixes []netip.Prefix
}

// SiteOf returns the site of a service in a data centre, or nil.
func (s *Service) SiteOf(dc DataCentre) *Site {
	for _, site := range s.Sites {
		if site.DataCentre == dc {
			return site
		}
	}
	return nil
}

// IndexCallers prepares CallerOf; it is called once, before the catalog is
// shared.
func (c *Catalog) IndexCallers() {
	c.prefixes = newPrefixTable(c.Callers)
}

// ReindexCallers prepares CallerOf for a copy of an indexed catalog from which
// callers went and to which callers came. The indexed catalog stays as it is.
func (c *Catalog) ReindexCallers(removed, added []*Caller) {
	c.prefixes = c.prefixes.replace(removed, added)
}

// CallerOf returns the caller whose longest prefix contains the address, or
// nil. It does not allocate.
func (c *Catalog) CallerOf(addr netip.Addr) *Caller {
	return c.prefixes.lookup(addr.Unmap())
}

// AllowedUse returns the use that the caller's plan gives of the service.
func (c *Catalog) AllowedUse(caller *Caller, service ServiceID) (PlanUse, bool) {
	if caller == nil || caller.Plan == nil {
		return PlanUse{}, false
	}
	use, ok := caller.Plan.Uses[service]
	return use, ok
}
