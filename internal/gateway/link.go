package gateway

import (
	"net/netip"
	"time"

	"cuminshift/internal/flow"
	"cuminshift/internal/linkload"
	"cuminshift/internal/routing"
)

// packetOverhead is the size in bytes of the IP and UDP headers of a packet.
const packetOverhead = 28

// linkUse is how the instance's link is used. It stays empty if the bandwidth is
// unknown.
type linkUse struct {
	// link is nil if the bandwidth is unknown.
	link *linkload.Link
	// requestSizes holds the learned sizes of the requests by service address, for
	// routes of the configuration in force.
	requestSizes map[netip.AddrPort]*linkload.RequestSizes
	transfers    linkload.Transfers
}

func newLinkUse(bitsPerSecond float64) linkUse {
	if bitsPerSecond <= 0 {
		return linkUse{}
	}
	return linkUse{link: linkload.New(bitsPerSecond), requestSizes: map[netip.AddrPort]*linkload.RequestSizes{}}
}

// LinkUtilization returns the mean utilization of the link over the last 500 ms; 0 if
// its bandwidth is unknown.
func (c *Core) LinkUtilization(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link.link == nil {
		return 0
	}
	return c.link.link.Utilization(now)
}

// countReceived counts a packet as received.
func (u *linkUse) countReceived(now time.Time, s *flow.Segment) {
	if u.link != nil {
		u.link.Received(now, s.Size+packetOverhead, 1)
	}
}

// countSent counts what is sent for a packet: the packet itself or a reset, which has
// no payload.
func (u *linkUse) countSent(now time.Time, s *flow.Segment, kind VerdictKind) {
	if u.link == nil {
		return
	}
	switch kind {
	case Forward:
		u.link.Sent(now, s.Size+packetOverhead)
	case Reset:
		u.link.Sent(now, s.Size-s.Length+packetOverhead)
	}
}

// countProbes counts the bytes of probes that start.
func (u *linkUse) countProbes(now time.Time, probes int) {
	if u.link != nil {
		u.link.Received(now, probes*probeBytes, 0)
		u.link.Sent(now, probes*probeBytes)
	}
}

// keepRoutes sets the routes whose request sizes are learned. Those of a route that
// exists already are kept.
func (u *linkUse) keepRoutes(c *routing.Configuration) {
	if u.link == nil {
		return
	}
	for address := range u.requestSizes {
		if c.Route(address) == nil {
			delete(u.requestSizes, address)
		}
	}
	for address := range c.Routes {
		if u.requestSizes[address] == nil {
			u.requestSizes[address] = &linkload.RequestSizes{}
		}
	}
}

// full reports whether the link has no room for a new flow: the flow would be a bulk
// flow, and the link admits no more of them.
func (u *linkUse) full(now time.Time, k flow.Key) bool {
	if u.link == nil {
		return false
	}
	sizes := u.requestSizes[k.Service()]
	return sizes != nil && sizes.Bulk() && !u.link.AdmitBulk(now, u.transfers.Count())
}

// countRetransmit counts a packet that is a retransmission.
func (u *linkUse) countRetransmit(now time.Time) {
	if u.link != nil {
		u.link.Retransmitted(now)
	}
}

// congested reports whether callers retransmit because the link's queue is full.
func (u *linkUse) congested(now time.Time) bool { return u.link != nil && u.link.Congested(now) }

// observeOpening records a transmission of an opening that is forwarded.
func (u *linkUse) observeOpening(now time.Time, f *trackedFlow) {
	if u.link == nil {
		return
	}
	if f.requestSizes == nil {
		f.requestSizes, f.startSeen = u.requestSizes[f.key.Service()], true
	}
	if !f.Established {
		u.observeTransfer(now, f)
	}
}

// addTakenOver records a flow that another instance forwarded before.
func (u *linkUse) addTakenOver(f *trackedFlow) {
	if u.link != nil {
		f.requestSizes = u.requestSizes[f.key.Service()]
	}
}

// observe records a packet after the opening and what it reveals.
func (u *linkUse) observe(now time.Time, f *trackedFlow, s *flow.Segment, o *flow.Observation) {
	if f.requestSizes == nil {
		return
	}
	if o.Answered {
		if f.startSeen {
			f.requestSizes.Record(int(f.requestBytes))
		}
		f.startSeen, f.requestBytes = true, 0
		u.endTransfer(f)
	}
	f.requestBytes += uint32(o.NewBytes)
	if f.transferring {
		u.link.ReceivedBulk(now, s.Size+packetOverhead)
	}
	if !f.callerClosed && (f.transferring || (f.Waiting && s.Length > 0)) {
		u.observeTransfer(now, f)
	}
}

// observeTransfer records a packet of a flow that is in progress as a bulk transfer if
// the route's flows are bulk flows.
func (u *linkUse) observeTransfer(now time.Time, f *trackedFlow) {
	switch {
	case f.transferring:
		u.transfers.Progress(now, f.key)
	case f.requestSizes != nil && f.requestSizes.Bulk():
		u.transfers.Begin(now, f.key)
		f.transferring = true
	}
}

// endTransfer records that a flow is not in progress as a bulk transfer any more.
func (u *linkUse) endTransfer(f *trackedFlow) {
	if f.transferring {
		u.transfers.End(f.key)
		f.transferring = false
	}
}

// drop records the end of a flow, whose last request may be unanswered.
func (u *linkUse) drop(f *trackedFlow) {
	u.endTransfer(f)
	if f.requestSizes != nil && f.startSeen && f.Waiting {
		f.requestSizes.RecordUnfinished(int(f.requestBytes))
	}
}
