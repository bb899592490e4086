package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCallers bounds the callers that are counted, in buckets of bucketSize.
	maxCallers = 4096
	bucketSize = 8
	numBuckets = maxCallers / bucketSize
	// callerWindow is the time constant of the counts.
	callerWindow = time.Second
	// fairShare is the multiple of the mean openings of the other callers up to which
	// a caller's openings are treated like those of others.
	fairShare = 4
	// minShare is the number of openings per second that is always within the fair
	// share: when most callers open less than one flow per second, chance alone brings
	// some to several times the mean.
	minShare = 4
	// minCount is the count below which a caller is not active: that of one opening a
	// second ago.
	minCount = 1 / math.E
	// dropCount is the count below which a caller is forgotten. Arithmetic with the
	// smallest numbers, to which counts would decay, is slow.
	dropCount = 0.01
)

type callerCount struct {
	address uint32
	count   float32
}

// callers counts the openings of each caller in about the last second. Counting starts
// and stops with the overload. If a bucket is full, its smallest count gives way.
type callers struct {
	buckets *[numBuckets][bucketSize]callerCount
	// active and total are the number of active callers and the sum of their openings
	// at the last update.
	active, total float64
}

func (c *callers) start() {
	if c.buckets == nil {
		c.buckets = new([numBuckets][bucketSize]callerCount)
	}
}

func (c *callers) stop() { *c = callers{} }

func (c *callers) update(elapsed time.Duration) {
	if c.buckets == nil {
		return
	}
	decay := float32(math.Exp(-elapsed.Seconds() / callerWindow.Seconds()))
	c.active, c.total = 0, 0
	for i := range c.buckets {
		for j := range c.buckets[i] {
			k := &c.buckets[i][j]
			switch k.count *= decay; {
			case k.count >= minCount:
				c.active++
				c.total += float64(k.count)
			case k.count < dropCount:
				*k = callerCount{}
			}
		}
	}
}

// record counts an opening and reports whether it is beyond the caller's fair share.
// The flow's point decides; the returned point is again uniform in [0,1) among the
// openings with the same result.
func (c *callers) record(address uint32, point float64) (beyond bool, uniform float64) {
	if c.buckets == nil {
		return false, point
	}
	var raw [4]byte
	binary.LittleEndian.PutUint32(raw[:], address)
	bucket := &c.buckets[xxhash.Sum64(raw[:])%numBuckets]
	entry := &bucket[0]
	for i := range bucket {
		if k := &bucket[i]; k.count > 0 && k.address == address {
			entry = k
			break
		} else if k.count < entry.count {
			entry = k
		}
	}
	if entry.address != address {
		*entry = callerCount{address: address}
	}
	entry.count++
	count := float64(entry.count)
	if c.active < 2 {
		return false, point
	}
	// The caller's own openings would hide it among few callers.
	mean := max(c.total-count, 0) / (c.active - 1)
	within := max(fairShare*mean, minShare) / count
	switch {
	case within >= 1:
		return false, point
	case point < within:
		return false, point / within
	default:
		return true, (point - within) / (1 - within)
	}
}
