// Package linkload keeps bulk transfers from filling the narrow link of an
// instance. The load that it handles is a burst of uploads at an instance whose
// link has, for example, 10 Mbit/s: with more than a few uploads in progress at
// the same time, packets wait in the link's queue for longer than the callers'
// retransmission interval, so that the link carries mostly retransmissions and
// stays full after the demand has gone.
//
// It decides on the openings of bulk flows, and reports when the link is so congested
// that less urgent openings have to stay away too.
package linkload

import (
	"time"

	"cuminshift/internal/flow"
)

const (
	// bucketDuration and windowBuckets give the window of the mean utilization,
	// 500 ms.
	bucketDuration = 100 * time.Millisecond
	windowBuckets  = 5
	// maxPacketBytes is the size of a caller's largest packet, and
	// maxPacketsInFlight the number of packets that one end sends without an
	// acknowledgement.
	maxPacketBytes     = 1200
	maxPacketsInFlight = 16
	// maxQueueDelay is the longest time that the packets of all bulk flows may
	// wait in the link's queue: a third of the 200 ms after which callers
	// retransmit, since bursts of small requests wait in the same queue. With
	// 150 ms, 40% of the bytes on links of 10 Mbit/s were retransmissions.
	maxQueueDelay = 65 * time.Millisecond
	// maxUtilization is the mean utilization above which no bulk flow opens. The
	// rest is left for small requests and probes.
	maxUtilization = 0.85
	// maxSmallUtilization is the utilization by other packets than those of bulk
	// flows up to which one bulk flow at a time always fits.
	maxSmallUtilization = 0.7
	// congestedRetransmits is the fraction of retransmissions among the received
	// packets, and congestedUtilization the utilization, above which packets are
	// taken to wait in the link's queue for longer than the callers' retransmission
	// interval. Lost packets alone make 1% of retransmissions.
	congestedRetransmits = 0.08
	congestedUtilization = 0.6
	// bulkRequestBytes is the mean size of a request above which the flows of a
	// route are bulk flows: half of what may be in flight.
	bulkRequestBytes = 8 * maxPacketBytes
	// minRequests is the number of requests from which on the mean counts. One
	// large request alone does not make a route bulk.
	minRequests = 4
	// meanRequests is the number of requests over which the running mean extends.
	meanRequests = 32
	// silenceTimeout is the time without a packet after which a transfer has ended:
	// the callers' longest retransmission interval.
	silenceTimeout = 1600 * time.Millisecond
)

// Link counts the bytes on an instance's link.
type Link struct {
	bytesPerSecond float64
	// start is the time of the first packet. Times are taken relative to it, so
	// that steps of the wall clock have no effect.
	start time.Time
	// received and sent are rings of byte counts: those of the current bucket and of
	// the windowBuckets before it. current is the index of the current bucket, which
	// ends at currentEnd.
	received, sent [windowBuckets + 1]int
	// bulk holds the part of received that belongs to bulk flows, and packets and
	// retransmits the numbers of received packets.
	bulk, packets, retransmits [windowBuckets + 1]int
	current                    int
	currentEnd                 time.Duration
}

// New returns a link of the given bandwidth; 0 means that it is unknown.
func New(bitsPerSecond float64) *Link { return &Link{bytesPerSecond: bitsPerSecond / 8} }

// Received counts bytes that the instance has received in a number of callers' packets.
func (l *Link) Received(now time.Time, bytes, packets int) {
	l.advance(now)
	l.received[l.current] += bytes
	l.packets[l.current] += packets
}

// ReceivedBulk records that the bytes of a packet counted by Received belong to a bulk
// flow.
func (l *Link) ReceivedBulk(now time.Time, bytes int) {
	l.advance(now)
	l.bulk[l.current] += bytes
}

// Retransmitted records that a packet counted by Received is a retransmission.
func (l *Link) Retransmitted(now time.Time) {
	l.advance(now)
	l.retransmits[l.current]++
}

// Sent counts a packet that the instance has sent.
func (l *Link) Sent(now time.Time, bytes int) {
	l.advance(now)
	l.sent[l.current] += bytes
}

// advance empties the buckets between the last packet and the given time, and returns
// the time since the first packet. A packet that is passed in slightly late counts in
// the current bucket.
func (l *Link) advance(now time.Time) (elapsed time.Duration) {
	if l.start.IsZero() {
		l.start = now
	}
	elapsed = now.Sub(l.start)
	if elapsed < l.currentEnd {
		return elapsed
	}
	buckets := (elapsed-l.currentEnd)/bucketDuration + 1
	for range min(int(buckets), len(l.received)) {
		l.current = (l.current + 1) % len(l.received)
		l.received[l.current], l.sent[l.current], l.bulk[l.current] = 0, 0, 0
		l.packets[l.current], l.retransmits[l.current] = 0, 0
	}
	l.currentEnd += buckets * bucketDuration
	return elapsed
}

// Utilization returns the mean utilization of the busier direction over the last
// 500 ms. It is 0 if the bandwidth is unknown.
func (l *Link) Utilization(now time.Time) float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	window := l.window(now)
	return float64(max(total(&l.received), total(&l.sent))) / window.Seconds() / l.bytesPerSecond
}

// window returns the time over which the rings extend.
func (l *Link) window(now time.Time) time.Duration {
	inCurrent := max(0, l.advance(now)-(l.currentEnd-bucketDuration))
	return windowBuckets*bucketDuration + inCurrent
}

func total(ring *[windowBuckets + 1]int) int {
	sum := 0
	for _, n := range ring {
		sum += n
	}
	return sum
}

// Congested reports whether packets wait in the link's queue for so long that callers
// retransmit them. The queue then drains only if the flows in progress get no company:
// retransmissions keep it full after the demand has gone.
func (l *Link) Congested(now time.Time) bool {
	if l.bytesPerSecond <= 0 || l.Utilization(now) <= congestedUtilization {
		return false
	}
	return float64(total(&l.retransmits)) > congestedRetransmits*float64(total(&l.packets))
}

// AdmitBulk reports whether the link has room for one more bulk flow beside the
// given number of transfers under way. What other packets take of the link is not
// there for the bulk flows' queue. The first one fits unless these packets nearly fill
// the link: a link of less than 1 Mbit/s would otherwise carry no transfer at all.
func (l *Link) AdmitBulk(now time.Time, underWay int) bool {
	if l.bytesPerSecond <= 0 {
		return true
	}
	if l.Utilization(now) > maxUtilization || l.Congested(now) {
		return false
	}
	small := float64(total(&l.received)-total(&l.bulk)) / l.window(now).Seconds()
	if underWay == 0 && small < maxSmallUtilization*l.bytesPerSecond {
		return true
	}
	queued := float64(underWay+1) * maxPacketsInFlight * maxPacketBytes
	return queued <= maxQueueDelay.Seconds()*(l.bytesPerSecond-small)
}

// RequestSizes learns the size of the requests of one route. The zero value is a
// route of which nothing is known.
type RequestSizes struct {
	requests int
	mean     float64
}

// Record takes the size of an answered request.
func (r *RequestSizes) Record(bytes int) {
	r.requests = min(r.requests+1, meanRequests)
	r.mean += (float64(bytes) - r.mean) / float64(r.requests)
}

// RecordUnfinished takes the bytes seen of a request that ended without an answer.
// They are a lower bound of its size, so they never lower the mean, and count only if
// they alone make it a bulk request. An instance that starts on a full link learns
// from them which routes are bulk.
func (r *RequestSizes) RecordUnfinished(bytes int) {
	if bytes > bulkRequestBytes {
		r.Record(max(bytes, int(r.mean)))
	}
}

// Bulk reports whether the route's flows are bulk flows.
func (r *RequestSizes) Bulk() bool { return r.requests >= minRequests && r.mean > bulkRequestBytes }

// Transfers holds the bulk transfers under way. Its size is bounded by the number
// of bulk flows whose last packet is no older than silenceTimeout.
type Transfers struct {
	lastPacket map[flow.Key]time.Time
}

// Begin records that a transfer has begun.
func (t *Transfers) Begin(now time.Time, k flow.Key) {
	if t.lastPacket == nil {
		t.lastPacket = map[flow.Key]time.Time{}
	}
	t.lastPacket[k] = now
}

// Progress records a packet of a transfer. One that has expired is under way again.
func (t *Transfers) Progress(now time.Time, k flow.Key) { t.Begin(now, k) }

// End records that a transfer has been answered or has ended.
func (t *Transfers) End(k flow.Key) { delete(t.lastPacket, k) }

// Expire removes the transfers that have fallen silent.
func (t *Transfers) Expire(now time.Time) {
	for k, last := range t.lastPacket {
		if now.Sub(last) >= silenceTimeout {
			delete(t.lastPacket, k)
		}
	}
}

// Count returns the number of transfers under way.
func (t *Transfers) Count() int { return len(t.lastPacket) }
