// Package rpcframe calls and serves net/rpc methods whose argument and reply
// are encoded messages. net/rpc has no deadlines. Here each call has a timeout;
// a connection on which a call timed out is closed, and the next call dials
// again.
package rpcframe

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Frame carries one encoded message. The field name is part of the protocol,
// since gob sends it.
type Frame struct {
	Payload []byte
}

// ErrTimeout reports that a call got no reply within its timeout.
var ErrTimeout = errors.New("rpc: call timed out")

// Client calls methods over one connection. It is not safe for concurrent use.
type Client struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds Dial.
	DialTimeout time.Duration

	client  *rpc.Client
	address string
}

// Call calls a method at an address and returns the payload of the reply. An
// open connection to another address is closed. An error that the method
// returns is an rpc.ServerError and leaves the connection open; any other error
// closes it.
func (c *Client) Call(ctx context.Context, address, method string, payload []byte, timeout time.Duration) ([]byte, error) {
	if err := c.connect(ctx, address); err != nil {
		return nil, err
	}
	var reply Frame
	call := c.client.Go(method, Frame{payload}, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			var serverError rpc.ServerError
			if !errors.As(call.Error, &serverError) {
				c.Close()
			}
			return nil, errors.Wrapf(call.Error, "rpc: %s", method)
		}
		return reply.Payload, nil
	case <-timer.C:
		c.Close()
		return nil, errors.Wrapf(ErrTimeout, "%s at %s", method, address)
	case <-ctx.Done():
		c.Close()
		return nil, errors.Wrap(ctx.Err(), "rpc: call cancelled")
	}
}

// connect dials the address unless the client is connected to it.
func (c *Client) connect(ctx context.Context, address string) error {
	if c.client != nil && c.address == address {
		return nil
	}
	c.Close()
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "rpc: dial %s", address)
	}
	c.client, c.address = rpc.NewClient(conn), address
	return nil
}

// Close closes the connection, if there is one. It ignores the error, since the
// connection is abandoned in any case.
func (c *Client) Close() {
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

// ByteCounters counts the bytes sent and received on connections.
type ByteCounters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Wrap returns a connection that counts its bytes in c.
func (c *ByteCounters) Wrap(conn net.Conn) net.Conn { return &countingConn{Conn: conn, counters: c} }

type countingConn struct {
	net.Conn
	counters *ByteCounters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.Received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.Sent.Add(uint64(n))
	return n, err
}

const (
	// firstAcceptDelay is the pause after the first error of accept. It doubles with
	// each further one up to maxAcceptDelay.
	firstAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay   = time.Second
)

// Serve serves the methods of the receiver on a listener until ctx ends or the listener
// is closed. wrap, if not nil, is applied to each connection. Other errors of accept, such
// as a lack of descriptors, pass: they are reported to acceptFailed, and open connections
// are served meanwhile.
func Serve(ctx context.Context, listener net.Listener, receiver any, wrap func(net.Conn) net.Conn, acceptFailed func(error)) error {
	server := rpc.NewServer()
	if err := server.Register(receiver); err != nil {
		return errors.Wrap(err, "rpc: register")
	}
	var open openConns
	go func() {
		<-ctx.Done()
		listener.Close()
		open.closeAll()
	}()
	var delay time.Duration
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "rpc: accept")
		case err != nil:
			acceptFailed(errors.Wrap(err, "rpc: accept"))
			delay = min(max(2*delay, firstAcceptDelay), maxAcceptDelay)
			sleep(ctx, delay)
			continue
		}
		delay = 0
		open.add(conn)
		go func() {
			wrapped := conn
			if wrap != nil {
				wrapped = wrap(conn)
			}
			server.ServeConn(wrapped)
			open.remove(conn)
		}()
	}
}

// sleep sleeps for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// openConns is the set of open connections, which are closed when ctx ends.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (o *openConns) add(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = map[net.Conn]struct{}{}
	}
	o.conns[c] = struct{}{}
}

func (o *openConns) remove(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		c.Close()
	}
}
