// Package gatewayshell runs the core of package gateway with sockets, timers and
// goroutines. It makes no decisions on packets: it passes datagrams, responses and
// ticks to the core as packets and events, and performs the actions that the core
// returns.
//
// The data of the platform's store comes from calls to the store or from the
// instance that this one follows; see package upstream. The protocol between an
// instance and its followers is the feed.
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
	// freshFraction is the fraction of the time within which a configuration has
	// to take effect during which data counts as current.
	freshFraction = 0.9
	// packetWorkers is the number of goroutines that read the packet socket.
	// Instances have one CPU core; a second worker runs while the first waits
	// for the lock of the gateway core.
	packetWorkers = 2
	// packetBufferBytes is the requested size of each of the packet socket's
	// buffers. It holds half a second of packets at 1,000 openings a second with
	// 2 KB each.
	packetBufferBytes = 1 << 20
	// maxPacketBytes exceeds the size of the largest packet of a caller.
	maxPacketBytes = 2048
	// omittedReportInterval is the time between two reports of omitted log lines.
	omittedReportInterval = 10 * time.Second
	// stopQuietPeriod is the time without a packet that ends a planned stop. It
	// is two intervals of the readiness checks by the fabric, the platform's
	// network, which spreads the callers' packets over the ready instances.
	stopQuietPeriod = time.Second
	// minStopDuration is the shortest duration of a planned stop. The fabric
	// moves the traffic away after two missed checks, which are 500 ms apart.
	minStopDuration = 1500 * time.Millisecond
	// stopReserve is the part of the grace period that is left for the shutdown
	// after the planned stop.
	stopReserve = 700 * time.Millisecond
)

// Codec decodes and encodes the platform's packets.
type Codec interface {
	Decode(b []byte, s *flow.Segment) error
	AppendForward(out, b []byte, fence uint64, t token.Token) []byte
	AppendReset(out []byte, k flow.Key, ack uint32) []byte
}

// Adapter connects the shell to the platform.
type Adapter struct {
	Codec Codec
	// Connect returns clients of the store for the sources and for the directory
	// in which the instances register.
	Connect func(*Settings) (source.Store, upstream.Directory)
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
	// LogDropped returns the number of dropped log lines; nil when it is not
	// known.
	LogDropped func() int64
	// ServerName returns the name of the server that sent a health response.
	ServerName func(http.Header) string
}

// Shell runs one instance.
type Shell struct {
	// settings are the settings at the start. Those that a reload can change are
	// read from reloadable.
	settings   *Settings
	reloadable atomic.Pointer[reloadable]
	adapter    Adapter
	log        *decisionLog
	core       *gateway.Core
	packets    *net.UDPConn
	counters   *counters
	burn       *burnRecorder
	probes     *prober
	// packetHold is maxPacketHold; tests set another value.
	packetHold time.Duration
	// lastPacket is the time of the last packet, for the end of a planned stop.
	lastPacket atomicTime
	stopping   atomic.Bool
	// storeFailed is set once a call to the store has failed, storeAnswered once one
	// has succeeded.
	storeFailed, storeAnswered atomic.Bool

	// era is the latest era of the store in any answer.
	era *eraMonitor
	// keeping is set while a configuration that the store has lost is stored.
	keeping atomic.Bool

	// fleetSize is the number of registered instances, rank the position of this
	// one among them in the order of their registrations, from 0.
	fleetSize, rank atomic.Int32
	// fleetMu guards fleet. It is acquired last.
	fleetMu sync.Mutex
	fleet   upstream.FleetSize

	feed      *Feed
	feedBytes rpcframe.ByteCounters
	// upstreamMu guards upstream. It is acquired before the core's lock.
	upstreamMu sync.Mutex
	upstream   upstream.Selector
	// followed is the name of the followed instance; empty when there is none.
	followed atomic.Pointer[model.InstanceID]
	// upstreamDecided is closed once this instance follows another one, or is
	// registered and has none to follow.
	upstreamDecided     chan struct{}
	upstreamDecidedOnce sync.Once
	// upstreamLost has a value for each source when there is no instance left to
	// follow.
	upstreamLost [source.NumKinds]chan struct{}
	// needFullConfiguration is set when the next request to the followed instance
	// has to request a complete configuration instead of the differences.
	needFullConfiguration atomic.Bool
}

// Run serves until ctx ends, then performs a planned stop.
func Run(ctx context.Context, s *Settings, adapter Adapter, log *zap.Logger) error {
	sh := &Shell{settings: s, adapter: adapter, log: newDecisionLog(log), counters: newCounters(), burn: newBurnRecorder(),
		upstreamDecided: make(chan struct{}), packetHold: maxPacketHold, era: newEraMonitor()}
	sh.core = gateway.New(gateway.Config{
		DataCentre:   s.DataCentre,
		MaxStaleness: time.Duration(freshFraction * float64(s.Bounds[source.Configuration])),
		FlowLifetime: s.FlowLifetime,
		ColdSlack:    s.ColdSlack,
		Instances:    max(1, len(s.SeedAddresses)),
		// The settings give Mbit/s.
		LinkBandwidth: float64(s.Bandwidth) * 1e6,
	})
	for k := range sh.upstreamLost {
		sh.upstreamLost[k] = make(chan struct{}, 1)
	}
	sh.feed = newFeed(sh)
	sh.applySettings(s)
	sh.probes = newProber(adapter.ServerName, func(e gateway.Event) { sh.handleEvent(e) }, func(err error) { sh.log.warn("probe not sent", err) })
	return sh.run(ctx)
}

func (sh *Shell) run(ctx context.Context) error {
	// serveCtx outlives ctx, since packets are still forwarded during a planned
	// stop.
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
	group.Go(func() error { sh.renewRegistrations(serveCtx); return nil })
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
		sh.log.warn("cannot set the receive buffer of the packet socket", err)
	}
	if err := sh.packets.SetWriteBuffer(packetBufferBytes); err != nil {
		sh.log.warn("cannot set the send buffer of the packet socket", err)
	}
}

// plannedStop makes the readiness check fail, and keeps forwarding until the
// fabric has moved the traffic to other instances.
func (sh *Shell) plannedStop(serveCtx context.Context) {
	begin := time.Now()
	sh.stopping.Store(true)
	sh.feed.notify()
	sh.handleEvent(gateway.StopRequested{})
	sh.log.stopping()
	for {
		select {
		case <-serveCtx.Done():
			return
		case <-time.After(gateway.TickInterval):
		}
		elapsed := time.Since(begin)
		quiet := time.Since(sh.lastPacket.load()) >= stopQuietPeriod
		if elapsed >= sh.settings.StopGrace-stopReserve || (elapsed >= minStopDuration && quiet) {
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

// handleEvent passes an event to the core and performs the resulting actions.
func (sh *Shell) handleEvent(e gateway.Event) {
	sh.perform(sh.core.HandleEvent(time.Now(), e))
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
		case gateway.StateChange:
			sh.log.stateChanged(a)
		}
	}
}
