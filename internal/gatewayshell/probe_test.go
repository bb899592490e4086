package gatewayshell

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/gateway"
	"cuminshift/internal/reach"
)

// Guards against flows being reset because their server is full: a server at its limit of
// connections resets those of probes, and that counted as an unanswered probe.
func TestResultOfFailedProbe(t *testing.T) {
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	for name, c := range map[string]struct {
		err       error
		connected bool
		took      time.Duration
		want      reach.ProbeResult
	}{
		"no listener":               {err: dialError(syscall.ECONNREFUSED), want: reach.ConnectionRefused},
		"reset while connecting":    {err: dialError(syscall.ECONNRESET), want: reach.ConnectionReset},
		"reset after connecting":    {err: &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, connected: true, want: reach.ConnectionReset},
		"waits for a slot":          {err: os.ErrDeadlineExceeded, connected: true, took: probeTimeout, want: reach.Answered},
		"no route to the host":      {err: dialError(syscall.EHOSTUNREACH), want: reach.NoAnswer},
		"silence":                   {err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, took: probeTimeout, want: reach.NoAnswer},
		"silence, noticed too late": {err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, took: 2 * probeTimeout, want: reach.Inconclusive},
		"no descriptor":             {err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, want: reach.Inconclusive},
	} {
		if got := failedProbeResult(errors.Wrap(c.err, "Get"), c.connected, c.took); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against the same with a real connection: the listener takes it and resets it.
func TestProbeOfServerThatResetsConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	p := newProber(func(http.Header) string { return "" }, func(gateway.Event) {}, func(error) {})
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if got := p.probe(gateway.Probe{Server: "i-1", Address: address, Path: "/health"}); got != reach.ConnectionReset {
		t.Fatalf("result %s, want %s", got, reach.ConnectionReset)
	}
}
