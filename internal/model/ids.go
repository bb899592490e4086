// Package model defines the identifiers and the configuration catalog that the
// other packages share.
//
// A flow is the exchange of packets between one address of a caller and one address
// of a service. An opening is the first packet of a flow.
package model

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// InstanceID names an entry instance, a node of the load balancer.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// ServiceID identifies a service. It is the hash of the service's name.
type ServiceID uint64

// ServerID identifies a BackendServer. It is the hash of the names of the service
// and the server. Zero means no server. In packets it is called the token.
type ServerID uint64

// FlowHash identifies a flow within a service. It is the hash of its FlowKey.
type FlowHash uint64

// NewServiceID returns the identifier of the named service.
func NewServiceID(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// NewServerID returns the identifier of a named server of a service. A server
// that moves to another service gets a different identifier.
func NewServerID(service, server string) ServerID {
	return ServerID(xxhash.Sum64String(service + "/" + server))
}

// FlowID identifies a flow among those of all services.
type FlowID struct {
	Service ServiceID
	Flow    FlowHash
}

// FlowKey identifies a flow by the addresses of its caller and its service.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Hash returns the flow hash of the key. It does not allocate.
func (k FlowKey) Hash() FlowHash {
	var b [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[0:16], caller[:])
	copy(b[16:32], service[:])
	b[32], b[33] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	b[34], b[35] = byte(k.Service.Port()>>8), byte(k.Service.Port())
	return FlowHash(xxhash.Sum64(b[:]))
}
