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

// probeTimeout bounds a probe: a connection within a region takes at most 4 ms,
// and the health check of a server that is up 1 ms.
const probeTimeout = 120 * time.Millisecond

// maxControlLatency is the time in which a control has to answer to show that the
// instance's link is not congested.
const maxControlLatency = probeTimeout / 3

// prober asks servers' health endpoints.
type prober struct {
	client     *http.Client
	serverName func(http.Header) string
	report     func(gateway.Event)
	// logFailure logs a probe that could not be made.
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

// start begins a probe; its outcome goes to done.
func (p *prober) start(a gateway.Probe) {
	go func() {
		good := make(chan bool, 1)
		if a.Control.IsValid() {
			go func() { good <- p.answersInTime(gateway.Probe{Address: a.Control, Path: a.ControlPath}) }()
		} else {
			good <- false
		}
		result := p.check(a)
		p.report(gateway.Probed{Server: a.Server, Result: result, PathGood: <-good})
	}()
}

// answersInTime reports whether a control answers promptly.
func (p *prober) answersInTime(a gateway.Probe) bool {
	begin := time.Now()
	return p.check(a) == reach.Answered && time.Since(begin) <= maxControlLatency
}

func (p *prober) check(a gateway.Probe) reach.ProbeResult {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+a.Address.String()+a.Path, nil)
	if err != nil {
		// A health path that makes no URL: the probe says nothing against
		// the server.
		p.logFailure(errors.Wrapf(err, "probe of %s", a.Server))
		return reach.Answered
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := p.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case err != nil && connected:
		// The server's host accepted the connection; the health check waits
		// for a slot.
		return reach.Answered
	case err != nil:
		return reach.NoAnswer
	}
	defer response.Body.Close()
	if name := p.serverName(response.Header); name != "" && a.Server != "" && name != a.Server {
		return reach.OtherServer
	}
	return reach.Answered
}
