package gateway

import (
	"fmt"
	"testing"

	"cuminshift/internal/flow"
	"cuminshift/internal/registry"
)

func BenchmarkEstablishedFlowPacket(b *testing.B) {
	for _, n := range []int{18, 500, 5000} {
		var servers []registry.Entry
		for i := range n {
			servers = append(servers, server(fmt.Sprintf("i-%08x", i), norte))
		}
		inst := newTestInstance(nil, servers...)
		v := inst.open(1)
		s := flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: v.Token}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				inst.core.HandlePacket(inst.now, &s)
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
		inst := newTestInstance(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				k := key(1)
				k.CallerIP += uint32(i)
				inst.core.HandlePacket(inst.now, &flow.Segment{Key: k, Opening: true})
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
		inst := newTestInstance(nil, servers...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				inst.advance(TickInterval)
				inst.core.HandleEvent(inst.now, Tick{})
			}
		})
	}
}

// BenchmarkFollowingAnswer measures a request and the first acknowledgement of its
// response, two packets.
func BenchmarkFollowingAnswer(b *testing.B) {
	inst := newTestInstance(nil, server("i-1", norte), server("i-2", norte))
	v := inst.open(1)
	inst.handlePacket(&flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: v.Token})
	b.ReportAllocs()
	for i := range uint32(b.N) {
		inst.exchange(key(1), v, i, 700, 50000000)
	}
}
