package main

import (
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record file, and holds the
// events that a check needs.
type record struct {
	start time.Time

	mu     sync.Mutex
	out    io.Writer
	opened []opening
	runs   map[string][]string
	broken []string
}

// opening is a SYN that a server took.
type opening struct {
	server, service string
	caller, to      netip.AddrPort
	at              time.Time
}

func newRecord(out io.Writer) *record {
	return &record{start: time.Now(), out: out, runs: map[string][]string{}}
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.write("BROKEN "+format, args...)
}

func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// Opened implements server.Observer.
func (r *record) Opened(server, service string, caller, to netip.AddrPort, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = append(r.opened, opening{server, service, caller, to, at})
	r.write("server %s (%s) took the opening of %s to %s", server, service, caller, to)
}

// Ran implements server.Observer.
func (r *record) Ran(server, service, id string, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.write("server %s (%s) runs request %s", server, service, id)
}

// Forged implements server.Observer.
func (r *record) Forged(server string, _ time.Time) {
	r.breaks("UNASKED: server %s got a packet that its sender did not write so", server)
}

// openedBy returns the openings of a caller's flow in the order of their arrival.
func (r *record) openedBy(caller netip.AddrPort) []opening {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []opening
	for _, o := range r.opened {
		if o.caller == caller {
			out = append(out, o)
		}
	}
	return out
}

// ranOn returns the servers that ran a request.
func (r *record) ranOn(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}
