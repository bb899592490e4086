package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/client"
)

// route describes a kind of request and the service address it is sent to.
type route struct {
	name    string
	address netip.AddrPort
	service string
	// idempotent requests are retried even if a previous attempt may have run.
	idempotent bool
	// flowPerRequest opens a new flow for each request.
	flowPerRequest bool
	// workMS is the time that a server works on the request, answerBytes the
	// size of the answer.
	workMS      int
	answerBytes int
	deadline    time.Duration
}

var routes = []route{
	{name: "status", address: netip.MustParseAddrPort("198.18.0.1:8443"), service: "campo", idempotent: true, workMS: 20, answerBytes: 2000, deadline: 1200 * time.Millisecond},
	{name: "report", address: netip.MustParseAddrPort("198.18.0.1:8080"), service: "campo", workMS: 25, answerBytes: 600, deadline: 1500 * time.Millisecond},
	{name: "map", address: netip.MustParseAddrPort("198.18.0.2:8443"), service: "ordenes", idempotent: true, flowPerRequest: true, workMS: 5, answerBytes: 20000, deadline: 3 * time.Second},
}

// overloadRoutes are the requests of an overload. Their work is long, so that few of
// them exceed what the servers can process. One keeps its flows open, the other
// opens a flow for each request.
var overloadRoutes = []route{
	{name: "analysis", address: routes[0].address, service: "campo", idempotent: true, workMS: 60, answerBytes: 600, deadline: 1200 * time.Millisecond},
	{name: "export", address: routes[1].address, service: "campo", flowPerRequest: true, workMS: 60, answerBytes: 600, deadline: 1200 * time.Millisecond},
}

const (
	// overloadCallersPerHost is the number of callers of each route that an
	// overload adds to a host.
	overloadCallersPerHost = 8
	// meanThinkTime is the mean pause between two requests of a caller.
	meanThinkTime = 60 * time.Millisecond
	// maxAttempts is the number of attempts at a request.
	maxAttempts = 3
)

// caller sends requests of one kind sequentially.
type caller struct {
	name  string
	host  *client.Host
	route *route
	obs   *observer
	rng   *rand.Rand
	flow  *client.Flow
	// lastServer is the server that last answered on the flow, or empty.
	lastServer string
	// until is the time from which the caller sends no more requests; zero means
	// that it sends until the context is done.
	until time.Time
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil && (c.until.IsZero() || time.Now().Before(c.until)); n++ {
		c.sendRequest(ctx, fmt.Sprintf("%s-%d", c.name, n))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime))):
		}
	}
	if c.flow != nil {
		c.flow.Close()
	}
}

func (c *caller) sendRequest(ctx context.Context, id string) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.route.deadline)
	defer cancel()
	c.obs.noteSent(id, c.route)
	var err error
	for range maxAttempts {
		var flowOpen bool
		if flowOpen, err = c.attempt(ctx, id); err == nil || ctx.Err() != nil {
			break
		}
		if errors.Is(err, errRefused) || (flowOpen && !c.route.idempotent) {
			break
		}
	}
	c.obs.noteFinished(id, start, err)
}

// errRefused reports that a server refused a request. The caller does not repeat it,
// because it would meet the same load.
var errRefused = errors.New("soak: request refused")

// attempt makes one attempt at a request. flowOpen reports whether the flow was
// open, so that the request may have run.
func (c *caller) attempt(ctx context.Context, id string) (flowOpen bool, err error) {
	if c.flow != nil && c.flow.WasReset() {
		c.dropResetFlow()
	}
	if c.flow == nil {
		if c.flow, err = c.host.Open(ctx, c.route.address); err != nil {
			return false, err
		}
		c.lastServer = ""
	}
	c.obs.noteAttempt(id)
	answer, err := c.flow.Request(ctx, id, c.route.workMS, c.route.answerBytes)
	switch {
	case errors.Is(err, client.ErrReset):
		c.dropResetFlow()
	case err != nil:
		c.flow.Drop()
		c.flow = nil
	default:
		c.lastServer = answer.Server
		if answer.Refused {
			c.obs.noteRefusal(id)
			err = errRefused
		} else {
			c.obs.noteAnswer(id, answer)
		}
		if c.route.flowPerRequest {
			c.flow.Close()
			c.flow = nil
		}
	}
	return true, err
}

func (c *caller) dropResetFlow() {
	c.obs.noteReset(c.lastServer, c.flow.OpenedAt)
	c.flow.Drop()
	c.flow = nil
}

// callers are the callers of a run and their hosts.
type callers struct {
	ctx   context.Context
	obs   *observer
	seed  uint64
	hosts []*client.Host
	wg    sync.WaitGroup
	// overloads counts the overloads so far.
	overloads int
}

// start starts a caller, which runs until cs.ctx is done or, unless zero, until.
func (cs *callers) start(name string, host *client.Host, r *route, stream uint64, until time.Time) {
	c := &caller{name: name, host: host, route: r, obs: cs.obs, until: until, rng: rand.New(rand.NewPCG(cs.seed, stream))}
	cs.wg.Add(1)
	go func() { defer cs.wg.Done(); c.run(cs.ctx) }()
}

// overload adds callers for some time, which send more than the servers can process.
func (cs *callers) overload(duration time.Duration) {
	cs.overloads++
	until := time.Now().Add(duration)
	for h, host := range cs.hosts {
		for r := range overloadRoutes {
			for n := range overloadCallersPerHost {
				stream := uint64(((cs.overloads*1000+h)*10+r)*100 + n)
				cs.start(fmt.Sprintf("overload%d-%d-%s-%d", cs.overloads, h, overloadRoutes[r].name, n), host, &overloadRoutes[r], stream, until)
			}
		}
	}
}

// startCallers starts callers in all zones, which run until ctx is done.
func startCallers(ctx context.Context, f *fleet, o Options, obs *observer) (*callers, error) {
	cs := &callers{ctx: ctx, obs: obs, seed: o.Seed}
	for z, zone := range zones {
		for h := range o.HostsPerZone {
			host, err := client.NewHost(f.address(150+z, h+1, packetPort), f.address(3, z+1, packetPort))
			if err != nil {
				return cs, err
			}
			cs.hosts = append(cs.hosts, host)
			for r := range routes {
				cs.start(fmt.Sprintf("%s-%d-%s", zone, h, routes[r].name), host, &routes[r], uint64(len(cs.hosts)*10+r), time.Time{})
			}
		}
	}
	return cs, nil
}
