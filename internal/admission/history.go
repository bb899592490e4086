package admission

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// requestKey identifies a request of a caller.
type requestKey struct {
	flow model.FlowHash
	id   uint64
}

func keyOf(r *pb.GrantRequest) requestKey {
	return requestKey{model.FlowHash(r.GetFlow()), r.GetRequestId()}
}

type requestRecord struct {
	// latest is the latest grant of the request. An empty holder means that the
	// server reported that the request did not run, so that any instance may
	// send it again.
	latest  grantKey
	expires time.Time
}

// historyEntry is an entry in the insertion order of a history.
type historyEntry struct {
	key     requestKey
	expires time.Time
}

// history records the non-idempotent requests that were granted, so that
// duplicates of them are not granted again.
type history struct {
	retention time.Duration
	// max is the maximum number of records.
	max     int
	records map[requestKey]requestRecord
	// insertionOrder holds the keys in the order in which they were recorded. A
	// key that was recorded several times appears several times.
	insertionOrder []historyEntry
	// incompleteUntil is the time until which requests that another admitter
	// granted may be missing from the history.
	incompleteUntil time.Time
}

func newHistory(cfg *Config) history {
	return history{retention: cfg.RequestRetention, max: cfg.MaxRememberedRequests, records: map[requestKey]requestRecord{}}
}

func (h *history) len() int { return len(h.records) }

func (h *history) incomplete(now time.Time) bool { return now.Before(h.incompleteUntil) }

func (h *history) full(now time.Time) bool {
	h.expire(now)
	return len(h.records) >= h.max
}

// lookup returns the latest grant of a request and whether the request is in the
// history.
func (h *history) lookup(now time.Time, k requestKey) (latest grantKey, known bool) {
	record, ok := h.records[k]
	if !ok || !now.Before(record.expires) {
		return grantKey{}, false
	}
	return record.latest, true
}

func (h *history) remember(until time.Time, k requestKey, latest grantKey) {
	h.records[k] = requestRecord{latest, until}
	h.insertionOrder = append(h.insertionOrder, historyEntry{k, until})
}

// recordRelease records the release of a grant. If the request did not run, any
// instance may send it again; otherwise only the holder may retry it. The
// release of an earlier grant can arrive after the retry was granted; it is
// ignored, because it must not let another instance send the request.
func (h *history) recordRelease(now time.Time, k requestKey, g grantKey, didNotRun bool) {
	record, ok := h.records[k]
	if !ok || record.latest != g {
		return
	}
	if didNotRun {
		g = grantKey{}
	}
	h.remember(now.Add(h.retention), k, g)
}

// expire removes expired records, oldest first.
func (h *history) expire(now time.Time) {
	for len(h.insertionOrder) > 0 && !now.Before(h.insertionOrder[0].expires) {
		k := h.insertionOrder[0].key
		if !now.Before(h.records[k].expires) {
			delete(h.records, k)
		}
		h.insertionOrder = h.insertionOrder[1:]
	}
}

// toProto returns the records that have not expired.
func (h *history) toProto(now time.Time) []*pb.RememberedRequest {
	var out []*pb.RememberedRequest
	listed := make(map[requestKey]bool, len(h.records))
	for _, entry := range h.insertionOrder {
		record, ok := h.records[entry.key]
		if !ok || listed[entry.key] || !now.Before(record.expires) {
			continue
		}
		listed[entry.key] = true
		out = append(out, &pb.RememberedRequest{
			Flow: uint64(entry.key.flow), RequestId: entry.key.id, ExpiresMs: milliseconds(record.expires.Sub(now)), Holder: string(record.latest.holder), Grant: record.latest.id,
		})
	}
	return out
}

// merge adds the records of a former admitter. It does not change records that
// are already present.
func (h *history) merge(now time.Time, list []*pb.RememberedRequest) {
	for _, r := range list {
		k := requestKey{model.FlowHash(r.GetFlow()), r.GetRequestId()}
		if _, known := h.lookup(now, k); known {
			continue
		}
		left := min(time.Duration(r.GetExpiresMs())*time.Millisecond, h.retention)
		h.remember(now.Add(left), k, grantKey{model.InstanceID(r.GetHolder()), r.GetGrant()})
	}
}

// maxRecentGrants is the maximum number of requests in recentGrants, per server.
const maxRecentGrants = 1024

// recentGrants is the set of the most recently granted idempotent requests,
// without those that were reported as not run. A waiting duplicate of one of them
// must not be refused as a request that did not run.
type recentGrants struct {
	keys  map[requestKey]bool
	order []requestKey
}

func (r *recentGrants) add(k requestKey) {
	if r.keys[k] {
		return
	}
	if r.keys == nil {
		r.keys = map[requestKey]bool{}
	}
	if len(r.order) >= maxRecentGrants {
		delete(r.keys, r.order[0])
		r.order = r.order[1:]
	}
	r.keys[k] = true
	r.order = append(r.order, k)
}

// remove removes a request from the set. Its entry in order is removed when it is
// the oldest one.
func (r *recentGrants) remove(k requestKey) { delete(r.keys, k) }
