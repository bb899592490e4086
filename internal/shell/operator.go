package shell

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/metricstext"
)

const (
	// operatorTimeout bounds a request of the operator interface.
	operatorTimeout = 30 * time.Second
	// maxOperatorRequest bounds the size of a request of the operator
	// interface, in bytes. The caller and plan lists for 82,000 servers take
	// about 10 MB.
	maxOperatorRequest = 32 << 20
)

// operatorHandler serves the operator interface and /metrics.
func (sh *Shell) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cuminshiftv1connect.NewOperatorHandler(&operator{sh}, connect.WithReadMaxBytes(maxOperatorRequest)))
	mux.HandleFunc("/metrics", sh.writeMetrics)
	return http.TimeoutHandler(mux, operatorTimeout, "timeout")
}

// operator implements the Operator service.
type operator struct {
	sh *Shell
}

// Status returns the status of the instance. It asks the store whether it is
// reachable.
func (o *operator) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status := o.sh.core.Status(time.Now())
	status.StoreReachable = o.sh.checkStore(ctx)
	status.Counters["control_bytes_sent"] = o.sh.controlBytes.Sent.Load()
	status.Counters["control_bytes_received"] = o.sh.controlBytes.Received.Load()
	return connect.NewResponse(status), nil
}

// Explain returns what the instance knows about a caller, an address or a flow.
func (o *operator) Explain(_ context.Context, request *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	return connect.NewResponse(o.sh.core.Explain(time.Now(), request.Msg.GetSubject())), nil
}

// Burn returns the burn report of the instance.
func (o *operator) Burn(context.Context, *connect.Request[pb.BurnRequest]) (*connect.Response[pb.BurnResponse], error) {
	return connect.NewResponse(o.sh.core.Burn(time.Now())), nil
}

// writeMetrics serves the metrics in the Prometheus text format.
func (sh *Shell) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	registry := metrics.NewRegistry()
	status := sh.core.Status(time.Now())
	for name, value := range status.Counters {
		metrics.GetOrRegisterCounter(name, registry).Inc(int64(value))
	}
	metrics.GetOrRegisterCounter("control_bytes_sent", registry).Inc(int64(sh.controlBytes.Sent.Load()))
	metrics.GetOrRegisterCounter("control_bytes_received", registry).Inc(int64(sh.controlBytes.Received.Load()))
	metrics.GetOrRegisterGauge("config_version", registry).Update(int64(status.ConfigVersion))
	metrics.GetOrRegisterGauge("state_generation", registry).Update(int64(status.Generation))
	metrics.GetOrRegisterGauge("live_instances", registry).Update(int64(len(status.Instances)))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := metricstext.Write(w, registry); err != nil {
		sh.log.Debug("operator: writing metrics failed", zap.Error(err))
	}
	if err := metricstext.Write(w, sh.core.Metrics()); err != nil {
		sh.log.Debug("operator: writing metrics failed", zap.Error(err))
	}
}
