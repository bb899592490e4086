// Package operator is a stand-in for what the users' platform and its operators
// write: configurations, withdrawn zones and the settings files of processes.
package operator

import (
	"fmt"
	"net/netip"

	"cuminshift/internal/standin/platform/store"
)

// Route leads the flows opened to an address to a service.
type Route struct {
	Address netip.AddrPort
	Service string
}

// Configure writes a version of the configuration.
func Configure(s *store.Store, version int, routes []Route) {
	list, services := []map[string]any{}, []map[string]any{}
	named := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.Address.String(), "host": r.Address.Addr().String(),
			"path_prefix": fmt.Sprintf("/%d/", r.Address.Port()), "service": r.Service, "type": "safe", "slo_ms": 200})
		if !named[r.Service] {
			named[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "health_path": "/health"})
		}
	}
	s.Put("config", "main", map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

// Evacuate asks that a zone gets nothing more; TakeBack ends it.
func Evacuate(s *store.Store, zone string) { s.Put("evacuations", zone, map[string]any{}) }

// TakeBack ends the evacuation of a zone.
func TakeBack(s *store.Store, zone string) { s.Delete("evacuations", zone) }

// Process is what the settings file of an entry instance says.
type Process struct {
	Name, Zone                     string
	Packets, Ready, Control, Store netip.AddrPort
	// Seed is the control address of another instance.
	Seed netip.AddrPort
}

// PeerPort is the first port that is free for the instances' own protocol.
const PeerPort = 7720

// Settings returns the settings file.
func (p *Process) Settings() string {
	return fmt.Sprintf(`node_name: "%s"
zone: "%s"
listen: {packet_addr: "%s", ready_addr: "%s", control: "%s"}
port_range: [%d, %d]
seeds: ["%s"]
limits: {bandwidth_mbps: 100.0}
bounds: {grace_s: 6, flow_ttl_s: 60, warmup_slack: 5, apply_ms: 3000, drain_ms: 3000, evacuate_ms: 5000}
platform: {address: "%s"}
`, p.Name, p.Zone, p.Packets, p.Ready, p.Control, PeerPort, PeerPort+15, p.Seed, p.Store)
}
