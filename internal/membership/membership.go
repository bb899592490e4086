// Package membership decides which instances of a data centre are alive, which
// of them publishes the state, and whether this instance may take decisions.
// It exchanges heartbeats and acknowledgements; see docs/design.md, sections 5
// and 9. It is not safe for concurrent use.
package membership

import (
	"slices"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultLease             = 600 * time.Millisecond
	// DefaultDeadAfter exceeds the lease by the longest datagram lifetime
	// (300 ms), so that a packet sent on an expired lease is gone before the
	// view without its sender is published.
	DefaultDeadAfter     = time.Second
	DefaultFullMeshLimit = 16
	DefaultSuccessors    = 4
	// DefaultMaxReports keeps the reports of an instance to about 2 KB/s: 8
	// reports of 25 bytes, 5 times a second, to two receivers.
	DefaultMaxReports = 8
)

// Config holds the fixed parameters of an instance's membership. Zero
// durations and counts mean the defaults.
type Config struct {
	Self model.InstanceID
	// Incarnation differs between two runs of an instance; the later run has
	// the higher number unless the machine's clock was set back.
	Incarnation uint64
	// Started is the time at which this run started.
	Started time.Time

	HeartbeatInterval time.Duration
	Lease             time.Duration
	DeadAfter         time.Duration
	// FullMesh is the largest number of instances that all exchange
	// heartbeats with each other.
	FullMeshLimit int
	// Successors is the number of instances, next to the publisher, that
	// receive heartbeats in larger data centres.
	Successors int
	// MaxReports is the largest number of server reports in one heartbeat.
	MaxReports int
}

func (c *Config) setDefaults() {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.DeadAfter, DefaultDeadAfter)
	setDefault(&c.FullMeshLimit, DefaultFullMeshLimit)
	setDefault(&c.Successors, DefaultSuccessors)
	setDefault(&c.MaxReports, DefaultMaxReports)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Local is what the instance says about itself in its heartbeats.
type LocalStatus struct {
	// Ready is set once the instance holds a configuration and serves.
	Ready bool
	// ConfigVersion is the configuration version that the instance holds.
	ConfigVersion uint64
	// Reports holds all servers known; a heartbeat carries the changed ones
	// first, up to MaxReports.
	Reports []*pb.ServerReport
	// InstancesOut lists the instances that operators marked out.
	InstancesOut map[model.InstanceID]bool
}

// Listed is an entry of the platform's instance list for this data centre.
type InstanceListEntry struct {
	Instance model.InstanceID
	Leaving  bool
}

// Confirmation is what a member of the view last reported.
type MemberStatus struct {
	Instance    model.InstanceID
	Incarnation uint64
	// Applied is the newest state that the member has applied. It is zero for a
	// member that this instance has not heard from.
	AppliedVersion dcstate.Version
	ConfigVersion  uint64
	Uptime         time.Duration
}

// peerInfo is what this instance knows of another one.
type peerInfo struct {
	incarnation uint64
	state       pb.InstanceState
	// lastHeard is the time of the last heartbeat or acknowledgement, or the
	// time at which a view first named the instance.
	lastHeard time.Time
	// heardSince starts the current run of heartbeats without a gap longer
	// than the lease; it is zero before the first heartbeat.
	heardSince     time.Time
	lastHeartbeat  time.Time
	appliedVersion dcstate.Version
	configVersion  uint64
	// started is the sender's start time, on this instance's clock.
	started time.Time
	// left is set by a heartbeat that announced LEAVING, which is final.
	left bool
}

// stateless reports whether the heartbeats of an instance name no state.
func (p *peerInfo) reportsNoState() bool {
	return !p.heardSince.IsZero() && p.appliedVersion.Generation == 0
}

// Membership is the membership state of one instance.
type Membership struct {
	cfg   Config
	peers map[model.InstanceID]*peerInfo
	// order holds the peers and this instance in publisher ranking; it is nil
	// when it must be sorted again.
	ranked           []model.InstanceID
	rankOf           map[model.InstanceID]int
	listed           map[model.InstanceID]bool
	haveInstanceList bool
	// firstList is when the instance list was first read.
	instanceListSince time.Time
	markedOut         map[model.InstanceID]bool
	localStatus       LocalStatus
	leaving           bool
	lastHeartbeat     time.Time
	nextProbe         int
	reports           reportQueue

	// state is the newest state applied; member is this instance's entry.
	state   *dcstate.State
	members map[model.InstanceID]dcstate.Member

	// last is the latest time seen, listenSince the start of the current run
	// without a gap longer than the lease.
	latestTime     time.Time
	listeningSince time.Time
	// hearingSince is the time since which all members send their heartbeats
	// to this instance; zero while they need not.
	receivesAllSince time.Time

	// leaseFrom is the sending time of the last acknowledged heartbeat.
	leaseStart time.Time
	lastAck    time.Time
	// required is the state to catch up with before leaving fencing.
	requiredVersion  dcstate.Version
	behindSince      time.Time
	lastStateRequest time.Time
	// waitingSince is the time since which this instance, at the head of the
	// ranking, lacks a state that another one has.
	awaitingStateSince time.Time
	// newestSeen is the newest state ever reported by another instance.
	newestReported dcstate.Version

	publishing bool
	// graceFrom is the time from which the silence of members counts. After an
	// early takeover it holds for all members, else only for those that rank
	// below this instance.
	graceStart    time.Time
	earlyTakeover bool
	// yieldedTo is the instance to which this publisher yields.
	yieldedTo model.InstanceID
	yieldedAt time.Time
	// offer is a former publisher's word that it yields to this instance.
	offer yieldOffer
}

// yieldOffer says that a publisher publishes nothing after a version.
type yieldOffer struct {
	from    model.InstanceID
	version dcstate.Version
	at      time.Time
}

// New returns the membership of an instance that has just started.
func New(cfg Config) *Membership {
	cfg.setDefaults()
	return &Membership{
		cfg:            cfg,
		peers:          make(map[model.InstanceID]*peerInfo),
		listed:         make(map[model.InstanceID]bool),
		members:        make(map[model.InstanceID]dcstate.Member),
		state:          dcstate.New(dcstate.Version{}, nil),
		latestTime:     cfg.Started,
		listeningSince: cfg.Started,
		reports:        newReportQueue(),
	}
}

// observeTime notes the passing of time. What this instance knew of others is
// worthless after a gap longer than the lease: another publisher may have
// taken over meanwhile.
func (m *Membership) observeTime(now time.Time) {
	if now.Sub(m.latestTime) > m.cfg.Lease {
		m.listeningSince = now
		m.publishing = false
		m.yieldedTo = ""
		m.offer = yieldOffer{}
		if !m.receivesAllSince.IsZero() {
			m.receivesAllSince = now
		}
	}
	if now.After(m.latestTime) {
		m.latestTime = now
	}
}

// Applied records that the instance has applied a state, its own or another
// publisher's.
func (m *Membership) SetAppliedState(now time.Time, s *dcstate.State) {
	m.observeTime(now)
	old := m.state
	m.state = s
	if !m.state.Version.Less(m.newestLiveVersion(now)) {
		m.behindSince = time.Time{}
	}
	if s.Version.Publisher != m.cfg.Self {
		m.yieldedTo = ""
	} else {
		m.offer = yieldOffer{}
	}
	if !slices.Equal(old.Members, s.Members) {
		m.setMembers(now, s.Members)
	}
	m.updateRole(now)
}

func (m *Membership) setMembers(now time.Time, members []dcstate.Member) {
	clear(m.members)
	for _, member := range members {
		m.members[member.Instance] = member
		m.recordMember(now, member)
	}
}

// learnMember creates the entry of a member that this instance has not heard
// from, whose silence counts from now, and takes over the state of one that
// does not send its heartbeats to this instance.
func (m *Membership) recordMember(now time.Time, member dcstate.Member) {
	if member.Instance == m.cfg.Self {
		return
	}
	p := m.peers[member.Instance]
	if p != nil && p.incarnation == member.Incarnation {
		if !p.left && now.Sub(p.lastHeartbeat) > m.cfg.DeadAfter {
			p.state = member.State
		}
		return
	}
	if p != nil && m.heardRecently(now, p) && p.incarnation > member.Incarnation {
		return
	}
	m.peers[member.Instance] = &peerInfo{
		incarnation: member.Incarnation,
		state:       member.State,
		lastHeard:   now,
		started:     now,
	}
	m.ranked = nil
}

// SetInstanceList replaces the platform's list of the instances of this data
// centre. The list seeds addresses and removes no live instance.
func (m *Membership) SetInstanceList(now time.Time, list []InstanceListEntry) {
	m.observeTime(now)
	if !m.haveInstanceList {
		m.haveInstanceList, m.instanceListSince = true, now
	}
	clear(m.listed)
	for _, l := range list {
		if l.Instance != m.cfg.Self && !l.Leaving {
			m.listed[l.Instance] = true
		}
	}
	m.ranked = nil
}

// LeaveKnown reports whether the applied view shows this instance as leaving,
// so that no instance that applied it chooses this one any more.
func (m *Membership) LeaveInView() bool {
	self, ok := m.members[m.cfg.Self]
	return m.leaving && (!ok || self.State == pb.InstanceState_INSTANCE_STATE_LEAVING)
}

// Fenced reports whether the instance must not decide on unknown flows,
// openings, ownership or admission: its lease is over, it has not caught up
// since the lease was renewed, or the view does not name this incarnation.
func (m *Membership) Fenced(now time.Time) bool {
	return m.leaseOver(now) || m.state.Version.Less(m.requiredVersion) || !m.inView()
}

func (m *Membership) leaseOver(now time.Time) bool {
	return m.leaseStart.IsZero() || now.Sub(m.leaseStart) > m.cfg.Lease
}

func (m *Membership) inView() bool {
	self, ok := m.members[m.cfg.Self]
	return ok && self.Incarnation == m.cfg.Incarnation
}
