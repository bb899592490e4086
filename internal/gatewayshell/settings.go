package gatewayshell

import (
	"net/netip"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// Settings are the checked settings of an instance.
type Settings struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// PacketAddress receives the callers' packets; callers listen on its port.
	PacketAddress netip.AddrPort
	// ReadyAddress answers whether the instance takes traffic.
	ReadyAddress netip.AddrPort
	StoreAddress netip.AddrPort
	// PeerPorts are the first and last port for the instances' own protocol.
	PeerPorts []uint16
	// SeedAddresses are hosts of other instances; they may be stale.
	SeedAddresses []netip.Addr
	// StopGrace is the time from the request to stop to the end by force.
	StopGrace time.Duration
	// FlowLifetime is the age from which the platform may discard a flow.
	FlowLifetime time.Duration
	// Bounds are the times in which a change of each source has to be in force.
	Bounds [source.NumKinds]time.Duration
	// ColdSlack is the number of openings a second that a cold server takes
	// beyond its own figure.
	ColdSlack float64
	// Bandwidth of the instance's link in Mbit/s; 0 when unknown.
	Bandwidth int
	// SettingsFile names the file that the settings were read from, and
	// SettingsReload reads it again.
	SettingsFile   string
	SettingsReload func() (*Settings, error)
}
