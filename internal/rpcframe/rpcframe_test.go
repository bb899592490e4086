package rpcframe

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Echo returns its argument.
type Echo struct{}

func (Echo) Call(in Frame, out *Frame) error {
	out.Payload = in.Payload
	return nil
}

// shortListener fails to accept while failing is set, like a process that has no
// descriptors left.
type shortListener struct {
	net.Listener
	failing atomic.Bool
	// accepting counts the calls that wait, or have waited, for a connection.
	accepting atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	l.accepting.Add(1)
	return l.Listener.Accept()
}

// Guards against a process that ends, or a loop without a pause, because the process has no
// descriptors left for a while.
func TestServeOutlastsErrorsOfAccept(t *testing.T) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &shortListener{Listener: tcp}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var failures atomic.Int32
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, listener, Echo{}, nil, func(err error) {
			if !errors.Is(err, syscall.EMFILE) {
				t.Error(err)
			}
			failures.Add(1)
		})
	}()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	call := func(c *Client) error {
		_, err := c.Call(ctx, tcp.Addr().String(), "Echo.Call", []byte("x"), 3*time.Second)
		return err
	}
	open, pending, later := &Client{Dial: dial, DialTimeout: time.Second}, &Client{Dial: dial, DialTimeout: time.Second}, &Client{Dial: dial, DialTimeout: time.Second}
	for _, c := range []*Client{open, pending, later} {
		defer c.Close()
	}
	if err := call(open); err != nil {
		t.Fatal(err)
	}
	for listener.accepting.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	listener.failing.Store(true)
	// The call of accept that waits already takes this connection.
	if err := call(pending); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-served:
		t.Fatalf("ended: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	if err := call(open); err != nil {
		t.Errorf("call on an open connection: %v", err)
	}
	if n := failures.Load(); n == 0 || n > 10 {
		t.Errorf("%d attempts to accept in 500 ms", n)
	}
	listener.failing.Store(false)
	if err := call(later); err != nil {
		t.Errorf("call after the shortage: %v", err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

func TestServeEndsWhenListenerIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if err := Serve(t.Context(), listener, Echo{}, nil, func(error) {}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}
