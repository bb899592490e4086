// Package routing holds the versions of the operators' configuration and
// decides which service a new flow goes to.
package routing

import (
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/model"
)

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route sends the flows opened to an address to one or more services.
type Route struct {
	Name   string
	Shares []Share
	// AnswerWithin is the objective for the time to an answer; 0 for none.
	AnswerWithin time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	Name       string
	HealthPath string
	// ColdOpenings is the number of openings a second that a cold server of
	// the service bears.
	ColdOpenings float64
}

// Configuration is one version; it is immutable.
type Configuration struct {
	Version     int64
	Routes      map[netip.AddrPort]*Route
	Services    map[string]Service
	IdleTimeout time.Duration
}

// Table holds the newest version seen. Versions only go forward.
type Table struct {
	current *Configuration
}

// Current returns the newest version, or nil before the first.
func (t *Table) Current() *Configuration { return t.current }

// Update takes a version and reports whether it is newer than the present one.
func (t *Table) Update(c *Configuration) bool {
	if t.current != nil && c.Version <= t.current.Version {
		return false
	}
	t.current = c
	return true
}

// Route returns the route of a service address, or nil.
func (c *Configuration) Route(address netip.AddrPort) *Route {
	return c.Routes[address]
}

// Equal reports whether two routes lead to the same services.
func (r *Route) Equal(other *Route) bool {
	return other != nil && r.Name == other.Name && r.AnswerWithin == other.AnswerWithin && slices.Equal(r.Shares, other.Shares)
}

// Pick returns the service for a new flow. All copies of an opening, at any
// instance, get the same one.
func (r *Route) Pick(hash model.FlowHash) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	// The multiply maps the hash to [0, total) by its top 32 bits.
	point := int(uint64(hash) >> 32 * uint64(total) >> 32)
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Leads reports whether new flows of the route may go to the service.
func (r *Route) Includes(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
