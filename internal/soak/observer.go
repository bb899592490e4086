package soak

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/standin/platform/client"
)

// stabilityWindow is the platform's stability window: the time after a fault in
// which the platform's guarantees do not apply.
const stabilityWindow = 4 * time.Second

// observer checks the events that callers and servers report against the
// platform's guarantees.
type observer struct {
	out io.Writer

	mu       sync.Mutex
	start    time.Time
	requests map[string]*request
	// drainDeadlines holds, by server, the time from which a draining server
	// must not receive openings. goneSince holds the time at which a server was
	// killed.
	drainDeadlines map[string]time.Time
	goneSince      map[string]time.Time
	// zoneOf holds the zone of each server, and evacuationDeadlines, by zone that is
	// evacuated, the time from which its servers must not receive openings.
	zoneOf              map[string]string
	evacuationDeadlines map[string]time.Time
	// faultsEndAt is the latest end of the unplanned faults so far.
	faultsEndAt time.Time
	violations  []string

	totalRequests, failedRequests, refusedRequests int
	// finalRequests and finalFailed count the requests that finish during the
	// final check.
	finalRequests, finalFailed       int
	inFinalCheck                     bool
	unexpectedResets, expectedResets int
}

type request struct {
	route *route
	// runs is the number of times that servers have started the request.
	runs int
	// attempts is the number of times that the caller sent it on an open flow,
	// refusals the number of these that a server refused.
	attempts, refusals int
}

func newObserver() *observer {
	return &observer{start: time.Now(), requests: map[string]*request{}, drainDeadlines: map[string]time.Time{}, goneSince: map[string]time.Time{},
		zoneOf: map[string]string{}, evacuationDeadlines: map[string]time.Time{}}
}

func (o *observer) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%7.3f s  ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
}

// noteFault records an unplanned fault that lasts until end.
func (o *observer) noteFault(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end.After(o.faultsEndAt) {
		o.faultsEndAt = end
	}
}

func (o *observer) logEvent(name string) {
	fmt.Fprintf(o.out, "%7.3f s  %s\n", time.Since(o.start).Seconds(), name)
}

// isServing reports whether a server has neither been killed nor drained.
func (o *observer) isServing(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, gone := o.goneSince[server]
	_, leaving := o.drainDeadlines[server]
	return !gone && !leaving
}

// isStableAt reports whether the platform's guarantees apply at a time.
func (o *observer) isStableAt(at time.Time) bool { return at.Sub(o.faultsEndAt) > stabilityWindow }

// noteDrain records that a server must not receive openings after deadline.
func (o *observer) noteDrain(server string, deadline time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainDeadlines[server] = deadline
}

// noteServer records the zone of a server.
func (o *observer) noteServer(server, zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zoneOf[server] = zone
}

// noteEvacuation records that the servers of a zone must not receive openings after
// deadline.
func (o *observer) noteEvacuation(zone string, deadline time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.evacuationDeadlines[zone]; !ok {
		o.evacuationDeadlines[zone] = deadline
	}
}

// noteEvacuationEnd records that a zone is about to be taken back into service.
func (o *observer) noteEvacuationEnd(zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.evacuationDeadlines, zone)
}

// isEvacuated reports whether a zone is evacuated.
func (o *observer) isEvacuated(zone string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.evacuationDeadlines[zone]
	return ok
}

// noteServerGone records that a server is about to be killed.
func (o *observer) noteServerGone(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.goneSince[server] = time.Now()
}

// Opened implements server.Observer.
func (o *observer) Opened(server, service string, caller, to netip.AddrPort, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range routes {
		if routes[i].address == to && routes[i].service != service {
			o.addViolation("ROUTE: server %s of service %s received an opening for %s", server, service, to)
		}
	}
	if deadline, ok := o.drainDeadlines[server]; ok && at.After(deadline) && o.isStableAt(at) {
		o.addViolation("DRAIN: server %s received an opening %s after its drain deadline", server, at.Sub(deadline).Round(time.Millisecond))
	}
	zone := o.zoneOf[server]
	if deadline, ok := o.evacuationDeadlines[zone]; ok && at.After(deadline) && o.isStableAt(at) {
		o.addViolation("EVAC: server %s received an opening %s after the deadline to evacuate %s", server, at.Sub(deadline).Round(time.Millisecond), zone)
	}
}

// Ran implements server.Observer.
func (o *observer) Ran(server, service, id string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	if r == nil {
		o.addViolation("FORGED: server %s ran request %q, which no caller sent", server, id)
		return
	}
	if r.route.service != service {
		o.addViolation("ROUTE: request %s ran on a server of service %s", id, service)
	}
	if r.runs++; r.runs > 1 && !r.route.idempotent {
		o.addViolation("DUPLICATE: non-idempotent request %s ran %d times", id, r.runs)
	}
}

// Forged implements server.Observer.
func (o *observer) Forged(server string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("FORGED: server %s received a packet that no caller sent in this form", server)
}

func (o *observer) noteSent(id string, r *route) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = &request{route: r}
}

// noteAttempt records that a request is about to be sent on an open flow.
func (o *observer) noteAttempt(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].attempts++
}

// noteRefusal records that a server refused an attempt at a request.
func (o *observer) noteRefusal(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id].refusals++
	o.refusedRequests++
}

// checkRefusedRequests checks that no refused attempt ran: a request runs at most as
// often as it was sent and not refused. It is called with mu held, at the end of the
// run, because a queued request may run after its caller gave up.
func (o *observer) checkRefusedRequests() {
	for _, id := range slices.Sorted(maps.Keys(o.requests)) {
		if r := o.requests[id]; r.refusals > 0 && r.runs > r.attempts-r.refusals {
			o.addViolation("REFUSED: request %s ran %d times, but %d of %d attempts were refused", id, r.runs, r.refusals, r.attempts)
		}
	}
}

func (o *observer) noteAnswer(id string, a client.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r.route.service != a.Service || r.route.answerBytes != a.Size {
		o.addViolation("ANSWER: request %s was answered with %+v", id, a)
	}
}

func (o *observer) noteFinished(id string, start time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if errors.Is(err, client.ErrWrongAnswer) {
		o.addViolation("ANSWER: request %s: %v", id, err)
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

// noteReset records the reset of an open flow. server is the server that last
// answered on the flow, or empty before the first answer.
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
	o.addViolation("FLOW: a flow on server %s, open for %s, was reset although the server is serving", server, now.Sub(opened).Round(time.Millisecond))
}

func (o *observer) setFinalCheck(active bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFinalCheck = active
}
