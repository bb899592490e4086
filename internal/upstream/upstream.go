// Package upstream decides which other instance an instance follows, and from
// when on it has to call the store itself.
//
// Instances register in the platform's store. The width of their links and the
// order of their registrations are the order in which they are followed: an
// instance follows one before it that answers, of its own data centre if there
// is one, so nobody follows in a circle. The first one of all calls the store
// for the others; within a data centre the instances form a tree. No agreement is
// needed: two instances that call the store do no harm but the cost.
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

// Place is the order of an instance's registration.
type Place int64

// Unregistered is the place of an instance that is not registered: after all
// others.
const Unregistered Place = math.MaxInt64

// Instance is a registered instance.
type Instance struct {
	Name       model.InstanceID
	DataCentre model.DataCentre
	// Address is that of its feed.
	Address netip.AddrPort
	// Bandwidth of the instance's link in Mbit/s.
	Bandwidth int
	Place     Place
}

// before is the order in which instances are followed: wide links first, then
// the order of registration.
func (i Instance) before(other Instance) bool {
	if i.Bandwidth != other.Bandwidth {
		return i.Bandwidth > other.Bandwidth
	}
	return i.Place < other.Place
}

const (
	// FanOut is the number of instances that follow one within its data centre.
	// A follower takes 0.85 KB/s, and control may take 7 KB/s.
	FanOut = 7
	// failureBackoff keeps an instance that did not answer from being asked again.
	failureBackoff = 2 * time.Second
	// refusalBackoff keeps one that serves others or is about to stop away
	// longer; its own followers are no use to it.
	refusalBackoff = 10 * time.Second
	// seedRetryInterval is the time between two calls to a seed: callers lose half a
	// second with the second repeat of a packet.
	seedRetryInterval = 200 * time.Millisecond
	// maxFallbacks is the number of instances of other data centres that one may
	// follow: a data centre is seldom cut off from more than one other.
	maxFallbacks = 4
	// maxSeeds bounds the seeds: those of the settings and instances that ask
	// this one.
	maxSeeds = 16
	// registrationTimeout is the silence after which a registration is removed: much
	// longer than a restart or a cut.
	registrationTimeout = 10 * time.Minute
)

// Selector holds one instance's candidates.
type Selector struct {
	self       Instance
	candidates []candidate
	// asOf is the time as of which the followed instance's knowledge of each
	// source was current.
	asOf [source.NumKinds]time.Time
}

type candidate struct {
	Instance
	avoidUntil time.Time
	// failingSince is the first failure since the last answer.
	failingSince time.Time
}

// Register takes the instance's own place and all registered instances.
func (u *Selector) Register(self Instance, all []Instance) {
	u.self = self
	var own, others []Instance
	for _, i := range all {
		switch {
		case !i.before(self) || i.Name == self.Name || i.Address == self.Address:
		case i.DataCentre == self.DataCentre:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	slices.SortFunc(own, compareInstances)
	slices.SortFunc(others, compareInstances)
	u.candidates = u.candidates[:0]
	for _, i := range append(ancestorsFirst(own), others[:min(len(others), maxFallbacks)]...) {
		u.candidates = append(u.candidates, candidate{Instance: i})
	}
}

// ancestorsFirst orders the instances before one, of its own data centre. They
// form a tree in which each is followed by FanOut others: the parent comes
// first, then its parent, up to the first of all, and a few others for the case
// that all of these are lost.
func ancestorsFirst(before []Instance) []Instance {
	var out []Instance
	taken := map[int]bool{}
	for n := len(before); n > 0; {
		n = (n - 1) / FanOut
		out, taken[n] = append(out, before[n]), true
	}
	for n := 0; n < len(before) && n < maxFallbacks; n++ {
		if !taken[n] {
			out = append(out, before[n])
		}
	}
	return out
}

// AddSeed takes the address of an instance that may live, for an instance that
// cannot register. It does nothing once the instance is registered.
func (u *Selector) AddSeed(self, seed netip.AddrPort) {
	i := Instance{Name: model.InstanceID(seed.String()), Address: seed}
	if u.Registered() || seed == self || len(u.candidates) >= maxSeeds || u.find(i) != nil {
		return
	}
	u.self = Instance{Address: self, Bandwidth: -1, Place: Unregistered}
	u.candidates = append(u.candidates, candidate{Instance: i})
}

// Registered reports whether the instance has a place.
func (u *Selector) Registered() bool { return u.self.Place != 0 && u.self.Place != Unregistered }

// OwnPlace returns the instance's own place.
func (u *Selector) OwnPlace() Place { return u.self.Place }

// Next returns the instance to ask.
func (u *Selector) Next(now time.Time) (Instance, bool) {
	for _, c := range u.candidates {
		if !now.Before(c.avoidUntil) {
			return c.Instance, true
		}
	}
	return Instance{}, false
}

// RecordAnswer notes an answer with the ages of the knowledge behind it. An
// instance that has registered anew since is no longer followed. An instance
// that is not registered itself follows any: two that follow each other learn
// nothing new, which their ages show.
func (u *Selector) RecordAnswer(now time.Time, i Instance, place Place, ages [source.NumKinds]time.Duration) (follow bool) {
	if i.Place = place; u.Registered() && !i.before(u.self) {
		u.remove(i)
		return false
	}
	for k, age := range ages {
		u.asOf[k] = now.Add(-age)
	}
	if c := u.find(i); c != nil {
		c.failingSince = time.Time{}
	}
	return true
}

// RecordFailure notes that an instance did not answer. It reports whether the
// instance has been silent for so long that its registration is to be removed.
func (u *Selector) RecordFailure(now time.Time, i Instance) (dead bool) {
	c := u.find(i)
	if c == nil {
		return false
	}
	if !u.Registered() {
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
	u.remove(i)
	return true
}

// RecordRefusal notes that an instance serves no more others.
func (u *Selector) RecordRefusal(now time.Time, i Instance) {
	c := u.find(i)
	switch {
	case c == nil:
	case !u.Registered():
		c.avoidUntil = now.Add(seedRetryInterval)
	default:
		c.avoidUntil = now.Add(refusalBackoff)
	}
}

func (u *Selector) find(i Instance) *candidate {
	for n := range u.candidates {
		if u.candidates[n].Name == i.Name {
			return &u.candidates[n]
		}
	}
	return nil
}

func (u *Selector) remove(i Instance) {
	for n := range u.candidates {
		if u.candidates[n].Name == i.Name {
			u.candidates = append(u.candidates[:n], u.candidates[n+1:]...)
			return
		}
	}
}

// FreshUntil returns the time up to which the knowledge passed on by other
// instances is no older than limit; afterwards the instance has to call the
// store itself.
func (u *Selector) FreshUntil(k source.Kind, limit time.Duration) time.Time {
	if u.asOf[k].IsZero() {
		return time.Time{}
	}
	return u.asOf[k].Add(limit)
}

func compareInstances(a, b Instance) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// Directory is where instances register.
type Directory interface {
	// Register enters the instance and returns its place.
	Register(ctx context.Context, i Instance) (Place, error)
	// Instances returns all registered instances, and the registrations that
	// cannot be understood.
	Instances(ctx context.Context) ([]Instance, []source.Rejection, error)
	// Remove takes out an instance that has not registered anew.
	Remove(ctx context.Context, i Instance) error
}
