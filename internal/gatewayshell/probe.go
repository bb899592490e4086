package gatewayshell

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/gateway"
	"cuminshift/internal/reach"
)

// probeTimeout is the time limit of a probe. Opening a connection within a region
// takes at most 4 ms, and the health check of a running server takes 1 ms.
const probeTimeout = 120 * time.Millisecond

// maxControlLatency is the time within which a control server has to answer to show
// that the instance's own link is not congested. A control server is another
// server, which answered recently and is probed at the same time.
const maxControlLatency = probeTimeout / 3

// prober sends requests to the health endpoints of servers.
type prober struct {
	client *http.Client
	// serverName returns the name of the server that sent a health response;
	// empty if the header lacks it.
	serverName func(http.Header) string
	// report receives the results.
	report func(gateway.Event)
	// logFailure logs a probe that could not be sent.
	logFailure func(error)
}

func newProber(serverName func(http.Header) string, report func(gateway.Event), logFailure func(error)) *prober {
	return &prober{
		serverName: serverName,
		report:     report,
		logFailure: logFailure,
		client: &http.Client{
			Timeout:       probeTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:       (&net.Dialer{Timeout: probeTimeout}).DialContext,
				DisableKeepAlives: true,
			},
		},
	}
}

// start begins a probe and the probe of its control server, if there is one. It
// returns at once; the result goes to report.
func (p *prober) start(a gateway.Probe) {
	go func() {
		controlAnswered := make(chan bool, 1)
		if a.Control.IsValid() {
			go func() { controlAnswered <- p.answersInTime(gateway.Probe{Address: a.Control, Path: a.ControlPath}) }()
		} else {
			controlAnswered <- false
		}
		result := p.probe(a)
		p.report(gateway.ProbeDone{Server: a.Server, Result: result, ControlAnswered: <-controlAnswered})
	}()
}

// answersInTime reports whether a control server answers within
// maxControlLatency.
func (p *prober) answersInTime(a gateway.Probe) bool {
	begin := time.Now()
	return p.probe(a) == reach.Answered && time.Since(begin) <= maxControlLatency
}

// probe sends one request to a health endpoint and returns its result.
func (p *prober) probe(a gateway.Probe) reach.ProbeResult {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+a.Address.String()+a.Path, nil)
	if err != nil {
		// The health path does not form a valid URL, which is no sign of a
		// failure of the server.
		p.logFailure(errors.Wrapf(err, "probe of server %s", a.Server))
		return reach.Answered
	}
	connected, begin := false, time.Now()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := p.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return failedProbeResult(err, connected, time.Since(begin))
	}
	defer response.Body.Close()
	if name := p.serverName(response.Header); name != "" && a.Server != "" && name != a.Server {
		return reach.OtherServer
	}
	return reach.Answered
}

// failedProbeResult returns the result of a probe that failed with an error after the
// given time. connected is set if the server's host accepted the connection.
func failedProbeResult(err error, connected bool, took time.Duration) reach.ProbeResult {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.ConnectionRefused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return reach.ConnectionReset
	case connected:
		// The health check is waiting for a free slot.
		return reach.Answered
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return reach.NoAnswer
	case !errors.As(err, &netErr) || !netErr.Timeout():
		return reach.Inconclusive
	case took > probeTimeout+maxControlLatency:
		// This process got no processor time when the timeout ended, and an answer may
		// have arrived unnoticed.
		return reach.Inconclusive
	}
	return reach.NoAnswer
}
