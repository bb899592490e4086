// Package token derives the 32-bit tokens that name servers in the packets of the
// users' platform. An instance writes the token of a flow's server into the packets
// that it forwards; the server returns it to the caller, and the caller's later
// packets carry it. Any instance can therefore forward any packet without
// per-flow state.
package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token names a server. Every instance derives it from the server's name alone.
type Token uint32

// None is the token of a packet whose caller has not yet received a packet of a
// server.
const None Token = 0

// Variants is the number of tokens per server. If another server has the same
// first token, flows are opened under the next one. Among 82,000 servers about
// 0.8 pairs share a token; a server that shares both of its tokens occurs in
// one fleet of 60,000.
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
type Index[S comparable] struct {
	owners map[Token][]S
}

// NewIndex returns an empty index.
func NewIndex[S comparable]() *Index[S] {
	return &Index[S]{owners: map[Token][]S{}}
}

// Add adds a server under all its tokens.
func (x *Index[S]) Add(name string, server S) {
	for v := range Variants {
		t := ForServer(name, v)
		x.owners[t] = append(x.owners[t], server)
	}
}

// Remove removes a server from under all its tokens.
func (x *Index[S]) Remove(name string, server S) {
	for v := range Variants {
		t := ForServer(name, v)
		kept := x.owners[t][:0]
		for _, s := range x.owners[t] {
			if s != server {
				kept = append(kept, s)
			}
		}
		if len(kept) == 0 {
			delete(x.owners, t)
		} else {
			x.owners[t] = kept
		}
	}
}

// Lookup returns the servers that a token may name: at most one unless tokens
// collide.
func (x *Index[S]) Lookup(t Token) []S { return x.owners[t] }

// TokenFor returns the token under which a flow to the named server is to be
// opened: the first one that names no other server in the index.
func (x *Index[S]) TokenFor(name string) Token {
	for v := range Variants {
		if t := ForServer(name, v); len(x.owners[t]) <= 1 {
			return t
		}
	}
	return ForServer(name, 0)
}
