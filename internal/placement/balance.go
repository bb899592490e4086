package placement

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminshift/internal/dcstate"
	"cuminshift/internal/model"
)

const (
	minBuckets       = 1024
	bucketsPerServer = 64

	// balanceInterval is the time between two corrections by open flows. Open
	// flows change slowly (sessions last for hours), their reports take
	// seconds.
	balanceInterval = 5 * time.Second
	// gain is the change of a server's share of buckets per excess of open
	// flows. The share acts on openings only, so that a gain of 1 would take
	// the lifetime of the sessions; with 4 a lasting skew of 8% settles near
	// 3%.
	gain = 4
	// minBias and maxBias bound the correction. A share below minBias of the
	// fair one is a ramp.
	minBias = 0.5
	maxBias = 1.5
	// coverage is the share of instances that must have reported on a server
	// before its open flows are compared.
	coverage = 0.9
	// maxMoving is the share of buckets that may be away from STABLE before
	// balancing pauses; each costs queries to its owner.
	maxMoving = 0.25
)

// bucketCount returns the number of buckets for a service. It stays the same
// for the life of the map.
func bucketCount(servers int) int {
	n := max(minBuckets, bucketsPerServer*servers)
	return 1 << bits.Len(uint(n-1))
}

// capacity is the weight of a server in the distribution.
func (t *target) capacity() float64 {
	if t.server == nil {
		return 0
	}
	return float64(max(1, cmp.Or(t.server.Connections, t.server.Slots)))
}

// capacity returns the capacity and the number of the servers that may take
// openings.
func (s *service) capacity() (sum float64, usable int) {
	for _, t := range s.sorted() {
		if t.cause == "" {
			sum += t.capacity()
			usable++
		}
	}
	return sum, usable
}

// assignInitially gives each bucket a server, as evenly as capacity allows.
// The result depends on the servers only, so that two publishers that start at
// the same time assign alike.
func (p *Publisher) assignInitially(now time.Time, svc *service) {
	capacity, usable := svc.capacity()
	if usable == 0 || p.waitingFor(svc) {
		return
	}
	svc.n = bucketCount(len(svc.site.Servers))
	svc.pos = make([]uint32, svc.n)
	for i, id := range svc.shuffledQuotas(capacity) {
		svc.set(uint32(i), dcstate.Bucket{Base: id, Phase: dcstate.Stable}, p.gen, now)
	}
	for _, t := range svc.sorted() {
		t.judged, t.usable = true, t.cause == ""
	}
	p.event(Event{Service: svc.id, Name: EventServiceAdded, Cause: "catalog", Buckets: svc.n})
}

// waitingFor reports whether a server of the service is held back only until
// the catalog is confirmed; a map without it would have to be changed at once.
func (p *Publisher) waitingFor(svc *service) bool {
	return slices.ContainsFunc(svc.sorted(), func(t *target) bool {
		return t.server != nil && !t.server.Drain && !p.book.admitted[t.id] && !p.book.conflicts(t.id, t.server.Address)
	})
}

// shuffledQuotas returns one server per bucket: each as often as its capacity
// demands, by largest remainder, in an order that depends on hashes only.
func (s *service) shuffledQuotas(capacity float64) []model.ServerID {
	type slot struct {
		order uint64
		id    model.ServerID
	}
	type share struct {
		t    *target
		n    int
		rest float64
	}
	var shares []share
	left := s.n
	for _, t := range s.sorted() {
		if t.cause != "" {
			continue
		}
		exact := float64(s.n) * t.capacity() / capacity
		n := int(exact)
		shares = append(shares, share{t, n, exact - float64(n)})
		left -= n
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.rest, a.rest) })
	slots := make([]slot, 0, s.n)
	for i := range shares {
		if i < left {
			shares[i].n++
		}
		for k := range shares[i].n {
			slots = append(slots, slot{slotOrder(s.id, shares[i].t.id, k), shares[i].t.id})
		}
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.id, b.id))
	})
	out := make([]model.ServerID, s.n)
	for i := range out {
		out[i] = slots[i].id
	}
	return out
}

func slotOrder(service model.ServiceID, server model.ServerID, k int) uint64 {
	var b [24]byte
	for i, v := range [3]uint64{uint64(service), uint64(server), uint64(k)} {
		for j := range 8 {
			b[8*i+j] = byte(v >> (8 * j))
		}
	}
	return xxhash.Sum64(b[:])
}

// balance corrects the shares of servers by their open flows: a server over
// its fair share gets fewer openings. Half of Epsilon, and the statistical
// spread of the count, are left alone.
func (p *Publisher) balance(now time.Time, svc *service) {
	if p.in.Reports == nil || now.Sub(svc.balancedAt) < balanceInterval || p.catalog.DataCentres[p.cfg.DataCentre].Out {
		return
	}
	svc.balancedAt = now
	capacity, _ := svc.capacity()
	total := 0.0
	for _, t := range svc.sorted() {
		if t.usable {
			if !p.in.Reports.covered(t.id, coverage*float64(len(p.in.View))) {
				return
			}
			total += t.flows(p.in.Reports)
		}
	}
	for _, t := range svc.sorted() {
		if !t.usable || t.ramp.on {
			continue
		}
		fair := total * t.capacity() / capacity
		if fair < 1 {
			t.bias = 1
			continue
		}
		excess := t.flows(p.in.Reports)/fair - 1
		dead := max(p.cfg.Epsilon/2, 1/math.Sqrt(fair))
		excess = math.Copysign(max(0, math.Abs(excess)-dead), excess)
		t.bias = min(maxBias, max(minBias, 1-gain*excess))
	}
}

func (t *target) flows(r *Reports) float64 { return float64(max(0, r.OpenFlows(t.id))) }

// setDesired computes the number of buckets that each server should have:
// servers in cold start what their ramp allows, the others the rest by
// capacity and correction.
func (s *service) setDesired() {
	capacity, _ := s.capacity()
	rest, weights := float64(s.n), 0.0
	for _, t := range s.sorted() {
		t.desired = 0
		if !t.usable {
			continue
		}
		if t.ramp.on {
			t.desired = min(float64(t.ramp.allowed), float64(s.n)*t.capacity()/capacity)
			rest -= t.desired
			continue
		}
		weights += t.capacity() * t.bias
	}
	for _, t := range s.sorted() {
		switch {
		case !t.usable:
		case weights == 0:
			// All servers are in cold start: none can take the others' part.
			t.desired = float64(s.n) * t.capacity() / capacity
		case !t.ramp.on:
			t.desired = rest * t.capacity() * t.bias / weights
		}
	}
}

// excess is the number of buckets above the desired one.
func (t *target) excess() float64 { return float64(len(t.buckets)) - t.desired }

// tolerated is the deviation that is not worth a move.
func (t *target) tolerated() float64 { return 1 + 0.02*t.desired }

// move moves buckets towards the desired numbers: at once away from servers
// that may not take openings or were set back, within the limit otherwise.
func (p *Publisher) move(now time.Time, svc *service) {
	p.dropRemovedBases(svc)
	svc.setDesired()
	p.moveAway(now, svc)
	exhausted := make(map[*target]bool)
	for p.moveTokens >= 1 {
		from, to := svc.extremes(exhausted)
		if from == nil || to == nil || from == to || from.excess()-to.excess() <= 1 {
			return
		}
		ramping := to.ramp.on && -to.excess() >= 1
		if !ramping && from.excess() <= from.tolerated() && -to.excess() <= to.tolerated() {
			return
		}
		if !ramping && float64(svc.moving()) > maxMoving*float64(svc.n) {
			return
		}
		i, ok := svc.movable(from)
		if !ok {
			exhausted[from] = true
			continue
		}
		p.moveBucket(now, svc, i, to.id)
		p.moveTokens--
	}
}

// extremes returns the usable servers with the largest excess, among those not
// exhausted, and with the largest lack of buckets.
func (s *service) extremes(exhausted map[*target]bool) (most, least *target) {
	for _, t := range s.sorted() {
		if !t.usable {
			continue
		}
		if !exhausted[t] && (most == nil || t.excess() > most.excess()) {
			most = t
		}
		if least == nil || t.excess() < least.excess() {
			least = t
		}
	}
	return most, least
}

// movable returns a STABLE bucket of the server.
func (s *service) movable(t *target) (uint32, bool) {
	for k := len(t.buckets) - 1; k >= 0; k-- {
		if i := t.buckets[k]; s.at(i).Phase == dcstate.Stable {
			return i, true
		}
	}
	return 0, false
}

// moveAway moves all buckets of unusable servers, and those above the limit of
// servers that were set back.
func (p *Publisher) moveAway(now time.Time, svc *service) {
	var receivers receiverHeap
	for _, t := range svc.sorted() {
		surplus := 0
		switch {
		case !t.usable:
			surplus = len(t.buckets)
		case t.ramp.on:
			surplus = max(0, len(t.buckets)-int(math.Ceil(t.desired)))
		}
		if surplus == 0 {
			continue
		}
		if receivers == nil {
			receivers = svc.receivers()
		}
		if len(receivers) == 0 || (len(receivers) == 1 && receivers[0] == t) {
			return
		}
		p.spread(now, svc, t, surplus, receivers)
	}
}

// receivers returns the usable servers that are not at the limit of a ramp,
// ordered by their lack of buckets; all usable ones when the ramps leave none.
func (s *service) receivers() receiverHeap {
	var open, all receiverHeap
	for _, t := range s.sorted() {
		if !t.usable {
			continue
		}
		all = append(all, t)
		if !t.ramp.on {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		open = all
	}
	heap.Init(&open)
	return open
}

// spread moves surplus buckets of a server to the receivers.
func (p *Publisher) spread(now time.Time, svc *service, from *target, surplus int, receivers receiverHeap) {
	moved := 0
	for moved < surplus {
		to := receivers[0]
		if to == from {
			break
		}
		p.moveBucket(now, svc, from.buckets[len(from.buckets)-1], to.id)
		heap.Fix(&receivers, 0)
		moved++
	}
	if moved > 0 {
		p.event(Event{Service: svc.id, Server: from.id, Name: EventMoved, Cause: cmp.Or(from.cause, "set back"), Buckets: moved})
	}
}

// receiverHeap has the server on top that lacks most in proportion to its
// desired number.
type receiverHeap []*target

func (h receiverHeap) Len() int { return len(h) }

func (h receiverHeap) Less(i, j int) bool {
	a, b := h[i].fill(), h[j].fill()
	return a < b || (a == b && h[i].id < h[j].id)
}

func (h receiverHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *receiverHeap) Push(x any) { *h = append(*h, x.(*target)) }

func (h *receiverHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (t *target) fill() float64 { return (float64(len(t.buckets)) + 1) / max(t.desired, 1) }
