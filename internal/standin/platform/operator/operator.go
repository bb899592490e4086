// Package operator is a stand-in for the operators of the users' platform. It
// writes configurations and evacuations of zones to the platform's store, and
// formats the settings files of entry instances.
package operator

import (
	"fmt"
	"net/netip"
	"strings"

	"cuminshift/internal/standin/platform/store"
)

// Route assigns the flows that are opened at an address to a service.
type Route struct {
	Address netip.AddrPort
	Service string
}

// Configure writes a version of the configuration to the store.
func Configure(s *store.Store, version int, routes []Route) {
	ConfigurePadded(s, version, routes, 0)
}

// ConfigurePadded writes a version of the configuration that is larger by a number of
// bytes, in a field that has no meaning.
func ConfigurePadded(s *store.Store, version int, routes []Route, padding int) {
	routeSpecs, serviceSpecs := []map[string]any{}, []map[string]any{}
	seenServices := map[string]bool{}
	for _, r := range routes {
		routeSpecs = append(routeSpecs, map[string]any{"name": r.Address.String(), "host": r.Address.Addr().String(),
			"path_prefix": fmt.Sprintf("/%d/", r.Address.Port()), "service": r.Service, "type": "safe", "slo_ms": 200})
		if !seenServices[r.Service] {
			seenServices[r.Service] = true
			serviceSpecs = append(serviceSpecs, map[string]any{"name": r.Service, "health_path": "/health"})
		}
	}
	s.Put("config", "main", map[string]any{"version": version, "routes": routeSpecs, "services": serviceSpecs, "limits": map[string]any{"idle_timeout_ms": 15000},
		"padding": strings.Repeat("x", padding)})
}

// Evacuate requests that a zone receives no more traffic, until EndEvacuation.
func Evacuate(s *store.Store, zone string) { s.Put("evacuations", zone, map[string]any{}) }

// EndEvacuation ends the evacuation of a zone.
func EndEvacuation(s *store.Store, zone string) { s.Delete("evacuations", zone) }

// InstanceSettings holds the values of the settings file of an entry instance.
type InstanceSettings struct {
	Name, Zone                                    string
	PacketAddr, ReadyAddr, ControlAddr, StoreAddr netip.AddrPort
	// SeedAddr is the control address of another instance.
	SeedAddr netip.AddrPort
}

// FirstPeerPort is the first of the 16 ports that are reserved for the protocol
// between the instances.
const FirstPeerPort = 7720

// YAML returns the content of the settings file.
func (s *InstanceSettings) YAML() string {
	return fmt.Sprintf(`node_name: "%s"
zone: "%s"
listen: {packet_addr: "%s", ready_addr: "%s", control: "%s"}
port_range: [%d, %d]
seeds: ["%s"]
limits: {bandwidth_mbps: 100.0}
bounds: {grace_s: 6, flow_ttl_s: 60, warmup_slack: 5, apply_ms: 3000, drain_ms: 3000, evacuate_ms: 5000}
platform: {address: "%s"}
`, s.Name, s.Zone, s.PacketAddr, s.ReadyAddr, s.ControlAddr, FirstPeerPort, FirstPeerPort+15, s.SeedAddr, s.StoreAddr)
}
