// Package upstream decides from where an instance gets the data of the platform's
// store: from another instance, which it is then said to follow, or by its own
// calls to the store. Few instances call the store, on behalf of the others.
//
// Instances register in the store. The precedence of the instances is by the
// bandwidth of their links, widest first, and then by the order of their
// registrations. A registered instance follows only instances that precede it,
// so there are no cycles. Within a data centre the instances form a tree, and its
// root follows an instance of another data centre that precedes it. The instance
// that precedes all others calls the store. No consensus is needed: when two
// instances call the store, the only harm is the cost of the calls.
//
// An instance that has not registered, for example because the store does not
// answer, follows a seed: an instance at an address that the settings name, or one that has sent
// this instance a request.
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

// Place is the position of an instance in the order of registrations, which
// decides the precedence among instances of equal bandwidth. An instance with a
// smaller place registered earlier.
type Place int64

// Unregistered is the place of an instance that is not registered. It comes
// after all other places.
const Unregistered Place = math.MaxInt64

// Instance is an instance that may be followed.
type Instance struct {
	Name       model.InstanceID
	DataCentre model.DataCentre
	// Address is the address at which the instance passes the store's data on to
	// other instances.
	Address netip.AddrPort
	// Bandwidth is the bandwidth of the instance's link in Mbit/s. It is 0 when
	// unknown, also for a seed, and negative for this instance while it is not
	// registered.
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
	// FanOut is the maximum number of followers of an instance in its own data
	// centre while no instance fails. Followers in other data centres come on
	// top. A follower takes 0.85 KB/s of the 7 KB/s that control traffic may
	// take.
	FanOut = 7
	// failureBackoff is the time for which no request is sent to an instance that
	// did not answer.
	failureBackoff = 2 * time.Second
	// refusalBackoff is the time for which no request is sent to an instance that
	// refused because it serves its maximum number of followers. It is longer
	// than failureBackoff since the followers of that instance are no
	// alternative.
	refusalBackoff = 10 * time.Second
	// seedRetryInterval is the time between two calls to a seed. It is short
	// because callers lose half a second with the second retransmission of a
	// packet.
	seedRetryInterval = 200 * time.Millisecond
	// maxFallbacks bounds the candidates in other data centres, and those in the
	// instance's own data centre that are not its ancestors in the tree.
	maxFallbacks = 4
	// maxPerRemoteDataCentre bounds the candidates in one other data centre. When
	// it is cut off, each of them costs a call that times out.
	maxPerRemoteDataCentre = 2
	// maxSeeds bounds the seeds, which are those of the settings and the
	// instances that send requests to this one.
	maxSeeds = 16
	// registrationTimeout is the time without an answer after which a
	// registration is removed. It is much longer than a restart or a network
	// partition.
	registrationTimeout = 10 * time.Minute
)

// Selector selects the instance that one instance follows, from a list of
// candidates in order of preference. The zero value is an unregistered instance
// without candidates. It is not safe for concurrent use.
type Selector struct {
	self       Instance
	candidates []candidate
	// localRank is the number of instances of the own data centre that precede
	// this one.
	localRank int
	// asOf is the time as of which the followed instance's data of each source
	// was current.
	asOf [source.NumKinds]time.Time
}

type candidate struct {
	Instance
	// avoidUntil is the time before which no request is sent to the candidate.
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
	s.localRank = len(local)
	slices.SortFunc(local, compareInstances)
	slices.SortFunc(remote, compareInstances)
	s.candidates = s.candidates[:0]
	for _, i := range append(ancestorsFirst(local), remoteFallbacks(remote)...) {
		s.candidates = append(s.candidates, candidate{Instance: i})
	}
}

// ancestorsFirst returns the candidates of an instance among the sorted
// instances of its data centre that precede it. These form a tree with up to
// FanOut followers for each instance. The parent comes first, then its parent
// and so on up to the root, then a few others in case all ancestors fail.
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

// remoteFallbacks returns the candidates of an instance among the sorted instances
// of other data centres that precede it: the first one of each data centre, then the
// second ones.
func remoteFallbacks(preceding []Instance) []Instance {
	var out []Instance
	for round := range maxPerRemoteDataCentre {
		seen := map[model.DataCentre]int{}
		for _, i := range preceding {
			if seen[i.DataCentre]++; seen[i.DataCentre] == round+1 && len(out) < maxFallbacks {
				out = append(out, i)
			}
		}
	}
	return out
}

// Refresh replaces the candidates by those in a newer list of all registered
// instances. It does nothing unless the instance is registered.
func (s *Selector) Refresh(all []Instance) {
	if s.Registered() {
		s.Register(s.self, all)
	}
}

// ForgetAges records that no instance is left to follow, so that the data which was
// passed on no longer replaces calls to the store.
func (s *Selector) ForgetAges() { s.asOf = [source.NumKinds]time.Time{} }

// AddSeed adds a candidate at an address where an instance may be running. self is
// the own address of this instance. AddSeed does nothing if this instance is
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

// leaders is the number of first instances of a data centre that call the store at
// short intervals when data is overdue. One of them reaches the store unless it is
// out for all or most instances.
const leaders = 4

// ReliesOnOthers reports whether enough instances of the data centre precede this
// one to notice the return of a store that does not answer.
func (s *Selector) ReliesOnOthers() bool { return s.Registered() && s.localRank >= leaders }

// OwnPlace returns the place of this instance's registration.
func (s *Selector) OwnPlace() Place { return s.self.Place }

// Next returns the instance to send the next request to, which is the first
// candidate that is not in backoff, or false when there is none.
func (s *Selector) Next(now time.Time) (Instance, bool) {
	for _, c := range s.candidates {
		if !now.Before(c.avoidUntil) {
			return c.Instance, true
		}
	}
	return Instance{}, false
}

// RecordAnswer records an answer of instance i with its current place and the
// ages of its data, and reports whether to follow it. If i has registered again
// and no longer precedes this instance, it is removed from the candidates.
//
// An unregistered instance follows any other one. Two instances may then follow
// each other. They receive nothing new, so their data ages beyond the maximum
// of FreshUntil, and they call the store.
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

// RecordFailure records that an instance sent no usable answer. It reports whether
// this has lasted so long that the registration of the instance is to be removed.
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

// FreshUntil returns the time up to which the data that other instances passed on
// is no older than maxAge, which is the MaxRelayedAge of source.Timing. After that
// time this instance has to call the store itself. FreshUntil returns the zero
// time before the first answer.
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
	// Place returns the place of an instance's registration, or 0 if there is none.
	Place(ctx context.Context, name model.InstanceID) (Place, error)
	// Instances returns all registered instances, and the registrations that
	// cannot be decoded.
	Instances(ctx context.Context) ([]Instance, []source.Rejection, error)
	// Remove removes the registration of an instance, unless the instance has
	// registered again.
	Remove(ctx context.Context, i Instance) error
}
