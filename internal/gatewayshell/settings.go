package gatewayshell

import (
	"net/netip"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// Settings are the validated settings of an instance.
type Settings struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// PacketAddress is the address on which the instance receives the callers'
	// packets. The callers receive packets on the same port.
	PacketAddress netip.AddrPort
	// ReadyAddress is the address of the readiness check, the metrics and the
	// burn report.
	ReadyAddress netip.AddrPort
	StoreAddress netip.AddrPort
	// PeerPorts are the first and the last port of the range for the protocol
	// between instances.
	PeerPorts []uint16
	// SeedAddresses are addresses of other instances; they may be outdated.
	SeedAddresses []netip.Addr
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// FlowLifetime is the age from which the platform may discard a flow.
	FlowLifetime time.Duration
	// Bounds are the times within which a change of each source has to take
	// effect.
	Bounds [source.NumKinds]time.Duration
	// ColdSlack is the number of openings a second that a cold server, which has
	// just started, takes beyond the rate that the configuration states for its
	// service.
	ColdSlack float64
	// Bandwidth is the bandwidth of the instance's link in Mbit/s; 0 when unknown.
	Bandwidth int
	// SettingsFile is the path of the file that the settings were read from, and
	// SettingsReload reads it again.
	SettingsFile   string
	SettingsReload func() (*Settings, error)
}
