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
	// readTimeout bounds a read from one entry instance.
	readTimeout = 3 * time.Second
	// editTimeout bounds an edit at one entry instance, which retries the store
	// and waits for step one to be in force.
	editTimeout = 25 * time.Second
)

// client calls the entry instances in order until one answers.
type client struct {
	entries []string
	clients []cuminshiftv1connect.OperatorClient
}

// newClient uses TLS with the operator's certificate when a configuration is
// given.
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

// tlsConfig reads the files of the TLS flags; without any it returns nil.
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
		return nil, exitf(ExitUsage, "--tls-ca: %s holds no certificate", o.ca)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

type method[Req, Resp any] func(cuminshiftv1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// noAnswerError says that no entry instance gave a final answer.
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

// call returns the first answer. An error is an answer as well, unless another
// instance may do better.
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

// shouldTryNext says that an instance was not reached, or did not reach the store,
// which another instance may.
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

// edit repeats the edit at the next instance when one does not answer: the
// edit id makes that safe.
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

// leastCertain returns the error that leaves most open: an instance that was reached
// but did not answer may have accepted the edit.
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
			return editerr.Encode(&config.OutcomeUnknown{Cause: e})
		}
	}
	return result
}
