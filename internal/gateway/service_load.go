package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/model"
	"cuminshift/internal/routing"
	"cuminshift/internal/serverload"
)

// refusalWindow is how long new flows avoid a server after a refusal. A refusing server
// has a full queue, and a queued request waits some 100 ms before its own refusal.
const refusalWindow = 200 * time.Millisecond

// minResponseBytes is less than the size of a status line. Fewer bytes acknowledge that the
// server has ended its half of the flow.
const minResponseBytes = 12

type serviceLoadKey struct {
	service    string
	dataCentre model.DataCentre
}

// serviceLoad is what the servers of a service in one data centre can sustain.
type serviceLoad struct {
	serverload.Service
	key serviceLoadKey
	// servers is the number of servers that share it, including departed ones that
	// may still have flows.
	servers int
	// usable is set if one of the servers could be used at the last tick.
	usable bool
}

// serviceAddress is the address of a route.
type serviceAddress struct {
	ip   uint32
	port uint16
}

// routeAnswerSizes holds the sizes of the answers of a route with the given shares.
type routeAnswerSizes struct {
	serverload.AnswerSizes
	shares []routing.Share
}

func serviceAddressOf(k flow.Key) serviceAddress { return serviceAddress{k.ServiceIP, k.ServicePort} }

// serviceLoad returns what is known about the load of a service's servers in a data
// centre, or nil if the service has no servers there. The caller holds the lock.
func (c *Core) serviceLoad(service string, dc model.DataCentre) *serverload.Service {
	if load := c.serviceLoads[serviceLoadKey{service, dc}]; load != nil {
		return &load.Service
	}
	return nil
}

// assignServiceLoad sets the load of the server's service after the server was added or
// its entry has changed.
func (c *Core) assignServiceLoad(srv *serverState) {
	key := serviceLoadKey{srv.record.Service, srv.record.DataCentre}
	if srv.serviceLoad != nil {
		if srv.serviceLoad.key == key {
			return
		}
		c.releaseServiceLoad(srv)
	}
	load := c.serviceLoads[key]
	if load == nil {
		load = &serviceLoad{key: key}
		c.serviceLoads[key] = load
	}
	load.servers++
	srv.serviceLoad = load
}

// releaseServiceLoad forgets the load of a service with its last server. The server keeps
// its reference: flows that their caller has closed may still refer to the server.
func (c *Core) releaseServiceLoad(srv *serverState) {
	load := srv.serviceLoad
	if load.servers--; load.servers == 0 {
		delete(c.serviceLoads, load.key)
	}
}

// updateAnswerSizes adds the routes that are new in a configuration and drops those
// that it no longer has.
func (c *Core) updateAnswerSizes(next *routing.Configuration) {
	previous := c.answerSizes
	c.answerSizes = make(map[serviceAddress]*routeAnswerSizes, len(next.Routes))
	for address, route := range next.Routes {
		if !address.Addr().Is4() {
			continue // callers' packets have IPv4 addresses only
		}
		k := serviceAddressOf(flow.NewKey(address, address))
		sizes := previous[k]
		if sizes == nil || !slices.Equal(sizes.shares, route.Shares) {
			// Another service may have other answers.
			sizes = &routeAnswerSizes{shares: route.Shares}
		}
		c.answerSizes[k] = sizes
	}
}

// recordResponse records a response of the flow's server, whose first acknowledgement
// covers the given number of bytes, and reports whether it is a refusal. The response to a
// request that began at another instance is not counted: its time is not known.
func (c *Core) recordResponse(now time.Time, f *trackedFlow, bytes uint32, took time.Duration) (refusal bool) {
	sizes := c.answerSizes[serviceAddressOf(f.key)]
	if !f.requestSeen || sizes == nil || bytes < minResponseBytes {
		return false
	}
	srv := f.serverState
	if sizes.IsRefusal(bytes) {
		srv.load.RecordRefusal(now)
		srv.serviceLoad.RecordRefusal(now)
		return true
	}
	srv.load.RecordAnswer(now, took)
	srv.serviceLoad.RecordAnswer(now, took)
	return false
}

// recordUnanswered records, once for each request, that its caller repeats it or gives
// it up.
func (f *trackedFlow) recordUnanswered(now time.Time) {
	if !f.unanswered {
		f.unanswered = true
		f.serverState.load.RecordUnanswered(now)
	}
}
