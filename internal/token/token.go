// Package token derives the 32-bit tokens that name servers in the packets of the
// users' platform. An instance writes the token of a flow's server into the packets
// that it forwards; the server returns it to the caller, and the caller's later
// packets carry it. Any instance can therefore forward any packet without
// per-flow state.
package token

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Token names a server. Every instance derives it from the server's name alone.
type Token uint32

// None is the token of a packet whose caller has not yet received a packet of a
// server.
const None Token = 0

// Variants is the number of tokens that a server may have. A server whose first token
// is another one's uses the next. Among 82,000 servers about 0.8 pairs share a token; a
// server whose tokens are all other ones' occurs in one fleet of 60,000, and gets no
// flows.
const Variants = 2

// ForServer returns a token of the named server; variant counts from 0.
func ForServer(server string, variant int) Token {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(variant))
	// Digest.WriteString never fails.
	_, _ = d.WriteString(server)
	var b [8]byte
	sum := d.Sum(b[:0])
	t := Token(binary.BigEndian.Uint32(sum[4:]) ^ binary.BigEndian.Uint32(sum[:4]))
	if t == None {
		return 1
	}
	return t
}

// Index finds servers by token. S is the type with which the user of the index
// represents a server.
//
// Of the servers that share a token, it is the one's that started first: a server that
// joins later must not get the packets of flows that were opened under the token before.
// Every instance decides so by the servers' start times alone, whatever it has seen of
// them, and also if it has started after them.
type Index[S comparable] struct {
	holders map[Token][]holder[S]
	// forServer is ForServer, replaced by tests in which tokens collide often.
	forServer func(server string, variant int) Token
}

// holder is a server that may use a token.
type holder[S comparable] struct {
	server S
	name   string
	// started is the server's start time, 0 when unknown.
	started int64
}

// precedes reports whether the server is known to have started before the other one.
func (h *holder[S]) precedes(other *holder[S]) bool {
	if h.started == 0 || other.started == 0 {
		return false
	}
	return h.started < other.started || (h.started == other.started && h.name < other.name)
}

// NewIndex returns an empty index.
func NewIndex[S comparable]() *Index[S] {
	return &Index[S]{holders: map[Token][]holder[S]{}, forServer: ForServer}
}

// Add adds a server under all its tokens. started is its start time, by which the
// servers are ordered, or 0 if it is unknown.
func (x *Index[S]) Add(name string, started int64, server S) {
	for v := range Variants {
		t := x.forServer(name, v)
		x.holders[t] = append(x.holders[t], holder[S]{server, name, started})
	}
}

// Remove removes a server from under all its tokens.
func (x *Index[S]) Remove(name string, server S) {
	for v := range Variants {
		t := x.forServer(name, v)
		kept := slices.DeleteFunc(x.holders[t], func(h holder[S]) bool { return h.server == server })
		if len(kept) == 0 {
			delete(x.holders, t)
		} else {
			x.holders[t] = kept
		}
	}
}

// Shared returns the servers that may use a token: at most one unless tokens collide.
func (x *Index[S]) Shared(t Token) []S {
	var servers []S
	for _, h := range x.holders[t] {
		servers = append(servers, h.server)
	}
	return servers
}

// Owner returns the server whose token it is. ok is false if there is none, or if
// several servers share the token and it is not known which one started first.
func (x *Index[S]) Owner(t Token) (server S, ok bool) {
	holders := x.holders[t]
	for i := range holders {
		if first(holders, i) {
			return holders[i].server, true
		}
	}
	return server, false
}

// first reports whether a holder precedes all others.
func first[S comparable](holders []holder[S], i int) bool {
	for j := range holders {
		if j != i && !holders[i].precedes(&holders[j]) {
			return false
		}
	}
	return true
}

// TokenFor returns the token under which flows to a server are opened, or None if all
// its tokens are other servers'.
func (x *Index[S]) TokenFor(name string, server S) Token {
	for v := range Variants {
		t := x.forServer(name, v)
		if owner, ok := x.Owner(t); ok && owner == server {
			return t
		}
	}
	return None
}
