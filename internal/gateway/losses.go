package gateway

import (
	"slices"
	"time"

	"cuminshift/internal/reach"
)

// Loss says that an instance did not reach a server at a time.
type Loss struct {
	Server string
	// Incarnation is the start that the loss belongs to.
	Incarnation int64
	At          time.Time
}

const (
	// lossFor is the time for which a loss is passed on, and for which another
	// report of it changes nothing: the longest pause between two trials of a
	// server that is not reached, and the news' way through the tree.
	lossFor = 2 * time.Second
	// maxLosses bounds the losses passed on in lossFor. An instance that is
	// cut off finds all servers lost; each report costs the others a probe.
	maxLosses = 32
)

// lossLog holds the recent losses, the instance's own and reported ones.
type lossLog struct {
	// seq is the number of losses noted so far; the last one has this number.
	seq     uint64
	entries []Loss
}

// add notes a loss and reports whether it is new.
func (l *lossLog) add(now time.Time, loss Loss) bool {
	l.expire(now)
	known := slices.ContainsFunc(l.entries, func(e Loss) bool { return e.Server == loss.Server && e.Incarnation == loss.Incarnation })
	if known || len(l.entries) >= maxLosses {
		return false
	}
	l.entries = append(l.entries, loss)
	l.seq++
	return true
}

func (l *lossLog) expire(now time.Time) {
	l.entries = slices.DeleteFunc(l.entries, func(e Loss) bool { return now.Sub(e.At) > lossFor })
}

// LossesSince returns the recent losses after the first seq ones, and the
// number of losses noted so far.
func (c *Core) LossesSince(now time.Time, seq uint64) ([]Loss, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses.expire(now)
	if seq >= c.losses.seq {
		return nil, c.losses.seq
	}
	n := min(int(c.losses.seq-seq), len(c.losses.entries))
	return slices.Clone(c.losses.entries[len(c.losses.entries)-n:]), c.losses.seq
}

// noteLoss passes on that the instance does not reach a server.
func (c *Core) noteLoss(now time.Time, b *backend) []Action {
	if !expected(b) || !c.losses.add(now, Loss{Server: b.record.Name, Incarnation: b.record.Incarnation, At: now}) {
		return nil
	}
	return []Action{LossNoted{}}
}

// lossesReported probes the servers that another instance does not reach. New
// flows go there until the probe fails: the cause may be the other instance's
// link.
func (c *Core) lossesReported(now time.Time, losses []Loss) []Action {
	var actions []Action
	for _, loss := range losses {
		b := c.backends[c.servers.Record(loss.Server)]
		if b == nil || !expected(b) || b.record.Incarnation != loss.Incarnation || b.reach.State() != reach.Reachable || b.reach.Alive().After(loss.At) {
			continue
		}
		if !c.losses.add(now, loss) {
			continue
		}
		actions = append(actions, LossNoted{})
		if b.reach.Check() {
			actions = append(actions, c.probe(b))
		}
	}
	return actions
}
