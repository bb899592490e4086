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

// transport listens and dials over TCP, with mutual TLS if it is configured.
type transport struct {
	// files is nil if connections are not encrypted.
	files *settings.TLS

	mu sync.Mutex
	// modTime is the newest modification time of the files that config was
	// loaded from.
	modTime time.Time
	config  *tls.Config
}

// newTransport returns a transport with the certificate files, or for plain TCP
// if files is nil. It loads the files, so that a process with invalid files
// does not start.
func newTransport(files *settings.TLS) (*transport, error) {
	t := &transport{files: files}
	if files == nil {
		return t, nil
	}
	_, err := t.currentConfig()
	return t, err
}

// currentConfig returns the TLS configuration, reloaded if a file has changed.
func (t *transport) currentConfig() (*tls.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	config, err := t.reloadIfChanged()
	if err != nil && t.config != nil {
		// The files have become invalid; the certificate in use stays.
		return t.config, nil
	}
	return config, err
}

// reloadIfChanged loads the files if one has changed since they were last
// loaded.
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
		return nil, errors.Wrap(err, "tls: load certificate and key")
	}
	ca, err := os.ReadFile(t.files.ClientCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls: read client CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Newf("tls: no valid PEM certificate in client CA file %s", t.files.ClientCAFile)
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

// newestModTime returns the newest modification time of the files.
func newestModTime(files ...string) (time.Time, error) {
	var latest time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return latest, errors.Wrap(err, "tls: read modification time")
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
