package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// link is the path of one instance to the store. It forwards connections.
type link struct {
	listener net.Listener
	target   string
	// cut is set while nothing passes in either direction, on open and new connections.
	cut atomic.Bool
	// lastRequest is the time of the last bytes from the instance, in Unix nanoseconds.
	lastRequest atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// generation counts calls of silence; connections of earlier generations pass nothing.
	generation int
}

func newLink(address netip.AddrPort, target string) (*link, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

// silence makes all open connections pass nothing from now on, without closing them. New
// connections work.
func (k *link) silence() (connections int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.generation++
	return len(k.conns) / 2
}

func (k *link) close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(client net.Conn) {
	store, err := net.Dial("tcp4", k.target)
	if err != nil {
		client.Close()
		return
	}
	k.mu.Lock()
	k.conns[client], k.conns[store] = true, true
	generation := k.generation
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(store, client, generation, true) })
	wg.Go(func() { k.forward(client, store, generation, false) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, client)
	delete(k.conns, store)
	k.mu.Unlock()
}

// forward copies bytes until the connection ends. Bytes that arrive while nothing passes
// are held up and lost, with all that follow.
func (k *link) forward(to, from net.Conn, generation int, fromInstance bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(b)
		if fromInstance && n > 0 {
			k.lastRequest.Store(time.Now().UnixNano())
		}
		k.mu.Lock()
		lost = lost || k.cut.Load() || generation != k.generation
		k.mu.Unlock()
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
