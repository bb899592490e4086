package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cuminshift/internal/standin/platform/client"
)

// keepPrefix begins the names of requests that only keep a flow in use.
const keepPrefix = "keep"

// reset is a reset of an open flow that a server had answered on before.
type reset struct {
	at, answeredAt time.Time
	flow           netip.AddrPort
	server         string
}

// host is a caller's host in a zone.
type host struct {
	world *world
	zone  int
	host  *client.Host

	mu sync.Mutex
	// sentAt holds, for each flow that was opened, when its opening was first sent.
	sentAt map[netip.AddrPort]time.Time

	// resets holds the resets of open flows, guarded by mu.
	resets []reset

	answered, failed atomic.Int64
	number           atomic.Int64
}

func (w *world) addHost(zone, n int) (*host, error) {
	c, err := client.NewHost(w.address(150+zone, n, packetPort), w.address(3, zone+1, packetPort))
	if err != nil {
		return nil, err
	}
	h := &host{world: w, zone: zone, host: c, sentAt: map[netip.AddrPort]time.Time{}}
	w.hosts = append(w.hosts, h)
	return h, nil
}

// open opens a flow and records when.
func (h *host) open(service netip.AddrPort) (*client.Flow, error) {
	ctx, cancel := context.WithTimeout(h.world.ctx, 3*time.Second)
	defer cancel()
	start := time.Now()
	f, err := h.host.Open(ctx, service)
	if err != nil {
		h.failed.Add(1)
		h.world.log("an opening from %s failed: %v", zones[h.zone], err)
		return nil, err
	}
	h.mu.Lock()
	h.sentAt[f.Local()] = start
	h.mu.Unlock()
	return f, nil
}

// keepFlow holds a flow open and sends a small request on it at each interval.
func (h *host) keepFlow(service netip.AddrPort, interval time.Duration) {
	for h.world.ctx.Err() == nil {
		f, err := h.open(service)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		var last client.Answer
		var answeredAt time.Time
		for h.world.ctx.Err() == nil {
			answer, err := h.request(f, keepPrefix, 2, 2000)
			if err != nil {
				h.noteFailure(f, last.Server, answeredAt, err)
				f.Drop()
				break
			}
			last, answeredAt = answer, time.Now()
			select {
			case <-h.world.ctx.Done():
			case <-time.After(interval):
			}
		}
	}
}

// once opens a flow, sends a request and closes the flow.
func (h *host) once(service netip.AddrPort) {
	f, err := h.open(service)
	if err != nil {
		return
	}
	if _, err := h.request(f, "once", 5, 2000); err != nil {
		f.Drop()
		return
	}
	f.Close()
}

// noteFailure records that a request on an open flow failed.
func (h *host) noteFailure(f *client.Flow, server string, answeredAt time.Time, err error) {
	if server == "" || !errors.Is(err, client.ErrReset) {
		return
	}
	h.world.log("the flow of %s at %s is reset, last answer %.3f s ago", f.Local(), server, time.Since(answeredAt).Seconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resets = append(h.resets, reset{at: time.Now(), answeredAt: answeredAt, flow: f.Local(), server: server})
}

func (h *host) request(f *client.Flow, kind string, workMS, size int) (client.Answer, error) {
	ctx, cancel := context.WithTimeout(h.world.ctx, 3*time.Second)
	defer cancel()
	id := fmt.Sprintf("%s-%s-%d", kind, zones[h.zone], h.number.Add(1))
	if kind != keepPrefix {
		h.world.log("%s is sent on the flow of %s", id, f.Local())
	}
	answer, err := f.Request(ctx, id, workMS, size)
	if err != nil {
		h.failed.Add(1)
		return answer, err
	}
	h.answered.Add(1)
	if kind != keepPrefix {
		h.world.log("%s answered by %s", id, answer.Server)
	}
	return answer, nil
}

// rate runs once at a rate per second until the time ends.
func (h *host) rate(service netip.AddrPort, perSecond int, until time.Time) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for time.Now().Before(until) && h.world.ctx.Err() == nil {
		<-ticker.C
		go h.once(service)
	}
}

// sent returns when the opening of a flow was first sent.
func (w *world) sent(caller netip.AddrPort) (time.Time, bool) {
	for _, h := range w.hosts {
		h.mu.Lock()
		at, ok := h.sentAt[caller]
		h.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return time.Time{}, false
}
