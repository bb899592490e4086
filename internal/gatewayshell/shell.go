// Package gatewayshell gives the gateway core its sockets, timers and
// goroutines. It takes no decision: it turns datagrams, responses and ticks
// into packets and events and carries out what comes back.
package gatewayshell

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cuminshift/internal/flow"
	"cuminshift/internal/gateway"
	"cuminshift/internal/model"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/source"
	"cuminshift/internal/token"
	"cuminshift/internal/upstream"
)

const (
	// freshFraction is the part of the time for a configuration to come into
	// force during which knowledge counts as current.
	freshFraction = 0.9
	// packetWorkers read the packet socket. Instances have one core; a second
	// worker takes over while the first waits for the core's lock.
	packetWorkers = 2
	// packetBufferBytes is the requested size of the packet socket's buffers: half
	// a second of 1,000 openings with 2 KB each.
	packetBufferBytes = 1 << 20
	// maxPacketBytes is more than the largest packet of a caller.
	maxPacketBytes = 2048
	// omittedReportInterval is the time between two reports of omitted log lines.
	omittedReportInterval = 10 * time.Second
	// stopQuietPeriod ends a planned stop when no packet came for this long: two
	// intervals of the fabric's readiness checks.
	stopQuietPeriod = time.Second
	// minStopDuration is the shortest planned stop: the fabric takes two missed checks
	// of 500 ms to move the traffic away.
	minStopDuration = 1500 * time.Millisecond
	// stopReserve is the part of the grace time that is left for the end.
	stopReserve = 700 * time.Millisecond
)

// Codec translates packets.
type Codec interface {
	Decode(b []byte, s *flow.Segment) error
	AppendForward(out, b []byte, fence uint64, t token.Token) []byte
	AppendReset(out []byte, k flow.Key, ack uint32) []byte
}

// Adapter are what the platform's adapter provides.
type Adapter struct {
	Codec Codec
	// Connect returns clients of the store: of what an instance follows, and of
	// the directory where the instances find each other.
	Connect func(*Settings) (source.Store, upstream.Directory)
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// LogDropped returns the number of log lines that were dropped; nil when it
	// is not known.
	LogDropped func() int64
	// ServerName returns the name of the server that sent a health response.
	ServerName func(http.Header) string
}

// Shell runs one instance.
type Shell struct {
	// settings are those of the start; what a reload changes is in live.
	settings   *Settings
	reloadable atomic.Pointer[reloadable]
	adapter    Adapter
	log        *decisionLog
	core       *gateway.Core
	packets    *net.UDPConn
	counters   *counters
	burn       *burnRecorder
	probes     *prober
	// lastPacket is the time of the last packet, for the planned stop.
	lastPacket atomicTime
	stopping   atomic.Bool
	// storeFailed is set by the first call that failed.
	storeFailed atomic.Bool

	// fleetSize is the number of registered instances, rank the place of this one
	// among them.
	fleetSize, rank atomic.Int32
	feed            *Feed
	feedBytes       rpcframe.Counters
	// upstreamMu guards upstream and followed. It is taken before the core's
	// lock.
	upstreamMu sync.Mutex
	upstream   upstream.Selector
	followed   atomic.Pointer[model.InstanceID]
	// needFullConfiguration asks the followed instance for a whole configuration.
	needFullConfiguration atomic.Bool
}

// Run serves until ctx ends, then makes a planned stop.
func Run(ctx context.Context, s *Settings, adapter Adapter, log *zap.Logger) error {
	sh := &Shell{settings: s, adapter: adapter, log: newDecisionLog(log), counters: newCounters(), burn: newBurnRecorder()}
	sh.core = gateway.New(gateway.Config{
		DataCentre:   s.DataCentre,
		FreshFor:     time.Duration(freshFraction * float64(s.Bounds[source.Configuration])),
		FlowLifetime: s.FlowLifetime,
		ColdSlack:    s.ColdSlack,
		Instances:    max(1, len(s.SeedAddresses)),
	})
	sh.feed = newFeed(sh)
	sh.applySettings(s)
	sh.probes = newProber(adapter.ServerName, func(e gateway.Event) { sh.handleEvent(e) }, func(err error) { sh.log.warn("probe", err) })
	return sh.run(ctx)
}

func (sh *Shell) run(ctx context.Context) error {
	// serveCtx outlives ctx: a planned stop still moves packets.
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var err error
	sh.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(sh.settings.PacketAddress))
	if err != nil {
		return errors.Wrap(err, "gateway: listen for packets")
	}
	sh.setBuffers()
	ready, err := net.Listen("tcp4", sh.settings.ReadyAddress.String())
	if err != nil {
		return errors.Wrap(err, "gateway: listen for readiness checks")
	}
	group, serveCtx := errgroup.WithContext(serveCtx)
	for k := range source.Kind(source.NumKinds) {
		group.Go(func() error { sh.watchSource(serveCtx, k); return nil })
	}
	for range packetWorkers {
		group.Go(func() error { return sh.readPackets(serveCtx) })
	}
	group.Go(func() error { sh.tick(serveCtx); return nil })
	group.Go(func() error { sh.reloadSettings(serveCtx); return nil })
	group.Go(func() error { return sh.serveFeed(serveCtx) })
	group.Go(func() error { sh.followUpstream(serveCtx); return nil })
	group.Go(func() error { return sh.serveReady(serveCtx, ready) })
	sh.log.started(sh.settings)

	select {
	case <-ctx.Done():
		sh.plannedStop(serveCtx)
	case <-serveCtx.Done():
	}
	stop()
	sh.packets.Close()
	err = group.Wait()
	sh.log.stopped(err)
	return err
}

func (sh *Shell) setBuffers() {
	if err := sh.packets.SetReadBuffer(packetBufferBytes); err != nil {
		sh.log.warn("packet socket: receive buffer", err)
	}
	if err := sh.packets.SetWriteBuffer(packetBufferBytes); err != nil {
		sh.log.warn("packet socket: send buffer", err)
	}
}

// plannedStop reports not ready and forwards on until the fabric has moved the
// traffic to other instances.
func (sh *Shell) plannedStop(serving context.Context) {
	begin := time.Now()
	sh.stopping.Store(true)
	sh.feed.notify()
	sh.handleEvent(gateway.StopRequested{})
	sh.log.stopping()
	for {
		select {
		case <-serving.Done():
			return
		case <-time.After(gateway.TickInterval):
		}
		passed := time.Since(begin)
		quiet := time.Since(sh.lastPacket.load()) >= stopQuietPeriod
		if passed >= sh.settings.StopGrace-stopReserve || (passed >= minStopDuration && quiet) {
			return
		}
	}
}

func (sh *Shell) tick(ctx context.Context) {
	ticker := time.NewTicker(gateway.TickInterval)
	defer ticker.Stop()
	omitted := time.NewTicker(omittedReportInterval)
	defer omitted.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sh.handleEvent(gateway.Tick{})
		case <-omitted.C:
			sh.log.reportOmitted()
		}
	}
}

// handleEvent passes an event to the core and carries out the actions.
func (sh *Shell) handleEvent(e gateway.Event) {
	sh.perform(sh.core.Handle(time.Now(), e))
}

func (sh *Shell) perform(actions []gateway.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gateway.Probe:
			sh.counters.probes.Inc(1)
			sh.probes.start(a)
		case gateway.Refresh:
			go sh.refreshSource(a.Kind)
		case gateway.ResetFlow:
			sh.sendReset(a.Flow, a.Ack)
			sh.burn.recordReset(time.Now(), &a)
			sh.log.flowReset(a)
		case gateway.Note:
			sh.log.stateChanged(a)
		}
	}
}
