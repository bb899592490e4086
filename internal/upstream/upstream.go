// Package upstream selects the instance that an instance follows, that is, from
// which it receives the store's data, and the time from which it has to call
// the store itself.
//
// Instances register in the platform's store. They are ordered by the bandwidth
// of their links, widest first, and then by the order of their registrations.
// An instance follows a responsive instance that precedes it in this order, in
// its own data centre if there is one, so there are no cycles. The first
// instance calls the store on behalf of the others; within a data centre the
// instances form a tree. No consensus is needed: when two instances call the
// store, the only harm is the cost of the calls.
package upstream

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"cuminshift/internal/model"
	"cuminshift/internal/source"
)

// Place is the position of an instance in the order of registrations. An
// instance with a smaller place registered earlier.
type Place int64

// Unregistered is the place of an instance that is not registered. It comes
// after all other places.
const Unregistered Place = math.MaxInt64

// Instance is a registered instance.
type Instance struct {
	Name       model.InstanceID
	DataCentre model.DataCentre
	// Address is the address of the instance's feed server.
	Address netip.AddrPort
	// Bandwidth is the bandwidth of the instance's link in Mbit/s. It is 0 when
	// unknown and negative for an instance that is not registered.
	Bandwidth int
	Place     Place
}

// before reports whether the instance precedes the other one: instances are
// ordered by bandwidth, widest first, and then by the order of registration.
func (i Instance) before(other Instance) bool {
	if i.Bandwidth != other.Bandwidth {
		return i.Bandwidth > other.Bandwidth
	}
	return i.Place < other.Place
}

const (
	// FanOut is the maximum number of followers of an instance within its data
	// centre. A follower takes 0.85 KB/s of the 7 KB/s that control traffic may
	// take.
	FanOut = 7
	// failureBackoff is the time for which an instance that did not answer is
	// not asked again.
	failureBackoff = 2 * time.Second
	// refusalBackoff is the time for which an instance that refused is not asked
	// again, because it serves others or is about to stop. It is longer than
	// failureBackoff since the followers of that instance are no alternative.
	refusalBackoff = 10 * time.Second
	// seedRetryInterval is the time between two calls to a seed. It is short
	// because callers lose half a second with the second retransmission of a
	// packet.
	seedRetryInterval = 200 * time.Millisecond
	// maxFallbacks bounds the candidates in other data centres, and the ones of
	// the own data centre that are not ancestors. A data centre is seldom cut
	// off from more than one other.
	maxFallbacks = 4
	// maxSeeds bounds the seeds, which are those of the settings and the
	// instances that send requests to this one.
	maxSeeds = 16
	// registrationTimeout is the time without an answer after which a
	// registration is removed. It is much longer than a restart or a network
	// partition.
	registrationTimeout = 10 * time.Minute
)

// Selector selects the instance to follow from one instance's candidates.
type Selector struct {
	self       Instance
	candidates []candidate
	// asOf is the time as of which the followed instance's data of each source
	// was current.
	asOf [source.NumKinds]time.Time
}

type candidate struct {
	Instance
	// avoidUntil is the time before which the candidate is not asked.
	avoidUntil time.Time
	// failingSince is the time of the first failure since the last answer; zero
	// when there was none.
	failingSince time.Time
}

// Register sets the instance's own registration and replaces the candidates by
// those of all registered instances that precede it.
func (s *Selector) Register(self Instance, all []Instance) {
	s.self = self
	var local, remote []Instance
	for _, i := range all {
		switch {
		case !i.before(self) || i.Name == self.Name || i.Address == self.Address:
		case i.DataCentre == self.DataCentre:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	slices.SortFunc(local, compareInstances)
	slices.SortFunc(remote, compareInstances)
	s.candidates = s.candidates[:0]
	for _, i := range append(ancestorsFirst(local), remote[:min(len(remote), maxFallbacks)]...) {
		s.candidates = append(s.candidates, candidate{Instance: i})
	}
}

// ancestorsFirst returns the candidates of an instance among the sorted
// instances of its data centre that precede it. These form a tree with up to
// FanOut followers for each instance. The parent comes first, then its parent
// and so on up to the root, then a few others in case all ancestors are lost.
func ancestorsFirst(preceding []Instance) []Instance {
	var out []Instance
	added := map[int]bool{}
	for n := len(preceding); n > 0; {
		n = (n - 1) / FanOut
		out, added[n] = append(out, preceding[n]), true
	}
	for n := 0; n < len(preceding) && n < maxFallbacks; n++ {
		if !added[n] {
			out = append(out, preceding[n])
		}
	}
	return out
}

// AddSeed adds the address of an instance that may be running as a candidate,
// for an instance that cannot register. It does nothing once the instance is
// registered.
func (s *Selector) AddSeed(self, seed netip.AddrPort) {
	i := Instance{Name: model.InstanceID(seed.String()), Address: seed}
	if s.Registered() || seed == self || len(s.candidates) >= maxSeeds || s.find(i) != nil {
		return
	}
	s.self = Instance{Address: self, Bandwidth: -1, Place: Unregistered}
	s.candidates = append(s.candidates, candidate{Instance: i})
}

// Registered reports whether the instance is registered.
func (s *Selector) Registered() bool { return s.self.Place != 0 && s.self.Place != Unregistered }

// OwnPlace returns the instance's own place.
func (s *Selector) OwnPlace() Place { return s.self.Place }

// Next returns the first candidate that is not in backoff, or false when there
// is none.
func (s *Selector) Next(now time.Time) (Instance, bool) {
	for _, c := range s.candidates {
		if !now.Before(c.avoidUntil) {
			return c.Instance, true
		}
	}
	return Instance{}, false
}

// RecordAnswer records an answer of an instance with its current place and the
// ages of its data, and reports whether to follow it. An instance that has since
// registered again and comes later is no longer followed. An instance that is
// not registered itself follows any other; two that follow each other receive
// nothing new, which the ages of their data show.
func (s *Selector) RecordAnswer(now time.Time, i Instance, place Place, ages [source.NumKinds]time.Duration) (follow bool) {
	if i.Place = place; s.Registered() && !i.before(s.self) {
		s.remove(i)
		return false
	}
	for k, age := range ages {
		s.asOf[k] = now.Add(-age)
	}
	if c := s.find(i); c != nil {
		c.failingSince = time.Time{}
	}
	return true
}

// RecordFailure records that an instance did not answer. It reports whether the
// instance has failed to answer for so long that its registration is to be
// removed.
func (s *Selector) RecordFailure(now time.Time, i Instance) (dead bool) {
	c := s.find(i)
	if c == nil {
		return false
	}
	if !s.Registered() {
		c.avoidUntil = now.Add(seedRetryInterval)
		return false
	}
	c.avoidUntil = now.Add(failureBackoff)
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if now.Sub(c.failingSince) < registrationTimeout {
		return false
	}
	s.remove(i)
	return true
}

// RecordRefusal records that an instance serves its maximum number of followers.
func (s *Selector) RecordRefusal(now time.Time, i Instance) {
	c := s.find(i)
	switch {
	case c == nil:
	case !s.Registered():
		c.avoidUntil = now.Add(seedRetryInterval)
	default:
		c.avoidUntil = now.Add(refusalBackoff)
	}
}

func (s *Selector) find(i Instance) *candidate {
	for n := range s.candidates {
		if s.candidates[n].Name == i.Name {
			return &s.candidates[n]
		}
	}
	return nil
}

func (s *Selector) remove(i Instance) {
	for n := range s.candidates {
		if s.candidates[n].Name == i.Name {
			s.candidates = append(s.candidates[:n], s.candidates[n+1:]...)
			return
		}
	}
}

// FreshUntil returns the time up to which the data that other instances passed
// on is no older than maxAge; after that the instance has to call the store
// itself. It returns the zero time before the first answer.
func (s *Selector) FreshUntil(k source.Kind, maxAge time.Duration) time.Time {
	if s.asOf[k].IsZero() {
		return time.Time{}
	}
	return s.asOf[k].Add(maxAge)
}

func compareInstances(a, b Instance) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// Directory holds the registrations of the instances.
type Directory interface {
	// Register registers the instance and returns its place.
	Register(ctx context.Context, i Instance) (Place, error)
	// Instances returns all registered instances, and the registrations that
	// cannot be decoded.
	Instances(ctx context.Context) ([]Instance, []source.Rejection, error)
	// Remove removes the registration of an instance, unless the instance has
	// registered again.
	Remove(ctx context.Context, i Instance) error
}
