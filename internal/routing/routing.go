// Package routing holds the versions of the operators' configuration and
// selects the service for a new flow.
package routing

import (
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/model"
)

// Share is a service's share of a route's new flows. Weights are relative to
// the sum over the route's shares.
type Share struct {
	Service string
	Weight  int
}

// Route directs the flows opened to one address to one or more services.
type Route struct {
	Name   string
	Shares []Share
	// AnswerWithin is the objective for the time to an answer; 0 means no
	// objective.
	AnswerWithin time.Duration
	// Priority is the urgency of the route's requests under overload; 0 is the most
	// urgent.
	Priority uint8
	// GiveUpAfter is the time after which callers give up; 0 means unknown.
	GiveUpAfter time.Duration
}

// Service holds the settings of a service.
type Service struct {
	Name       string
	HealthPath string
	// ColdOpenings is the number of openings per second that a cold server of
	// the service can take.
	ColdOpenings float64
}

// Configuration is one version of the operators' configuration. It is
// immutable.
type Configuration struct {
	Version     int64
	Routes      map[netip.AddrPort]*Route
	Services    map[string]Service
	IdleTimeout time.Duration
}

// Table holds the newest version seen. It never returns to an older one.
type Table struct {
	current *Configuration
}

// Current returns the newest version, or nil before the first.
func (t *Table) Current() *Configuration { return t.current }

// Update takes a version and reports whether it is newer than the current one.
func (t *Table) Update(c *Configuration) bool {
	if t.current != nil && c.Version <= t.current.Version {
		return false
	}
	t.current = c
	return true
}

// Route returns the route for a service address, or nil.
func (c *Configuration) Route(address netip.AddrPort) *Route {
	return c.Routes[address]
}

// Equal reports whether two routes have the same name, settings and shares.
func (r *Route) Equal(other *Route) bool {
	return other != nil && r.Name == other.Name && r.AnswerWithin == other.AnswerWithin && r.Priority == other.Priority &&
		r.GiveUpAfter == other.GiveUpAfter && slices.Equal(r.Shares, other.Shares)
}

// Pick returns the service for a new flow, or "" if the weights are all 0. It
// depends on the hash only, so that all transmissions of an opening, at any
// instance, get the same service.
func (r *Route) Pick(hash model.FlowHash) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	// The multiplication maps the top 32 bits of the hash to [0, total).
	point := int(uint64(hash) >> 32 * uint64(total) >> 32)
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Includes reports whether new flows of the route may go to the service.
func (r *Route) Includes(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
