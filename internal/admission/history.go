package admission

import (
	"time"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// requestKey identifies a caller's request.
type requestKey struct {
	flow model.FlowHash
	id   uint64
}

func keyOf(r *pb.GrantRequest) requestKey {
	return requestKey{model.FlowHash(r.GetFlow()), r.GetRequestId()}
}

// requestRecord is what is remembered of a non-idempotent request: its latest grant.
// An empty holder means that the server said that it did not run: any instance may send it.
type requestRecord struct {
	latest  grantKey
	expires time.Time
}

type historyEntry struct {
	key     requestKey
	expires time.Time
}

// requestHistory remembers the non-idempotent requests that were granted.
type requestHistory struct {
	retention  time.Duration
	maxRecords int
	records    map[requestKey]requestRecord
	// insertionOrder holds the keys as they were remembered; one that was remembered
	// again appears again.
	insertionOrder []historyEntry
	// incompleteUntil is the time until which requests granted by a dead admitter
	// may be missing.
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

// lookup returns the latest grant of a request that is known.
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

// recordRelease records the end of a grant: the request may be sent again by
// anyone if it did not run, else only a retry of its holder may follow. The
// release of an earlier grant can arrive after the retry was granted, and
// must not free the request then.
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

// expire forgets what has expired, oldest first.
func (m *requestHistory) expire(now time.Time) {
	for len(m.insertionOrder) > 0 && !now.Before(m.insertionOrder[0].expires) {
		k := m.insertionOrder[0].key
		if !now.Before(m.records[k].expires) {
			delete(m.records, k)
		}
		m.insertionOrder = m.insertionOrder[1:]
	}
}

// toProto lists what is remembered at now.
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

// merge adds what a former admitter remembered, without changing what is
// already known here.
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

// maxRecentGrants bounds the memory of recent idempotent grants of a server.
const maxRecentGrants = 1024

// recentGrants remembers the latest idempotent requests that were granted and not
// reported as not run. A waiting copy of one is not refused as not run.
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

// remove forgets a request; its place in the order goes when it is oldest.
func (r *recentGrants) remove(k requestKey) { delete(r.keys, k) }
