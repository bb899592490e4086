package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// proxyMode selects how a proxy treats its connections.
type proxyMode int32

const (
	// modeForward forwards all bytes.
	modeForward proxyMode = iota
	// modeDelay forwards all bytes after proxyDelay.
	modeDelay
	// modeReset closes all connections, and new ones at once.
	modeReset
	// modeDiscard discards all bytes, modeDiscardAnswers those sent to the
	// client.
	modeDiscard
	modeDiscardAnswers
	// modeCount is the number of modes.
	modeCount
)

// proxyDelay is the delay in each direction in modeDelay.
const proxyDelay = 100 * time.Millisecond

// proxy forwards connections between one instance and the store.
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

// setMode changes the mode. A connection that has discarded bytes continues to
// discard them in every later mode, like a connection whose state a middlebox
// has lost.
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

// forward copies bytes from one connection to the other as the mode requires.
// fromStore is set if from is the connection to the store.
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
