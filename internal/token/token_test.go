package token

import (
	"fmt"
	"math/rand/v2"
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

// Guards against packets of open flows that go to a server which joined later and shares
// the token of theirs: the token stays the first one's, whichever of the two an instance
// learns of first, and the other one gets its second token.
func TestTokenStaysWithServerThatStartedFirst(t *testing.T) {
	a, b := collidingNames(t)
	for _, names := range [][2]string{{a, b}, {b, a}} {
		first, second := names[0], names[1]
		alone := NewIndex[string]()
		alone.Add(first, 100, first)
		opened := alone.TokenFor(first, first)
		if opened != ForServer(first, 0) {
			t.Fatalf("without a collision the token is %x, not the first one", opened)
		}
		for _, learned := range [][]string{{first, second}, {second, first}} {
			x := NewIndex[string]()
			for _, name := range learned {
				x.Add(name, map[string]int64{first: 100, second: 200}[name], name)
			}
			if owner, ok := x.Owner(opened); !ok || owner != first {
				t.Errorf("learned %v: the token of flows at %s names %q", learned, first, owner)
			}
			for _, name := range names {
				if owner, ok := x.Owner(x.TokenFor(name, name)); !ok || owner != name {
					t.Errorf("learned %v: the token of %s names %q", learned, name, owner)
				}
			}
			x.Remove(second, second)
			if got := x.TokenFor(first, first); got != opened {
				t.Errorf("after %s was removed, the token of %s is %x", second, first, got)
			}
		}
	}
}

// Guards against a guess: when it is not known which server started first, a shared token
// names none of them, and both use their second one.
func TestSharedTokenOfUnknownOrderNamesNoServer(t *testing.T) {
	a, b := collidingNames(t)
	for _, started := range [][2]int64{{0, 0}, {0, 200}, {100, 0}} {
		x := NewIndex[string]()
		x.Add(a, started[0], a)
		x.Add(b, started[1], b)
		if owner, ok := x.Owner(ForServer(a, 0)); ok {
			t.Errorf("started %v: the shared token names %s", started, owner)
		}
		for _, name := range []string{a, b} {
			if got := x.TokenFor(name, name); got != ForServer(name, 1) {
				t.Errorf("started %v: the token of %s is %x, not its second one", started, name, got)
			}
		}
	}
}

// Guards against flows that change their server when others join and leave: the token
// under which a flow was opened names its server at any instance, as long as the server
// is there. Tokens collide often here, and some servers have none of their own.
func TestTokenOfOpenFlowNamesItsServer(t *testing.T) {
	few := func(name string, variant int) Token { return ForServer(name, variant)%24 + 1 }
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		started := map[string]int64{}
		opened := map[string]map[Token]bool{}
		withoutToken := 0
		for step := range int64(200) {
			name := fmt.Sprint("i-", step)
			started[name], opened[name] = step+1, map[Token]bool{}
			for other := range started {
				if other != name && r.IntN(12) == 0 {
					delete(started, other)
				}
			}
			// An instance that has just started learns of the servers in any order.
			x := NewIndex[string]()
			x.forServer = few
			for other, at := range started {
				x.Add(other, at, other)
			}
			for other := range started {
				if t := x.TokenFor(other, other); t != None {
					opened[other][t] = true
				} else {
					withoutToken++
				}
				for token := range opened[other] {
					if owner, ok := x.Owner(token); !ok || owner != other {
						t.Fatalf("seed %d, step %d: the token %x of a flow at %s names %q", seed, step, token, other, owner)
					}
				}
			}
		}
		if withoutToken == 0 {
			t.Errorf("seed %d: no server without a token", seed)
		}
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
			x.Add(name, int64(i+1), i)
			tokens[i] = ForServer(name, 0)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				x.Owner(tokens[i%n])
			}
		})
	}
}
