// Package limits enforces the limits that the plan of a caller (a customer) sets
// per service: openings per second with concurrent flows, and requests per second
// with concurrent requests. A flow is a connection, and an opening is the packet
// that opens it. A limit applies to each data centre separately. Each instance of
// the data centre enforces a share of it. The shares add up to the limit, so that
// a decision needs no coordination.
//
// A limit that is smaller than the number of instances leaves some of them
// without a share. These borrow a unit, which is one flow or request, from an
// instance that holds a share, the lender. The lender checks the rate and the
// concurrency limit and counts the unit against its own shares. The return of a
// unit lowers the concurrency that the lender counts; it does not give back the
// token of the rate limit.
package limits

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
	"cuminshift/internal/peer"
	"cuminshift/internal/rendezvous"
)

// Verdict is the result of the limit check of an opening or a request.
type Verdict uint8

// The verdicts of a Decision.
const (
	Allowed Verdict = iota + 1
	Refused
	// Pending means that this instance has no share of the limit and asks an
	// instance that has one. HandlePeer or Tick later returns a Resolved with
	// the ID of the decision.
	Pending
)

// Decision is the result of Open and StartRequest.
type Decision struct {
	Verdict Verdict
	// Reason is the reason of a refusal.
	Reason pb.Reason
	// ID and Message are set if the verdict is Pending. Message is the
	// LimitRequest to send.
	ID      uint64
	Message peer.Message
}

// Resolved is the final result of a pending decision.
type Resolved struct {
	ID uint64
	// Reason is the reason of a refusal.
	Reason pb.Reason
	// Allowed is set if the flow or request is allowed. Under a concurrency limit
	// it counts until CloseFlow or EndRequest ends it.
	Allowed bool
}

// Config holds the parameters of Limits. A zero field takes its default.
type Config struct {
	// Self is the ID of this instance.
	Self model.InstanceID
	// ShareIncreaseDelay is how long an instance waits before it uses a larger
	// share; default 3 s. It must exceed the time that a change of the instances
	// takes to reach all instances (see SetInstances).
	ShareIncreaseDelay time.Duration
	// IdleTimeout is the time after which the unused state of a caller at a
	// service is dropped; default 1 min.
	IdleTimeout time.Duration
	// ReplyTimeout is the longest wait for the reply of another instance;
	// default 200 ms.
	ReplyTimeout time.Duration
	// MaxPending is the maximum number of pending decisions; default 4096. When
	// it is reached, a decision that would be pending is a refusal with
	// REASON_RATE_LIMIT.
	MaxPending int
}

func (c *Config) setDefaults() {
	if c.ShareIncreaseDelay == 0 {
		c.ShareIncreaseDelay = 3 * time.Second
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = time.Minute
	}
	if c.ReplyTimeout == 0 {
		c.ReplyTimeout = 200 * time.Millisecond
	}
	if c.MaxPending == 0 {
		c.MaxPending = 4096
	}
}

// kind selects one of the two pairs of limits of a model.PlanUse.
type kind uint8

const (
	openings kind = iota
	requests
	kinds
)

// key identifies a pair of limits of a caller at a service.
type key struct {
	caller  string
	service model.ServiceID
	kind    kind
}

// limitState is the state of a pair of limits, rate and concurrency.
type limitState struct {
	limiter *rate.Limiter
	// perSecond and concurrent are the limits of the plan. rateShare and
	// concurrencyShare are the shares of this instance.
	perSecond, concurrent int
	rateShare             float64
	concurrencyShare      int
	// epoch is the value of Limits.epoch at which the shares were computed.
	epoch uint64
	// inUse counts the flows or requests that count against the share of this
	// instance, including units lent to other instances.
	inUse int
	// borrowed holds the units that were borrowed from other instances.
	borrowed []unit
	lastUse  time.Time
}

// unit identifies a flow or request that counts against the share of another
// instance. id is the ID of the LimitRequest by which it was borrowed.
type unit struct {
	lender model.InstanceID
	id     uint64
}

// instanceList is a list that was passed to SetInstances.
type instanceList struct {
	ids []model.InstanceID
	// seeds holds the rendezvous seeds of ids.
	seeds []uint64
	// member is set when this instance is in the list.
	member     bool
	receivedAt time.Time
}

// Limits enforces the limits at one instance. It is not safe for concurrent use.
type Limits struct {
	cfg    Config
	states map[key]*limitState
	// lists holds the present list, which is the last one, and the lists that
	// were replaced less than ShareIncreaseDelay ago.
	lists []instanceList
	// epoch increases with each change of lists.
	epoch  uint64
	nextID uint64

	// pending holds the pending decisions by ID.
	pending map[uint64]*pendingDecision
	// releases holds the unconfirmed releases by the ID of their unit.
	releases map[uint64]*pendingRelease
	// lent holds the keys of the units that other instances have borrowed, by
	// borrower and unit ID.
	lent map[model.InstanceID]map[uint64]key
}

// New returns a Limits without an instance list. Before SetInstances is called,
// it refuses everything that has a limit. The IDs of its LimitRequests start
// after firstID, which should differ between incarnations (runs) of an instance;
// it may be the start time in nanoseconds.
func New(cfg Config, firstID uint64) *Limits {
	cfg.setDefaults()
	return &Limits{
		cfg: cfg, states: map[key]*limitState{}, nextID: firstID, epoch: 1,
		pending: map[uint64]*pendingDecision{}, releases: map[uint64]*pendingRelease{}, lent: map[model.InstanceID]map[uint64]key{},
	}
}

// SetInstances sets the instances of the data centre among which each limit is
// divided (see membership.Membership.KnownInstances). A smaller share applies at
// once, and a larger one after ShareIncreaseDelay, so that the sum of the shares
// never exceeds the limit while instances have different lists.
func (l *Limits) SetInstances(now time.Time, ids []model.InstanceID) {
	if n := len(l.lists); n > 0 && slices.Equal(l.lists[n-1].ids, ids) {
		return
	}
	if len(l.lists) == 0 {
		// The empty list stands for the time before the start, when this
		// instance had no share.
		l.lists = append(l.lists, instanceList{receivedAt: now})
	}
	list := instanceList{ids: slices.Clone(ids), member: slices.Contains(ids, l.cfg.Self), receivedAt: now}
	for _, id := range ids {
		list.seeds = append(list.seeds, rendezvous.Seed(id))
	}
	l.lists = append(l.lists, list)
	l.epoch++
	l.dropDepartedInstances(ids)
}

// Open decides whether the caller may open a flow to the service. planUse holds
// the limits; zero means unlimited. An allowed flow counts until CloseFlow, if
// planUse limits the concurrent flows; otherwise it must not be passed to CloseFlow.
func (l *Limits) Open(now time.Time, caller string, service model.ServiceID, planUse model.PlanUse) Decision {
	return l.start(now, key{caller, service, openings}, planUse.OpeningsPerSecond, planUse.ConcurrentFlows)
}

// CloseFlow ends a flow that was allowed under a limit on concurrent flows. If units are borrowed for the
// caller and service, it returns the message that gives one of them back to its
// lender; otherwise it returns no message.
func (l *Limits) CloseFlow(now time.Time, caller string, service model.ServiceID) []peer.Message {
	return l.end(now, key{caller, service, openings})
}

// StartRequest decides whether the caller may start a request, like Open.
func (l *Limits) StartRequest(now time.Time, caller string, service model.ServiceID, planUse model.PlanUse) Decision {
	return l.start(now, key{caller, service, requests}, planUse.RequestsPerSecond, planUse.ConcurrentRequests)
}

// EndRequest ends a request that was allowed under a limit on concurrent requests,
// like CloseFlow.
func (l *Limits) EndRequest(now time.Time, caller string, service model.ServiceID) []peer.Message {
	return l.end(now, key{caller, service, requests})
}

// InUse returns the number of flows and requests that count against a concurrency
// limit: those of this instance, including units borrowed from other instances, and
// the units lent to them.
func (l *Limits) InUse() int {
	n := 0
	for _, s := range l.states {
		n += s.inUse + len(s.borrowed)
	}
	return n
}

// Len returns the number of limit states held: for each caller and service, one
// for flows and one for requests.
func (l *Limits) Len() int { return len(l.states) }

func (l *Limits) start(now time.Time, k key, perSecond, concurrent int) Decision {
	s := l.state(now, k, perSecond, concurrent)
	if (perSecond > 0 && s.rateShare == 0) || (concurrent > 0 && s.concurrencyShare == 0) {
		return l.requestUnit(now, k, perSecond, concurrent)
	}
	if reason := s.takeUnit(now); reason != 0 {
		return Decision{Verdict: Refused, Reason: reason}
	}
	return Decision{Verdict: Allowed}
}

// takeUnit counts one unit against the share, or returns the reason of a refusal.
// Without a concurrency limit nobody reports the end of a flow or request, so its
// start does not count as in use either.
// The concurrency limit is checked first, so that a refusal by it does not consume
// a token of the rate limit.
func (s *limitState) takeUnit(now time.Time) pb.Reason {
	if s.concurrent > 0 && s.inUse >= s.concurrencyShare {
		return pb.Reason_REASON_CONCURRENCY_LIMIT
	}
	if s.perSecond > 0 && (s.rateShare == 0 || !s.limiter.AllowN(now, 1)) {
		return pb.Reason_REASON_RATE_LIMIT
	}
	if s.concurrent > 0 {
		s.inUse++
	}
	return 0
}

func (l *Limits) end(now time.Time, k key) []peer.Message {
	s := l.states[k]
	if s == nil {
		return nil
	}
	s.lastUse = now
	if n := len(s.borrowed); n > 0 {
		u := s.borrowed[n-1]
		s.borrowed = s.borrowed[:n-1]
		return []peer.Message{l.sendRelease(now, k, u)}
	}
	if s.inUse > 0 {
		s.inUse--
	}
	return nil
}

// state returns the state of the key, with its shares up to date.
func (l *Limits) state(now time.Time, k key, perSecond, concurrent int) *limitState {
	l.expireLists(now)
	s := l.states[k]
	if s == nil {
		s = &limitState{}
		l.states[k] = s
	}
	s.lastUse = now
	if s.epoch != l.epoch || s.perSecond != perSecond || s.concurrent != concurrent {
		s.perSecond, s.concurrent, s.epoch = perSecond, concurrent, l.epoch
		l.updateShares(now, k, s)
	}
	return s
}

// expireLists drops lists that were replaced at least ShareIncreaseDelay ago.
func (l *Limits) expireLists(now time.Time) {
	for len(l.lists) > 1 && now.Sub(l.lists[1].receivedAt) >= l.cfg.ShareIncreaseDelay {
		l.lists = l.lists[1:]
		l.epoch++
	}
}

// updateShares sets the shares of s to the smallest ones under any list that was in
// force within the last ShareIncreaseDelay.
func (l *Limits) updateShares(now time.Time, k key, s *limitState) {
	for i := range l.lists {
		listRate, listConcurrency := l.sharesUnder(&l.lists[i], k, s)
		if i == 0 {
			s.rateShare, s.concurrencyShare = listRate, listConcurrency
		}
		s.rateShare, s.concurrencyShare = min(s.rateShare, listRate), min(s.concurrencyShare, listConcurrency)
	}
	if len(l.lists) == 0 {
		s.rateShare, s.concurrencyShare = 0, 0
	}
	if s.perSecond == 0 {
		return
	}
	// The burst is a tenth of the rate per second.
	burst := max(1, int(s.rateShare/10))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.rateShare), burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(s.rateShare))
	s.limiter.SetBurstAt(now, burst)
}

// sharesUnder returns the shares of this instance under one list, of the rate limit
// and of the concurrency limit. A rate limit is divided evenly. The remainder of a
// concurrency limit, and a limit that is smaller than the number of instances, go to
// the highest-ranked instances, one unit each.
// No share shrinks when the limit grows, so that during a plan edit the sum does
// not exceed the larger of the two limits.
func (l *Limits) sharesUnder(list *instanceList, k key, s *limitState) (float64, int) {
	n := len(list.ids)
	if !list.member {
		return 0, 0
	}
	rank := rendezvous.Rank(k.rendezvousKey(), list.ids, list.seeds, l.cfg.Self)
	rateShare := float64(s.perSecond) / float64(n)
	if s.perSecond < n {
		rateShare = 0
		if rank < s.perSecond {
			rateShare = 1
		}
	}
	concurrencyShare := s.concurrent / n
	if rank < s.concurrent%n {
		concurrencyShare++
	}
	return rateShare, concurrencyShare
}

// rendezvousKey returns the key for which the instances are ranked.
func (k key) rendezvousKey() rendezvous.Key {
	return rendezvous.NewKey("limit", xxhash.Sum64String(k.caller)^uint64(k.service)+uint64(k.kind))
}

// shareHolders returns the instances that hold a share of a limit of n, which is at
// most the number of instances: the n highest-ranked ones.
func shareHolders(ids []model.InstanceID, k key, n int) []model.InstanceID {
	return rendezvous.TopN(k.rendezvousKey(), ids, n)
}
