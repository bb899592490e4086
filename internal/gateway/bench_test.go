package gateway

import (
	"fmt"
	"testing"
	"time"

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

// BenchmarkFollowingNarrowLink handles the packets of flows at an instance that counts the
// bytes on its link: those of small requests and of a bulk transfer.
func BenchmarkFollowingNarrowLink(b *testing.B) {
	for _, length := range []int{0, 1200} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			inst := newTestInstanceBehindLink(nil, 10e6, server("i-1", norte))
			for port := range uint16(10) {
				inst.sendUpload(port+2, length)
			}
			s := flow.Segment{Key: key(1), Seq: 1, Ack: 100, Token: inst.open(1).Token, Length: length, Size: 32 + length}
			now := time.Now()
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Microsecond)
				s.Seq += uint32(length)
				inst.core.HandlePacket(now, &s)
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
