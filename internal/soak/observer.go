package soak

import (
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/client"
)

// settle is the time after a disruption in which the platform's rules do not
// hold; the platform's stability window.
const settle = 4 * time.Second

// observer checks what callers and servers see.
type observer struct {
	out io.Writer

	mu       sync.Mutex
	begin    time.Time
	requests map[string]*request
	// drained holds the time from which a server must not get openings, dead
	// the end of servers.
	drained map[string]time.Time
	dead    map[string]time.Time
	// disturbed is the end of the last unplanned disruption.
	disturbed time.Time
	faults    []string

	total, failed           int
	calmTotal, calmFailed   int
	calm                    bool
	resets, excusableResets int
}

type request struct {
	route *route
	runs  int
}

func newObserver() *observer {
	return &observer{begin: time.Now(), requests: map[string]*request{}, drained: map[string]time.Time{}, dead: map[string]time.Time{}}
}

func (o *observer) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf("%7.3f s  ", time.Since(o.begin).Seconds())+fmt.Sprintf(format, args...))
}

// disturb notes an unplanned disruption that lasts until end.
func (o *observer) disturb(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end.After(o.disturbed) {
		o.disturbed = end
	}
}

// note prints a disruption.
func (o *observer) note(what string) {
	fmt.Fprintf(o.out, "%7.3f s  %s\n", time.Since(o.begin).Seconds(), what)
}

// serving reports whether a server is neither gone nor leaving.
func (o *observer) serving(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, gone := o.dead[server]
	_, leaving := o.drained[server]
	return !gone && !leaving
}

func (o *observer) stable(at time.Time) bool { return at.Sub(o.disturbed) > settle }

// leaving notes that a server must get no openings from deadline on.
func (o *observer) leaving(server string, deadline time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained[server] = deadline
}

// ended notes that a server is gone.
func (o *observer) ended(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dead[server] = time.Now()
}

// Opened is called by servers for each opening.
func (o *observer) Opened(server, service string, caller, to netip.AddrPort, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range routes {
		if routes[i].address == to && routes[i].service != service {
			o.fault("ROUTE: %s of service %s got an opening to %s", server, service, to)
		}
	}
	if deadline, ok := o.drained[server]; ok && at.After(deadline) && o.stable(at) {
		o.fault("DRAIN: %s got an opening %s after the bound", server, at.Sub(deadline).Round(time.Millisecond))
	}
}

// Ran is called by servers for each request they run.
func (o *observer) Ran(server, service, id string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	if r == nil {
		o.fault("UNASKED: %s ran %q, which nobody sent", server, id)
		return
	}
	if r.route.service != service {
		o.fault("ROUTE: request %s ran at service %s", id, service)
	}
	if r.runs++; r.runs > 1 && !r.route.safe {
		o.fault("TWICE: %s ran %d times", id, r.runs)
	}
}

// Forged is called by servers for packets that no caller wrote so.
func (o *observer) Forged(server string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault("UNASKED: %s got a packet that no caller wrote so", server)
}

func (o *observer) sent(id string, r *route) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = &request{route: r}
}

func (o *observer) answered(id string, a client.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r.route.service != a.Service || r.route.size != a.Size {
		o.fault("MIXED: %s was answered with %+v", id, a)
	}
}

func (o *observer) finished(id string, begin time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if errors.Is(err, client.ErrWrongAnswer) {
		o.fault("MIXED: %s: %v", id, err)
	}
	o.total++
	if err != nil {
		o.failed++
	}
	if o.calm {
		o.calmTotal++
		if err != nil {
			o.calmFailed++
		}
	}
}

// reset notes the reset of an open flow at a server.
func (o *observer) reset(server string, opened time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	_, gone := o.dead[server]
	_, leaving := o.drained[server]
	if server == "" || gone || leaving || !o.stable(now) {
		o.excusableResets++
		return
	}
	o.resets++
	o.fault("FLOW: a flow at %s, open for %s, was reset while its server serves", server, now.Sub(opened).Round(time.Millisecond))
}

// setCalm begins or ends the time in which all requests count.
func (o *observer) setCalm(calm bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calm = calm
}
