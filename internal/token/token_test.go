package token

import (
	"fmt"
	"testing"
)

func TestTokenDependsOnNameOnly(t *testing.T) {
	// Instances of different versions must derive the same token.
	if got := ForServer("i-7f3a91c2", 0); got != 0xc654b0d8 {
		t.Fatalf("the token of a name has changed to %#x", got)
	}
	if ForServer("i-7f3a91c2", 0) == ForServer("i-7f3a91c2", 1) {
		t.Fatal("the variants of a token are equal")
	}
}

// Servers whose first tokens are equal get flows under their second tokens.
func TestCollidingServersGetSecondToken(t *testing.T) {
	a, b := collidingNames(t)
	x := NewIndex[string]()
	x.Add(a, a)
	if got := x.TokenFor(a); got != ForServer(a, 0) {
		t.Fatalf("without a collision the token is %x, not the first one", got)
	}
	x.Add(b, b)
	for _, name := range []string{a, b} {
		owners := x.Lookup(x.TokenFor(name))
		if len(owners) != 1 || owners[0] != name {
			t.Errorf("token of %s names %v", name, owners)
		}
	}
	x.Remove(b, b)
	if got := x.TokenFor(a); got != ForServer(a, 0) {
		t.Errorf("after the other server was removed, the token is %x", got)
	}
}

// collidingNames returns two names with the same first token; about 80,000
// names contain such a pair.
func collidingNames(t *testing.T) (string, string) {
	t.Helper()
	seen := map[Token]string{}
	for i := range 1 << 20 {
		name := fmt.Sprintf("i-%08x", i)
		tok := ForServer(name, 0)
		if other, ok := seen[tok]; ok {
			return other, name
		}
		seen[tok] = name
	}
	t.Fatal("no two names collide")
	return "", ""
}

func TestNoServerHasTokenNone(t *testing.T) {
	for i := range 1 << 16 {
		if ForServer(fmt.Sprint(i), 0) == None {
			t.Fatalf("server %d has token None", i)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		x := NewIndex[int]()
		tokens := make([]Token, n)
		for i := range n {
			name := fmt.Sprintf("i-%08x", i)
			x.Add(name, i)
			tokens[i] = ForServer(name, 0)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				x.Lookup(tokens[i%n])
			}
		})
	}
}
