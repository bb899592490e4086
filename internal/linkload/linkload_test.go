package linkload

import (
	"testing"
	"time"

	"cuminshift/internal/flow"
)

var begin = time.Unix(1000, 0)

// playUploads offers uploads of 34 packets at the given rate for 10 s to a link of
// 10 Mbit/s and returns the longest queueing delay, the bytes carried, and the time
// after the load at which the next upload is admitted.
func playUploads(perSecond int, bitsPerSecond float64) (maxDelay time.Duration, carried int, admittedAfter time.Duration) {
	const bytesPerMillisecond, load = 10_000_000 / 8 / 1000, 10 * time.Second
	l := New(bitsPerSecond)
	var transfers Transfers
	left := map[flow.Key]int{}
	var queue []flow.Key
	credit, opened := 0, 0
	for at := time.Duration(0); ; at += time.Millisecond {
		now := begin.Add(at)
		transfers.Expire(now)
		for at <= load && opened < int(at.Seconds()*float64(perSecond)) {
			opened++
			k := flow.Key{CallerIP: uint32(opened)}
			if !l.AdmitBulk(now, transfers.Count()) {
				continue
			}
			transfers.Begin(now, k)
			left[k] = 34
			for range maxPacketsInFlight {
				queue = append(queue, k)
			}
		}
		if at > load && l.AdmitBulk(now, transfers.Count()) {
			return maxDelay, carried, at - load
		}
		maxDelay = max(maxDelay, time.Duration(len(queue)*maxPacketBytes/bytesPerMillisecond)*time.Millisecond)
		for credit += bytesPerMillisecond; credit >= maxPacketBytes && len(queue) > 0; credit -= maxPacketBytes {
			k := queue[0]
			queue = queue[1:]
			l.Received(now, maxPacketBytes, 1)
			l.ReceivedBulk(now, maxPacketBytes)
			transfers.Progress(now, k)
			carried += maxPacketBytes
			if left[k]--; left[k] >= maxPacketsInFlight {
				queue = append(queue, k)
			} else if left[k] == 0 {
				transfers.End(k)
			}
		}
		credit = min(credit, maxPacketBytes)
	}
}

// Guards against a queue that is longer than the callers' retransmission interval, and
// against an idle link while uploads are refused.
func TestUploadsLeaveQueueShort(t *testing.T) {
	for _, perSecond := range []int{20, 100, 1000} {
		delay, carried, after := playUploads(perSecond, 10_000_000)
		t.Logf("%d uploads/s: delay %v, %d bytes/s carried, next admitted after %v", perSecond, delay, carried/10, after)
		if delay > maxQueueDelay || carried < 8_000_000 || after > 2*time.Second {
			t.Errorf("%d uploads/s: delay %v, %d bytes carried in 10 s, next admitted after %v", perSecond, delay, carried, after)
		}
	}
	if delay, _, _ := playUploads(100, 1e9); delay <= 200*time.Millisecond {
		t.Errorf("the load does not fill the queue if all uploads are admitted: %v", delay)
	}
}

// Guards against refusals on links that are wide or of unknown bandwidth.
func TestWideAndUnknownLinksRefuseNothing(t *testing.T) {
	for _, l := range []*Link{New(0), New(10e9)} {
		for i := range 500 {
			now := begin.Add(time.Duration(i) * time.Millisecond)
			l.Received(now, 100_000, 1)
			l.Sent(now, 100_000)
			if !l.AdmitBulk(now, i) {
				t.Fatalf("refused with %d transfers and a utilization of %f", i, l.Utilization(now))
			}
		}
	}
	if !New(500_000).AdmitBulk(begin, 0) {
		t.Error("a link of 0.5 Mbit/s carries no transfer")
	}
}

// Guards against a direction that is left out, and against a mean that lags behind.
func TestUtilization(t *testing.T) {
	for _, count := range []func(*Link, time.Time, int){func(l *Link, now time.Time, bytes int) { l.Received(now, bytes, 1) }, (*Link).Sent} {
		l, now := New(8_000_000), begin
		for range 1000 {
			now = now.Add(time.Millisecond)
			count(l, now, 950)
		}
		if u := l.Utilization(now); u < 0.94 || u > 0.96 || l.AdmitBulk(now, 0) {
			t.Errorf("utilization %f", u)
		}
		if u := l.Utilization(now.Add(600 * time.Millisecond)); u != 0 {
			t.Errorf("utilization %f after 600 ms of silence", u)
		}
	}
}

// Guards against small requests that are refused as bulk, and against a route of
// uploads that is not recognised.
func TestBulkRoutes(t *testing.T) {
	var small, bulk, mixed, unanswered RequestSizes
	for i := range 1000 {
		small.Record(maxPacketBytes)
		bulk.Record(34 * maxPacketBytes)
		mixed.Record(34 * maxPacketBytes * (i % 10 / 9))
		unanswered.RecordUnfinished(16 * maxPacketBytes)
		if small.Bulk() || mixed.Bulk() || i >= minRequests && !(bulk.Bulk() && unanswered.Bulk()) {
			t.Fatalf("after %d requests: small %+v, mixed %+v, bulk %+v, unanswered %+v", i+1, small, mixed, bulk, unanswered)
		}
	}
}

// Guards against transfers of callers that have gone: they would keep others out.
func TestSilentTransfersExpire(t *testing.T) {
	var transfers Transfers
	a, b := flow.Key{CallerIP: 1}, flow.Key{CallerIP: 2}
	transfers.Begin(begin, a)
	transfers.Begin(begin, b)
	transfers.Progress(begin.Add(time.Second), b)
	transfers.Expire(begin.Add(silenceTimeout - 1))
	if transfers.Count() != 2 {
		t.Fatal("expired early")
	}
	transfers.Expire(begin.Add(silenceTimeout))
	if transfers.Count() != 1 {
		t.Fatalf("%d transfers after 1,600 ms", transfers.Count())
	}
	transfers.End(b)
	if transfers.Count() != 0 {
		t.Fatal("an ended transfer is under way")
	}
}

func BenchmarkReceived(b *testing.B) {
	b.ReportAllocs()
	l, now := New(10_000_000), time.Now()
	for range b.N {
		now = now.Add(time.Microsecond)
		l.Received(now, 1228, 1)
	}
}

// Guards against a link that stays full of retransmissions after a burst: what is
// admitted then is retransmitted too.
func TestCongestedLinkAdmitsNoBulk(t *testing.T) {
	for _, c := range []struct {
		packets, retransmits int
		congested            bool
	}{{800, 0, false}, {800, 30, false}, {800, 200, true}, {300, 100, false}} {
		l := New(10_000_000)
		for i := range c.packets {
			now := begin.Add(time.Duration(i) * time.Second / time.Duration(c.packets))
			l.Received(now, maxPacketBytes, 1)
			l.ReceivedBulk(now, maxPacketBytes)
			if i*c.retransmits/c.packets != (i+1)*c.retransmits/c.packets {
				l.Retransmitted(now)
			}
		}
		now := begin.Add(time.Second)
		if l.Congested(now) != c.congested || l.AdmitBulk(now, 1) == c.congested {
			t.Errorf("%d of %d packets a second retransmitted: congested %t, admitted %t", c.retransmits, c.packets, l.Congested(now), l.AdmitBulk(now, 1))
		}
		if l.Congested(now.Add(600 * time.Millisecond)) {
			t.Errorf("%d retransmits: congested 600 ms after the last packet", c.retransmits)
		}
	}
}

// Guards against bulk flows that leave no room to many small requests.
func TestSmallRequestsNarrowTheRoomOfBulkFlows(t *testing.T) {
	admitted := func(smallBytesPerSecond int) (n int) {
		l := New(10_000_000)
		for ms := range 1000 {
			l.Received(begin.Add(time.Duration(ms)*time.Millisecond), smallBytesPerSecond/1000, 1)
		}
		for l.AdmitBulk(begin.Add(time.Second), n) {
			n++
		}
		return n
	}
	if none, half, most := admitted(0), admitted(500_000), admitted(1_000_000); none < 3 || half < 1 || half >= none || most != 0 {
		t.Errorf("admitted %d, %d and %d bulk flows beside no, 0.5 and 1 MB/s of small requests", none, half, most)
	}
}
