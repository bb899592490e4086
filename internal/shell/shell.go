// Package shell runs the entry core with sockets, timers and goroutines. It
// makes no decisions: it passes datagrams, calls and ticks to the core as
// events and carries out the actions that the core returns.
package shell

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cuminshift/internal/entry"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/packet"
	"cuminshift/internal/rpcframe"
	"cuminshift/internal/settings"
)

// Shell connects the core of one entry instance to the network and the clock.
type Shell struct {
	settings *settings.Settings
	log      *zap.Logger
	core     *entry.Core
	clients  *clients
	// controlBytes counts the bytes exchanged with peers.
	controlBytes rpcframe.ByteCounters
	// callerConn is the socket at the packet address, for packets of callers
	// and of other instances.
	callerConn *net.UDPConn
	paths      *pathSet
	peers      *peerSet
	// stopped is closed, once, when the core has completed a planned stop.
	stopped  chan struct{}
	stopOnce sync.Once
}

// Run serves until ctx ends, then performs a planned stop.
func Run(ctx context.Context, s *settings.Settings, log *zap.Logger) error {
	sh := &Shell{settings: s, log: log, stopped: make(chan struct{})}
	sh.core = entry.New(coreConfig(s, time.Now()))
	return sh.run(ctx)
}

func coreConfig(s *settings.Settings, now time.Time) entry.Config {
	return entry.Config{
		Self:              s.Instance,
		DataCentre:        s.DataCentre,
		Incarnation:       uint64(now.UnixNano()),
		PeerAddress:       s.PeerAddress.String(),
		PacketAddress:     s.PacketAddress,
		Started:           now,
		HeartbeatInterval: s.Heartbeat,
		Lease:             s.Lease,
		DeadAfter:         s.DeadAfter,
		FlowIdleTimeout:   s.FlowIdleTimeout,
		Seed:              uint64(now.UnixNano()),
	}
}

func (sh *Shell) run(ctx context.Context) error {
	// serveCtx outlives ctx, since packets are still forwarded during a planned
	// stop.
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	tcp, err := newTransport(sh.settings.TLS)
	if err != nil {
		return err
	}
	sh.clients = newClients(sh.settings, sh.log)
	peerListener, err := tcp.listen(sh.settings.PeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "peer: listen")
	}
	operatorListener, err := tcp.listen(sh.settings.OperatorAddress.String())
	if err != nil {
		return errors.Wrap(err, "operator: listen")
	}
	sh.callerConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(sh.settings.PacketAddress))
	if err != nil {
		return errors.Wrap(err, "entry: listen")
	}
	setSocketBuffers(sh.callerConn)
	sh.peers = newPeerSet(serveCtx, sh.log, &sh.controlBytes, tcp.dial)
	sh.paths, err = newPathSet(sh.settings.PacketAddress.Addr(), sh.log, sh.readServerPackets)
	if err != nil {
		return err
	}

	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error {
		return servePeers(serveCtx, peerListener, sh.handlePeerBatch, &sh.controlBytes, func(err error) {
			sh.log.Warn("peer: cannot accept a connection, retrying", zap.Error(err))
		})
	})
	for i := 0; i < sh.settings.Workers; i++ {
		group.Go(func() error { sh.readCallerPackets(serveCtx); return nil })
	}
	group.Go(func() error { sh.runTicks(serveCtx); return nil })
	group.Go(func() error { sh.pollInstanceList(serveCtx); return nil })
	group.Go(func() error { sh.readStore(serveCtx); return nil })
	group.Go(func() error { sh.pollHealthEndpoints(serveCtx); return nil })
	server := &http.Server{Handler: sh.operatorHandler(), ReadHeaderTimeout: operatorTimeout, ReadTimeout: operatorTimeout, ErrorLog: stdLog(sh.log)}
	group.Go(func() error {
		if err := server.Serve(operatorListener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator: serve")
		}
		return nil
	})
	sh.log.Info("entry: serving", zap.String(logInstance, string(sh.settings.Instance)), zap.String(logAddress, sh.settings.PacketAddress.String()))

	select {
	case <-ctx.Done():
		sh.log.Info("entry: leaving, planned stop")
		sh.handle(entry.LeaveRequested{})
		select {
		case <-sh.stopped:
		case <-time.After(leaveTimeout):
			sh.log.Warn("entry: planned stop timed out")
		case <-serveCtx.Done():
		}
	case <-serveCtx.Done():
	}
	stopServing()
	server.Close()
	sh.callerConn.Close()
	sh.paths.close()
	err = group.Wait()
	sh.log.Info("entry: stopped")
	return err
}

// leaveTimeout bounds the duration of a planned stop.
const leaveTimeout = 30 * time.Second

// stdLog returns a logger for the HTTP server of the operator interface. It
// writes to log with the prefix "operator: ".
func stdLog(log *zap.Logger) *stdlog.Logger {
	l := zap.NewStdLog(log)
	l.SetPrefix("operator: ")
	return l
}

// readCallerPackets receives datagrams from callers and other instances. Data
// packets of open flows take the fast path; all others are copied and become
// events.
func (sh *Shell) readCallerPackets(ctx context.Context) {
	var p packet.Packet
	receiveDatagrams(ctx, sh.callerConn, func(_ netip.AddrPort, data []byte) {
		if next, ok := sh.core.FastPathFromCaller(time.Now(), &p, data); ok {
			sh.paths.send(next.Server, next.Path, next.Address, data)
			return
		}
		sh.handle(entry.CallerPacket{Data: append([]byte(nil), data...)})
	})
}

// readServerPackets receives datagrams from servers on a path, with a fast path
// as in readCallerPackets.
func (sh *Shell) readServerPackets(path int, conn *net.UDPConn) {
	var p packet.Packet
	receiveDatagrams(context.Background(), conn, func(from netip.AddrPort, data []byte) {
		if to, ok := sh.core.FastPathFromServer(&p, from, data); ok {
			sh.sendToCaller(to, data)
			return
		}
		sh.handle(entry.ServerPacket{From: from, Path: path, Data: append([]byte(nil), data...)})
	})
}

func (sh *Shell) sendToCaller(to netip.AddrPort, data []byte) {
	if _, err := sh.callerConn.WriteToUDPAddrPort(data, to); err != nil {
		sh.log.Debug("entry: sending to caller failed", zap.Error(err))
	}
}

func (sh *Shell) handlePeerBatch(batch *pb.PeerBatch) {
	sh.handle(entry.PeerBatch{Batch: batch})
}

// runTicks passes ticks to the core until ctx ends.
func (sh *Shell) runTicks(ctx context.Context) {
	ticker := time.NewTicker(entry.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sh.handle(entry.Tick{})
		}
	}
}

// handle passes an event to the core and carries out the actions that it
// returns.
func (sh *Shell) handle(event entry.Event) {
	for _, action := range sh.core.Handle(time.Now(), event) {
		switch a := action.(type) {
		case entry.SendToServer:
			sh.paths.send(a.Server, a.Path, a.Address, a.Data)
		case entry.SendToCaller:
			sh.sendToCaller(a.Address, a.Data)
		case entry.Relay:
			sh.sendToCaller(a.Address, a.Data)
		case entry.SendToPeer:
			sh.peers.send(a.To, a.Address, a.Batch)
		case entry.ReplacePath:
			sh.paths.replace(a.Server, a.Path)
		case entry.RewriteStore:
			go sh.rewriteStore(a)
		case entry.Stopped:
			sh.stopOnce.Do(func() { close(sh.stopped) })
		}
	}
}
