package gateway

import (
	"fmt"
	"testing"

	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
)

func BenchmarkFollowing(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		v := w.open(1)
		s := flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: v.Token}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				w.core.HandlePacket(w.now, &s)
			}
		})
	}
}

func BenchmarkOpening(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				k := key(1)
				k.CallerIP += uint32(i)
				w.core.HandlePacket(w.now, &flow.Segment{Key: k, Opening: true})
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		w := newWorld(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w.pass(TickInterval)
				w.core.HandleEvent(w.now, Tick{})
			}
		})
	}
}
