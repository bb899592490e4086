// Package token derives the 32-bit tokens that callers return in the packets
// of a flow. A token names the flow's server, so that any instance forwards
// any packet without a record of the flow.
package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token names a server. Every instance derives it from the server's name.
type Token uint32

// None is the token of a packet whose caller has heard of no server.
const None Token = 0

// Variants is the number of tokens of one server. When the first is taken by
// another server, flows are opened under the next. Among 82,000 servers about
// 0.8 pairs share one token; that a server shares both of its tokens happens
// to one fleet in 60,000.
const Variants = 2

// Of returns a token of the named server; variant counts from 0.
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

// Index finds servers by token. S is the caller's type of a server.
type Index[S comparable] struct {
	owners map[Token][]S
}

// NewIndex returns an empty index.
func NewIndex[S comparable]() *Index[S] {
	return &Index[S]{owners: map[Token][]S{}}
}

// Add enters a server under all its tokens.
func (x *Index[S]) Add(name string, server S) {
	for v := range Variants {
		t := ForServer(name, v)
		x.owners[t] = append(x.owners[t], server)
	}
}

// Remove takes a server out.
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

// Lookup returns the servers that a token may name: one, but for collisions.
func (x *Index[S]) Lookup(t Token) []S { return x.owners[t] }

// For returns the token under which a flow is to be opened at a server: the
// first that names no other server known here.
func (x *Index[S]) TokenFor(name string) Token {
	for v := range Variants {
		if t := ForServer(name, v); len(x.owners[t]) <= 1 {
			return t
		}
	}
	return ForServer(name, 0)
}
