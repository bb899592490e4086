// Package storeclient is a client of the object store that the platform (the
// environment that runs the instances) provides. Each call has a deadline, and the type of an error tells whether a write may have taken effect.
package storeclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
)

const (
	// DefaultTimeout is the default timeout of a call. The store normally responds
	// within milliseconds; 1 s leaves time for several attempts within the 6 s of
	// an edit.
	DefaultTimeout = time.Second
	// maxResponseBytes is the store's limit of 1 MB for a value, plus room for
	// framing.
	maxResponseBytes = 1<<20 + 4<<10
	// maxIdleConns bounds the idle connections to the store.
	maxIdleConns = 4
)

// VersionMismatchError reports that the object's version differs from the one in
// the condition of a write.
type VersionMismatchError struct{ Key string }

func (e *VersionMismatchError) Error() string { return "store: version mismatch on " + e.Key }

// UnavailableError reports that a call failed without effect: it did not reach the
// store, or was a read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("store: unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that a write failed but may have taken effect.
type OutcomeUnknownError struct{ Cause error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store: outcome of write unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Client is a client of the object store. It is safe for concurrent use.
type Client struct {
	rpc     cuminshiftv1connect.ObjectStoreClient
	http    *http.Client
	timeout time.Duration
}

// New returns a client for the store at the base URL. The timeout applies to each
// call; 0 means DefaultTimeout.
func New(baseURL string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	httpClient := &http.Client{Transport: transport}
	return &Client{
		rpc:     cuminshiftv1connect.NewObjectStoreClient(httpClient, baseURL, connect.WithReadMaxBytes(maxResponseBytes)),
		http:    httpClient,
		timeout: timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object and its version; version 0 means that it does not exist.
func (c *Client) Get(ctx context.Context, key string) (value []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.rpc.Get(ctx, connect.NewRequest(&pb.GetRequest{Key: key}))
	if err != nil {
		return nil, 0, c.readError(err)
	}
	return resp.Msg.GetValue(), resp.Msg.GetVersion(), nil
}

// Put writes an object and returns its new version. If ifVersion is not nil, the
// write is conditional on the object having that version; 0 requires that the
// object does not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.rpc.Put(ctx, connect.NewRequest(&pb.PutRequest{Key: key, Value: value, IfVersion: ifVersion}))
	if err != nil {
		return 0, c.writeError(key, err)
	}
	return resp.Msg.GetVersion(), nil
}

// Watch waits until the version of the object is above after, for at most wait, and
// returns the object as it is then.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	resp, err := c.rpc.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Key: key, AfterVersion: after, WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return nil, 0, c.readError(err)
	}
	return resp.Msg.GetValue(), resp.Msg.GetVersion(), nil
}

func (c *Client) readError(err error) error {
	c.closeIdleAfterTimeout(err)
	return &UnavailableError{Cause: err}
}

func (c *Client) writeError(key string, err error) error {
	c.closeIdleAfterTimeout(err)
	switch {
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return &VersionMismatchError{Key: key}
	case connectFailed(err):
		return &UnavailableError{Cause: err}
	}
	return &OutcomeUnknownError{Cause: err}
}

// closeIdleAfterTimeout closes idle connections if err is a timeout. A connection on
// which a call timed out may be dead although new connections work, so the next call
// has to dial again.
func (c *Client) closeIdleAfterTimeout(err error) {
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		c.http.CloseIdleConnections()
	}
}

// connectFailed reports whether err means that no connection was established, so
// that a write cannot have taken effect. After any other error it may have.
func connectFailed(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
