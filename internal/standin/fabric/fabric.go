// Package fabric is a stand-in for the network fabric of one data centre. It
// forwards each datagram of a caller to a random entry instance of the data
// centre that is listed and not leaving.
package fabric

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/gen/cuminshift/v1/cuminshiftv1connect"
	"cuminshift/internal/standin/wire"
)

// PollInterval is the interval at which the instance list is read.
const PollInterval = 200 * time.Millisecond

// Config configures a fabric.
type Config struct {
	// Listen is the address (ip:port) that receives the callers' datagrams.
	Listen string
	// DataCentre is the data centre whose instances receive the datagrams.
	DataCentre string
	// InstanceListURL is the base URL of the instance list.
	InstanceListURL string
	// DuplicateRate, LossRate and ReorderRate are the probabilities, from 0 to
	// 1, with which a datagram is sent twice, dropped or delayed.
	DuplicateRate, LossRate, ReorderRate float64
	// MaxReorderDelay is the longest delay of a reordered datagram; 20 ms when
	// 0.
	MaxReorderDelay time.Duration
	Seed            uint64
}

// Stats counts datagrams by what happened to them.
type Stats struct {
	Received, Delivered, Duplicated, Lost, Reordered, NoInstance, Malformed atomic.Uint64
}

// Fabric is a running fabric.
type Fabric struct {
	Addr  netip.AddrPort
	Stats Stats

	cfg          Config
	conn         *net.UDPConn
	instanceList cuminshiftv1connect.InstanceListClient
	rng          *rand.Rand

	mu            sync.RWMutex
	instanceAddrs []netip.AddrPort
}

// Start runs a fabric until the context ends. It returns after the first read
// of the instance list, whether or not this read succeeded.
func Start(ctx context.Context, cfg Config) (*Fabric, error) {
	if cfg.MaxReorderDelay <= 0 {
		cfg.MaxReorderDelay = 20 * time.Millisecond
	}
	conn, err := wire.ListenUDP(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fabric: %w", err)
	}
	f := &Fabric{
		Addr: wire.LocalAddr(conn), cfg: cfg, conn: conn,
		instanceList: cuminshiftv1connect.NewInstanceListClient(http.DefaultClient, cfg.InstanceListURL),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	f.refreshInstances(ctx)
	go f.refreshLoop(ctx)
	go f.receive()
	return f, nil
}

func (f *Fabric) refreshLoop(ctx context.Context) {
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.refreshInstances(ctx)
		}
	}
}

// refreshInstances reads the instance list. When the read fails, the addresses
// of the last successful read stay in use.
func (f *Fabric) refreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	list, err := f.instanceList.List(ctx, connect.NewRequest(&pb.ListRequest{}))
	if err != nil {
		return
	}
	var instanceAddrs []netip.AddrPort
	for _, instance := range list.Msg.GetInstances() {
		addr, err := netip.ParseAddrPort(instance.GetPacketAddress())
		if err == nil && instance.GetDataCentre() == f.cfg.DataCentre && !instance.GetLeaving() {
			instanceAddrs = append(instanceAddrs, addr)
		}
	}
	f.mu.Lock()
	f.instanceAddrs = instanceAddrs
	f.mu.Unlock()
}

func (f *Fabric) receive() {
	buf := make([]byte, wire.MaxDatagramSize)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		f.Stats.Received.Add(1)
		p, err := wire.Decode(buf[:n])
		if err != nil {
			f.Stats.Malformed.Add(1)
			continue
		}
		wire.SetCaller(p, from)
		b, err := proto.Marshal(p)
		if err != nil {
			f.Stats.Malformed.Add(1)
			continue
		}
		f.deliver(b)
	}
}

func (f *Fabric) deliver(b []byte) {
	if f.rng.Float64() < f.cfg.LossRate {
		f.Stats.Lost.Add(1)
		return
	}
	copies := 1
	if f.rng.Float64() < f.cfg.DuplicateRate {
		f.Stats.Duplicated.Add(1)
		copies = 2
	}
	for range copies {
		to, ok := f.pickInstance()
		if !ok {
			f.Stats.NoInstance.Add(1)
			return
		}
		if f.rng.Float64() < f.cfg.ReorderRate {
			f.Stats.Reordered.Add(1)
			delay := time.Duration(f.rng.Int64N(int64(f.cfg.MaxReorderDelay)) + 1)
			time.AfterFunc(delay, func() { f.send(b, to) })
			continue
		}
		f.send(b, to)
	}
}

func (f *Fabric) pickInstance() (netip.AddrPort, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if len(f.instanceAddrs) == 0 {
		return netip.AddrPort{}, false
	}
	return f.instanceAddrs[f.rng.IntN(len(f.instanceAddrs))], true
}

func (f *Fabric) send(b []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(b, to); err == nil {
		f.Stats.Delivered.Add(1)
	}
}
