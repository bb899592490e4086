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
	// freshShare is the part of the time for a configuration to come into
	// force during which knowledge counts as current.
	freshShare = 0.9
	// packetWorkers read the packet socket. Instances have one core; a second
	// worker takes over while the first waits for the core's lock.
	packetWorkers = 2
	// packetBuffer is the requested size of the packet socket's buffers: half
	// a second of 1,000 openings with 2 KB each.
	packetBuffer = 1 << 20
	// maxPacket is more than the largest packet of a caller.
	maxPacket = 2048
	// omittedInterval is the time between two reports of omitted log lines.
	omittedInterval = 10 * time.Second
	// stopQuiet ends a planned stop when no packet came for this long: two
	// intervals of the fabric's readiness checks.
	stopQuiet = time.Second
	// stopMin is the shortest planned stop: the fabric takes two missed checks
	// of 500 ms to move the traffic away.
	stopMin = 1500 * time.Millisecond
	// stopReserve is the part of the grace time that is left for the end.
	stopReserve = 700 * time.Millisecond
)

// Codec translates packets.
type Codec interface {
	Decode(b []byte, s *flow.Segment) error
	AppendForward(out, b []byte, fence uint64, t token.Token) []byte
	AppendReset(out []byte, k flow.Key, ack uint32) []byte
}

// Parts are what the platform's adapter provides.
type Parts struct {
	Codec Codec
	// Connect returns clients of the store: of what an instance follows, and of
	// the directory where the instances find each other.
	Connect func(*Settings) (source.Store, upstream.Directory)
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// LogDropped returns the number of log lines that were dropped; nil when it
	// is not known.
	LogDropped func() int64
	// Identity returns the name of the server that sent a health response.
	Identity func(http.Header) string
}

// Shell runs one instance.
type Shell struct {
	// settings are those of the start; what a reload changes is in live.
	settings *Settings
	live     atomic.Pointer[live]
	parts    Parts
	log      *decisionLog
	core     *gateway.Core
	packets  *net.UDPConn
	counters *counters
	burn     *burnBook
	probes   *prober
	// lastPacket is the time of the last packet, for the planned stop.
	lastPacket atomicTime
	stopping   atomic.Bool
	// storeFailed is set by the first call that failed.
	storeFailed atomic.Bool

	// fleet is the number of registered instances, rank the place of this one
	// among them.
	fleet, rank atomic.Int32
	feed        *Feed
	feedBytes   rpcframe.ByteCounters
	// upstreamMu guards upstream and followed. It is taken before the core's
	// lock.
	upstreamMu sync.Mutex
	upstream   upstream.Upstream
	followed   atomic.Pointer[model.InstanceID]
	// askWhole asks the followed instance for a whole configuration.
	askWhole atomic.Bool
}

// Run serves until ctx ends, then makes a planned stop.
func Run(ctx context.Context, s *Settings, parts Parts, log *zap.Logger) error {
	sh := &Shell{settings: s, parts: parts, log: newDecisionLog(log), counters: newCounters(), burn: newBurnBook()}
	sh.core = gateway.New(gateway.Config{
		DataCentre:   s.DataCentre,
		MaxStaleness: time.Duration(freshShare * float64(s.Bounds[source.Configuration])),
		FlowLifetime: s.FlowLifetime,
		ColdSlack:    s.ColdSlack,
		Instances:    max(1, len(s.SeedAddresses)),
	})
	sh.feed = newFeed(sh)
	sh.apply(s)
	sh.probes = newProber(parts.Identity, func(e gateway.Event) { sh.handle(e) }, func(err error) { sh.log.failed("probe", err) })
	return sh.run(ctx)
}

func (sh *Shell) run(ctx context.Context) error {
	// serving outlives ctx: a planned stop still moves packets.
	serving, stop := context.WithCancel(context.Background())
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
	group, serving := errgroup.WithContext(serving)
	for k := range source.Kind(source.Kinds) {
		group.Go(func() error { sh.follow(serving, k); return nil })
	}
	for range packetWorkers {
		group.Go(func() error { return sh.readPackets(serving) })
	}
	group.Go(func() error { sh.tick(serving); return nil })
	group.Go(func() error { sh.reload(serving); return nil })
	group.Go(func() error { return sh.serveFeed(serving) })
	group.Go(func() error { sh.followInstances(serving); return nil })
	group.Go(func() error { return sh.serveReady(serving, ready) })
	sh.log.started(sh.settings)

	select {
	case <-ctx.Done():
		sh.plannedStop(serving)
	case <-serving.Done():
	}
	stop()
	sh.packets.Close()
	err = group.Wait()
	sh.log.stopped(err)
	return err
}

func (sh *Shell) setBuffers() {
	if err := sh.packets.SetReadBuffer(packetBuffer); err != nil {
		sh.log.failed("packet socket: receive buffer", err)
	}
	if err := sh.packets.SetWriteBuffer(packetBuffer); err != nil {
		sh.log.failed("packet socket: send buffer", err)
	}
}

// plannedStop reports not ready and forwards on until the fabric has moved the
// traffic to other instances.
func (sh *Shell) plannedStop(serving context.Context) {
	begin := time.Now()
	sh.stopping.Store(true)
	sh.feed.notify()
	sh.handle(gateway.StopRequested{})
	sh.log.stopping()
	for {
		select {
		case <-serving.Done():
			return
		case <-time.After(gateway.TickInterval):
		}
		passed := time.Since(begin)
		quiet := time.Since(sh.lastPacket.load()) >= stopQuiet
		if passed >= sh.settings.StopGrace-stopReserve || (passed >= stopMin && quiet) {
			return
		}
	}
}

func (sh *Shell) tick(ctx context.Context) {
	ticker := time.NewTicker(gateway.TickInterval)
	defer ticker.Stop()
	omitted := time.NewTicker(omittedInterval)
	defer omitted.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sh.handle(gateway.Tick{})
		case <-omitted.C:
			sh.log.reportOmitted()
		}
	}
}

// handle passes an event to the core and carries out the actions.
func (sh *Shell) handle(e gateway.Event) {
	sh.do(sh.core.HandleEvent(time.Now(), e))
}

func (sh *Shell) do(actions []gateway.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gateway.Probe:
			sh.counters.probes.Inc(1)
			sh.probes.start(a)
		case gateway.Refresh:
			go sh.refresh(a.Kind)
		case gateway.ResetFlow:
			sh.sendReset(a.Flow, a.Ack)
			sh.burn.givenUp(time.Now(), &a)
			sh.log.reset(a)
		case gateway.StateChange:
			sh.log.note(a)
		}
	}
}
