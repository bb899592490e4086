package membership

import (
	"fmt"
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

func (m *Membership) State() *dcstate.State                    { return m.state }
func (m *Membership) Ranking() []model.InstanceID              { return m.ranking() }
func (m *Membership) Incarnation() uint64                      { return m.cfg.Incarnation }
func (m *Membership) IncarnationOf(id model.InstanceID) uint64 { return m.peers[id].incarnation }
func (m *Membership) OwnHeartbeat(now time.Time) *pb.Heartbeat { return m.newHeartbeat(now) }
func (m *Membership) HasLease() bool                           { return !m.leaseStart.IsZero() }

// Describe returns the values that determine whether m publishes, for failure
// messages.
func (m *Membership) Describe(now time.Time) string {
	return fmt.Sprintf("publishing %v, fenced %v, in view %v, preferred peer %q, yielded to %q, former publisher gone %v, view allows publishing %v, awaits newer state %v (%v), without publisher for %v of %v",
		m.publishing, m.Fenced(now), m.inView(), m.preferredPeer(now), m.yieldedTo, m.formerPublisherGone(now), m.viewAllowsPublishing(now),
		m.awaitsNewerState(now), m.newestLiveVersion(now), now.Sub(m.noPublisherSince()), m.takeoverDelay(now))
}

type ReportQueue struct{ q reportQueue }

func NewReportQueue() *ReportQueue { return &ReportQueue{newReportQueue()} }

func (q *ReportQueue) Next(all []*pb.ServerReport, limit int) []*pb.ServerReport {
	return q.q.next(all, limit)
}
