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

// memo is what is remembered of a non-idempotent request: its latest grant.
// An empty holder means that the server said that it did not run: any instance may send it.
type memo struct {
	latest  grantKey
	expires time.Time
}

type remembered struct {
	key     requestKey
	expires time.Time
}

// memory remembers the non-idempotent requests that were granted.
type memory struct {
	keep  time.Duration
	max   int
	memos map[requestKey]memo
	// order holds the keys as they were remembered; one that was remembered
	// again appears again.
	order []remembered
	// lossyUntil is the time until which requests granted by a dead admitter
	// may be missing.
	lossyUntil time.Time
}

func newMemory(cfg *Config) memory {
	return memory{keep: cfg.RequestMemory, max: cfg.MaxRemembered, memos: map[requestKey]memo{}}
}

func (m *memory) len() int { return len(m.memos) }

func (m *memory) lossy(now time.Time) bool { return now.Before(m.lossyUntil) }

func (m *memory) full(now time.Time) bool {
	m.expire(now)
	return len(m.memos) >= m.max
}

// lookup returns the latest grant of a request that is known.
func (m *memory) lookup(now time.Time, k requestKey) (latest grantKey, known bool) {
	e, ok := m.memos[k]
	if !ok || !now.Before(e.expires) {
		return grantKey{}, false
	}
	return e.latest, true
}

func (m *memory) remember(until time.Time, k requestKey, latest grantKey) {
	m.memos[k] = memo{latest, until}
	m.order = append(m.order, remembered{k, until})
}

// released records the end of a grant: the request may be sent again by
// anyone if it did not run, else only a retry of its holder may follow. The
// release of an earlier grant can arrive after the retry was granted, and
// must not free the request then.
func (m *memory) released(now time.Time, k requestKey, g grantKey, didNotRun bool) {
	e, ok := m.memos[k]
	if !ok || e.latest != g {
		return
	}
	if didNotRun {
		g = grantKey{}
	}
	m.remember(now.Add(m.keep), k, g)
}

// expire forgets what has expired, oldest first.
func (m *memory) expire(now time.Time) {
	for len(m.order) > 0 && !now.Before(m.order[0].expires) {
		k := m.order[0].key
		if !now.Before(m.memos[k].expires) {
			delete(m.memos, k)
		}
		m.order = m.order[1:]
	}
}

// proto lists what is remembered at now.
func (m *memory) proto(now time.Time) []*pb.RememberedRequest {
	var out []*pb.RememberedRequest
	listed := make(map[requestKey]bool, len(m.memos))
	for _, r := range m.order {
		e, ok := m.memos[r.key]
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

// adopt adds what a former admitter remembered, without changing what is
// already known here.
func (m *memory) adopt(now time.Time, list []*pb.RememberedRequest) {
	for _, r := range list {
		k := requestKey{model.FlowHash(r.GetFlow()), r.GetRequestId()}
		if _, known := m.lookup(now, k); known {
			continue
		}
		left := min(time.Duration(r.GetExpiresMs())*time.Millisecond, m.keep)
		m.remember(now.Add(left), k, grantKey{model.InstanceID(r.GetHolder()), r.GetGrant()})
	}
}

// maxRecent bounds the memory of recent idempotent grants of a server.
const maxRecent = 1024

// recent remembers the latest idempotent requests that were granted and not
// reported as not run. A waiting copy of one is not refused as not run.
type recent struct {
	keys  map[requestKey]bool
	order []requestKey
}

func (r *recent) add(k requestKey) {
	if r.keys[k] {
		return
	}
	if r.keys == nil {
		r.keys = map[requestKey]bool{}
	}
	if len(r.order) >= maxRecent {
		delete(r.keys, r.order[0])
		r.order = r.order[1:]
	}
	r.keys[k] = true
	r.order = append(r.order, k)
}

// remove forgets a request; its place in the order goes when it is oldest.
func (r *recent) remove(k requestKey) { delete(r.keys, k) }
