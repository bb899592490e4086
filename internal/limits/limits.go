// Package limits enforces the rate and concurrency limits that plans give
// callers per service. Each limit is split over the instances of the data
// centre, so that the sum holds without coordination.
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

// Verdict is the answer to an opening or a request.
type Verdict uint8

// Verdicts.
const (
	Allowed Verdict = iota + 1
	Refused
	// Pending means that this instance has no share of the limit and has asked
	// one that has; Resolved follows under the ID of the decision.
	Pending
)

// Decision is the outcome of Open and StartRequest.
type Decision struct {
	Verdict Verdict
	// Reason of a refusal.
	Reason pb.Reason
	// ID and Message are set with Pending.
	ID      uint64
	Message peer.Message
}

// Resolved is the late outcome of a decision that was Pending.
type Resolved struct {
	ID     uint64
	Reason pb.Reason
	// Allowed means that the flow or request counts as started.
	Allowed bool
}

// Config holds the parameters; zero durations take the defaults.
type Config struct {
	Self model.InstanceID
	// ShareIncreaseDelay is how long an instance waits before it uses a larger share.
	// It must exceed the time in which all instances learn of a change of
	// the instance list or the view; default 3 s.
	ShareIncreaseDelay time.Duration
	// IdleTimeout is when the state of an unused (caller, service) is dropped;
	// default 1 min.
	IdleTimeout time.Duration
	// ReplyTimeout bounds the wait for a reply of another instance; default
	// 200 ms.
	ReplyTimeout time.Duration
	// MaxPending bounds the decisions that wait for a reply; default 4096.
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

// limitKind distinguishes the two pairs of limits of a use.
type limitKind uint8

const (
	openings limitKind = iota
	requests
	kinds
)

type limitKey struct {
	caller  string
	service model.ServiceID
	kind    limitKind
}

// limitState is the state of one pair of limits (rate and concurrency).
type limitState struct {
	limiter *rate.Limiter
	// perSecond and concurrent are the limits of the plan; rateShare and
	// countShare what this instance may use of them.
	perSecond, concurrent int
	rateShare             float64
	concurrencyShare      int
	// epoch is the epoch of the lists under which the shares were computed.
	epoch uint64
	// inUse counts what was started here, including lent units.
	inUse int
	// borrowed lists units that were allowed by other instances.
	borrowed []unit
	lastUse  time.Time
}

// unit identifies one flow or request that another instance counts.
type unit struct {
	holder model.InstanceID
	id     uint64
}

// instanceList is a list of instances with the time at which it came.
type instanceList struct {
	ids   []model.InstanceID
	seeds []uint64
	// member is set when this instance is in the list.
	member     bool
	receivedAt time.Time
}

// Limits holds the limits of one instance. It is not safe for concurrent use.
type Limits struct {
	cfg    Config
	states map[limitKey]*limitState
	// lists holds the present list (last) and those that were replaced less
	// than HoldBack ago.
	lists  []instanceList
	epoch  uint64
	nextID uint64

	pending  map[uint64]*pendingDecision
	releases map[uint64]*pendingRelease
	lent     map[model.InstanceID]map[uint64]limitKey
}

// New returns a Limits that knows no instance: until SetInstances it refuses
// everything that is limited. firstID starts the IDs of its LimitRequests; it
// should differ between incarnations of an instance (for example its start
// time in nanoseconds).
func New(cfg Config, firstID uint64) *Limits {
	cfg.setDefaults()
	return &Limits{
		cfg: cfg, states: map[limitKey]*limitState{}, nextID: firstID, epoch: 1,
		pending: map[uint64]*pendingDecision{}, releases: map[uint64]*pendingRelease{}, lent: map[model.InstanceID]map[uint64]limitKey{},
	}
}

// SetInstances tells the instances of the data centre: the larger of view and
// instance list. A share that becomes smaller applies at once, a larger one
// after HoldBack, so that the sum of the shares never exceeds the limit while
// instances have different lists.
func (l *Limits) SetInstances(now time.Time, ids []model.InstanceID) {
	if n := len(l.lists); n > 0 && slices.Equal(l.lists[n-1].ids, ids) {
		return
	}
	if len(l.lists) == 0 {
		// An instance that starts had no share before.
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

// Open decides about an opening of the caller at the service and counts it
// when allowed. Zero limits of the use mean no limit.
func (l *Limits) Open(now time.Time, caller string, service model.ServiceID, use model.Use) Decision {
	return l.start(now, limitKey{caller, service, openings}, use.OpeningsPerSecond, use.ConcurrentFlows)
}

// AdoptFlow counts a flow that was opened through another instance. It never
// refuses: an established flow survives any planned change.
func (l *Limits) AdoptFlow(now time.Time, caller string, service model.ServiceID, use model.Use) {
	e := l.state(now, limitKey{caller, service, openings}, use.OpeningsPerSecond, use.ConcurrentFlows)
	e.inUse++
}

// CloseFlow ends a flow that was allowed or adopted.
func (l *Limits) CloseFlow(now time.Time, caller string, service model.ServiceID) []peer.Message {
	return l.end(now, limitKey{caller, service, openings})
}

// StartRequest decides about a request, like Open.
func (l *Limits) StartRequest(now time.Time, caller string, service model.ServiceID, use model.Use) Decision {
	return l.start(now, limitKey{caller, service, requests}, use.RequestsPerSecond, use.ConcurrentRequests)
}

// EndRequest ends a request that was allowed.
func (l *Limits) EndRequest(now time.Time, caller string, service model.ServiceID) []peer.Message {
	return l.end(now, limitKey{caller, service, requests})
}

// Len returns the number of (caller, service) states held.
func (l *Limits) Len() int { return len(l.states) }

func (l *Limits) start(now time.Time, k limitKey, perSecond, concurrent int) Decision {
	e := l.state(now, k, perSecond, concurrent)
	if (perSecond > 0 && e.rateShare == 0) || (concurrent > 0 && e.concurrencyShare == 0) {
		return l.requestUnit(now, k, perSecond, concurrent)
	}
	if reason := e.takeUnit(now); reason != 0 {
		return Decision{Verdict: Refused, Reason: reason}
	}
	return Decision{Verdict: Allowed}
}

// takeUnit counts one unit, or returns why it may not. Concurrency is checked
// first, so that a refusal for it uses up no rate.
func (e *limitState) takeUnit(now time.Time) pb.Reason {
	if e.concurrent > 0 && e.inUse >= e.concurrencyShare {
		return pb.Reason_REASON_CONCURRENCY_LIMIT
	}
	if e.perSecond > 0 && (e.rateShare == 0 || !e.limiter.AllowN(now, 1)) {
		return pb.Reason_REASON_RATE_LIMIT
	}
	e.inUse++
	return 0
}

func (l *Limits) end(now time.Time, k limitKey) []peer.Message {
	e := l.states[k]
	if e == nil {
		return nil
	}
	e.lastUse = now
	if n := len(e.borrowed); n > 0 {
		u := e.borrowed[n-1]
		e.borrowed = e.borrowed[:n-1]
		return []peer.Message{l.sendRelease(now, k, u)}
	}
	if e.inUse > 0 {
		e.inUse--
	}
	return nil
}

// limitState returns the state for the key with its shares up to date.
func (l *Limits) state(now time.Time, k limitKey, perSecond, concurrent int) *limitState {
	l.expireLists(now)
	e := l.states[k]
	if e == nil {
		e = &limitState{}
		l.states[k] = e
	}
	e.lastUse = now
	if e.epoch != l.epoch || e.perSecond != perSecond || e.concurrent != concurrent {
		e.perSecond, e.concurrent, e.epoch = perSecond, concurrent, l.epoch
		l.updateShares(now, k, e)
	}
	return e
}

// expireLists drops the lists that were replaced more than HoldBack ago.
func (l *Limits) expireLists(now time.Time) {
	for len(l.lists) > 1 && now.Sub(l.lists[1].receivedAt) >= l.cfg.ShareIncreaseDelay {
		l.lists = l.lists[1:]
		l.epoch++
	}
}

// updateShares sets the shares of an entry: the smallest under any list in force
// within HoldBack.
func (l *Limits) updateShares(now time.Time, k limitKey, e *limitState) {
	for i := range l.lists {
		rateShare, concurrencyShare := l.sharesUnder(&l.lists[i], k, e)
		if i == 0 {
			e.rateShare, e.concurrencyShare = rateShare, concurrencyShare
		}
		e.rateShare, e.concurrencyShare = min(e.rateShare, rateShare), min(e.concurrencyShare, concurrencyShare)
	}
	if len(l.lists) == 0 {
		e.rateShare, e.concurrencyShare = 0, 0
	}
	if e.perSecond == 0 {
		return
	}
	// A tenth of a second's worth may pass at once.
	burst := max(1, int(e.rateShare/10))
	if e.limiter == nil {
		e.limiter = rate.NewLimiter(rate.Limit(e.rateShare), burst)
		return
	}
	e.limiter.SetLimitAt(now, rate.Limit(e.rateShare))
	e.limiter.SetBurstAt(now, burst)
}

// sharesUnder returns the shares of this instance under one list. A rate is
// split evenly; the units of a concurrency limit that do not divide, and a
// limit smaller than the list, go to the instances of the highest rank. Both
// grow with the limit, so during a plan edit the sum stays below the larger
// of the two limits.
func (l *Limits) sharesUnder(list *instanceList, k limitKey, e *limitState) (float64, int) {
	n := len(list.ids)
	if !list.member {
		return 0, 0
	}
	rank := rendezvous.Rank(k.rendezvousKey(), list.ids, list.seeds, l.cfg.Self)
	rateShare := float64(e.perSecond) / float64(n)
	if e.perSecond < n {
		rateShare = 0
		if rank < e.perSecond {
			rateShare = 1
		}
	}
	concurrencyShare := e.concurrent / n
	if rank < e.concurrent%n {
		concurrencyShare++
	}
	return rateShare, concurrencyShare
}

// rendezvousKey returns the key under which the instances are ranked.
func (k limitKey) rendezvousKey() rendezvous.Key {
	return rendezvous.NewKey("limit", xxhash.Sum64String(k.caller)^uint64(k.service)+uint64(k.kind))
}

func shareHolders(ids []model.InstanceID, k limitKey, n int) []model.InstanceID {
	return rendezvous.Ranked(k.rendezvousKey(), ids, n)
}
