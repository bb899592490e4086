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
const stabilityWindow = 4 * time.Second

// observer checks what callers and servers see.
type observer struct {
	out io.Writer

	mu       sync.Mutex
	start    time.Time
	requests map[string]*request
	// drained holds the time from which a server must not get openings, dead
	// the end of servers.
	drainDeadlines map[string]time.Time
	goneSince      map[string]time.Time
	// disturbed is the end of the last unplanned disruption.
	faultsEndAt time.Time
	violations  []string

	totalRequests, failedRequests    int
	finalRequests, finalFailed       int
	inFinalCheck                     bool
	unexpectedResets, expectedResets int
}

type request struct {
	route *route
	runs  int
}

func newObserver() *observer {
	return &observer{start: time.Now(), requests: map[string]*request{}, drainDeadlines: map[string]time.Time{}, goneSince: map[string]time.Time{}}
}

func (o *observer) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%7.3f s  ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
}

// disturb notes an unplanned disruption that lasts until end.
func (o *observer) noteFault(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end.After(o.faultsEndAt) {
		o.faultsEndAt = end
	}
}

// note prints a disruption.
func (o *observer) logEvent(name string) {
	fmt.Fprintf(o.out, "%7.3f s  %s\n", time.Since(o.start).Seconds(), name)
}

// serving reports whether a server is neither gone nor leaving.
func (o *observer) isServing(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, gone := o.goneSince[server]
	_, leaving := o.drainDeadlines[server]
	return !gone && !leaving
}

func (o *observer) isStableAt(at time.Time) bool { return at.Sub(o.faultsEndAt) > stabilityWindow }

// leaving notes that a server must get no openings from deadline on.
func (o *observer) noteDrain(server string, deadline time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainDeadlines[server] = deadline
}

// ended notes that a server is gone.
func (o *observer) noteServerGone(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.goneSince[server] = time.Now()
}

// Opened is called by servers for each opening.
func (o *observer) Opened(server, service string, caller, to netip.AddrPort, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range routes {
		if routes[i].address == to && routes[i].service != service {
			o.addViolation("ROUTE: %s of service %s got an opening to %s", server, service, to)
		}
	}
	if deadline, ok := o.drainDeadlines[server]; ok && at.After(deadline) && o.isStableAt(at) {
		o.addViolation("DRAIN: %s got an opening %s after the bound", server, at.Sub(deadline).Round(time.Millisecond))
	}
}

// Ran is called by servers for each request they run.
func (o *observer) Ran(server, service, id string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	if r == nil {
		o.addViolation("UNASKED: %s ran %q, which nobody sent", server, id)
		return
	}
	if r.route.service != service {
		o.addViolation("ROUTE: request %s ran at service %s", id, service)
	}
	if r.runs++; r.runs > 1 && !r.route.idempotent {
		o.addViolation("TWICE: %s ran %d times", id, r.runs)
	}
}

// Forged is called by servers for packets that no caller wrote so.
func (o *observer) Forged(server string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("UNASKED: %s got a packet that no caller wrote so", server)
}

func (o *observer) noteSent(id string, r *route) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = &request{route: r}
}

func (o *observer) noteAnswer(id string, a client.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r.route.service != a.Service || r.route.answerBytes != a.Size {
		o.addViolation("MIXED: %s was answered with %+v", id, a)
	}
}

func (o *observer) noteFinished(id string, start time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if errors.Is(err, client.ErrWrongAnswer) {
		o.addViolation("MIXED: %s: %v", id, err)
	}
	o.totalRequests++
	if err != nil {
		o.failedRequests++
	}
	if o.inFinalCheck {
		o.finalRequests++
		if err != nil {
			o.finalFailed++
		}
	}
}

// reset notes the reset of an open flow at a server.
func (o *observer) noteReset(server string, opened time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	_, gone := o.goneSince[server]
	_, leaving := o.drainDeadlines[server]
	if server == "" || gone || leaving || !o.isStableAt(now) {
		o.expectedResets++
		return
	}
	o.unexpectedResets++
	o.addViolation("FLOW: a flow at %s, open for %s, was reset while its server serves", server, now.Sub(opened).Round(time.Millisecond))
}

// setCalm begins or ends the time in which all requests count.
func (o *observer) setFinalCheck(active bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFinalCheck = active
}
