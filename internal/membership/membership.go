// Package membership determines which instances of a data centre are alive,
// which of them publishes the shared state (the publisher), and whether this
// instance holds a lease that allows it to take decisions. It handles heartbeats
// and acknowledgements and returns the messages to send, without any I/O; see
// docs/design.md, sections 5 and 9. It is not safe for concurrent use.
//
// The state (dcstate.State) is the view, which lists the members of the data
// centre, and a version. The version is a generation, which grows with each
// publication, and the publisher's ID. The applied state is the newest one that
// this instance has received or published itself.
//
// All known instances are ranked by rendezvous hashing. The publisher is normally
// the highest-ranked live instance that is ready and not marked out by operators.
// The next ranks are its successors, one of which takes over when it fails.
// Instances send heartbeats to the publisher, whose acknowledgements extend their
// leases. An instance is fenced, which means that it must not take decisions,
// while its lease has expired, until it has caught up afterwards, and while the
// view does not contain it. An incarnation identifies one run of an instance.
//
// Instances find each other through the instance list, which the platform that
// runs them provides. The list may lag and may contain dead instances.
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
	// DefaultDeadAfter exceeds the lease by more than the longest datagram
	// lifetime (300 ms), so that a packet sent just before the lease expired has
	// left the network before a view without its sender is published.
	DefaultDeadAfter     = time.Second
	DefaultFullMeshLimit = 16
	DefaultSuccessors    = 4
	// DefaultMaxReports limits the reports of an instance to about 2 KB/s: 8
	// reports of 25 bytes, 5 times a second, to two receivers (the publisher and
	// its first successor).
	DefaultMaxReports = 8
)

// Config holds the fixed parameters of an instance's membership. Durations and
// counts that are zero are replaced by the defaults.
type Config struct {
	Self model.InstanceID
	// Incarnation identifies this run of the instance. A later run has a higher
	// number unless the machine's clock was set back.
	Incarnation uint64
	// Started is the time at which this run started.
	Started time.Time

	HeartbeatInterval time.Duration
	Lease             time.Duration
	DeadAfter         time.Duration
	// FullMeshLimit is the number of instances up to which each sends
	// heartbeats to all others. In larger data centres each sends them only to
	// the publisher and its successors.
	FullMeshLimit int
	// Successors is the number of instances, besides the publisher, that
	// receive the heartbeats of all others in larger data centres. Of these only
	// the first also receives server reports.
	Successors int
	// MaxReports is the largest number of server reports in one heartbeat. It
	// applies in addition to the limits of serverhealth.Tracker.Reports.
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

// LocalStatus is what the other components of the instance pass to Tick. All
// but InstancesOut is reported in the heartbeats.
type LocalStatus struct {
	// Ready is set once the instance holds a configuration and serves.
	Ready bool
	// ConfigVersion is the version of the configuration that the instance holds.
	ConfigVersion uint64
	// Reports holds the server reports to send. A heartbeat carries up to
	// MaxReports of them, those with a changed condition first.
	Reports []*pb.ServerReport
	// InstancesOut lists the instances that operators have marked out of
	// service.
	InstancesOut map[model.InstanceID]bool
}

// InstanceListEntry is an entry of the platform's instance list for this data
// centre.
type InstanceListEntry struct {
	Instance model.InstanceID
	// Leaving is set for an instance that is shutting down. It is treated as
	// not listed.
	Leaving bool
}

// MemberStatus is the status that a member of the view last reported.
type MemberStatus struct {
	Instance    model.InstanceID
	Incarnation uint64
	// AppliedVersion is the newest state that the member has applied. It is zero
	// for a member that this instance has not heard from.
	AppliedVersion dcstate.Version
	ConfigVersion  uint64
	Uptime         time.Duration
}

// peerInfo is what this instance knows about another instance.
type peerInfo struct {
	incarnation uint64
	state       pb.InstanceState
	// lastHeard is the time of the last heartbeat or acknowledgement, or the
	// time at which a view first named the instance.
	lastHeard time.Time
	// heardSince is the start of the current series of heartbeats without a gap
	// longer than the lease; it is zero before the first heartbeat.
	heardSince     time.Time
	lastHeartbeat  time.Time
	appliedVersion dcstate.Version
	configVersion  uint64
	// started is the time at which the other instance started, on this
	// instance's clock.
	started time.Time
	// left is set by a heartbeat that announces LEAVING, which is final.
	left bool
}

// reportsNoState reports whether the instance sends heartbeats but has not
// applied any state.
func (p *peerInfo) reportsNoState() bool {
	return !p.heardSince.IsZero() && p.appliedVersion.Generation == 0
}

// Membership is one instance's knowledge of the instances of its data centre
// and of its own role among them.
type Membership struct {
	cfg   Config
	peers map[model.InstanceID]*peerInfo
	// ranked holds the known instances, this one included, by their rank as
	// publisher; it is nil when it must be computed again. rankOf is its
	// inverse.
	ranked           []model.InstanceID
	rankOf           map[model.InstanceID]int
	listed           map[model.InstanceID]bool
	haveInstanceList bool
	// instanceListSince is the time at which the instance list was first read.
	instanceListSince time.Time
	markedOut         map[model.InstanceID]bool
	localStatus       LocalStatus
	leaving           bool
	lastHeartbeat     time.Time
	nextProbe         int
	reports           reportQueue

	// state is the newest applied state; members holds its members by ID.
	state   *dcstate.State
	members map[model.InstanceID]dcstate.Member

	// latestTime is the latest time recorded by observeTime. listeningSince is
	// the start of the current period in which no two successive recorded times
	// are further apart than the lease.
	latestTime     time.Time
	listeningSince time.Time
	// receivesAllSince is the time since which all members have to send their
	// heartbeats to this instance; it is zero while they do not have to.
	receivesAllSince time.Time

	// leaseStart is the send time of the last acknowledged heartbeat.
	leaseStart time.Time
	lastAck    time.Time
	// requiredVersion is the version up to which this instance must catch up
	// before it stops being fenced.
	requiredVersion dcstate.Version
	// behindSince is the time since which this instance knows of a state newer
	// than the applied one.
	behindSince      time.Time
	lastStateRequest time.Time
	// awaitingStateSince is the time since which this instance, as the preferred
	// publisher, has been waiting for a newer state that a live instance holds.
	awaitingStateSince time.Time
	// newestReported is the newest state that another instance ever reported.
	newestReported dcstate.Version

	publishing bool
	// graceStart is the earliest time from which a publisher counts the silence
	// of a member. After an early takeover it applies to all members, otherwise
	// only to those that rank below this instance.
	graceStart    time.Time
	earlyTakeover bool
	// yieldedTo is the instance to which this publisher has yielded the role,
	// or "".
	yieldedTo model.InstanceID
	yieldedAt time.Time
	// offer is the last offer of a former publisher to yield to this instance.
	offer yieldOffer
}

// yieldOffer is a publisher's announcement that version is the last state that
// it publishes.
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

// observeTime records the current time and detects process pauses. After a gap
// longer than the lease the instance gives up the publisher role and any yield,
// because another publisher may have taken over in the meantime.
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

// SetAppliedState records that the instance has applied a state, published by
// itself or by another instance.
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

// recordMember creates the entry of a member that this instance has not heard
// from; its silence counts from now. For a member that does not send its
// heartbeats to this instance, it copies the instance state from the view.
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
	if p != nil && m.isAlive(now, p) && p.incarnation > member.Incarnation {
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
// centre. Listed instances are contacted; an instance that is not listed stays
// known while it is alive.
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

// LeaveInView reports whether this instance is leaving and the applied view
// shows it as leaving or no longer contains it. Instances that have applied
// that view do not select this one any more.
func (m *Membership) LeaveInView() bool {
	self, ok := m.members[m.cfg.Self]
	return m.leaving && (!ok || self.State == pb.InstanceState_INSTANCE_STATE_LEAVING)
}

// Fenced reports whether the instance must not decide on unknown flows,
// openings (the first packets of new flows), ownership or admission, because its
// lease has expired, it has not caught up since the lease was renewed, or the
// view does not contain this incarnation.
func (m *Membership) Fenced(now time.Time) bool {
	return m.leaseExpired(now) || m.state.Version.Less(m.requiredVersion) || !m.inView()
}

func (m *Membership) leaseExpired(now time.Time) bool {
	return m.leaseStart.IsZero() || now.Sub(m.leaseStart) > m.cfg.Lease
}

// inView reports whether the applied view contains this incarnation of this
// instance.
func (m *Membership) inView() bool {
	self, ok := m.members[m.cfg.Self]
	return ok && self.Incarnation == m.cfg.Incarnation
}
