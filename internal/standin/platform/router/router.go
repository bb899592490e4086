// Package router is a stand-in for the routers of one data centre: it hands
// callers' packets to the entry instances in rotation.
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
	// checkInterval and misses take an instance out of rotation.
	checkInterval    = 500 * time.Millisecond
	failureThreshold = 2
	readyPath        = "/cuminshift/ready"
)

// Instance is one entry instance.
type Instance struct {
	Zone       string
	PacketAddr netip.AddrPort
	ReadyAddr  netip.AddrPort
}

// Router routes for one data centre.
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
	// blackholed: packets to the instance are lost, though it is in rotation.
	blackholed bool
}

// Start runs a router at an address until Stop. Instances of the zone come
// first; when none is in rotation, those of other zones are used.
func Start(zone string, address netip.AddrPort, instances []Instance) (*Router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "router")
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

// Stop ends the router.
func (r *Router) Stop() {
	r.cancel()
	r.socket.Close()
}

// InRotation returns the number of the zone's instances in rotation.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, _ := r.rotation()
	return len(own)
}

// SetBlackholed loses the packets to an instance, while its readiness checks go on, or
// ends that.
func (r *Router) SetBlackholed(packetAddr netip.AddrPort, blackholed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		if i.PacketAddr == packetAddr {
			i.blackholed = blackholed
		}
	}
}

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

// pickInstance picks an instance by rendezvous hashing, so that only the flows of an
// instance that leaves the rotation move.
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
