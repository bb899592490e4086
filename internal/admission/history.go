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

// requestRecord is the record of a non-idempotent request in the history.
type requestRecord struct {
	// latest is the latest grant of the request. An empty holder means that the
	// server reported that the request did not run, so that any instance may
	// send it again.
	latest  grantKey
	expires time.Time
}

// historyEntry is an entry in the insertion order of a requestHistory.
type historyEntry struct {
	key     requestKey
	expires time.Time
}

// requestHistory records the non-idempotent requests that were granted, so that
// duplicates of them are not granted again.
type requestHistory struct {
	retention  time.Duration
	maxRecords int
	records    map[requestKey]requestRecord
	// insertionOrder holds the keys in the order in which they were recorded. A
	// key that was recorded again appears more than once.
	insertionOrder []historyEntry
	// incompleteUntil is the time until which requests that another admitter
	// granted may be missing.
	incompleteUntil time.Time
}

func newRequestHistory(cfg *Config) requestHistory {
	return requestHistory{retention: cfg.RequestRetention, maxRecords: cfg.MaxRememberedRequests, records: map[requestKey]requestRecord{}}
}

func (m *requestHistory) len() int { return len(m.records) }

func (m *requestHistory) incomplete(now time.Time) bool { return now.Before(m.incompleteUntil) }

func (m *requestHistory) full(now time.Time) bool {
	m.expire(now)
	return len(m.records) >= m.maxRecords
}

// lookup returns the latest grant of a request and whether the request is in the
// history.
func (m *requestHistory) lookup(now time.Time, k requestKey) (latest grantKey, known bool) {
	e, ok := m.records[k]
	if !ok || !now.Before(e.expires) {
		return grantKey{}, false
	}
	return e.latest, true
}

func (m *requestHistory) remember(until time.Time, k requestKey, latest grantKey) {
	m.records[k] = requestRecord{latest, until}
	m.insertionOrder = append(m.insertionOrder, historyEntry{k, until})
}

// recordRelease records the release of a grant. If the request did not run, any
// instance may send it again; otherwise only the holder may retry it. The
// release of an earlier grant can arrive after the retry was granted; it is
// ignored, because it must not let another instance send the request.
func (m *requestHistory) recordRelease(now time.Time, k requestKey, g grantKey, didNotRun bool) {
	e, ok := m.records[k]
	if !ok || e.latest != g {
		return
	}
	if didNotRun {
		g = grantKey{}
	}
	m.remember(now.Add(m.retention), k, g)
}

// expire removes expired records, oldest first.
func (m *requestHistory) expire(now time.Time) {
	for len(m.insertionOrder) > 0 && !now.Before(m.insertionOrder[0].expires) {
		k := m.insertionOrder[0].key
		if !now.Before(m.records[k].expires) {
			delete(m.records, k)
		}
		m.insertionOrder = m.insertionOrder[1:]
	}
}

// toProto returns the records that have not expired.
func (m *requestHistory) toProto(now time.Time) []*pb.RememberedRequest {
	var out []*pb.RememberedRequest
	listed := make(map[requestKey]bool, len(m.records))
	for _, r := range m.insertionOrder {
		e, ok := m.records[r.key]
		if !ok || listed[r.key] || !now.Before(e.expires) {
			continue
		}
		listed[r.key] = true
		out = append(out, &pb.RememberedRequest{
			Flow: uint64(r.key.flow), RequestId: r.key.id, ExpiresMs: milliseconds(e.expires.Sub(now)), Holder: string(e.latest.holder), Grant: e.latest.id,
		})
	}
	return out
}

// merge adds the records of a former admitter. It does not change records that
// are already present.
func (m *requestHistory) merge(now time.Time, list []*pb.RememberedRequest) {
	for _, r := range list {
		k := requestKey{model.FlowHash(r.GetFlow()), r.GetRequestId()}
		if _, known := m.lookup(now, k); known {
			continue
		}
		left := min(time.Duration(r.GetExpiresMs())*time.Millisecond, m.retention)
		m.remember(now.Add(left), k, grantKey{model.InstanceID(r.GetHolder()), r.GetGrant()})
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
