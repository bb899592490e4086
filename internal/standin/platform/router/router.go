// Package router is a stand-in for the routers of one zone of the users' platform.
// It forwards callers' packets to the entry instances that are in rotation: those
// that pass the router's readiness checks.
package router

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/wire"

	"github.com/cespare/xxhash/v2"
)

const (
	// An instance is out of rotation after failureThreshold consecutive failed
	// readiness checks, which run every checkInterval.
	checkInterval    = 500 * time.Millisecond
	failureThreshold = 2
	readyPath        = "/cuminshift/ready"
)

// Instance is one entry instance.
type Instance struct {
	Zone string
	// PacketAddr receives packets, ReadyAddr serves the readiness check.
	PacketAddr netip.AddrPort
	ReadyAddr  netip.AddrPort
}

// Router forwards the packets that arrive at one zone.
type Router struct {
	zone   string
	socket *net.UDPConn
	cancel context.CancelFunc

	mu        sync.Mutex
	instances []*instanceState
}

type instanceState struct {
	Instance
	failedChecks int
	// blackholed is set while packets to the instance are dropped although it
	// is in rotation.
	blackholed bool
}

// Start runs a router at an address until Stop. It prefers instances of its
// zone; when none of them is in rotation, it uses those of other zones.
func Start(zone string, address netip.AddrPort, instances []Instance) (*Router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "router: listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{zone: zone, socket: socket, cancel: cancel}
	for _, i := range instances {
		r.instances = append(r.instances, &instanceState{Instance: i, failedChecks: failureThreshold})
		go r.checkLoop(ctx, r.instances[len(r.instances)-1])
	}
	go r.forwardLoop(ctx)
	return r, nil
}

// Stop stops the router.
func (r *Router) Stop() {
	r.cancel()
	r.socket.Close()
}

// InRotation returns the number of the zone's instances that the router uses.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, _ := r.rotation()
	return len(own)
}

// SetBlackholed sets whether packets to the instance with this packet address
// are dropped. Its readiness checks continue.
func (r *Router) SetBlackholed(packetAddr netip.AddrPort, blackholed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		if i.PacketAddr == packetAddr {
			i.blackholed = blackholed
		}
	}
}

// rotation returns own, the instances of the router's zone that it uses, and all,
// the instances of all zones that are in rotation. When some of the zone's
// instances are in rotation but fewer than half of them, own contains all
// instances of the zone.
func (r *Router) rotation() (own, all []*instanceState) {
	var zoneInstances []*instanceState
	for _, i := range r.instances {
		if i.failedChecks < failureThreshold {
			all = append(all, i)
		}
		if i.Zone == r.zone {
			zoneInstances = append(zoneInstances, i)
			if i.failedChecks < failureThreshold {
				own = append(own, i)
			}
		}
	}
	if len(own) > 0 && 2*len(own) < len(zoneInstances) {
		return zoneInstances, all
	}
	return own, all
}

func (r *Router) checkLoop(ctx context.Context, i *instanceState) {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + i.ReadyAddr.String() + readyPath)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			i.failedChecks = 0
		} else {
			i.failedChecks++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

func (r *Router) forwardLoop(ctx context.Context) {
	b := make([]byte, 2048)
	for ctx.Err() == nil {
		n, _, err := r.socket.ReadFromUDPAddrPort(b)
		if err != nil || n < wire.HeaderSize {
			continue
		}
		if to, ok := r.pickInstance(b[20:wire.HeaderSize]); ok {
			_, _ = r.socket.WriteToUDPAddrPort(b[:n], to)
		}
	}
}

// pickInstance picks an instance by rendezvous hashing of a packet's addresses,
// so that only the flows of an instance that leaves the rotation move. It
// reports false when the packet is dropped.
func (r *Router) pickInstance(addressBytes []byte) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates, all := r.rotation()
	if len(candidates) == 0 {
		candidates = all
	}
	var best *instanceState
	var bestWeight uint64
	for _, i := range candidates {
		digest := xxhash.New()
		_, _ = digest.Write(addressBytes)
		_, _ = digest.WriteString(i.PacketAddr.String())
		if weight := digest.Sum64(); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best == nil || best.blackholed {
		return netip.AddrPort{}, false
	}
	return best.PacketAddr, true
}
