package steering

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// filter holds the low 32 bits of the flows of a MIXED bucket that have a
// record, sorted. A flow that is not in it is at the bucket's base server, so
// an instance asks the owner once per bucket and not once per flow: with
// sessions that last for hours a bucket stays MIXED for hours, and each new
// flow would otherwise cost a query at every instance.
type filter []uint32

// maxFilter bounds the exceptions in one filter to 16 KB; a bucket with more
// keeps its queries.
const maxFilter = 4096

func fingerprint(f model.FlowHash) uint32 { return uint32(f) }

// atBase reports whether the owner has said that the flow is at the base
// server of its bucket.
func (s *Steering) atBase(id bucketID, flow model.FlowHash) bool {
	f, ok := s.filters[id]
	if !ok {
		return false
	}
	_, exception := slices.BinarySearch(f, fingerprint(flow))
	return !exception
}

// attachFilter adds the filter of a flow's bucket to a reply when this
// instance is the owner and certain to hold all records of the bucket. An
// instance that asks about a flow at the base server has no filter yet.
func (s *Steering) attachFilter(now time.Time, r *pb.ResolveReply, k key, server model.ServerID) {
	id, b, ok := s.bucketOf(k)
	if !ok || b.Phase != dcstate.Mixed || server != b.Base || s.owner(id) != s.cfg.Self || s.mustAsk(now, id, b) {
		return
	}
	c := s.copies[id]
	if len(c.flows) > maxFilter {
		return
	}
	for _, f := range r.Filters {
		if f.Service == uint64(id.service) && f.Bucket == uint32(id.number) {
			return
		}
	}
	s.addFilter(r, id, c)
	c.shared = true
}

func (s *Steering) addFilter(r *pb.ResolveReply, id bucketID, c *bucketCopy) {
	f := &pb.ResolveReply_Filter{Service: uint64(id.service), Bucket: uint32(id.number)}
	for flow := range c.flows {
		f.Exceptions = append(f.Exceptions, fingerprint(flow))
	}
	slices.Sort(f.Exceptions)
	r.Generation, r.Publisher = s.state.Version.Generation, string(s.state.Version.Publisher)
	r.Filters = append(r.Filters, f)
}

// sharePace is the time over which additions to filters are gathered. An
// addition is a flow of which this owner has just heard; before that, its
// unknown packets went to the base server anyway.
const sharePace = 100 * time.Millisecond

// shareAdditions tells all instances of records that were added after they may
// have got a filter, such as reports that were late.
func (s *Steering) shareAdditions(now time.Time) {
	if len(s.additions) == 0 || now.Sub(s.lastShared) < sharePace {
		return
	}
	var filters []*pb.ResolveReply_Filter
	for _, id := range sortedKeys(s.additions, compareBuckets) {
		if c := s.copies[id]; c != nil && c.shared {
			filters = append(filters, &pb.ResolveReply_Filter{Service: uint64(id.service), Bucket: uint32(id.number), Exceptions: s.additions[id], Add: true})
		}
	}
	clear(s.additions)
	s.lastShared = now
	if len(filters) == 0 {
		return
	}
	for _, m := range s.state.Members {
		if m.Instance != s.cfg.Self {
			r := s.replyTo(m.Instance)
			r.Filters = append(r.Filters, filters...)
		}
	}
}

// takeFilters stores the filters of a reply that was sent under the state
// that this instance has. Additions need no such check: a further exception
// only costs a query.
func (s *Steering) takeFilters(r *pb.ResolveReply) {
	if s.state == nil {
		return
	}
	current := dcstate.Version{Generation: r.GetGeneration(), Publisher: model.InstanceID(r.GetPublisher())} == s.state.Version
	for _, f := range r.GetFilters() {
		id := bucketID{model.ServiceID(f.GetService()), int(f.GetBucket())}
		buckets := s.state.Services[id.service]
		if id.number >= len(buckets) || buckets[id.number].Phase != dcstate.Mixed {
			continue
		}
		have, ok := s.filters[id]
		switch {
		case f.GetAdd() && ok:
			all := append(slices.Clone(have), f.GetExceptions()...)
			slices.Sort(all)
			s.filters[id] = slices.Compact(all)
		case !f.GetAdd() && current:
			s.filters[id] = f.GetExceptions()
		}
	}
}

// dropFilters forgets the filters of changed buckets, and all of them when
// the view changed: another owner may then hold other records.
func (s *Steering) dropFilters(old *dcstate.State, changed []bucketID) {
	if old == nil || !slices.Equal(old.Members, s.state.Members) {
		clear(s.filters)
		for _, c := range s.copies {
			c.shared = false
		}
		return
	}
	for _, id := range changed {
		delete(s.filters, id)
		if c := s.copies[id]; c != nil {
			c.shared = false
		}
	}
}
