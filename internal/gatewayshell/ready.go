package gatewayshell

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readyTimeout bounds the reading of the header of one readiness check. A check
// comes twice a second.
const readyTimeout = 2 * time.Second

// serveReady answers the fabric's readiness checks and serves the metrics
// and the burn report.
func (sh *Shell) serveReady(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc(sh.adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !sh.core.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/metrics", sh.serveMetrics)
	mux.HandleFunc("/burn", sh.serveBurn)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readyTimeout}
	go func() {
		<-ctx.Done()
		if err := server.Close(); err != nil {
			sh.log.warn("cannot close the server of readiness checks", err)
		}
	}()
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "gateway: serve readiness checks")
	}
	return nil
}
