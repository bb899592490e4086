package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"cuminshift/internal/config"
	"cuminshift/internal/editerr"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
)

const (
	// readTimeout bounds a read request to one entry instance.
	readTimeout = 3 * time.Second
	// editTimeout bounds an edit request to one entry instance. The instance
	// retries calls to the store and waits until step one is in force.
	editTimeout = 25 * time.Second
)

// client calls the entry instances in order until one answers. Each element of
// clients belongs to the address at the same index of entries.
type client struct {
	entries []string
	clients []cuminshiftv1connect.OperatorClient
}

// newClient returns a client of the entry instances at the addresses. It uses
// TLS if tlsConfig is not nil.
func newClient(entries []string, tlsConfig *tls.Config) *client {
	c := &client{entries: entries}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	for _, address := range entries {
		c.clients = append(c.clients, cuminshiftv1connect.NewOperatorClient(httpClient, scheme+address))
	}
	return c
}

// tlsConfig returns a configuration with the files of the TLS flags, or nil if
// none of these flags is set.
func (o *options) tlsConfig() (*tls.Config, error) {
	if o.certificate == "" && o.key == "" && o.ca == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(o.certificate, o.key)
	if err != nil {
		return nil, exitf(ExitUsage, "--tls-certificate and --tls-key: %w", err)
	}
	ca, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, exitf(ExitUsage, "--tls-ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, exitf(ExitUsage, "--tls-ca: no valid PEM certificate in %s", o.ca)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

// method is a method of the operator client, as a method expression.
type method[Req, Resp any] func(cuminshiftv1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// noAnswerError reports that no entry instance gave a final answer. errs holds
// the error of each instance, in the order of entries.
type noAnswerError struct {
	entries []string
	errs    []error
}

func (e *noAnswerError) Error() string {
	var b strings.Builder
	b.WriteString("no entry instance answered")
	for i, err := range e.errs {
		fmt.Fprintf(&b, "\n  %s: %v", e.entries[i], err)
	}
	return b.String()
}

// call sends the request to the instances in order and returns the first
// answer. An error also counts as an answer, unless another instance may give a
// better one.
func call[Req, Resp any](ctx context.Context, c *client, timeout time.Duration, req *Req, rpc method[Req, Resp]) (*Resp, error) {
	noAnswer := &noAnswerError{entries: c.entries}
	for _, instance := range c.clients {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		resp, err := rpc(instance, ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		if !shouldTryNext(err) {
			return nil, err
		}
		noAnswer.errs = append(noAnswer.errs, err)
	}
	return nil, &exitError{ExitNoAnswer, noAnswer}
}

// shouldTryNext reports whether another instance may answer after the error:
// the instance was not reached, or it did not reach the store.
func shouldTryNext(err error) bool {
	if failure := editerr.Decode(err); failure != nil {
		return failure.GetKind() == pb.EditFailure_KIND_STORE_UNAVAILABLE || failure.GetKind() == pb.EditFailure_KIND_OUTCOME_UNKNOWN
	}
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

func (c *client) config(ctx context.Context) (*pb.GetConfigResponse, error) {
	return call(ctx, c, readTimeout, &pb.GetConfigRequest{}, cuminshiftv1connect.OperatorClient.GetConfig)
}

func (c *client) status(ctx context.Context) (*pb.StatusResponse, error) {
	return call(ctx, c, readTimeout, &pb.StatusRequest{}, cuminshiftv1connect.OperatorClient.Status)
}

func (c *client) explain(ctx context.Context, subject string) (*pb.ExplainResponse, error) {
	return call(ctx, c, readTimeout, &pb.ExplainRequest{Subject: subject}, cuminshiftv1connect.OperatorClient.Explain)
}

func (c *client) burn(ctx context.Context) (*pb.BurnResponse, error) {
	return call(ctx, c, readTimeout, &pb.BurnRequest{}, cuminshiftv1connect.OperatorClient.Burn)
}

// edit sends an edit. It repeats the edit at the next instance if one does not
// answer, which is safe because instances recognise the edit id. repeated tells
// whether an earlier command sent the edit already.
func (c *client) edit(ctx context.Context, req *pb.EditRequest, repeated bool) (*pb.EditResponse, error) {
	resp, err := call(ctx, c, editTimeout, req, cuminshiftv1connect.OperatorClient.Edit)
	var noAnswer *noAnswerError
	switch {
	case errors.As(err, &noAnswer):
		return nil, editError(req.GetEditId(), repeated, noAnswer.leastCertain())
	case err != nil:
		return nil, editError(req.GetEditId(), repeated, err)
	}
	return resp, nil
}

// leastCertain returns the error that tells least about the outcome of an edit:
// an instance that was reached but did not answer may have accepted it.
func (e *noAnswerError) leastCertain() error {
	result := error(&exitError{ExitNoAnswer, e})
	for _, err := range e.errs {
		failure := editerr.Decode(err)
		var netError *net.OpError
		switch {
		case failure.GetKind() == pb.EditFailure_KIND_OUTCOME_UNKNOWN:
			return err
		case failure != nil:
			result = err
		case !errors.As(err, &netError) || netError.Op != "dial":
			return editerr.Encode(&config.OutcomeUnknownError{Cause: e})
		}
	}
	return result
}
