package shell

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cuminshift/internal/settings"
)

// transport listens and dials, with mutual TLS when it is configured.
type transport struct {
	files *settings.TLS

	mu      sync.Mutex
	modTime time.Time
	config  *tls.Config
}

// newTransport checks the certificate files once, so that a process refuses to
// start on bad ones; nil settings mean plain TCP.
func newTransport(files *settings.TLS) (*transport, error) {
	t := &transport{files: files}
	if files == nil {
		return t, nil
	}
	_, err := t.currentConfig()
	return t, err
}

// currentConfig returns the configuration, reloaded when a file has changed.
func (t *transport) currentConfig() (*tls.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	config, err := t.reloadIfChanged()
	if err != nil && t.config != nil {
		// Broken files while running: the certificate in use stays.
		return t.config, nil
	}
	return config, err
}

// reloadIfChanged reads the files when one has changed.
func (t *transport) reloadIfChanged() (*tls.Config, error) {
	modTime, err := newestModTime(t.files.CertificateFile, t.files.KeyFile, t.files.ClientCAFile)
	if err != nil {
		return nil, err
	}
	if t.config != nil && !modTime.After(t.modTime) {
		return t.config, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.files.CertificateFile, t.files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls: load certificate")
	}
	ca, err := os.ReadFile(t.files.ClientCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls: load client CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Newf("tls: no certificate in %s", t.files.ClientCAFile)
	}
	t.modTime = modTime
	t.config = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}
	return t.config, nil
}

func newestModTime(files ...string) (time.Time, error) {
	var latest time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return latest, errors.Wrap(err, "tls: stat")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (t *transport) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || t.files == nil {
		return listener, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return t.currentConfig()
	}}
	return tls.NewListener(listener, config), nil
}

func (t *transport) dial(ctx context.Context, address string) (net.Conn, error) {
	if t.files == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	config, err := t.currentConfig()
	if config == nil {
		return nil, err
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
}
