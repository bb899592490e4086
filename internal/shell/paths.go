package shell

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cuminshift/internal/entry"
	"cuminshift/internal/model"
)

// maxReplacedSockets bounds the number of sockets that replace paths. Above it
// the oldest one is closed, and its path uses the shared socket again.
const maxReplacedSockets = 256

// pathKey identifies a path, an index below entry.PathsPerServer, of a server.
type pathKey struct {
	server model.ServerID
	path   int
}

// pathSet holds the local sockets that exchange datagrams with the servers.
// Path k of every server uses shared socket k until the path gets a socket of
// its own.
type pathSet struct {
	local     netip.Addr
	log       *zap.Logger
	receive   func(path int, conn *net.UDPConn)
	shared    []*net.UDPConn
	receivers sync.WaitGroup

	// replaced holds the sockets of replaced paths. The map is copied on write,
	// so that sending takes no lock.
	replaced atomic.Pointer[map[pathKey]*net.UDPConn]
	mu       sync.Mutex
	// replacedOrder lists the keys of replaced, oldest first.
	replacedOrder []pathKey
	closed        bool
}

// newPathSet opens the shared sockets. It runs receive for each socket in a
// goroutine of its own; receive must return when the socket is closed.
func newPathSet(local netip.Addr, log *zap.Logger, receive func(path int, conn *net.UDPConn)) (*pathSet, error) {
	p := &pathSet{local: local, log: log, receive: receive}
	p.replaced.Store(&map[pathKey]*net.UDPConn{})
	for k := 0; k < entry.PathsPerServer; k++ {
		conn, err := p.open(k)
		if err != nil {
			p.close()
			return nil, err
		}
		p.shared = append(p.shared, conn)
	}
	return p, nil
}

// open opens a socket for a path and starts to receive from it.
func (p *pathSet) open(path int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.local, 0)))
	if err != nil {
		return nil, errors.Wrap(err, "path: open socket")
	}
	setSocketBuffers(conn)
	p.receivers.Add(1)
	go func() {
		defer p.receivers.Done()
		p.receive(path, conn)
	}()
	return conn, nil
}

// send sends one datagram to a server on a path. An error is logged only, as a
// datagram may be lost in any case.
func (p *pathSet) send(server model.ServerID, path int, to netip.AddrPort, data []byte) {
	conn, ok := (*p.replaced.Load())[pathKey{server, path}]
	if !ok {
		conn = p.shared[path%len(p.shared)]
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		p.log.Debug("path: sending to server failed", zap.Error(err))
	}
}

// replace opens a new socket for a path of a server and closes the one that it
// replaces, unless that is shared.
func (p *pathSet) replace(server model.ServerID, path int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	conn, err := p.open(path)
	if err != nil {
		p.log.Warn("path: replacing socket failed", zap.Error(err))
		return
	}
	key := pathKey{server, path}
	next := make(map[pathKey]*net.UDPConn, len(*p.replaced.Load())+1)
	for k, c := range *p.replaced.Load() {
		next[k] = c
	}
	old := []*net.UDPConn{next[key]}
	if old[0] == nil {
		p.replacedOrder = append(p.replacedOrder, key)
	}
	next[key] = conn
	if len(p.replacedOrder) > maxReplacedSockets {
		old = append(old, next[p.replacedOrder[0]])
		delete(next, p.replacedOrder[0])
		p.replacedOrder = p.replacedOrder[1:]
	}
	p.replaced.Store(&next)
	for _, c := range old {
		if c != nil {
			c.Close()
		}
	}
	p.log.Info("path: socket replaced, no packets from server", zap.Uint64(logServer, uint64(server)), zap.Int(logPath, path))
}

// close closes all sockets and waits until receive has returned for each.
func (p *pathSet) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.shared {
		c.Close()
	}
	for _, c := range *p.replaced.Load() {
		c.Close()
	}
	p.mu.Unlock()
	p.receivers.Wait()
}

// receiveDatagrams reads datagrams and passes each to handle, until the socket
// is closed or ctx ends. handle must not retain data, since the buffer is
// reused.
func receiveDatagrams(ctx context.Context, conn *net.UDPConn, handle func(from netip.AddrPort, data []byte)) {
	buf := make([]byte, entry.MaxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// The error is an ICMP error caused by an earlier datagram, and the
			// socket stays usable.
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// socketBufferSize is the size of the kernel buffers of a socket, in bytes. It
// holds a burst of some thousand datagrams that arrive while no worker is
// scheduled.
const socketBufferSize = 4 << 20

// setSocketBuffers sizes the buffers of a socket. It ignores errors, as the
// socket also works with the default sizes.
func setSocketBuffers(conn *net.UDPConn) {
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
}
