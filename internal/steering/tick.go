package steering

import (
	"maps"
	"time"

	"cuminshift/internal/flowtable"
)

// scanState spreads the passes over the flow table evenly over their periods.
type scanState struct {
	last           time.Time
	cursor         flowtable.Cursor
	keep, expire   float64 // slots due, with fraction
	lastRotateKeys time.Time
}

// maxScan limits the table slots that one Tick examines, and so the time for
// which packet decisions wait, to about 1 ms.
const maxScan = 16384

// closedMemory is the time for which a server's late answers do not pin a
// closed flow again; it exceeds the longest datagram lifetime (300 ms).
const closedMemory = time.Second

// staleDrain is the time after a pause in which received packets may have
// waited in a socket buffer since before or during the pause.
const staleDrain = 100 * time.Millisecond

// paused reports whether the process did not run for as long as others may
// take to declare it out, or has just resumed. An opening received then may be
// older than any record of the flow that it opened elsewhere.
func (s *Steering) paused(now time.Time) bool {
	return now.Before(s.pausedUntil) || !s.lastTick.IsZero() && now.Sub(s.lastTick) >= outAfter
}

// Tick repeats unanswered messages, enforces timeouts, sends batched records
// and expires pins and records. It is called every 5 to 50 ms.
func (s *Steering) Tick(now time.Time) []Action {
	if !s.fenced(now) {
		s.lastUnfenced = now
	}
	if s.paused(now) && !now.Before(s.pausedUntil) {
		s.pausedUntil = now.Add(staleDrain)
	}
	s.lastTick = now
	s.tickWaits(now)
	s.tickAsks(now)
	s.scanTable(now)
	if now.Sub(s.lastSweep) >= s.cfg.FlowIdleTimeout/16 {
		s.lastSweep = now
		s.expireRecords(now)
		old := func(_ bucketID, at time.Time) bool {
			return now.Sub(at) >= max(s.cfg.SettleAfter, s.cfg.OpeningRepeat)
		}
		maps.DeleteFunc(s.changed, old)
		maps.DeleteFunc(s.openingChanged, old)
	}
	if now.Sub(s.scan.lastRotateKeys) >= closedMemory {
		s.scan.lastRotateKeys = now
		s.closed.rotate()
		s.askedElsewhere.rotate()
	}
	s.shareAdditions(now)
	s.sendHints(now)
	s.sendLinks(now)
	return s.flush(now)
}

// scanTable examines the part of the flow table that is due: it reports
// recorded flows in use once per keep-alive period, and expires idle pins.
func (s *Steering) scanTable(now time.Time) {
	if s.scan.last.IsZero() {
		s.scan.last = now
	}
	passed := now.Sub(s.scan.last)
	s.scan.last = now
	slots := float64(s.table.Slots()) * float64(passed) / float64(s.cfg.keepAlive())
	s.scan.keep = min(s.scan.keep+slots, maxScan)
	s.scan.expire = min(s.scan.expire+2*slots, maxScan)
	if n := int(s.scan.keep); n > 0 {
		s.scan.keep -= float64(n)
		s.keepRecords(now, n)
	}
	if n := int(s.scan.expire); n > 0 {
		s.scan.expire -= float64(n)
		s.table.Expire(now, s.cfg.FlowIdleTimeout, n, func(k flowtable.Key, p flowtable.Pin) {
			s.do(Ended{k.Service, k.Flow, p.Server})
		})
	}
}

// keepRecords reports the recorded flows among the next n slots that had
// packets in the last keep-alive period. The report also restores a record
// that was lost with its owner and backup.
func (s *Steering) keepRecords(now time.Time, n int) {
	var used, cleared []op
	// The last use is kept in steps of 100 ms.
	recent := now.Add(-s.cfg.keepAlive() - 200*time.Millisecond)
	s.scan.cursor, _ = s.table.Scan(s.scan.cursor, n, func(k flowtable.Key, p flowtable.Pin) {
		if !p.Recorded || !s.belongs(k.Service, p.Server) {
			return
		}
		_, b, ok := s.bucketOf(k)
		switch {
		case !ok:
		case redundant(b, p.Server):
			cleared = append(cleared, op{key: k})
		case p.LastUse.After(recent):
			used = append(used, op{kind: opReport, key: k, server: p.Server})
		}
	})
	for _, o := range cleared {
		s.table.SetRecorded(o.key.Service, o.key.Flow, false)
	}
	for _, o := range used {
		s.report(now, o)
	}
}

// recentKeys remembers flows for one to two rotation periods.
type recentKeys struct {
	now, before map[key]struct{}
}

func (r *recentKeys) add(k key) {
	if r.now == nil {
		r.now = map[key]struct{}{}
	}
	r.now[k] = struct{}{}
}

func (r *recentKeys) has(k key) bool {
	_, now := r.now[k]
	_, before := r.before[k]
	return now || before
}

func (r *recentKeys) remove(k key) {
	delete(r.now, k)
	delete(r.before, k)
}

func (r *recentKeys) rotate() { r.now, r.before = nil, r.now }
