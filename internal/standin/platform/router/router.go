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
	checkInterval = 500 * time.Millisecond
	misses        = 2
	readyPath     = "/cuminshift/ready"
)

// Instance is one entry instance.
type Instance struct {
	Zone    string
	Packets netip.AddrPort
	Ready   netip.AddrPort
}

// Router routes for one data centre.
type Router struct {
	zone   string
	socket *net.UDPConn
	cancel context.CancelFunc

	mu        sync.Mutex
	instances []*state
}

type state struct {
	Instance
	missed int
	// cut: packets to the instance are lost, though it is in rotation.
	cut bool
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
		r.instances = append(r.instances, &state{Instance: i, missed: misses})
		go r.check(ctx, r.instances[len(r.instances)-1])
	}
	go r.route(ctx)
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

// Cut loses the packets to an instance, while its readiness checks go on, or
// ends that.
func (r *Router) Cut(packets netip.AddrPort, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		if i.Packets == packets {
			i.cut = cut
		}
	}
}

func (r *Router) rotation() (own, all []*state) {
	var zone []*state
	for _, i := range r.instances {
		if i.missed < misses {
			all = append(all, i)
		}
		if i.Zone == r.zone {
			zone = append(zone, i)
			if i.missed < misses {
				own = append(own, i)
			}
		}
	}
	if len(own) > 0 && 2*len(own) < len(zone) {
		return zone, all
	}
	return own, all
}

func (r *Router) check(ctx context.Context, i *state) {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + i.Ready.String() + readyPath)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			i.missed = 0
		} else {
			i.missed++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

func (r *Router) route(ctx context.Context) {
	b := make([]byte, 2048)
	for ctx.Err() == nil {
		n, _, err := r.socket.ReadFromUDPAddrPort(b)
		if err != nil || n < wire.HeaderSize {
			continue
		}
		if to, ok := r.choose(b[20:wire.HeaderSize]); ok {
			_, _ = r.socket.WriteToUDPAddrPort(b[:n], to)
		}
	}
}

// choose picks an instance by rendezvous hashing, so that only the flows of an
// instance that leaves the rotation move.
func (r *Router) choose(addresses []byte) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, all := r.rotation()
	if len(own) == 0 {
		own = all
	}
	var best *state
	var top uint64
	for _, i := range own {
		d := xxhash.New()
		_, _ = d.Write(addresses)
		_, _ = d.WriteString(i.Packets.String())
		if w := d.Sum64(); w >= top {
			best, top = i, w
		}
	}
	if best == nil || best.cut {
		return netip.AddrPort{}, false
	}
	return best.Packets, true
}
