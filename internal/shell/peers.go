package shell

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/rpcframe"
)

const (
	// peerCallTimeout bounds one call to a peer.
	peerCallTimeout = 300 * time.Millisecond
	peerDialTimeout = 200 * time.Millisecond
	// peerQueueLimit bounds the number of messages queued for one peer. The
	// oldest are dropped, which is safe because all protocols between instances
	// repeat their messages.
	peerQueueLimit = 4096
	// peerIdleTimeout is how long the sender of a peer is kept without
	// messages.
	peerIdleTimeout = 30 * time.Second
)

// Peer is the net/rpc service that receives messages from other instances. Its
// name and that of its method are part of the protocol.
type Peer struct {
	deliver func(*pb.PeerBatch)
}

// Deliver receives one batch of control messages, an encoded PeerBatch. The
// reply is empty.
func (p *Peer) Deliver(frame rpcframe.Frame, _ *rpcframe.Frame) error {
	batch := &pb.PeerBatch{}
	if err := proto.Unmarshal(frame.Payload, batch); err != nil {
		return errors.Wrap(err, "peer: malformed batch")
	}
	p.deliver(batch)
	return nil
}

// servePeers serves the Peer service on the listener until ctx ends.
func servePeers(ctx context.Context, listener net.Listener, deliver func(*pb.PeerBatch), counters *rpcframe.ByteCounters, acceptFailed func(error)) error {
	return rpcframe.Serve(ctx, listener, &Peer{deliver}, counters.Wrap, acceptFailed)
}

// peerSet sends batches to peers, with one sender for each peer.
type peerSet struct {
	ctx      context.Context
	log      *zap.Logger
	counters *rpcframe.ByteCounters
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	senders map[model.InstanceID]*peerSender
}

func newPeerSet(ctx context.Context, log *zap.Logger, counters *rpcframe.ByteCounters, dial func(context.Context, string) (net.Conn, error)) *peerSet {
	return &peerSet{ctx: ctx, log: log, counters: counters, dial: dial, senders: map[model.InstanceID]*peerSender{}}
}

// dialCounted dials a connection whose bytes are counted.
func (p *peerSet) dialCounted(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.counters.Wrap(conn), nil
}

// send queues a batch for a peer. It does not wait for the network.
func (p *peerSet) send(to model.InstanceID, address string, batch *pb.PeerBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.senders[to]
	if s == nil {
		s = &peerSender{set: p, id: to, wake: make(chan struct{}, 1)}
		s.client = rpcframe.Client{Dial: p.dialCounted, DialTimeout: peerDialTimeout}
		p.senders[to] = s
		go s.run()
	}
	s.enqueue(address, batch)
}

// peerSender sends batches to one peer. Messages that are queued during a call
// are sent together in the next one, so that a slow peer gets fewer, larger
// batches.
type peerSender struct {
	set *peerSet
	id  model.InstanceID
	// wake has a capacity of 1 and signals that a batch is pending.
	wake chan struct{}

	mu      sync.Mutex
	address string
	pending *pb.PeerBatch

	client rpcframe.Client
}

// enqueue appends the messages of a batch to the pending batch.
func (s *peerSender) enqueue(address string, batch *pb.PeerBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	if s.pending == nil {
		s.pending = batch
	} else {
		s.pending.Messages = append(s.pending.Messages, batch.Messages...)
		if batch.Address != "" {
			s.pending.Address, s.pending.DataCentre = batch.Address, batch.DataCentre
		}
	}
	if excess := len(s.pending.Messages) - peerQueueLimit; excess > 0 {
		s.pending.Messages = s.pending.Messages[excess:]
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takePending returns the address of the peer and the pending batch, or nil if
// there is none, and clears the latter.
func (s *peerSender) takePending() (string, *pb.PeerBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.pending
	s.pending = nil
	return s.address, batch
}

// run sends pending batches until ctx of the set ends or the sender is idle.
func (s *peerSender) run() {
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.set.ctx.Done():
			s.client.Close()
			return
		case <-idle.C:
			if s.removeIfIdle() {
				return
			}
		case <-s.wake:
			if address, batch := s.takePending(); batch != nil {
				s.deliver(address, batch)
			}
		}
		idle.Reset(peerIdleTimeout)
	}
}

// removeIfIdle removes the sender from the set unless a batch is pending, and
// reports whether it did.
func (s *peerSender) removeIfIdle() bool {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		return false
	}
	delete(s.set.senders, s.id)
	s.client.Close()
	return true
}

// deliver sends a batch. A failure is logged only, since messages are repeated.
func (s *peerSender) deliver(address string, batch *pb.PeerBatch) {
	payload, err := proto.Marshal(batch)
	if err != nil {
		s.set.log.Error("peer: encoding batch failed", zap.Error(err))
		return
	}
	if _, err := s.client.Call(s.set.ctx, address, "Peer.Deliver", payload, peerCallTimeout); err != nil {
		s.set.log.Debug("peer: sending batch failed", zap.String(logPeer, string(s.id)), zap.Error(err))
	}
}
