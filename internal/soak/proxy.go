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
type proxyMode int32

const (
	// pathOpen passes bytes on.
	modeForward proxyMode = iota
	// pathSlow passes them on late.
	modeDelay
	// pathReset breaks connections.
	modeReset
	// pathSilent swallows all bytes, pathNoAnswer those towards the client.
	modeDiscard
	modeDiscardAnswers
	modeCount
)

// pathDelay is the delay of a slow path in each direction.
const proxyDelay = 100 * time.Millisecond

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
func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m != modeReset {
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
	p.setMode(modeReset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if proxyMode(p.mode.Load()) == modeReset {
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	store, err := net.Dial("tcp4", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[store] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.forward(store, client, false) }()
	go func() { defer wg.Done(); p.forward(client, store, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, store)
	p.mu.Unlock()
}

func (p *proxy) forward(to, from net.Conn, fromStore bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 16<<10)
	discard := false
	for {
		n, err := from.Read(b)
		switch proxyMode(p.mode.Load()) {
		case modeDelay:
			time.Sleep(proxyDelay)
		case modeDiscard:
			discard = true
		case modeDiscardAnswers:
			discard = discard || fromStore
		}
		if n > 0 && !discard {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
