package membership

import (
	"time"

	"cuminshift/internal/dcstate"
	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/model"
)

func (m *Membership) State() *dcstate.State                    { return m.state }
func (m *Membership) Ranking() []model.InstanceID              { return m.ranking() }
func (m *Membership) Incarnation() uint64                      { return m.cfg.Incarnation }
func (m *Membership) IncarnationOf(id model.InstanceID) uint64 { return m.peers[id].incarnation }
func (m *Membership) OwnHeartbeat(now time.Time) *pb.Heartbeat { return m.heartbeat(now) }
func (m *Membership) HasLease() bool                           { return !m.leaseFrom.IsZero() }

type ReportQueue struct{ q reportQueue }

func NewReportQueue() *ReportQueue { return &ReportQueue{newReportQueue()} }

func (q *ReportQueue) Next(all []*pb.ServerReport, limit int) []*pb.ServerReport {
	return q.q.next(all, limit)
}
