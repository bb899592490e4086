package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// pathMode is what a proxy does with its connections.
type pathMode int32

const (
	// pathOpen passes bytes on.
	pathOpen pathMode = iota
	// pathSlow passes them on late.
	pathSlow
	// pathReset breaks connections.
	pathReset
	// pathSilent swallows all bytes, pathNoAnswer those towards the client.
	pathSilent
	pathNoAnswer
	pathModes
)

// pathDelay is the delay of a slow path in each direction.
const pathDelay = 100 * time.Millisecond

// proxy stands between one instance and the store.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(address netip.AddrPort, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// set changes the mode. Connections that were silenced stay so for good, as
// when something between the ends has lost track of them.
func (p *proxy) set(m pathMode) {
	p.mode.Store(int32(m))
	if m != pathReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.set(pathReset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if pathMode(p.mode.Load()) == pathReset {
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(server, client, false) }()
	go func() { defer wg.Done(); p.copy(client, server, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(b)
		switch pathMode(p.mode.Load()) {
		case pathSlow:
			time.Sleep(pathDelay)
		case pathSilent:
			silent = true
		case pathNoAnswer:
			silent = silent || answers
		}
		if n > 0 && !silent {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
